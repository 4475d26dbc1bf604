package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/verdict"
)

// TestUnconfirmedTableDenies guards against an entry that is cut off and denies what the
// table in force may allow, or stops serving what its last table allows.
func TestUnconfirmedTableDenies(t *testing.T) {
	e := newFakeEndpoint(t, "e1", completeResponse(http.StatusOK, "fine"))
	s, address := startRouter(t, e)
	confirmed := s.options.CurrentTable(t.Context())
	var unconfirmed atomic.Bool
	s.options.CurrentTable = func(context.Context) Table {
		table := confirmed
		table.Confirmed = !unconfirmed.Load()
		return table
	}
	wrongKey := func(r *http.Request) { r.Header.Set("Authorization", "Bearer other") }
	for _, test := range []struct {
		path                    string
		modify                  func(*http.Request)
		confirmed, notConfirmed int
	}{
		{"/none/1", nil, http.StatusNotFound, http.StatusServiceUnavailable},
		{"/look/1", wrongKey, http.StatusUnauthorized, http.StatusServiceUnavailable},
		{"/look/1", nil, http.StatusOK, http.StatusOK},
	} {
		for _, want := range []int{test.confirmed, test.notConfirmed} {
			unconfirmed.Store(want == test.notConfirmed)
			resp, _, err := postRequest(t, address, test.path, test.modify)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, want)
			if want == http.StatusServiceUnavailable {
				qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				qt.Check(t, resp.Header.Get(verdict.Header), qt.Equals, verdict.NotRun.String())
			}
		}
	}
	qt.Check(t, e.runs.Load(), qt.Equals, int64(2))
}

// TestRequestWaitsForConfirmedTable guards against a request that is handled by the table
// which the entry had before it asked the control members.
func TestRequestWaitsForConfirmedTable(t *testing.T) {
	e := newFakeEndpoint(t, "e1", completeResponse(http.StatusOK, "fine"))
	e.service = "new"
	var current atomic.Pointer[Table]
	current.Store(&Table{Index: routing.NewIndex(table())})
	s, address := startRouterWithTables(t, func() Table { return *current.Load() }, e)
	next := table()
	next.Version++
	next.Services = append(next.Services, routing.Service{Name: "new"})
	next.Routes = append(next.Routes[1:], routing.Route{
		Name: "new", Host: "a.example", Prefix: "/new/", Kind: routing.Idempotent, Targets: []routing.Target{{Service: "new", Weight: 1}}, TimeoutMs: 2000, ObjectiveMs: 150, Attempts: 1,
	})
	nextTable := Table{Index: routing.NewIndex(next), Confirmed: true}
	asked := make(chan struct{})
	s.options.CurrentTable = func(ctx context.Context) Table {
		select {
		case <-asked:
		case <-ctx.Done():
		}
		return *current.Load()
	}
	time.AfterFunc(100*time.Millisecond, func() { current.Store(&nextTable); close(asked) })
	for path, want := range map[string]int{"/new/1": http.StatusOK, "/look/1": http.StatusNotFound} {
		resp, _, err := postRequest(t, address, path, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, want)
	}
}

// TestWaitForTableIsBounded guards against requests that wait for control members longer
// than the bound or than their callers do.
func TestWaitForTableIsBounded(t *testing.T) {
	s, address := startRouter(t, newFakeEndpoint(t, "e1", completeResponse(http.StatusOK, "fine")))
	last := s.options.CurrentTable(t.Context())
	s.options.CurrentTable = func(ctx context.Context) Table {
		<-ctx.Done()
		last.Confirmed = false
		return last
	}
	began := time.Now()
	resp, _, err := postRequest(t, address, "/look/1", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
	qt.Check(t, time.Since(began) < 2*tableWait, qt.IsTrue)

	q := &request{server: s, call: Call{MaxWait: 50 * time.Millisecond}}
	began = time.Now()
	q.findTable(context.Background())
	qt.Check(t, time.Since(began) < tableWait/2, qt.IsTrue)
}

// TestNewServiceIsServedAtOnce guards against a request that is matched by a table whose
// services the balancers do not have yet.
func TestNewServiceIsServedAtOnce(t *testing.T) {
	e := newFakeEndpoint(t, "e1", completeResponse(http.StatusOK, "fine"))
	e.service = "new"
	var current atomic.Pointer[Table]
	current.Store(&Table{Index: routing.NewIndex(table()), Confirmed: true})
	_, address := startRouterWithTables(t, func() Table { return *current.Load() }, e)
	next := table()
	next.Services = append(next.Services, routing.Service{Name: "new"})
	next.Routes[0].Targets = []routing.Target{{Service: "new", Weight: 1}}
	next.Version++
	resp, _, err := postRequest(t, address, "/look/1", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable) // No endpoint.
	current.Store(&Table{Index: routing.NewIndex(next), Confirmed: true})
	resp, body, err := postRequest(t, address, "/look/1", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
}
