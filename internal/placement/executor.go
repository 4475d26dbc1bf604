package placement

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/upstream"
)

const (
	// orderTimeout bounds an order from its first byte to the end of its answer.
	orderTimeout = 2 * time.Second
	// clockError bounds how much faster the clock of a former holder may have
	// run down its lease less than this one's, over the length of a lease.
	clockError = 200 * time.Millisecond
	// formerLease is how long a new holder waits before it orders engines that
	// ignore fencing numbers: until the lease of the former holder has ended
	// even if it was renewed just before the group was assigned, and its last
	// order was answered or cut off.
	formerLease = feed.GroupLease + clockError + orderTimeout
	// formerLoads is how long a new holder starts no loads, since the loads that
	// the former holder started within the last minute are not known.
	formerLoads = minute + formerLease
)

// Lease is the right to order engines until a point on the monotonic clock.
// The epoch is the fencing number.
type Lease struct {
	Epoch uint64
	Until time.Time
}

// Options set up an Executor.
type Options struct {
	// Lease returns the lease of settings.PlacementGroup at this moment.
	Lease  func() (Lease, bool)
	Fleet  Fleet
	Client *upstream.Client
	// Tokens are sent with orders to endpoints that check them: the first, or
	// the next after a refusal.
	Tokens []string
	Events *event.Recorder
	Scope  tally.Scope
	// Now replaces the clock in tests.
	Now func() time.Time
}

// Executor plans and carries out orders while this instance holds the lease.
// Its methods are called by one goroutine.
type Executor struct {
	o       Options
	metrics *executorMetrics

	epoch  uint64
	active bool
	// taken is when this process first acted under the epoch.
	taken      time.Time
	superseded bool
	partial    bool
	planner    *Planner
	weights    *weights
	tasks      map[string]*task // by endpoint
	turn       int              // service that is served first
	orders     uint64
}

// NewExecutor returns an executor that holds no lease.
func NewExecutor(o Options) *Executor {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Executor{o: o, metrics: newExecutorMetrics(o.Scope)}
}

// Round polls the schedulers, follows the orders that are being carried out,
// and sends those that are due. Outside the lease it does nothing.
func (x *Executor) Round(ctx context.Context) {
	lease, ok := x.o.Lease()
	if !ok {
		x.rest()
		return
	}
	x.take(lease)
	if x.superseded {
		return
	}
	state := x.o.Fleet.Poll(ctx)
	x.notePartial(&state)
	now := x.o.Now()
	x.observe(now, &state)
	x.follow(now, &state)
	x.begin(now, &state)
	x.withhold(ctx)
	x.send(ctx)
	x.metrics.tasks.Update(float64(len(x.tasks)))
	x.metrics.loads.Update(float64(len(x.weights.loads)))
}

// rest notes that the lease has ended. What is known is kept, since the same
// epoch may be held again; nobody held it in between.
func (x *Executor) rest() {
	if x.active {
		x.active = false
		x.metrics.holder.Update(0)
		x.o.Events.Emit(eventEnded, event.F("epoch", x.epoch))
	}
}

func (x *Executor) take(l Lease) {
	if l.Epoch != x.epoch {
		now := x.o.Now()
		x.epoch, x.taken, x.superseded = l.Epoch, now, false
		x.planner, x.tasks = NewPlanner(), make(map[string]*task)
		x.weights = newWeights(time.Time{})
		if x.successor() {
			x.weights.closed = now.Add(formerLoads)
		}
	}
	if !x.active {
		x.active = true
		x.metrics.holder.Update(1)
		x.o.Events.Emit(eventTaken, event.F("epoch", x.epoch))
	}
}

// successor reports whether another process may have held the lease before.
func (x *Executor) successor() bool { return x.epoch > 1 }

// notePartial records whether all schedulers answered.
func (x *Executor) notePartial(p *FleetState) {
	partial := len(p.Partial) > 0
	if partial {
		x.metrics.pollFail.Inc(1)
	}
	if partial == x.partial {
		return
	}
	x.partial = partial
	if partial {
		x.o.Events.Emit(eventPaused, event.F("services", slices.Sorted(maps.Keys(p.Partial))))
	} else {
		x.o.Events.Emit(eventResumed)
	}
}

// observe takes over the loads that engines announce.
func (x *Executor) observe(now time.Time, p *FleetState) {
	announced := make(map[loadKey]bool)
	for i := range p.Services {
		s := &p.Services[i]
		for j := range s.Endpoints {
			e := &s.Endpoints[j]
			for _, model := range e.Loading {
				announced[loadKey{s.Name, e.ID, model}] = true
			}
		}
	}
	whole := func(service string) bool { return !p.Partial[service] }
	x.weights.observe(now, announced, whole)
}

// follow advances the orders that are being carried out.
func (x *Executor) follow(now time.Time, p *FleetState) {
	for _, id := range slices.Sorted(maps.Keys(x.tasks)) {
		t := x.tasks[id]
		t.followed = false
		s := p.service(t.order.Service)
		if s == nil {
			x.finish(now, t, cancelled, "the service was removed")
			continue
		}
		if p.Partial[s.Name] {
			continue
		}
		t.followed = true
		how, why := x.advance(now, t, s)
		x.finish(now, t, how, why)
	}
}

// finish ends a task.
func (x *Executor) finish(now time.Time, t *task, how ending, why string) {
	if how == goesOn {
		return
	}
	delete(x.tasks, t.order.Endpoint)
	fields := []event.Field{event.F("endpoint", t.order.Endpoint), event.F("model", t.order.Load)}
	switch how {
	case done:
		x.planner.Done(now, t.order.Service, t.order.Endpoint)
		x.weights.end(now, t.key())
		x.metrics.loaded.Inc(1)
		x.o.Events.Emit(eventLoaded, fields...)
		return
	case failed:
		x.planner.Failed(now, t.order.Service, t.order.Endpoint)
		x.metrics.failed.Inc(1)
		x.o.Events.Emit(eventFailed, append(fields, event.F("unload", t.order.Unload), event.F("reason", why))...)
	case cancelled:
		x.o.Events.Emit(eventCancelled, append(fields, event.F("unload", t.order.Unload), event.F("reason", why))...)
	}
	if l := x.weights.loads[t.key()]; l != nil && l.sent {
		// The engine may still load; its announcements tell when that is over.
		x.weights.disown(t.key())
		return
	}
	x.weights.end(now, t.key())
}

func (x *Executor) pending() []Order {
	out := make([]Order, 0, len(x.tasks))
	for _, id := range slices.Sorted(maps.Keys(x.tasks)) {
		out = append(out, x.tasks[id].order)
	}
	return out
}

// begin plans and starts what the limits allow. While the state is partial
// the loads that run are not all known, and nothing is started.
func (x *Executor) begin(now time.Time, p *FleetState) {
	var l limits
	for i := range p.Services {
		if policy := p.Services[i].Policy; policy.Enabled {
			l.atOnce = least(l.atOnce, policy.WeightsAtOnce)
			l.perMinute = least(l.perMinute, policy.WeightsPerMinute)
		}
	}
	pending := x.pending()
	x.turn++
	for i := range p.Services {
		s := &p.Services[(i+x.turn)%len(p.Services)]
		if !s.Policy.Enabled || p.Partial[s.Name] {
			continue
		}
		x.metrics.replicas(newView(s, pending))
		for _, order := range x.planner.Plan(now, s, pending) {
			if !x.partial {
				x.start(now, s, order, l)
			}
		}
	}
}

func least(a, b int) int {
	if a == 0 {
		return b
	}
	return min(a, b)
}

func (x *Executor) start(now time.Time, s *Service, order Order, l limits) {
	e := s.endpoint(order.Endpoint)
	if !e.RefusesOldFencing && x.successor() && now.Sub(x.taken) < formerLease {
		return
	}
	if e.ChecksOrders && len(x.o.Tokens) == 0 {
		x.planner.Failed(now, s.Name, e.ID)
		x.o.Events.Emit(eventFailed, event.F("endpoint", e.ID), event.F("model", order.Load), event.F("reason", "the endpoint checks orders and no order token is configured"))
		return
	}
	t := &task{order: order, incarnation: e.Incarnation, endpoint: *e}
	if !x.weights.reserve(now, t.key(), l) {
		x.metrics.held.Inc(1)
		return
	}
	t.enter(loading, now)
	if order.Unload != "" {
		t.enter(draining, now)
	}
	x.tasks[e.ID] = t
}

// withhold keeps requests away from models that are about to be unloaded.
func (x *Executor) withhold(ctx context.Context) {
	var wg sync.WaitGroup
	for _, t := range x.tasks {
		if t.order.Unload == "" || !t.endpoint.has(t.order.Unload) {
			continue
		}
		wg.Go(func() {
			asked := x.o.Now()
			epoch, err := x.o.Fleet.Withhold(ctx, t.endpoint.Group, t.order.Endpoint, t.order.Unload, withholdFor)
			if err == nil {
				t.withheld, t.withheldEpoch = asked, epoch
			}
		})
	}
	wg.Wait()
}

// dueTasks returns the tasks whose order is to be sent, by endpoint.
func (x *Executor) dueTasks() []*task {
	var out []*task
	for _, t := range x.tasks {
		if t.due() && t.missing.IsZero() {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *task) int { return cmp.Compare(a.order.Endpoint, b.order.Endpoint) })
	return out
}
