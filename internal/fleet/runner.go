package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
)

const (
	// Interval is the time between two rounds of planning.
	Interval = time.Second
	// maxCalls bounds the orders without an answer, each of which has a goroutine.
	maxCalls = 32
)

var (
	eventOrdered      = event.Define(4300, "endpoints-ordered", event.Info, "the holder ordered a number of endpoints")
	eventOrderUnknown = event.Define(4301, "endpoint-order-unknown", event.Warn, "an order of endpoints got no answer; it is repeated with the same number")
	eventUnavailable  = event.Define(4302, "endpoints-unavailable", event.Warn, "no endpoints of the kind are available in the failure domain; they are ordered again later")
	eventSuperseded   = event.Define(4303, "endpoint-order-superseded", event.Warn, "an order of endpoints was refused because there is a later holder")
	eventHolder       = event.Define(4304, "fleet-holder-changed", event.Info, "this member began or ceased to order endpoints")
)

// RunnerOptions configures a Runner.
type RunnerOptions struct {
	Source Source
	Caller Caller
	Events *event.Recorder
	Scope  tally.Scope
}

// Runner observes endpoints and demand every second, and places orders while this instance
// is the holder. It implements kernel.Service.
type Runner struct {
	kernel.Base
	options RunnerOptions
	planner *Planner
	results chan answer
	holding bool
	// term counts the times at which this instance became or ceased to be the holder. Results
	// of an earlier term say nothing about the orders of this one.
	term  int
	calls int

	placed, unknown, unavailable tally.Counter
}

// answer is the result of one order.
type answer struct {
	term   int
	order  Order
	result Result
	err    error
}

// NewRunner returns a runner that has not been started.
func NewRunner(o RunnerOptions) *Runner {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Runner{
		options: o, planner: NewPlanner(), results: make(chan answer, maxCalls),
		placed: o.Scope.Counter("fleet_orders_placed"), unknown: o.Scope.Counter("fleet_orders_unknown"), unavailable: o.Scope.Counter("fleet_orders_unavailable"),
	}
}

// Start implements kernel.Service.
func (r *Runner) Start(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-r.results:
			r.record(clock.Now(), a)
		case <-tick.C:
			orders := r.round(clock.Now())
			term := r.term
			for _, o := range orders {
				calls.Go(func() { r.call(ctx, term, o) })
			}
		}
	}
}

// round observes, and returns the orders to place if this instance is the holder.
func (r *Runner) round(now time.Time) []Order {
	if o, ok := r.options.Source.Observe(); ok {
		r.planner.Observe(now, o)
	}
	for _, name := range r.planner.Services() {
		serving, needed := r.planner.Level(name)
		scope := r.options.Scope.Tagged(map[string]string{"service": name})
		scope.Gauge("fleet_endpoints_serving").Update(float64(serving))
		scope.Gauge("fleet_endpoints_needed").Update(needed)
	}
	holding := r.options.Caller.Holding(now)
	if holding != r.holding {
		r.holding = holding
		r.term++
		r.options.Events.Emit(eventHolder, event.F("holder", holding))
	}
	if !holding {
		r.planner.Forget()
		return nil
	}
	if r.calls >= maxCalls {
		return nil
	}
	orders := r.planner.Plan(now)
	r.calls += len(orders)
	return orders
}

// call places an order. The result is dropped if the runner has stopped.
func (r *Runner) call(ctx context.Context, term int, o Order) {
	result, err := r.options.Caller.Call(ctx, o)
	select {
	case r.results <- answer{term, o, result, err}:
	case <-ctx.Done():
	}
}

func (r *Runner) record(now time.Time, a answer) {
	r.calls--
	r.placed.Inc(1)
	if a.term == r.term {
		r.planner.Record(now, a.order, a.result)
	}
	kind := eventOrdered
	switch a.result {
	case Accepted:
	case Unknown:
		kind = eventOrderUnknown
		r.unknown.Inc(1)
	case Unavailable:
		kind = eventUnavailable
		r.unavailable.Inc(1)
	case Superseded:
		kind = eventSuperseded
	}
	r.options.Events.Emit(kind, event.F("service", a.order.Service), event.F("failure_domain", a.order.Domain),
		event.F("desired", a.order.Desired), event.F("spot", a.order.Spot), event.F("error", a.err))
}
