package schedulerhost

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/limit"
	"auburnstep.example/auburnstep/internal/ring"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/scheduler"
	"auburnstep.example/auburnstep/internal/settings"
)

const (
	// commandCapacity bounds the commands that wait for a group's goroutine. A full
	// ring refuses further commands, and entries repeat their calls after a pause.
	commandCapacity = 8192
	// tickInterval is the time between ticks, at which the core applies its timeouts.
	tickInterval = 25 * time.Millisecond
)

// group is one scheduler core and the goroutine that runs the commands of the ring. The
// fields from core on may be used by that goroutine only, except sharedLimits, which does
// not change, and the metrics.
type group struct {
	host         *Host
	name         string
	service      string
	epoch        uint64
	ring         *ring.Ring[func(now time.Time)]
	latestReport atomic.Pointer[controlv1.GroupReport]

	core *scheduler.Core
	// sharedLimits is set if the limits of customers are divided among the groups of
	// the service. The budget is set only in the group that owns these limits.
	sharedLimits      bool
	budget            *limit.Budget
	index             *settings.Index
	waiters           map[string]*waiter
	reportedEndpoints map[string]bool // ids of the endpoints in the last report
	lastReport        time.Time

	granted, refused, rejected tally.Counter
	waiting, inFlight, queued  tally.Gauge
}

// waiter is an Acquire call that is held until there is a decision.
type waiter struct {
	entry    string
	decision chan scheduler.Decision
}

// newGroup returns the group of a lease, or false if the settings do not have its service.
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
	now := clock.Now()
	g.sharedLimits = needsSharedLimits(index, service)
	// A group restarts under the same epoch when its service changes between one
	// group and several. Entries then hold grants of the former core, as they do when
	// another instance becomes the holder of the lease.
	successor := l.Epoch > 1 || restarted
	if g.sharedLimits && l.Group == budgetOwner(service) {
		g.budget = limit.NewBudget(now, shareLease, successor)
	}
	g.core = scheduler.New(now, scheduler.Config{
		Group: l.Group, Kind: kind, Epoch: l.Epoch, Successor: successor, Entries: h.source.Entries(), SharedLimits: g.sharedLimits,
	}, groupPolicy(index, service))
	return g, true
}

// groupPolicy returns the settings of one service that the core needs.
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
			return limit.Policy{RetryBudget: s.RetryBudget}
		}
		return limit.Policy{
			Concurrency: c.Concurrency, TokensPerSecond: float64(c.TokensPerSecond), Weight: float64(c.Weight), RetryBudget: s.RetryBudget,
		}
	}
	return p
}

func (g *group) holdsLease() bool {
	l, ok := g.host.source.Lease(g.name)
	return ok && l.Epoch == g.epoch && clock.Now().Before(l.Until)
}

// run executes the commands of the ring one at a time until the ring is closed.
func (g *group) run(ctx context.Context) {
	for {
		command, err := g.ring.Pop(ctx)
		if err != nil {
			return
		}
		command(clock.Now())
	}
}

// pushTicks queues a tick every tickInterval until ctx ends or the ring is closed.
func (g *group) pushTicks(ctx context.Context) {
	for kernel.Sleep(ctx, tickInterval) == nil {
		if err := g.ring.Push(ctx, g.onTick); err == ring.ErrClosed {
			return
		}
	}
}

func (g *group) close() { g.ring.Close() }

// runSync runs f in the group's goroutine and waits until it returns or ctx ends.
func (g *group) runSync(ctx context.Context, f func(now time.Time)) error {
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
	if now.Sub(g.lastReport) >= reportInterval {
		g.lastReport = now
		g.updateReport(now)
	}
}

// deliver passes decisions to the calls that wait for them. A decision without a waiting
// call is not lost: the entry repeats its call, and the core returns the same grant.
// Outside the lease nothing is delivered.
func (g *group) deliver(decisions []scheduler.Decision) {
	if len(decisions) == 0 || !g.holdsLease() {
		return
	}
	for _, d := range decisions {
		switch d := d.(type) {
		case scheduler.Granted:
			g.granted.Inc(1)
			g.host.events.Emit(eventGranted, event.Request(d.RequestID), event.F("grant", d.GrantID),
				event.F("endpoint", d.Endpoint), event.F("entry", d.Entry), event.F("reserved", d.Reserved))
			g.sendDecision(d.RequestID, d)
		case scheduler.Refused:
			g.refused.Inc(1)
			g.host.events.Emit(eventRefused, event.Request(d.RequestID), event.F("code", d.Err.Code), event.F("entry", d.Entry))
			g.sendDecision(d.RequestID, d)
		case scheduler.Resync:
			g.host.events.Emit(eventResync, event.F("endpoint", d.Endpoint), event.F("after", d.After))
		}
	}
}

func (g *group) sendDecision(request string, d scheduler.Decision) {
	w, ok := g.waiters[request]
	if !ok {
		return
	}
	delete(g.waiters, request)
	w.decision <- d
}

// updateReport refreshes the load in the report to the control leader and in the metrics.
func (g *group) updateReport(now time.Time) {
	status := g.core.Status(now)
	groupReport := &controlv1.GroupReport{Group: g.name, Epoch: g.epoch, Waiting: uint32(status.Waiting)}
	listed := make(map[string]bool)
	for _, e := range status.Endpoints {
		groupReport.Endpoints++
		groupReport.Slots += uint32(e.Endpoint.Slots)
		groupReport.InFlight += uint32(e.InFlight)
		for _, m := range e.Endpoint.Models {
			if !listed[m] {
				listed[m] = true
				groupReport.Models = append(groupReport.Models, m)
			}
		}
	}
	g.emitEndpointChanges(status.Endpoints)
	g.latestReport.Store(groupReport)
	g.waiting.Update(float64(groupReport.Waiting))
	g.inFlight.Update(float64(groupReport.InFlight))
	g.queued.Update(float64(g.ring.Stats().Length))
}

// emitEndpointChanges emits an event for each endpoint that joined or left since the last
// report.
func (g *group) emitEndpointChanges(endpoints []scheduler.EndpointStatus) {
	current := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		current[e.Endpoint.ID] = true
		if !g.reportedEndpoints[e.Endpoint.ID] {
			g.host.events.Emit(eventJoined, event.F("group", g.name), event.F("endpoint", e.Endpoint.ID),
				event.F("address", e.Endpoint.Address), event.F("failure_domain", e.Endpoint.FailureDomain))
		}
	}
	for id := range g.reportedEndpoints {
		if !current[id] {
			g.host.events.Emit(eventLeft, event.F("group", g.name), event.F("endpoint", id))
		}
	}
	g.reportedEndpoints = current
}
