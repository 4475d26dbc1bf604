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

// fleet is a Fleet of stand-in engines with a set demand.
type fleet struct {
	service   Service
	engines   []*fakeengine.Server
	inFlight  map[string]int // of every engine, by model
	epoch     uint64
	partial   string // a service that is not seen whole
	hideLoads bool   // the engines do not announce loads
	withheld  atomic.Int64
}

func (f *fleet) Poll(context.Context) FleetState {
	s := f.service
	s.Endpoints = nil
	for _, e := range f.engines {
		a := e.Announcement()
		out := Endpoint{
			ID: a.ID, Group: "pool/0", Epoch: f.epoch, Address: a.Address, Incarnation: a.Incarnation, Domain: a.FailureDomain,
			Models: a.Models, Loading: a.Loading, Slots: a.Slots, Pace: 50, Live: true, Leaving: a.Leaving,
			ChecksOrders: a.ChecksOrders, RefusesOldFencing: a.RefusesOldFencing, InFlight: f.inFlight,
		}
		if f.hideLoads {
			out.Loading = nil
		}
		s.Endpoints = append(s.Endpoints, out)
	}
	p := FleetState{Services: []Service{s}}
	if f.partial != "" {
		p.Partial = map[string]bool{f.partial: true}
	}
	return p
}

func (f *fleet) Withhold(context.Context, string, string, string, time.Duration) (uint64, error) {
	f.withheld.Add(1)
	return f.epoch, nil
}

// bench is a fleet with one holder or several, on a clock of its own.
type bench struct {
	*qt.C
	fleet *fleet
	store *fakeengine.WeightStore
	now   time.Time
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
}

func newBench(t *testing.T, engines ...fakeengine.Config) *bench {
	b := &bench{C: qt.New(t), store: &fakeengine.WeightStore{Manual: true}, now: start, dial: (&net.Dialer{}).DialContext}
	b.fleet = &fleet{epoch: 1, service: Service{Name: "pool", Policy: policy, Models: []string{"m"}}}
	for i, cfg := range engines {
		cfg.Weights, cfg.ID = b.store, fmt.Sprintf("e%d", i)
		s, err := fakeengine.Start(cfg)
		b.Assert(err, qt.IsNil)
		b.Cleanup(s.Close)
		b.fleet.engines = append(b.fleet.engines, s)
	}
	b.fleet.service.Policy.Floor = len(engines)
	return b
}

// holder is an executor with its lease.
type holder struct {
	*Executor
	b     *bench
	lease Lease
	held  bool
	log   *event.Recorder
}

func (b *bench) holder(epoch uint64, tokens ...string) *holder {
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

// run runs rounds until the time has passed on the clock of the bench.
func (h *holder) run(d time.Duration) {
	for end := h.b.now.Add(d); h.b.now.Before(end); {
		h.b.now = h.b.now.Add(Interval)
		h.Round(context.Background())
	}
}

func (b *bench) orders(i int) []fakeengine.AppliedOrder { return b.fleet.engines[i].Orders() }

func idle(models ...string) fakeengine.Config { return fakeengine.Config{Models: models} }

const long = 40 * time.Second // longer than the hold time

// TestOrders guards against orders without fencing number or token, a token
// that is not replaced by the next one, and a load that is ordered twice.
func TestOrders(t *testing.T) {
	b := newBench(t, fakeengine.Config{Models: []string{"x"}, OrderToken: "new"}, idle("x"))
	h := b.holder(7, "old", "new")
	h.run(formerLoads + long)
	for i := range 2 {
		b.Check(b.orders(i), qt.DeepEquals, []fakeengine.AppliedOrder{{Order: endpointapi.Order{Kind: "load_model", Model: "m"}, Fencing: 7}})
	}
	b.Check(b.store.Started(), qt.Equals, 2)
	b.store.Finish()
	h.run(3 * time.Minute)
	b.Check(h.tasks, qt.HasLen, 0)
	b.Check(b.store.Started(), qt.Equals, 2)
	b.Check(b.fleet.engines[0].Announcement().Models, qt.DeepEquals, []string{"x", "m"})
}

// TestTokenIsKept guards against a token that is shown to an endpoint which does
// not check it.
func TestTokenIsKept(t *testing.T) {
	h := newBench(t).holder(1, "secret")
	for checks, want := range map[bool]string{true: "Bearer secret", false: ""} {
		call := h.call(&task{endpoint: Endpoint{ChecksOrders: checks}}, h.lease)
		h.b.Check(call.Header.Get("Authorization"), qt.Equals, want)
	}
}

// TestOrderWithoutToken guards against an engine that is ordered over and over
// although it refuses every token.
func TestOrderWithoutToken(t *testing.T) {
	for _, tokens := range [][]string{nil, {"wrong"}} {
		b := newBench(t, fakeengine.Config{Models: []string{"x"}, OrderToken: "right"})
		h := b.holder(1, tokens...)
		h.run(long)
		b.Check(h.tasks, qt.HasLen, 0)
		b.Check(h.weights.loads, qt.HasLen, 0)
		b.Check(h.planner.services["pool"].changes["e0"].strikes, qt.Equals, 1)
		b.Check(b.orders(0), qt.HasLen, 0)
	}
}

// TestFormerHolder guards against a new holder that orders engines which ignore
// the fencing number while the former lease may last, or waits with the others.
func TestFormerHolder(t *testing.T) {
	b := newBench(t, idle("x"), fakeengine.Config{Models: []string{"x"}, Fencing: fakeengine.FencingIgnore})
	b.fleet.service.Policy.Hold = 2 * Interval
	h := b.holder(2)
	h.run(Interval)
	h.weights.closed = time.Time{} // Leaves the wait for the fencing number alone.
	h.run(2 * Interval)
	b.Check(b.orders(0), qt.HasLen, 1)
	b.Check(b.orders(1), qt.HasLen, 0)
	h.taken = b.now.Add(Interval - formerLease + time.Nanosecond)
	h.run(Interval)
	b.Check(b.orders(1), qt.HasLen, 0)
	h.run(Interval)
	b.Check(b.orders(1), qt.HasLen, 1)
}

// TestPausedHolder guards against an order that leaves after the lease has
// ended, because the holder was paused between its check and the first byte.
func TestPausedHolder(t *testing.T) {
	for _, fencing := range []string{fakeengine.FencingRefuse, fakeengine.FencingIgnore} {
		b := newBench(t, fakeengine.Config{Models: []string{"x"}, Fencing: fencing})
		h := b.holder(1)
		h.run(policy.Hold - Interval)
		h.lease.Until = time.Now().Add(10 * time.Millisecond)
		dial := b.dial
		b.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			time.Sleep(time.Until(h.lease.Until)) // The pause.
			return conn, err
		}
		h.run(3 * Interval)
		b.Check(h.tasks, qt.HasLen, 1, qt.Commentf("the order was tried"))
		h.held = false
		h.run(long)
		b.Check(b.orders(0), qt.HasLen, 0)
		b.Check(b.store.Started(), qt.Equals, 0)
		b.Check(h.weights.loads[loadKey{"pool", "e0", "m"}].sent, qt.IsFalse)
	}
}

// TestSuperseded guards against a holder that goes on after an engine has
// proved that there is a later one.
func TestSuperseded(t *testing.T) {
	b := newBench(t, idle("x"), fakeengine.Config{Models: []string{"x"}, Fencing: fakeengine.FencingIgnore})
	b.fleet.service.Policy.WeightsAtOnce = 1
	first, second := b.holder(1), b.holder(2)
	second.run(formerLoads + long)
	b.Check(b.store.Started(), qt.Equals, 1)
	b.Check(b.orders(0), qt.HasLen, 1)
	b.fleet.hideLoads = true
	first.run(long)
	b.Check(first.superseded, qt.IsTrue)
	b.fleet.engines = b.fleet.engines[1:]
	first.run(long)
	b.Check(b.store.Started(), qt.Equals, 1)
	b.Check(b.orders(0), qt.HasLen, 0)
}

// cutConn loses the answer: the engine has taken the request.
type cutConn struct{ net.Conn }

func (c cutConn) Read(p []byte) (int, error) {
	if _, err := c.Conn.Read(p); err != nil {
		return 0, err
	}
	return 0, errors.New("connection lost")
}

// deafConn loses the request after it was written.
type deafConn struct {
	net.Conn
	written chan struct{}
}

func (c deafConn) Write(p []byte) (int, error) {
	select {
	case c.written <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (c deafConn) Read([]byte) (int, error) {
	<-c.written
	return 0, errors.New("connection lost")
}

// TestLostAnswer guards against a lost answer that leads to a second load, to
// another engine, to a second place in the limits or to blame for the engine.
func TestLostAnswer(t *testing.T) {
	for _, test := range []struct {
		name   string
		wrap   func(net.Conn) net.Conn
		hide   bool
		orders int
	}{
		{"announced", func(c net.Conn) net.Conn { return cutConn{c} }, false, 1},
		{"engine does not announce loads", func(c net.Conn) net.Conn { return cutConn{c} }, true, 2},
		{"request lost", func(c net.Conn) net.Conn { return deafConn{c, make(chan struct{}, 1)} }, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, idle("x"), idle("x"))
			b.fleet.service.Policy.Floor, b.fleet.hideLoads = 1, test.hide
			h := b.holder(1)
			dial, cut := b.dial, 0
			b.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				if cut++; cut == 1 && err == nil {
					return test.wrap(conn), nil
				}
				return conn, err
			}
			h.run(long)
			b.Check(b.store.Started(), qt.Equals, 1)
			b.Check(b.orders(1), qt.HasLen, 0)
			got := b.orders(0)
			b.Assert(got, qt.HasLen, test.orders)
			b.Check(got[len(got)-1], qt.DeepEquals, got[0])
			b.Check(h.weights.recent(b.now), qt.Equals, 1)
			b.store.Finish()
			h.run(2 * Interval)
			b.Check(h.tasks, qt.HasLen, 0)
			b.Check(h.planner.services["pool"].changes["e0"].strikes, qt.Equals, 0)
		})
	}
}

// TestFailedLoad guards against a load that keeps its place in the limits after
// the engine gave it up or could not be reached, and is not made elsewhere.
func TestFailedLoad(t *testing.T) {
	b := newBench(t, idle("x"), idle("x"), idle("x"))
	b.fleet.service.Policy.Floor, b.fleet.service.Policy.WeightsAtOnce = 1, 1
	b.fleet.engines[0].Close()
	h := b.holder(1)
	h.run(long)
	b.Check(h.planner.services["pool"].changes["e0"].strikes, qt.Equals, 1)
	b.Assert(b.orders(1), qt.HasLen, 1)
	unload := strings.NewReader(`{"kind":"unload_model","model":"m"}`)
	r, err := http.NewRequest(http.MethodPost, b.fleet.engines[1].URL()+orderPath, unload)
	b.Assert(err, qt.IsNil)
	r.Header.Set(endpointapi.HeaderFencing, "1")
	_, err = http.DefaultClient.Do(r)
	b.Assert(err, qt.IsNil)
	h.run(reportWithin + 2*Interval)
	b.Check(h.planner.services["pool"].changes["e1"].strikes, qt.Equals, 1)
	b.Check(b.orders(2), qt.HasLen, 1)
	b.Check(h.weights.loads, qt.HasLen, 1)
	b.Check(h.weights.recent(b.now), qt.Equals, 2, qt.Commentf("the failed load was begun, the one without connection was not"))
}

// TestLostHolder guards against more loads than the limits allow, or a second
// load at one engine, when the holder is lost while loads run.
func TestLostHolder(t *testing.T) {
	ignoring := fakeengine.Config{Models: []string{"x"}, Fencing: fakeengine.FencingIgnore}
	b := newBench(t, idle("x"), ignoring, idle("x"), ignoring)
	b.fleet.service.Policy.WeightsAtOnce, b.fleet.service.Policy.WeightsPerMinute = 2, 3
	first, second := b.holder(1), b.holder(2)
	first.run(long)
	b.Check(b.store.Started(), qt.Equals, 2)
	first.held = false
	second.run(formerLoads)
	b.Check(b.store.Started(), qt.Equals, 2, qt.Commentf("the loads of the former holder run on"))
	second.run(2 * long)
	b.Check(b.store.Started(), qt.Equals, 2)
	b.store.Finish()
	second.run(2 * Interval)
	b.Check(b.store.Started(), qt.Equals, 4)
	b.store.Finish()
	second.run(3 * time.Minute)
	b.Check(b.store.Started(), qt.Equals, 4)
	b.Check(b.store.Most(), qt.Equals, 2)
	for i := range 4 {
		b.Check(b.orders(i), qt.HasLen, 1)
	}
}

// TestFormerLoads guards against a new holder that starts loads in the minute
// in which the former one used up the limit.
func TestFormerLoads(t *testing.T) {
	b := newBench(t, idle("x"), idle("x"), idle("x"))
	b.fleet.service.Policy.WeightsPerMinute = 2
	first, second := b.holder(1), b.holder(2)
	first.run(policy.Hold + Interval)
	b.store.Finish()
	b.Check(b.store.Started(), qt.Equals, 2)
	first.held = false
	second.run(formerLoads)
	b.Check(b.store.Started(), qt.Equals, 2)
	second.run(2 * Interval)
	b.Check(b.store.Started(), qt.Equals, 3)
}

// TestPerMinute guards against loads that end quickly and so pass the limit per
// minute, and against new orders while a scheduler does not answer.
func TestPerMinute(t *testing.T) {
	b := newBench(t, idle("x"), idle("x"), idle("x"), idle("x"), idle("x"))
	b.fleet.service.Policy.WeightsAtOnce, b.fleet.service.Policy.WeightsPerMinute = 5, 2
	h := b.holder(1)
	for _, service := range []string{"pool", "other"} {
		b.fleet.partial = service
		h.run(long)
		b.Check(b.store.Started(), qt.Equals, 0)
	}
	b.fleet.partial = ""
	for i, want := range []int{2, 4, 5} {
		h.run(long)
		b.store.Finish()
		b.Check(b.store.Started(), qt.Equals, want, qt.Commentf("minute %d", i))
		h.run(minute - long + Interval)
	}
}

// TestExchange guards against an unload that cuts requests, that takes a model
// which is needed again, or that trusts counts of a scheduler which has changed.
func TestExchange(t *testing.T) {
	b := newBench(t, idle("x", "y"))
	b.fleet.inFlight = map[string]int{"x": 1, "y": 3}
	h := b.holder(1)
	h.run(2 * long)
	b.Check(b.orders(0), qt.HasLen, 0)
	b.Check(b.fleet.withheld.Load() > 10, qt.IsTrue)
	b.fleet.inFlight = map[string]int{"": 1}
	h.run(Interval)
	b.Check(b.orders(0), qt.HasLen, 0, qt.Commentf("a request of unknown model may be for this one"))
	b.fleet.inFlight, b.fleet.epoch = nil, 2
	h.run(Interval)
	b.Check(b.orders(0), qt.HasLen, 0, qt.Commentf("the new scheduler withholds nothing yet"))
	lease := h.lease
	h.lease.Until = time.Now() // The order is due and cannot be sent.
	h.run(3 * Interval)
	b.Check(h.tasks["e0"].phase, qt.Equals, unloading)
	h.lease, b.fleet.partial = lease, "pool"
	h.run(3 * Interval)
	b.Check(b.orders(0), qt.HasLen, 0, qt.Commentf("counts are not seen"))
	b.fleet.partial = ""
	h.run(3 * Interval)
	b.Check(b.orders(0), qt.DeepEquals, []fakeengine.AppliedOrder{
		{Order: endpointapi.Order{Kind: "unload_model", Model: "x"}, Fencing: 1},
		{Order: endpointapi.Order{Kind: "load_model", Model: "m"}, Fencing: 1},
	})
	b.store.Finish()
	h.run(3 * time.Minute)
	b.Check(b.fleet.engines[0].Announcement().Models, qt.DeepEquals, []string{"y", "m"})
	b.Check(b.orders(0), qt.HasLen, 2)
}

// TestExchangeCancelled guards against an unload that was decided before demand
// for the model came back.
func TestExchangeCancelled(t *testing.T) {
	b := newBench(t, idle("x", "y"))
	b.fleet.inFlight = map[string]int{"x": 1, "y": 1}
	h := b.holder(1)
	h.run(long)
	b.Check(h.tasks, qt.HasLen, 1)
	b.fleet.service.Demand = []Demand{{Model: "x", InFlight: 1}, {Model: "y", InFlight: 1}}
	h.run(Interval)
	b.fleet.inFlight = nil
	h.run(long)
	b.Check(h.tasks, qt.HasLen, 0)
	b.Check(h.weights.loads, qt.HasLen, 0)
	b.Check(b.orders(0), qt.HasLen, 0)
}
