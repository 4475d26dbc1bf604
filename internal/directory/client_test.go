package directory

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/hlc"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
	"auburnstep.example/auburnstep/internal/rpc/transport"
)

// TestInitialPollInterval guards against an entry that waits a full PollInterval for
// members that start at the same time, and refuses every request until then.
func TestInitialPollInterval(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	clock := hlc.New(nil)
	pool := transport.NewPool(transport.Options{
		Sender: "entry:1", Clock: clock,
		Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no process listens") },
	})
	defer pool.Close()
	client := NewClient(ClientOptions{
		Pool: pool, Members: func() []string { return []string{"member:1"} }, Self: func() *directoryv1.Entry { return &directoryv1.Entry{Instance: "entry"} },
		Loads: func() map[string]dispatch.Load { return nil }, Busy: func() bool { return false },
		Events: event.NewRecorder("entry", clock, nil, 0), Scope: scope,
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*PollInterval)
	defer cancel()
	qt.Assert(t, client.Start(ctx), qt.IsNil)
	polls := scope.Snapshot().Counters()["directory_polls_sent+"].Value()
	// At PollInterval there would be at most three polls in this time. Initial polls
	// are four times as frequent.
	qt.Check(t, polls >= 5, qt.IsTrue, qt.Commentf("%d polls in %s", polls, 2*PollInterval))
	qt.Check(t, polls <= int64(2*PollInterval/initialPollInterval*3/2), qt.IsTrue, qt.Commentf("%d polls", polls))
}

// TestLoadPollInterval guards against stale loads while engines are expected to miss
// objectives, and against the cost of frequent polls at all other times.
func TestLoadPollInterval(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries int
		busy    bool
		want    time.Duration
	}{
		{"few entries", 8, false, minLoadPollInterval}, {"many entries", 72, false, 72 * loadPollIntervalPerEntry},
		{"many busy entries", 72, true, 72 * busyLoadPollIntervalPerEntry}, {"more entries than a member can serve at the busy interval", 390, true, PollInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := NewClient(ClientOptions{Busy: func() bool { return c.busy }})
			client.snapshot.Store(&Snapshot{Entries: c.entries})
			qt.Assert(t, client.loadPollInterval(), qt.Equals, c.want)
		})
	}
}

// TestDeparturesSurviveMemberRestart guards against an endpoint that is used again after
// it left or began to drain, because the member that knew it has restarted and another
// member still holds an earlier announcement.
func TestDeparturesSurviveMemberRestart(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	client := NewClient(ClientOptions{})
	first, second := &poller{address: "m0", lastResponse: now}, &poller{address: "m1", lastResponse: now}
	client.pollers["m0"], client.pollers["m1"] = first, second
	endpoint := func(id string, sequence uint64) *directoryv1.Endpoint {
		return &directoryv1.Endpoint{Id: id, Incarnation: 5, Sequence: sequence, Address: id}
	}
	draining := endpoint("draining", 3)
	draining.Draining = true
	merged := func() map[string]*directoryv1.Endpoint {
		client.mu.Lock()
		defer client.mu.Unlock()
		client.mergeViews(now)
		return client.Snapshot().Endpoints
	}
	stale := []*directoryv1.Endpoint{endpoint("left", 1), endpoint("draining", 2), endpoint("stays", 1)}
	first.view.apply(&directoryv1.SyncResponse{Epoch: 1, Endpoints: []*directoryv1.Endpoint{{Id: "left", Incarnation: 5, Gone: true}, draining, {Id: "unseen", Gone: true}}})
	second.view.apply(&directoryv1.SyncResponse{Epoch: 2, Endpoints: stale})
	check := func(when string) {
		t.Helper()
		got := merged()
		qt.Check(t, got["left"], qt.IsNil, qt.Commentf(when))
		qt.Check(t, got["draining"].GetDraining(), qt.IsTrue, qt.Commentf(when))
		qt.Check(t, got["stays"].GetDraining(), qt.IsFalse, qt.Commentf(when))
	}
	check("before the restart")
	first.view.apply(&directoryv1.SyncResponse{Epoch: 3, Endpoints: []*directoryv1.Endpoint{endpoint("stays", 2)}})
	check("after the restart of the member that knew")
	// Its delayed announcement reaches the restarted member.
	first.view.apply(&directoryv1.SyncResponse{Epoch: 3, Endpoints: []*directoryv1.Endpoint{endpoint("left", 2)}})
	check("after a delayed announcement")
	// An endpoint that left at a member which did not know it starts again under its id.
	first.view.apply(&directoryv1.SyncResponse{Epoch: 3, Endpoints: []*directoryv1.Endpoint{{Id: "stays", Gone: true}}})
	qt.Check(t, merged()["stays"], qt.IsNil)
	again := endpoint("stays", 1)
	again.Incarnation = 7
	second.view.apply(&directoryv1.SyncResponse{Epoch: 2, Endpoints: []*directoryv1.Endpoint{again}})
	merged() // The first member has not heard of the new incarnation yet.
	first.view.apply(&directoryv1.SyncResponse{Epoch: 3, Endpoints: []*directoryv1.Endpoint{again}})
	qt.Check(t, merged()["stays"].GetIncarnation(), qt.Equals, int64(7))
	// A new incarnation of the endpoint is used.
	next := endpoint("left", 1)
	next.Incarnation = 6
	second.view.apply(&directoryv1.SyncResponse{Epoch: 2, Endpoints: []*directoryv1.Endpoint{next}})
	qt.Check(t, merged()["left"].GetIncarnation(), qt.Equals, int64(6))
	now = now.Add(recordRetention + time.Second)
	first.lastResponse, second.lastResponse = now, now
	first.view.apply(&directoryv1.SyncResponse{Epoch: 4})
	second.view.apply(&directoryv1.SyncResponse{Epoch: 5})
	merged()
	qt.Check(t, client.departures, qt.HasLen, 0, qt.Commentf("departures are kept for ever"))
}
