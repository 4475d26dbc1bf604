package router

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/directory"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

// hangTimeout is how long a test waits for what must not wait for anything.
const hangTimeout = 20 * time.Second

// requireReturns fails the test if f does not return.
func requireReturns(t *testing.T, what string, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() { defer close(done); f() }()
	select {
	case <-done:
	case <-time.After(hangTimeout):
		t.Fatalf("%s does not return", what)
	}
}

// TestRetryMeetsDirectoryUpdate guards against an entry that hangs for good: a retry, which
// holds the lock of its service, waits for the registry, while an update of the registry, a
// report of loads or another reader waits for the service.
func TestRetryMeetsDirectoryUpdate(t *testing.T) {
	index := routing.NewIndex(&routing.Table{Version: 1, Services: []routing.Service{{Name: "s"}, {Name: "t"}}})
	snapshot := func(n int) *directory.Snapshot {
		e := &directoryv1.Endpoint{Id: "e", Incarnation: int64(n), Service: "s", Address: "10.0.0.1:80", Slots: 4}
		return &directory.Snapshot{Endpoints: map[string]*directoryv1.Endpoint{"e": e}, Entries: n}
	}
	limits, first := directory.NewLimits(nil), snapshot(1)
	for name, waits := range map[string]func(r *registry){
		"update of endpoints": func(r *registry) { r.update(index, snapshot(2), &directory.Loads{}, limits) },
		"update of loads":     func(r *registry) { r.update(index, first, &directory.Loads{At: time.Now()}, limits) },
		"report of loads":     func(r *registry) { r.loads() },
		"report of overload":  func(r *registry) { r.busy(time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRegistry("d", dispatch.RetryRules{})
			r.update(index, first, &directory.Loads{}, limits)
			s, other := r.serviceState("s"), r.serviceState("t")
			s.mu.Lock() // A retry in the service.
			other.mu.Lock()
			var waiting sync.WaitGroup
			// Several of them, as a reader that waits behind a writer is enough.
			for range 3 {
				waiting.Go(func() { waits(r) })
				waiting.Go(func() { r.update(index, snapshot(3), &directory.Loads{At: time.Now()}, limits) })
			}
			time.Sleep(100 * time.Millisecond)
			requireReturns(t, "a retry that counts the entries", func() { r.slackEntries(clock.Now()) })
			requireReturns(t, "a request for another service", func() { r.serviceState("other") })
			s.mu.Unlock()
			other.mu.Unlock()
			requireReturns(t, "the update", waiting.Wait)
		})
	}
}

// TestRetriesDuringUpdates guards against the same with real requests: endpoints fail
// requests of every kind, which are sent again, while the directory and the loads change.
func TestRetriesDuringUpdates(t *testing.T) {
	failing := newFakeEndpoint(t, "failing", func(c net.Conn, r *http.Request, _ string) bool {
		writeResponse(c, r, http.StatusInternalServerError, "failed")
		return true
	})
	sound := newFakeEndpoint(t, "sound", func(c net.Conn, r *http.Request, _ string) bool {
		writeResponse(c, r, http.StatusOK, "fine")
		return true
	})
	s, address := startRouter(t, failing, sound)
	stop := make(chan struct{})
	var updates sync.WaitGroup
	index := s.options.Routing().Index
	endpoints := s.options.Directory.Snapshot().Endpoints
	updates.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			s.registry.update(index, &directory.Snapshot{Endpoints: endpoints, Entries: 1 + n%3}, &directory.Loads{At: time.Now()}, s.options.Limits)
		}
	})
	updates.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				s.Loads()
				s.Busy()
			}
		}
	})
	requireReturns(t, "a request", func() {
		var callers sync.WaitGroup
		for i := range 8 {
			callers.Go(func() {
				for j := range 100 {
					path := []string{"/look/", "/book/", "/chat/"}[j%3]
					if _, _, err := postRequest(t, address, fmt.Sprint(path, i, "-", j), func(*http.Request) {}); err != nil {
						t.Error(err)
					}
				}
			})
		}
		callers.Wait()
	})
	close(stop)
	updates.Wait()
}

// TestServiceChangesKind guards against a budget that is unspent again because its service
// has become an engine service, or has left the table and come back.
func TestServiceChangesKind(t *testing.T) {
	plain, engine := routing.Service{Name: "s"}, routing.Service{Name: "s", Engine: &routing.Engine{KVTokens: 1000}}
	r := newRegistry("d", dispatch.RetryRules{Window: 10 * time.Second, Slack: 40})
	limits, snapshot := directory.NewLimits(nil), &directory.Snapshot{Entries: 4}
	keepInContact(r.slackShare, snapshot.Entries)
	taken, now := 0, clock.Now()
	for _, services := range [][]routing.Service{{plain}, {engine}, {plain}, {}, {engine}, {}, {plain}} {
		r.update(routing.NewIndex(&routing.Table{Version: 1, Services: services}), snapshot, &directory.Loads{}, limits)
		for r.serviceState("s").budget.Take(now, r.slackEntries(now)) {
			taken++
		}
	}
	qt.Assert(t, taken, qt.Equals, 7, qt.Commentf("0.7 of a part of 10"))
}

// TestContactCountsFromApplication guards against an entry that uses slack although no member
// counts it any more, because it applied the answer to a poll long after it had sent that.
func TestContactCountsFromApplication(t *testing.T) {
	r := newRegistry("d", dispatch.RetryRules{Window: 10 * time.Second, Slack: 40})
	limits, snapshot := directory.NewLimits(nil), &directory.Snapshot{Entries: 4}
	now := clock.Now()
	const lastPoll = 4500 * time.Millisecond
	for age := time.Minute; age >= lastPoll; age -= 500 * time.Millisecond {
		r.update(nil, snapshot, &directory.Loads{At: now.Add(-age), PolledAt: now.Add(-age)}, limits)
	}
	qt.Assert(t, r.slackEntries(now), qt.Equals, 4)
	qt.Assert(t, r.slackEntries(now.Add(dispatch.MaxContactAge-lastPoll+time.Millisecond)), qt.Equals, 0)
}
