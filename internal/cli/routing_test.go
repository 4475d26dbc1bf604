package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
)

// routingControl is a control service that stores one routing table. If loseResponses is
// set, PutRouting stores the table and returns a deadline error.
type routingControl struct {
	controlv1connect.UnimplementedControlHandler
	table         *controlv1.RoutingTable
	loseResponses bool
}

func (c *routingControl) PutRouting(_ context.Context, r *connect.Request[controlv1.PutRoutingRequest]) (*connect.Response[controlv1.PutRoutingResponse], error) {
	if r.Msg.GetTable().GetVersion() > c.table.GetVersion() {
		c.table = r.Msg.GetTable()
	}
	if c.loseResponses {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, context.DeadlineExceeded)
	}
	return connect.NewResponse(&controlv1.PutRoutingResponse{Version: c.table.GetVersion()}), nil
}

func (c *routingControl) Routing(context.Context, *connect.Request[controlv1.RoutingRequest]) (*connect.Response[controlv1.RoutingResponse], error) {
	return connect.NewResponse(&controlv1.RoutingResponse{Table: c.table}), nil
}

// TestRoutingCommands guards against exit codes and output of the routing commands that
// do not show an operator whether a table is in force.
func TestRoutingCommands(t *testing.T) {
	control := &routingControl{}
	mux := http.NewServeMux()
	mux.Handle(controlv1connect.NewControlHandler(control))
	server := httptest.NewServer(mux)
	defer server.Close()
	table := &routing.Table{
		Version: 4, Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, TimeoutMs: 5, Targets: []routing.Target{{Service: "s", Weight: 1}}}},
	}
	writeTable := func(table *routing.Table) string {
		b, err := json.Marshal(table)
		qt.Assert(t, err, qt.IsNil)
		path := filepath.Join(t.TempDir(), "table.json")
		qt.Assert(t, os.WriteFile(path, b, 0o600), qt.IsNil)
		return path
	}
	runCLI := func(args ...string) (int, string) {
		var out, errs bytes.Buffer
		env := SystemEnv()
		env.Stdout, env.Stderr = &out, &errs
		code := Run(append([]string{"--server", strings.TrimPrefix(server.URL, "http://"), "--timeout", "500ms"}, args...), env)
		return code, out.String() + errs.String()
	}
	check := func(code int, text string, args ...string) {
		t.Helper()
		got, out := runCLI(args...)
		qt.Check(t, got, qt.Equals, code, qt.Commentf(out))
		qt.Check(t, out, qt.Contains, text)
	}
	check(CodeNotFound, "no routing table", "routing", "get")
	check(CodeUsage, "no such file", "routing", "put", "-f", "none.json")
	check(CodeOK, "version 4 is in force", "routing", "put", "-f", writeTable(table))
	check(CodeOK, "version 4 is in force", "routing", "put", "-f", writeTable(table))
	check(CodeOK, "s:1", "routing", "get")
	older, invalid, newer := *table, *table, *table
	older.Version, invalid.Services, newer.Version = 3, nil, 9
	check(CodeConflict, "version 4 is in force", "routing", "put", "-f", writeTable(&older))
	check(CodeInvalid, "is not listed", "routing", "put", "-f", writeTable(&invalid))
	control.loseResponses = true
	start := time.Now()
	check(CodeOutcomeUnknown, "repeat the command", "routing", "put", "-f", writeTable(&newer))
	qt.Check(t, time.Since(start) < 5*time.Second, qt.IsTrue)
	control.loseResponses = false
	code, out := runCLI("routing", "get", "-o", "json")
	qt.Assert(t, code, qt.Equals, CodeOK)
	var stored routing.Table
	qt.Assert(t, json.Unmarshal([]byte(out), &stored), qt.IsNil)
	qt.Assert(t, stored.Version, qt.Equals, uint64(9))
}
