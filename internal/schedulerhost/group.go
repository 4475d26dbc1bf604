package schedulerhost

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/limit"
	"auburnstep.example/auburnstep/internal/ring"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/scheduler"
	"auburnstep.example/auburnstep/internal/settings"
)

const (
	// commandCapacity bounds the calls that wait for a group's goroutine. A
	// full ring rejects; entries repeat their calls after a pause.
	commandCapacity = 8192
	// tickInterval is how often the core applies its timeouts.
	tickInterval = 25 * time.Millisecond
)

// group is one scheduler core with its goroutine, which runs the commands of
// the ring. The fields from core on belong to that goroutine, but for shared,
// which does not change, and the metrics.
type group struct {
	host    *Host
	name    string
	service string
	epoch   uint64
	ring    *ring.Ring[func(now time.Time)]
	report  atomic.Pointer[controlv1.GroupReport]

	core *scheduler.Core
	// shared says that the limits of customers are divided among the groups of
	// the service. The budget is set in the group that owns them.
	shared   bool
	budget   *limit.Budget
	index    *settings.Index
	waiters  map[string]*waiter
	known    map[string]bool // endpoints at the last report
	reported time.Time

	granted, refused, rejected tally.Counter
	waiting, inFlight, queued  tally.Gauge
}

// waiter is one Acquire call that is being held.
type waiter struct {
	entry string
	reply chan scheduler.Decision
}

func newGroup(h *Host, l Lease, restarted bool) (*group, bool) {
	service, _, _ := strings.Cut(l.Group, "/")
	index := h.source.Index()
	policy, ok := index.Service(service)
	if !ok {
		return nil, false
	}
	kind := scheduler.Plain
	if policy.Engine {
		kind = scheduler.Engine
	}
	scope := h.scope.Tagged(map[string]string{"group": l.Group})
	g := &group{
		host: h, name: l.Group, service: service, epoch: l.Epoch, index: index,
		ring:    ring.New[func(time.Time)]("group "+l.Group, commandCapacity, ring.Reject),
		waiters: make(map[string]*waiter),
		granted: scope.Counter("granted"), refused: scope.Counter("refused"), rejected: scope.Counter("calls_rejected"),
		waiting: scope.Gauge("waiting"), inFlight: scope.Gauge("in_flight"), queued: scope.Gauge("calls_queued"),
	}
	now := time.Now()
	g.shared = sharesLimits(index, service)
	// A group whose number of siblings changed starts again under its epoch.
	// Entries then hold grants of the earlier core, as after a take-over.
	successor := l.Epoch > 1 || restarted
	if g.shared && l.Group == ownerOf(service) {
		g.budget = limit.NewBudget(now, shareLease, successor)
	}
	g.core = scheduler.New(now, scheduler.Config{
		Group: l.Group, Kind: kind, Epoch: l.Epoch, Successor: successor, Entries: h.source.Entries(), SharedLimits: g.shared,
	}, groupPolicy(index, service))
	return g, true
}

// groupPolicy collects the settings that the core needs for one service.
func groupPolicy(index *settings.Index, service string) scheduler.Policy {
	p := scheduler.Policy{Classes: make(map[string]scheduler.ClassPolicy)}
	s, ok := index.Service(service)
	if !ok {
		return p
	}
	p.RetryBudget = s.RetryBudget
	for _, class := range s.Classes {
		c, ok := index.ClassPolicy(service, class, "")
		if !ok {
			continue
		}
		p.Classes[class] = scheduler.ClassPolicy{
			StarvationBound: c.StarvationBound, QueueWait: c.QueueWait, QueueMax: c.QueueMax, ShareMin: c.ShareMin,
		}
	}
	p.Customer = func(name string) limit.Policy {
		c, ok := index.CustomerPolicy(name)
		if !ok {
			return limit.Policy{}
		}
		return limit.Policy{Concurrency: c.Concurrency, TokensPerSecond: float64(c.TokensPerSecond), Weight: float64(c.Weight)}
	}
	return p
}

func (g *group) leaseHeld() bool {
	l, ok := g.host.source.Lease(g.name)
	return ok && l.Epoch == g.epoch && time.Now().Before(l.Until)
}

// run executes commands one after the other.
func (g *group) run(ctx context.Context) {
	for {
		command, err := g.ring.Pop(ctx)
		if err != nil {
			return
		}
		command(time.Now())
	}
}

// tick is the duty that drives the core's timeouts.
func (g *group) tick(ctx context.Context) {
	for kernel.Sleep(ctx, tickInterval) == nil {
		if err := g.ring.Push(ctx, g.onTick); err == ring.ErrClosed {
			return
		}
	}
}

func (g *group) close() { g.ring.Close() }

// do runs f in the group's goroutine and waits for it.
func (g *group) do(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	err := g.ring.Push(ctx, func(now time.Time) { f(now); close(done) })
	if err != nil {
		g.rejected.Inc(1)
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *group) onTick(now time.Time) {
	if index := g.host.source.Index(); index != g.index {
		g.index = index
		g.core.Configure(now, groupPolicy(index, g.service))
	}
	g.deliver(g.core.Tick(now))
	if g.budget != nil {
		g.budget.Expire(now)
	}
	if now.Sub(g.reported) >= reportInterval {
		g.reported = now
		g.publish(now)
	}
}

// deliver hands decisions to the calls that wait for them. A decision without
// a waiting call is not lost: the entry repeats its call and the core answers
// with the same grant. Outside the lease nothing is delivered.
func (g *group) deliver(decisions []scheduler.Decision) {
	if len(decisions) == 0 || !g.leaseHeld() {
		return
	}
	for _, d := range decisions {
		switch d := d.(type) {
		case scheduler.Granted:
			g.granted.Inc(1)
			g.host.events.Emit(eventGranted, event.Request(d.RequestID), event.F("grant", d.GrantID),
				event.F("endpoint", d.Endpoint), event.F("entry", d.Entry), event.F("reserved", d.Reserved))
			g.answer(d.RequestID, d)
		case scheduler.Refused:
			g.refused.Inc(1)
			g.host.events.Emit(eventRefused, event.Request(d.RequestID), event.F("code", d.Err.Code), event.F("entry", d.Entry))
			g.answer(d.RequestID, d)
		case scheduler.Resync:
			g.host.events.Emit(eventResync, event.F("endpoint", d.Endpoint), event.F("after", d.After))
		}
	}
}

func (g *group) answer(request string, d scheduler.Decision) {
	w, ok := g.waiters[request]
	if !ok {
		return
	}
	delete(g.waiters, request)
	w.reply <- d
}

// publish refreshes the load that the control leader and the metrics see.
func (g *group) publish(now time.Time) {
	s := g.core.Status(now)
	r := &controlv1.GroupReport{Group: g.name, Epoch: g.epoch, Waiting: uint32(s.Waiting)}
	models := make(map[string]bool)
	for _, e := range s.Endpoints {
		r.Endpoints++
		r.Slots += uint32(e.Endpoint.Slots)
		r.InFlight += uint32(e.InFlight)
		for _, m := range e.Endpoint.Models {
			if !models[m] {
				models[m] = true
				r.Models = append(r.Models, m)
			}
		}
	}
	g.noteEndpoints(s.Endpoints)
	g.report.Store(r)
	g.waiting.Update(float64(r.Waiting))
	g.inFlight.Update(float64(r.InFlight))
	g.queued.Update(float64(g.ring.Stats().Length))
}

// noteEndpoints records which endpoints came and went since the last report.
func (g *group) noteEndpoints(endpoints []scheduler.EndpointStatus) {
	now := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		now[e.Endpoint.ID] = true
		if !g.known[e.Endpoint.ID] {
			g.host.events.Emit(eventJoined, event.F("group", g.name), event.F("endpoint", e.Endpoint.ID),
				event.F("address", e.Endpoint.Address), event.F("failure_domain", e.Endpoint.FailureDomain))
		}
	}
	for id := range g.known {
		if !now[id] {
			g.host.events.Emit(eventLeft, event.F("group", g.name), event.F("endpoint", id))
		}
	}
	g.known = now
}
