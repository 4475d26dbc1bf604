package daemon

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/event"
)

var update = flag.Bool("update", false, "rewrite docs/events.md")

const eventsPage = "../../docs/events.md"

const eventsHead = `# Events

This page is generated from the code by ` + "`go test ./internal/daemon -run TestEventsPage -update`" + `.

Every log line carries the number and the name of an event, the instance and a hybrid timestamp; ` + "`auburnctl timeline`" + `
shows the latest 8,192 events of each instance. Events of level debug are kept for the time line and logged only with
` + "`--log-level debug`" + `. Ranges: 1000 process, 2000 consensus and storage, 3000 control and settings, 4000 scheduler,
4100 model placement, 5000 entry and endpoints, 6000 announcements.

`

// TestEventsPage guards against events that operators can not look up.
func TestEventsPage(t *testing.T) {
	want := eventsHead + event.CatalogueMarkdown()
	if *update {
		qt.Assert(t, os.WriteFile(eventsPage, []byte(want), 0o644), qt.IsNil)
	}
	got, err := os.ReadFile(eventsPage)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(got), qt.Equals, want)
}

// TestEventNames guards against two spellings of names in one catalogue.
func TestEventNames(t *testing.T) {
	for _, e := range event.Catalogue() {
		qt.Check(t, strings.ContainsAny(e.Name, "_ "), qt.IsFalse, qt.Commentf("%d %s", e.Number, e.Name))
	}
}

// TestFlags guards against a wrong setting that is accepted, or refused without
// naming the flag, the value and what is allowed.
func TestFlags(t *testing.T) {
	valid := []string{"check", "--instance", "a", "--failure-domain", "nord-a", "--peers", "127.0.0.1:1"}
	for _, test := range []struct {
		name string
		args []string
		code int
		text string
	}{
		{"valid", nil, 0, "the settings are valid\n"},
		{"bad name", []string{"--cluster", "a b"}, 2, "auburnstepd: --cluster is \"a b\"; allowed is a name of 1 to 63 letters, digits, dots, underscores or hyphens\n"},
		{"host name to listen", []string{"--listen", "localhost:80"}, 2, "auburnstepd: --listen is \"localhost:80\"; allowed is an IP address and a port, such as 10.0.0.7:8080\n"},
		{"unspecified address to reach", []string{"--listen", "0.0.0.0:80"}, 2, "auburnstepd: --advertise is \"0.0.0.0:80\"; allowed is an IP address other than 0.0.0.0 and a port other than 0\n"},
		{"weight", []string{"--weight", "0"}, 2, "auburnstepd: --weight is \"0\"; allowed is 1 to 1000\n"},
		{"drain wait", []string{"--drain-wait", "1h"}, 2, "auburnstepd: --drain-wait is \"1h0m0s\"; allowed is 0s to 10m\n"},
		{"level", []string{"--log-level", "loud"}, 2, "auburnstepd: --log-level is \"loud\"; allowed is debug, info, warning or error\n"},
		{"certificate alone", []string{"--tls-cert", "x"}, 2, "auburnstepd: --tls-cert is \"x\"; allowed is set together with --tls-key and --tls-ca\n"},
		{"unknown flag", []string{"--wieght", "1"}, 2, "auburnstepd: unknown flag --wieght, did you mean \"--weight\"?\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := Main(append(append([]string(nil), valid...), test.args...), &out, &errOut)
			qt.Check(t, code, qt.Equals, test.code)
			qt.Check(t, out.String()+errOut.String(), qt.Equals, test.text)
		})
	}
}
