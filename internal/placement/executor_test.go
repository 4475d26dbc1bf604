package placement

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/fakeengine"
	"auburnstep.example/auburnstep/internal/hlc"
	"auburnstep.example/auburnstep/internal/upstream"
)

// fleet is a Fleet of fake engines with configured demand.
type fleet struct {
	service       Service
	engines       []*fakeengine.Server
	inFlight      map[string]int // requests in flight at each engine, by model
	epoch         uint64
	partial       string // a service whose state is reported as partial
	hideLoads     bool   // whether the engines omit loads from their announcements
	withholdCalls atomic.Int64
}

func (f *fleet) Poll(context.Context) FleetState {
	s := f.service
	s.Endpoints = nil
	for _, e := range f.engines {
		a := e.Announcement()
		out := Endpoint{
			ID: a.ID, Group: "pool/0", Epoch: f.epoch, Address: a.Address, Incarnation: a.Incarnation, Domain: a.FailureDomain,
			Models: a.Models, Loading: a.Loading, Slots: a.Slots, StreamRate: 50, Live: true, Leaving: a.Leaving,
			ChecksOrders: a.ChecksOrders, RefusesOldFencing: a.RefusesOldFencing, InFlight: f.inFlight,
		}
		if f.hideLoads {
			out.Loading = nil
		}
		s.Endpoints = append(s.Endpoints, out)
	}
	state := FleetState{Services: []Service{s}}
	if f.partial != "" {
		state.Partial = map[string]bool{f.partial: true}
	}
	return state
}

func (f *fleet) Withhold(context.Context, string, string, string, time.Duration) (uint64, error) {
	f.withholdCalls.Add(1)
	return f.epoch, nil
}

// testbed is a fleet for one or more holders, with its own clock.
type testbed struct {
	*qt.C
	fleet *fleet
	store *fakeengine.LoadTracker
	now   time.Time
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
}

func newTestbed(t *testing.T, engines ...fakeengine.Config) *testbed {
	b := &testbed{C: qt.New(t), store: &fakeengine.LoadTracker{ManualFinish: true}, now: start, dial: (&net.Dialer{}).DialContext}
	b.fleet = &fleet{epoch: 1, service: Service{Name: "pool", Policy: policy, Models: []string{"m"}}}
	for i, cfg := range engines {
		cfg.ModelLoads, cfg.ID = b.store, fmt.Sprintf("e%d", i)
		s, err := fakeengine.Start(cfg)
		b.Assert(err, qt.IsNil)
		b.Cleanup(s.Close)
		b.fleet.engines = append(b.fleet.engines, s)
	}
	b.fleet.service.Policy.MinReplicas = len(engines)
	return b
}

// holder is an executor with a lease that the test controls.
type holder struct {
	*Executor
	b     *testbed
	lease Lease
	held  bool
	log   *event.Recorder
}

// holder returns a holder whose lease, with the given epoch, ends in an hour.
func (b *testbed) holder(epoch uint64, tokens ...string) *holder {
	h := &holder{b: b, lease: Lease{epoch, time.Now().Add(time.Hour)}, held: true}
	client := upstream.New(upstream.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		return b.dial(ctx, network, address)
	}})
	b.Cleanup(client.Close)
	h.log = event.NewRecorder("i", hlc.New(nil), nil, 0)
	h.Executor = NewExecutor(Options{
		Lease: func() (Lease, bool) { return h.lease, h.held }, Fleet: b.fleet, Client: client, Tokens: tokens, Events: h.log,
		Now: func() time.Time { return b.now },
	})
	return h
}

// run runs rounds until the clock of the testbed has advanced by d.
func (h *holder) run(d time.Duration) {
	for end := h.b.now.Add(d); h.b.now.Before(end); {
		h.b.now = h.b.now.Add(Interval)
		h.Round(context.Background())
	}
}

// orders returns the orders that engine i has applied.
func (b *testbed) orders(i int) []fakeengine.AppliedOrder { return b.fleet.engines[i].AppliedOrders() }

func idleEngine(models ...string) fakeengine.Config { return fakeengine.Config{Models: models} }

// pastHold is longer than the hold time.
const pastHold = 40 * time.Second

// TestOrders guards against orders without a fencing number or token, a rejected
// token that is not replaced by the next one, and a load that is ordered twice.
func TestOrders(t *testing.T) {
	b := newTestbed(t, fakeengine.Config{Models: []string{"x"}, OrderToken: "new"}, idleEngine("x"))
	h := b.holder(7, "old", "new")
	h.run(formerLoadsWait + pastHold)
	for i := range 2 {
		b.Check(b.orders(i), qt.DeepEquals, []fakeengine.AppliedOrder{{Order: endpointapi.Order{Kind: "load_model", Model: "m"}, Fencing: 7}})
	}
	b.Check(b.store.Started(), qt.Equals, 2)
	b.store.FinishLoads()
	h.run(3 * time.Minute)
	b.Check(h.tasks, qt.HasLen, 0)
	b.Check(b.store.Started(), qt.Equals, 2)
	b.Check(b.fleet.engines[0].Announcement().Models, qt.DeepEquals, []string{"x", "m"})
}

// TestTokenNotLeaked guards against sending an order token to an endpoint that
// does not check it.
func TestTokenNotLeaked(t *testing.T) {
	h := newTestbed(t).holder(1, "secret")
	for checks, want := range map[bool]string{true: "Bearer secret", false: ""} {
		orderCall := h.orderCall(&task{endpoint: Endpoint{ChecksOrders: checks}}, h.lease)
		h.b.Check(orderCall.Header.Get("Authorization"), qt.Equals, want)
	}
}

// TestOrderWithoutToken guards against repeated orders to an engine for which no
// token is configured or which rejects every token.
func TestOrderWithoutToken(t *testing.T) {
	for _, tokens := range [][]string{nil, {"wrong"}} {
		b := newTestbed(t, fakeengine.Config{Models: []string{"x"}, OrderToken: "right"})
		h := b.holder(1, tokens...)
		h.run(pastHold)
		b.Check(h.tasks, qt.HasLen, 0)
		b.Check(h.limiter.loads, qt.HasLen, 0)
		b.Check(h.planner.services["pool"].changes["e0"].failures, qt.Equals, 1)
		b.Check(b.orders(0), qt.HasLen, 0)
	}
}

// TestFormerHolder guards against a new holder that sends orders to engines which
// ignore fencing numbers while the former lease may still be valid, and against
// one that also delays orders to the other engines.
func TestFormerHolder(t *testing.T) {
	b := newTestbed(t, idleEngine("x"), fakeengine.Config{Models: []string{"x"}, Fencing: fakeengine.FencingIgnore})
	b.fleet.service.Policy.StabilizationWindow = 2 * Interval
	h := b.holder(2)
	h.run(Interval)
	h.limiter.noLoadsBefore = time.Time{} // Keep only the wait for the former lease.
	h.run(2 * Interval)
	b.Check(b.orders(0), qt.HasLen, 1)
	b.Check(b.orders(1), qt.HasLen, 0)
	h.epochStart = b.now.Add(Interval - formerLeaseWait + time.Nanosecond)
	h.run(Interval)
	b.Check(b.orders(1), qt.HasLen, 0)
	h.run(Interval)
	b.Check(b.orders(1), qt.HasLen, 1)
}

// TestPausedHolder guards against an order that is sent after the lease has ended
// because the holder was paused between its lease check and the first byte.
func TestPausedHolder(t *testing.T) {
	for _, fencing := range []string{fakeengine.FencingRefuse, fakeengine.FencingIgnore} {
		b := newTestbed(t, fakeengine.Config{Models: []string{"x"}, Fencing: fencing})
		h := b.holder(1)
		h.run(policy.StabilizationWindow - Interval)
		h.lease.Until = time.Now().Add(10 * time.Millisecond)
		dial := b.dial
		b.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			time.Sleep(time.Until(h.lease.Until)) // Pause the holder until its lease has ended.
			return conn, err
		}
		h.run(3 * Interval)
		b.Check(h.tasks, qt.HasLen, 1, qt.Commentf("the holder tried to send the order"))
		h.held = false
		h.run(pastHold)
		b.Check(b.orders(0), qt.HasLen, 0)
		b.Check(b.store.Started(), qt.Equals, 0)
		b.Check(h.limiter.loads[loadKey{"pool", "e0", "m"}].sent, qt.IsFalse)
	}
}

// TestSuperseded guards against a holder that continues to send orders after an
// engine has reported a higher fencing number.
func TestSuperseded(t *testing.T) {
	b := newTestbed(t, idleEngine("x"), fakeengine.Config{Models: []string{"x"}, Fencing: fakeengine.FencingIgnore})
	b.fleet.service.Policy.MaxConcurrentLoads = 1
	first, second := b.holder(1), b.holder(2)
	second.run(formerLoadsWait + pastHold)
	b.Check(b.store.Started(), qt.Equals, 1)
	b.Check(b.orders(0), qt.HasLen, 1)
	b.fleet.hideLoads = true
	first.run(pastHold)
	b.Check(first.superseded, qt.IsTrue)
	b.fleet.engines = b.fleet.engines[1:]
	first.run(pastHold)
	b.Check(b.store.Started(), qt.Equals, 1)
	b.Check(b.orders(0), qt.HasLen, 0)
}

// responseLostConn loses the response to a request that the engine has received.
type responseLostConn struct{ net.Conn }

func (c responseLostConn) Read(p []byte) (int, error) {
	if _, err := c.Conn.Read(p); err != nil {
		return 0, err
	}
	return 0, errors.New("connection lost")
}

// requestLostConn accepts a request but never delivers it.
type requestLostConn struct {
	net.Conn
	written chan struct{}
}

func (c requestLostConn) Write(p []byte) (int, error) {
	select {
	case c.written <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (c requestLostConn) Read([]byte) (int, error) {
	<-c.written
	return 0, errors.New("connection lost")
}

// TestLostResponse guards against a lost response that leads to a second load, a
// load at another engine, a load that is counted twice against the limits, or a
// failure that is recorded for the engine.
func TestLostResponse(t *testing.T) {
	for _, test := range []struct {
		name   string
		wrap   func(net.Conn) net.Conn
		hide   bool
		orders int
	}{
		{"announced", func(c net.Conn) net.Conn { return responseLostConn{c} }, false, 1},
		{"engine does not announce loads", func(c net.Conn) net.Conn { return responseLostConn{c} }, true, 2},
		{"request lost", func(c net.Conn) net.Conn { return requestLostConn{c, make(chan struct{}, 1)} }, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t, idleEngine("x"), idleEngine("x"))
			b.fleet.service.Policy.MinReplicas, b.fleet.hideLoads = 1, test.hide
			h := b.holder(1)
			dial, dials := b.dial, 0
			b.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				if dials++; dials == 1 && err == nil {
					return test.wrap(conn), nil
				}
				return conn, err
			}
			h.run(pastHold)
			b.Check(b.store.Started(), qt.Equals, 1)
			b.Check(b.orders(1), qt.HasLen, 0)
			got := b.orders(0)
			b.Assert(got, qt.HasLen, test.orders)
			b.Check(got[len(got)-1], qt.DeepEquals, got[0])
			b.Check(h.limiter.recentStarts(b.now), qt.Equals, 1)
			b.store.FinishLoads()
			h.run(2 * Interval)
			b.Check(h.tasks, qt.HasLen, 0)
			b.Check(h.planner.services["pool"].changes["e0"].failures, qt.Equals, 0)
		})
	}
}

// TestFailedLoad guards against a load that still counts against the limits after
// the engine abandoned it or could not be reached, and against one that is then
// not ordered from another engine.
func TestFailedLoad(t *testing.T) {
	b := newTestbed(t, idleEngine("x"), idleEngine("x"), idleEngine("x"))
	b.fleet.service.Policy.MinReplicas, b.fleet.service.Policy.MaxConcurrentLoads = 1, 1
	b.fleet.engines[0].Close()
	h := b.holder(1)
	h.run(pastHold)
	b.Check(h.planner.services["pool"].changes["e0"].failures, qt.Equals, 1)
	b.Assert(b.orders(1), qt.HasLen, 1)
	unload := strings.NewReader(`{"kind":"unload_model","model":"m"}`)
	r, err := http.NewRequest(http.MethodPost, b.fleet.engines[1].URL()+orderPath, unload)
	b.Assert(err, qt.IsNil)
	r.Header.Set(endpointapi.HeaderFencing, "1")
	_, err = http.DefaultClient.Do(r)
	b.Assert(err, qt.IsNil)
	h.run(announceTimeout + 2*Interval)
	b.Check(h.planner.services["pool"].changes["e1"].failures, qt.Equals, 1)
	b.Check(b.orders(2), qt.HasLen, 1)
	b.Check(h.limiter.loads, qt.HasLen, 1)
	b.Check(h.limiter.recentStarts(b.now), qt.Equals, 2, qt.Commentf("the abandoned load had started; the load at the unreachable engine had not"))
}

// TestLostHolder guards against more loads than the limits allow, or a second
// load at one engine, when the holder fails while loads are running.
func TestLostHolder(t *testing.T) {
	ignoring := fakeengine.Config{Models: []string{"x"}, Fencing: fakeengine.FencingIgnore}
	b := newTestbed(t, idleEngine("x"), ignoring, idleEngine("x"), ignoring)
	b.fleet.service.Policy.MaxConcurrentLoads, b.fleet.service.Policy.MaxLoadsPerMinute = 2, 3
	first, second := b.holder(1), b.holder(2)
	first.run(pastHold)
	b.Check(b.store.Started(), qt.Equals, 2)
	first.held = false
	second.run(formerLoadsWait)
	b.Check(b.store.Started(), qt.Equals, 2, qt.Commentf("the loads of the former holder are still running"))
	second.run(2 * pastHold)
	b.Check(b.store.Started(), qt.Equals, 2)
	b.store.FinishLoads()
	second.run(2 * Interval)
	b.Check(b.store.Started(), qt.Equals, 4)
	b.store.FinishLoads()
	second.run(3 * time.Minute)
	b.Check(b.store.Started(), qt.Equals, 4)
	b.Check(b.store.MaxConcurrent(), qt.Equals, 2)
	for i := range 4 {
		b.Check(b.orders(i), qt.HasLen, 1)
	}
}

// TestFormerLoads guards against a new holder that starts loads within the minute
// for which the former holder has already used up the limit.
func TestFormerLoads(t *testing.T) {
	b := newTestbed(t, idleEngine("x"), idleEngine("x"), idleEngine("x"))
	b.fleet.service.Policy.MaxLoadsPerMinute = 2
	first, second := b.holder(1), b.holder(2)
	first.run(policy.StabilizationWindow + Interval)
	b.store.FinishLoads()
	b.Check(b.store.Started(), qt.Equals, 2)
	first.held = false
	second.run(formerLoadsWait)
	b.Check(b.store.Started(), qt.Equals, 2)
	second.run(2 * Interval)
	b.Check(b.store.Started(), qt.Equals, 3)
}

// TestPerMinute guards against exceeding the limit per minute with loads that end
// quickly, and against new orders while the state of a scheduler is missing.
func TestPerMinute(t *testing.T) {
	b := newTestbed(t, idleEngine("x"), idleEngine("x"), idleEngine("x"), idleEngine("x"), idleEngine("x"))
	b.fleet.service.Policy.MaxConcurrentLoads, b.fleet.service.Policy.MaxLoadsPerMinute = 5, 2
	h := b.holder(1)
	for _, service := range []string{"pool", "other"} {
		b.fleet.partial = service
		h.run(pastHold)
		b.Check(b.store.Started(), qt.Equals, 0)
	}
	b.fleet.partial = ""
	for i, want := range []int{2, 4, 5} {
		h.run(pastHold)
		b.store.FinishLoads()
		b.Check(b.store.Started(), qt.Equals, want, qt.Commentf("minute %d", i))
		h.run(rateWindow - pastHold + Interval)
	}
}

// TestExchange guards against an unload that aborts requests in flight. It also
// guards against an unload that relies on request counts from before a change of
// scheduler or on counts that are currently not reported.
// TestExchangeCancelledByDemand covers a model that is needed again.
func TestExchange(t *testing.T) {
	b := newTestbed(t, idleEngine("x", "y"))
	b.fleet.inFlight = map[string]int{"x": 1, "y": 3}
	h := b.holder(1)
	h.run(2 * pastHold)
	b.Check(b.orders(0), qt.HasLen, 0)
	b.Check(b.fleet.withholdCalls.Load() > 10, qt.IsTrue)
	b.fleet.inFlight = map[string]int{"": 1}
	h.run(Interval)
	b.Check(b.orders(0), qt.HasLen, 0, qt.Commentf("a request of unknown model may be for the model to unload"))
	b.fleet.inFlight, b.fleet.epoch = nil, 2
	h.run(Interval)
	b.Check(b.orders(0), qt.HasLen, 0, qt.Commentf("the new scheduler does not withhold requests yet"))
	lease := h.lease
	h.lease.Until = time.Now() // The order is due but cannot be sent.
	h.run(3 * Interval)
	b.Check(h.tasks["e0"].phase, qt.Equals, unloading)
	h.lease, b.fleet.partial = lease, "pool"
	h.run(3 * Interval)
	b.Check(b.orders(0), qt.HasLen, 0, qt.Commentf("the state with the request counts is partial"))
	b.fleet.partial = ""
	h.run(3 * Interval)
	b.Check(b.orders(0), qt.DeepEquals, []fakeengine.AppliedOrder{
		{Order: endpointapi.Order{Kind: "unload_model", Model: "x"}, Fencing: 1},
		{Order: endpointapi.Order{Kind: "load_model", Model: "m"}, Fencing: 1},
	})
	b.store.FinishLoads()
	h.run(3 * time.Minute)
	b.Check(b.fleet.engines[0].Announcement().Models, qt.DeepEquals, []string{"y", "m"})
	b.Check(b.orders(0), qt.HasLen, 2)
}

// TestExchangeCancelledByDemand guards against an unload that is carried out
// although demand for the model has returned since it was planned.
func TestExchangeCancelledByDemand(t *testing.T) {
	b := newTestbed(t, idleEngine("x", "y"))
	b.fleet.inFlight = map[string]int{"x": 1, "y": 1}
	h := b.holder(1)
	h.run(pastHold)
	b.Check(h.tasks, qt.HasLen, 1)
	b.fleet.service.Demand = []Demand{{Model: "x", InFlight: 1}, {Model: "y", InFlight: 1}}
	h.run(Interval)
	b.fleet.inFlight = nil
	h.run(pastHold)
	b.Check(h.tasks, qt.HasLen, 0)
	b.Check(h.limiter.loads, qt.HasLen, 0)
	b.Check(b.orders(0), qt.HasLen, 0)
}
