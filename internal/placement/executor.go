package placement

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/upstream"
)

const (
	// orderTimeout bounds an order from its first byte to the end of the response.
	orderTimeout = 2 * time.Second
	// maxClockDrift bounds the difference between the clocks of the former holder
	// and this instance over the length of a lease: the former holder may consider
	// its lease valid for this much longer than this instance does.
	maxClockDrift = 200 * time.Millisecond
	// formerLeaseWait is how long a new holder waits before it sends orders to
	// engines that ignore fencing numbers. By then the lease of the former holder
	// has ended, even if it was renewed just before the group was reassigned, and
	// the former holder's last order has received its response or timed out.
	formerLeaseWait = feed.GroupLease + maxClockDrift + orderTimeout
	// formerLoadsWait is how long a new holder starts no loads. It does not know
	// which loads the former holder started within the last minute, and those
	// count towards the limit of loads per minute.
	formerLoadsWait = rateWindow + formerLeaseWait
)

// Lease is the right to send orders to engines until a point in time on the
// monotonic clock. Its epoch is sent as the fencing number.
type Lease struct {
	Epoch uint64
	Until time.Time
}

// Options configures an Executor.
type Options struct {
	// Lease returns the current lease of settings.PlacementGroup, if this
	// instance holds it.
	Lease  func() (Lease, bool)
	Fleet  Fleet
	Client *upstream.Client
	// Tokens are the order tokens for endpoints that check them. The first one is
	// sent; each rejection moves on to the next one.
	Tokens []string
	Events *event.Recorder
	Scope  tally.Scope
	// Now replaces the clock in tests. The default is clock.Now.
	Now func() time.Time
}

// Executor plans orders and carries them out while this instance holds the
// placement lease. It is not safe for concurrent use.
type Executor struct {
	options Options
	metrics *executorMetrics

	epoch  uint64
	active bool
	// epochStart is when this process first acted under the epoch.
	epochStart time.Time
	superseded bool
	partial    bool
	planner    *Planner
	limiter    *limiter
	tasks      map[string]*task // by endpoint ID
	rotation   int              // offset of the service that is planned first; changes each round
	orderSeq   uint64
}

// NewExecutor returns an executor that does not hold the lease yet.
func NewExecutor(options Options) *Executor {
	if options.Now == nil {
		options.Now = clock.Now
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Executor{options: options, metrics: newExecutorMetrics(options.Scope)}
}

// Round polls the schedulers, advances the orders in progress, plans new orders
// and sends those that are due. Without the lease it does nothing.
func (x *Executor) Round(ctx context.Context) {
	lease, ok := x.options.Lease()
	if !ok {
		x.deactivate()
		return
	}
	x.activate(lease)
	if x.superseded {
		return
	}
	state := x.options.Fleet.Poll(ctx)
	x.recordPartial(&state)
	now := x.options.Now()
	x.observeLoads(now, &state)
	x.advanceTasks(now, &state)
	x.startOrders(now, &state)
	x.withholdRequests(ctx)
	x.sendOrders(ctx)
	x.metrics.tasks.Update(float64(len(x.tasks)))
	x.metrics.loads.Update(float64(len(x.limiter.loads)))
}

// deactivate records that the lease has ended. The planner, tasks and loads are
// kept: if this instance gets the lease again under the same epoch, no other
// instance has held it in between.
func (x *Executor) deactivate() {
	if x.active {
		x.active = false
		x.metrics.holder.Update(0)
		x.options.Events.Emit(eventEnded, event.F("epoch", x.epoch))
	}
}

// activate records that this instance holds the lease. A new epoch discards the
// planner, tasks and loads of the previous one.
func (x *Executor) activate(l Lease) {
	if l.Epoch != x.epoch {
		now := x.options.Now()
		x.epoch, x.epochStart, x.superseded = l.Epoch, now, false
		x.planner, x.tasks = NewPlanner(), make(map[string]*task)
		x.limiter = newLimiter(time.Time{})
		if x.successor() {
			x.limiter.noLoadsBefore = now.Add(formerLoadsWait)
		}
	}
	if !x.active {
		x.active = true
		x.metrics.holder.Update(1)
		x.options.Events.Emit(eventTaken, event.F("epoch", x.epoch))
	}
}

// successor reports whether another process may have held the lease before.
func (x *Executor) successor() bool { return x.epoch > 1 }

// recordPartial records whether the state of any service is incomplete, and
// emits an event when that changes.
func (x *Executor) recordPartial(state *FleetState) {
	partial := len(state.Partial) > 0
	if partial {
		x.metrics.pollsFailed.Inc(1)
	}
	if partial == x.partial {
		return
	}
	x.partial = partial
	if partial {
		x.options.Events.Emit(eventPaused, event.F("services", slices.Sorted(maps.Keys(state.Partial))))
	} else {
		x.options.Events.Emit(eventResumed)
	}
}

// observeLoads passes the loads that engines announce to the load limiter.
func (x *Executor) observeLoads(now time.Time, state *FleetState) {
	announced := make(map[loadKey]bool)
	for i := range state.Services {
		s := &state.Services[i]
		for j := range s.Endpoints {
			e := &s.Endpoints[j]
			for _, model := range e.Loading {
				announced[loadKey{s.Name, e.ID, model}] = true
			}
		}
	}
	complete := func(service string) bool { return !state.Partial[service] }
	x.limiter.observeLoads(now, announced, complete)
}

// advanceTasks compares each order in progress with the state of its endpoint.
func (x *Executor) advanceTasks(now time.Time, state *FleetState) {
	for _, id := range slices.Sorted(maps.Keys(x.tasks)) {
		t := x.tasks[id]
		t.checked = false
		s := state.service(t.order.Service)
		if s == nil {
			x.finish(now, t, cancelled, "the service was removed")
			continue
		}
		if state.Partial[s.Name] {
			continue
		}
		t.checked = true
		o, reason := x.advance(now, t, s)
		x.finish(now, t, o, reason)
	}
}

// finish removes a task that has ended and records its outcome. It does nothing
// for a task in progress.
func (x *Executor) finish(now time.Time, t *task, o outcome, reason string) {
	if o == inProgress {
		return
	}
	delete(x.tasks, t.order.Endpoint)
	fields := []event.Field{event.F("endpoint", t.order.Endpoint), event.F("model", t.order.Load)}
	switch o {
	case done:
		x.planner.Done(now, t.order.Service, t.order.Endpoint)
		x.limiter.end(now, t.key())
		x.metrics.loaded.Inc(1)
		x.options.Events.Emit(eventLoaded, fields...)
		return
	case failed:
		x.planner.Failed(now, t.order.Service, t.order.Endpoint)
		x.metrics.failed.Inc(1)
		x.options.Events.Emit(eventFailed, append(fields, event.F("unload", t.order.Unload), event.F("reason", reason))...)
	case cancelled:
		x.options.Events.Emit(eventCancelled, append(fields, event.F("unload", t.order.Unload), event.F("reason", reason))...)
	}
	if l := x.limiter.loads[t.key()]; l != nil && l.sent {
		// The engine may still be loading. Its announcements show when the load has
		// ended.
		x.limiter.detach(t.key())
		return
	}
	x.limiter.end(now, t.key())
}

// pending returns the orders in progress, sorted by endpoint.
func (x *Executor) pending() []Order {
	out := make([]Order, 0, len(x.tasks))
	for _, id := range slices.Sorted(maps.Keys(x.tasks)) {
		out = append(out, x.tasks[id].order)
	}
	return out
}

// startOrders plans each service and starts the orders that the load limits
// allow. While any state is partial, not all running loads are known, so it
// starts none.
func (x *Executor) startOrders(now time.Time, state *FleetState) {
	var l limits
	for i := range state.Services {
		if policy := state.Services[i].Policy; policy.Enabled {
			l.atOnce = stricterLimit(l.atOnce, policy.MaxConcurrentLoads)
			l.perMinute = stricterLimit(l.perMinute, policy.MaxLoadsPerMinute)
		}
	}
	pending := x.pending()
	x.rotation++
	for i := range state.Services {
		s := &state.Services[(i+x.rotation)%len(state.Services)]
		if !s.Policy.Enabled || state.Partial[s.Name] {
			continue
		}
		x.metrics.replicas(newView(s, pending))
		for _, order := range x.planner.Plan(now, s, pending) {
			if !x.partial {
				x.startOrder(now, s, order, l)
			}
		}
	}
}

// stricterLimit returns the lower of two limits, where a zero first argument
// means that no limit has been seen yet.
func stricterLimit(a, b int) int {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// startOrder creates the task for an order. It does not if the endpoint may still
// receive orders from a former holder, if the endpoint requires a token and none
// is configured, or if the load limits are reached.
func (x *Executor) startOrder(now time.Time, s *Service, order Order, l limits) {
	e := s.endpoint(order.Endpoint)
	if !e.RefusesOldFencing && x.successor() && now.Sub(x.epochStart) < formerLeaseWait {
		return
	}
	if e.ChecksOrders && len(x.options.Tokens) == 0 {
		x.planner.Failed(now, s.Name, e.ID)
		x.options.Events.Emit(eventFailed, event.F("endpoint", e.ID), event.F("model", order.Load), event.F("reason", "the endpoint requires an order token but none is configured"))
		return
	}
	t := &task{order: order, incarnation: e.Incarnation, endpoint: *e}
	if !x.limiter.reserve(now, t.key(), l) {
		x.metrics.limited.Inc(1)
		return
	}
	t.enterPhase(loading, now)
	if order.Unload != "" {
		t.enterPhase(draining, now)
	}
	x.tasks[e.ID] = t
}

// withholdRequests asks the schedulers to send no more requests for models that
// are about to be unloaded.
func (x *Executor) withholdRequests(ctx context.Context) {
	var wg sync.WaitGroup
	for _, t := range x.tasks {
		if t.order.Unload == "" || !t.endpoint.has(t.order.Unload) {
			continue
		}
		wg.Go(func() {
			asked := x.options.Now()
			epoch, err := x.options.Fleet.Withhold(ctx, t.endpoint.Group, t.order.Endpoint, t.order.Unload, withholdDuration)
			if err == nil {
				t.withheldAt, t.withheldEpoch = asked, epoch
			}
		})
	}
	wg.Wait()
}

// dueTasks returns the tasks whose order is to be sent, sorted by endpoint.
func (x *Executor) dueTasks() []*task {
	var out []*task
	for _, t := range x.tasks {
		if t.due() && t.missingSince.IsZero() {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *task) int { return cmp.Compare(a.order.Endpoint, b.order.Endpoint) })
	return out
}
