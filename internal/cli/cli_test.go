package cli

import (
	"bytes"
	"context"
	"encoding/pem"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"
)

var update = flag.Bool("update", false, "rewrite docs/auburnctl.md and the expected output of the scripts")

// scriptState is what one script keeps between its commands.
type scriptState struct {
	fleet *fleet
	code  int
	mu    sync.Mutex
	now   time.Time
	ids   int
}

// env has a clock that moves only while a command sleeps, and counted ids.
func (s *scriptState) env(ts *testscript.TestScript) Env {
	return Env{Stdout: ts.Stdout(), Stderr: ts.Stderr(), Actor: "ada@nord",
		Now: func() time.Time { s.mu.Lock(); defer s.mu.Unlock(); return s.now },
		Sleep: func(_ context.Context, d time.Duration) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.now = s.now.Add(d)
		},
		NewID: func() string { s.ids++; return fmt.Sprintf("change-%d", s.ids) }}
}

type stateKey struct{}

func state(ts *testscript.TestScript) *scriptState { return ts.Value(stateKey{}).(*scriptState) }

// ctl runs a command line in this process.
func ctl(ts *testscript.TestScript, neg bool, args []string) {
	s := state(ts)
	args = append([]string{"--token", operatorToken}, args...)
	if !slices.Contains(args, "--server") {
		args = append([]string{"--server", s.fleet.addresses["nord-b-1"]}, args...)
	}
	for i, a := range args {
		if a == "-f" {
			args[i+1] = ts.MkAbs(args[i+1])
		}
	}
	s.code = Run(args, s.env(ts))
	if neg == (s.code == 0) {
		ts.Fatalf("exit code %d", s.code)
	}
}

func code(ts *testscript.TestScript, _ bool, args []string) {
	if got := strconv.Itoa(state(ts).code); got != args[0] {
		ts.Fatalf("exit code %s, want %s", got, args[0])
	}
}

func fault(ts *testscript.TestScript, _ bool, args []string) {
	f := state(ts).fleet
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch args[0] {
	case "lose":
		f.lose = n
	case "bar":
		f.bar = n
	case "refuse":
		f.refuse = n
	case "intrude":
		f.intrude = n > 0
	case "lag":
		f.lag = n
	case "vanish":
		f.vanish = n > 0
	default:
		ts.Fatalf("unknown fault %s", args[0])
	}
}

// calls checks how often Change has reached the leader.
func calls(ts *testscript.TestScript, _ bool, args []string) {
	f := state(ts).fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if got := strconv.Itoa(f.calls); got != args[0] {
		ts.Fatalf("%s calls of Change, want %s", got, args[0])
	}
}

// Guards whole sessions of an operator against the services.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup: func(e *testscript.Env) error {
			s := &scriptState{fleet: newFleet(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
			e.Defer(s.fleet.close)
			e.Values[stateKey{}] = s
			for name, address := range s.fleet.addresses {
				e.Setenv("ADDR_"+name[5:6], address)
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"auburnctl": ctl, "code": code, "fault": fault, "calls": calls},
	})
}

// Guards against a page that does not name a command, a flag or an exit code.
func TestCommandPage(t *testing.T) {
	const page = "../../docs/auburnctl.md"
	t.Setenv("COLUMNS", "80") // the parser wraps help at the width of the terminal
	text, err := Markdown()
	qt.Assert(t, err, qt.IsNil)
	if *update {
		qt.Assert(t, os.WriteFile(page, []byte(text), 0o644), qt.IsNil)
	}
	data, err := os.ReadFile(page)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Equals, text)
}

// Guards the settings that a command takes from the environment, and that it
// verifies the certificate of a server.
func TestTLSFromEnvironment(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	t.Cleanup(f.close)
	server := httptest.NewUnstartedServer(f.handler("nord-a-1"))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	t.Cleanup(server.Close)
	ca := filepath.Join(t.TempDir(), "ca.pem")
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	c.Assert(os.WriteFile(ca, block, 0o644), qt.IsNil)
	t.Setenv("AUBURNSTEP_SERVER", server.URL)
	t.Setenv("AUBURNSTEP_TOKEN", operatorToken)
	var out, errs bytes.Buffer
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	env := Env{Stdout: &out, Stderr: &errs, Now: func() time.Time { return start },
		Sleep: func(_ context.Context, d time.Duration) { start = start.Add(d) }}
	c.Assert(Run([]string{"member", "list"}, env), qt.Equals, CodeUnreachable)
	c.Assert(errs.String(), qt.Contains, "certificate signed by unknown authority")
	t.Setenv("AUBURNSTEP_TLS_CA", ca)
	c.Assert(Run([]string{"member", "list"}, env), qt.Equals, CodeOK)
	c.Assert(out.String(), qt.Contains, "nord-a-1")
}
