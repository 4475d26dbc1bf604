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

// routingControl keeps one table, or loses every answer.
type routingControl struct {
	controlv1connect.UnimplementedControlHandler
	table *controlv1.RoutingTable
	lost  bool
}

func (c *routingControl) PutRouting(_ context.Context, r *connect.Request[controlv1.PutRoutingRequest]) (*connect.Response[controlv1.PutRoutingResponse], error) {
	if r.Msg.GetTable().GetVersion() > c.table.GetVersion() {
		c.table = r.Msg.GetTable()
	}
	if c.lost {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, context.DeadlineExceeded)
	}
	return connect.NewResponse(&controlv1.PutRoutingResponse{Version: c.table.GetVersion()}), nil
}

func (c *routingControl) Routing(context.Context, *connect.Request[controlv1.RoutingRequest]) (*connect.Response[controlv1.RoutingResponse], error) {
	return connect.NewResponse(&controlv1.RoutingResponse{Table: c.table}), nil
}

// Guards the exit codes of the routing commands: an operator must know whether a
// table is in force.
func TestRouting(t *testing.T) {
	control := &routingControl{}
	mux := http.NewServeMux()
	mux.Handle(controlv1connect.NewControlHandler(control))
	server := httptest.NewServer(mux)
	defer server.Close()
	table := &routing.Table{
		Version: 4, Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, TimeoutMs: 5, Targets: []routing.Target{{Service: "s", Weight: 1}}}},
	}
	file := func(table *routing.Table) string {
		b, err := json.Marshal(table)
		qt.Assert(t, err, qt.IsNil)
		path := filepath.Join(t.TempDir(), "table.json")
		qt.Assert(t, os.WriteFile(path, b, 0o600), qt.IsNil)
		return path
	}
	run := func(args ...string) (int, string) {
		var out, errs bytes.Buffer
		env := SystemEnv()
		env.Stdout, env.Stderr = &out, &errs
		code := Run(append([]string{"--server", strings.TrimPrefix(server.URL, "http://"), "--timeout", "500ms"}, args...), env)
		return code, out.String() + errs.String()
	}
	expect := func(code int, text string, args ...string) {
		t.Helper()
		got, out := run(args...)
		qt.Check(t, got, qt.Equals, code, qt.Commentf(out))
		qt.Check(t, out, qt.Contains, text)
	}
	expect(CodeNotFound, "no routing table", "routing", "get")
	expect(CodeUsage, "no such file", "routing", "put", "-f", "none.json")
	expect(CodeOK, "version 4 is in force", "routing", "put", "-f", file(table))
	expect(CodeOK, "version 4 is in force", "routing", "put", "-f", file(table))
	expect(CodeOK, "s:1", "routing", "get")
	older, invalid, newer := *table, *table, *table
	older.Version, invalid.Services, newer.Version = 3, nil, 9
	expect(CodeConflict, "version 4 is in force", "routing", "put", "-f", file(&older))
	expect(CodeInvalid, "is not listed", "routing", "put", "-f", file(&invalid))
	control.lost = true
	start := time.Now()
	expect(CodeUnknown, "repeat the command", "routing", "put", "-f", file(&newer))
	qt.Check(t, time.Since(start) < 5*time.Second, qt.IsTrue)
	control.lost = false
	code, out := run("routing", "get", "-o", "json")
	qt.Assert(t, code, qt.Equals, CodeOK)
	var back routing.Table
	qt.Assert(t, json.Unmarshal([]byte(out), &back), qt.IsNil)
	qt.Assert(t, back.Version, qt.Equals, uint64(9))
}
