package placement

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/fakeengine"
	"auburnstep.example/auburnstep/internal/rpc/schedulerv1/schedulerv1connect"
	"auburnstep.example/auburnstep/internal/testkit"
)

const declarations = `
nodes:
  - {path: /services, kind: group}
  - {path: /services/pool, kind: service, set: {kind: engine, models: [m], placement.enabled: true, placement.floor: 2}}
  - {path: /services/pool/chat, kind: class}
  - {path: /services/rota-app, kind: service, set: {kind: plain}}
`

// TestFleet guards against a fleet state that lacks announced properties of
// endpoints, and against one that counts as complete while a scheduler is new or
// unreachable.
func TestFleet(t *testing.T) {
	c := qt.New(t)
	b := testkit.Start(t, declarations)
	b.StartEndpoint(t, fakeengine.Config{
		ID: "a", Service: "pool", Models: []string{"x"}, FailureDomain: "nord-a", Slots: 3, TokensPerSecond: 20, OrderToken: "t",
	})
	f := &schedulerFleet{directory: b.View, minAge: time.Hour, dial: func(address string) schedulerv1connect.SchedulerClient {
		return schedulerv1connect.NewSchedulerClient(http.DefaultClient, address)
	}}
	state := f.Poll(context.Background())
	c.Check(state.Partial, qt.DeepEquals, map[string]bool{"pool": true}, qt.Commentf("a new scheduler may not know all endpoints yet"))
	f.minAge = 0
	state = f.Poll(context.Background())
	c.Check(state.Partial, qt.HasLen, 0)
	c.Assert(state.Services, qt.HasLen, 1)
	s := state.Services[0]
	c.Check(s.Policy.MinReplicas, qt.Equals, 2)
	c.Assert(s.Endpoints, qt.HasLen, 1)
	e := s.Endpoints[0]
	c.Check(e.Incarnation != 0 && e.Address != "", qt.IsTrue)
	e.Incarnation, e.Address = 0, ""
	c.Check(e, qt.DeepEquals, Endpoint{
		ID: "a", Group: "pool/0", Epoch: 1, Domain: "nord-a", Models: []string{"x"}, Slots: 3, StreamRate: 20, Live: true,
		ChecksOrders: true, RefusesOldFencing: true, InFlight: map[string]int{},
	})
	epoch, err := f.Withhold(context.Background(), "pool/0", "a", "x", time.Second)
	c.Check(err, qt.IsNil)
	c.Check(epoch, qt.Equals, uint64(1))
	f.dial = func(string) schedulerv1connect.SchedulerClient {
		return schedulerv1connect.NewSchedulerClient(http.DefaultClient, "http://127.0.0.1:1")
	}
	c.Check(f.Poll(context.Background()).Partial, qt.DeepEquals, map[string]bool{"pool": true})
}
