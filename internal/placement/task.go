package placement

import (
	"time"

	"auburnstep.example/auburnstep/internal/event"
)

const (
	// withholdFor is how long a scheduler keeps requests for a model away from
	// an endpoint. It is renewed in each round, and half of it is left for the
	// order to unload.
	withholdFor = 20 * time.Second
	// drainTimeout bounds the wait for the requests of a model to end.
	drainTimeout = 5 * time.Minute
	// missingFor is how long an endpoint may be missing before its order is
	// given up.
	missingFor = 30 * time.Second
	// reportWithin is how long after its answer an engine that has announced a
	// load may announce neither the load nor the model.
	reportWithin = 5 * time.Second
	// loadTimeout bounds a load of weights, also where the engine does not
	// announce loads or never answers.
	loadTimeout = 30 * time.Minute
)

// phase is how far an order has come.
type phase int

const (
	// draining: the model to unload gets no new requests.
	draining phase = iota
	// unloading: the order to unload is sent until it is answered.
	unloading
	// loading: the order to load is sent until it is answered or announced.
	loading
)

// task is one order that is being carried out. There is at most one for each
// endpoint.
type task struct {
	order       Order
	incarnation uint64
	phase       phase
	since       time.Time // begin of the phase
	id          string    // of the order of the phase; repeats carry the same
	attempts    int       // in the phase that may have reached the engine
	tokens      int       // refused tokens
	// accepted is when the engine answered the order to load.
	accepted time.Time
	// announced says that the engine has announced the load.
	announced bool
	missing   time.Time
	// followed says that this round compared the task with a complete fleet state.
	followed bool
	// withheld is when the scheduler of the epoch last agreed to withhold.
	withheld      time.Time
	withheldEpoch uint64
	// endpoint is the latest state of the endpoint.
	endpoint Endpoint
}

func (t *task) key() loadKey { return loadKey{t.order.Service, t.order.Endpoint, t.order.Load} }

func (t *task) model() string {
	if t.phase == loading {
		return t.order.Load
	}
	return t.order.Unload
}

func (t *task) enter(p phase, now time.Time) {
	t.phase, t.since, t.attempts, t.id, t.tokens = p, now, 0, "", 0
}

// drained reports whether no request for the model can be running or begin at
// the endpoint. The counts were taken after the scheduler began to withhold.
func (t *task) drained(now time.Time) bool {
	e := &t.endpoint
	return !t.withheld.IsZero() && t.withheldEpoch == e.Epoch && now.Sub(t.withheld) < withholdFor/2 &&
		e.InFlight[t.order.Unload] == 0 && e.InFlight[""] == 0
}

// due reports whether the order of the phase is to be sent now.
func (t *task) due() bool {
	switch t.phase {
	case unloading:
		return t.followed
	case loading:
		return t.accepted.IsZero()
	default:
		return false
	}
}

// ending is how a task ends.
type ending int

const (
	goesOn ending = iota
	done
	cancelled
	failed
)

// advance compares a task with the state of its endpoint.
func (x *Executor) advance(now time.Time, t *task, s *Service) (ending, string) {
	e := s.endpoint(t.order.Endpoint)
	if e == nil || !e.Live {
		if t.missing.IsZero() {
			t.missing = now
		}
		if now.Sub(t.missing) >= missingFor {
			return cancelled, "the endpoint is gone"
		}
		return goesOn, ""
	}
	t.missing = time.Time{}
	if e.Incarnation != t.incarnation {
		return cancelled, "the endpoint was restarted"
	}
	if e.Leaving {
		return cancelled, "the endpoint is leaving"
	}
	t.endpoint = *e
	switch t.phase {
	case draining:
		return x.drain(now, t, s)
	case unloading:
		return x.unload(now, t, s)
	default:
		return x.load(now, t)
	}
}

func (x *Executor) drain(now time.Time, t *task, s *Service) (ending, string) {
	switch {
	case !s.Policy.Enabled:
		return cancelled, "placement was turned off"
	case t.endpoint.has(t.order.Load):
		return cancelled, "the model is loaded"
	case !t.endpoint.has(t.order.Unload):
		t.enter(loading, now)
	case !x.planner.MayUnload(s, x.pending(), t.order.Endpoint, t.order.Unload):
		return cancelled, "the model to unload is needed again"
	case t.drained(now):
		t.enter(unloading, now)
	case now.Sub(t.since) >= drainTimeout:
		return failed, "requests did not end in time"
	}
	return goesOn, ""
}

func (x *Executor) unload(now time.Time, t *task, s *Service) (ending, string) {
	switch {
	case !t.endpoint.has(t.order.Unload):
		x.unloaded(now, t)
	case t.attempts == 0 && !x.planner.MayUnload(s, x.pending(), t.order.Endpoint, t.order.Unload):
		return cancelled, "the model to unload is needed again"
	case !t.drained(now):
		// A new scheduler may have granted requests meanwhile.
		t.enter(draining, now)
	case now.Sub(t.since) >= drainTimeout:
		return failed, "the order to unload is not answered"
	}
	return goesOn, ""
}

func (x *Executor) unloaded(now time.Time, t *task) {
	x.metrics.unloaded.Inc(1)
	x.o.Events.Emit(eventUnloaded, event.F("endpoint", t.order.Endpoint), event.F("model", t.order.Unload))
	t.enter(loading, now)
}

func (x *Executor) load(now time.Time, t *task) (ending, string) {
	e := &t.endpoint
	switch {
	case e.has(t.order.Load):
		x.weights.confirmed(now, t.key())
		return done, ""
	case contains(e.Loading, t.order.Load):
		// The announcement stands in for an answer that was lost.
		t.announced = true
		if t.accepted.IsZero() {
			t.accepted = now
		}
	case t.announced && now.Sub(t.accepted) >= reportWithin:
		return failed, "the engine gave up the load"
	}
	if now.Sub(t.since) >= loadTimeout {
		return failed, "the load is not over in time"
	}
	return goesOn, ""
}
