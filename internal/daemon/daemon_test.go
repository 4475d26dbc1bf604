package daemon

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFlags guards against an invalid flag that is accepted, and against error
// messages that do not state the flag, its value and the allowed values.
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
		{"listen address with a host name", []string{"--listen", "localhost:80"}, 2, "auburnstepd: --listen is \"localhost:80\"; allowed is an IP address and a port, such as 10.0.0.7:8080\n"},
		{"unspecified advertised address", []string{"--listen", "0.0.0.0:80"}, 2, "auburnstepd: --advertise is \"0.0.0.0:80\"; allowed is an IP address other than 0.0.0.0 and a port other than 0\n"},
		{"weight", []string{"--weight", "0"}, 2, "auburnstepd: --weight is \"0\"; allowed is 1 to 1000\n"},
		{"drain wait", []string{"--drain-wait", "1h"}, 2, "auburnstepd: --drain-wait is \"1h0m0s\"; allowed is 0s to 10m\n"},
		{"body memory without a unit", []string{"--body-memory", "200"}, 2, "auburnstepd: --body-memory is \"200\"; allowed is 128MiB to 64GiB, with a unit\n"},
		{"body memory too small for the largest body", []string{"--body-memory", "64MiB"}, 2, "auburnstepd: --body-memory is \"64MiB\"; allowed is 128MiB to 64GiB, with a unit\n"},
		{"requests", []string{"--max-requests", "0"}, 2, "auburnstepd: --max-requests is \"0\"; allowed is 16 to 1000000\n"},
		{"level", []string{"--log-level", "loud"}, 2, "auburnstepd: --log-level is \"loud\"; allowed is debug, info, warning or error\n"},
		{"certificate without a key", []string{"--tls-cert", "x"}, 2, "auburnstepd: --tls-cert is \"x\"; allowed is set together with --tls-key and --tls-ca\n"},
		{"client certificate without a key", []string{"--endpoint-tls-cert", "x"}, 2, "auburnstepd: --endpoint-tls-cert is \"x\"; allowed is set together with --endpoint-tls-key and --endpoint-tls-ca\n"},
		{"missing certificate authority file", []string{"--endpoint-tls-ca", "/x/y"}, 2, "auburnstepd: --endpoint-tls-ca is \"/x/y\"; allowed is a file that can be read\n"},
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
