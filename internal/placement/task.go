package placement

import (
	"time"

	"auburnstep.example/auburnstep/internal/event"
)

const (
	// withholdDuration is how long a scheduler withholds requests for a model from
	// an endpoint. It is renewed in each round. An unload order is sent only in the
	// first half of it, so that the second half covers the order itself.
	withholdDuration = 20 * time.Second
	// drainTimeout bounds how long a task waits for the requests of a model to
	// finish, and separately how long for the unload order to take effect.
	drainTimeout = 5 * time.Minute
	// missingTimeout is how long an endpoint may be missing before its task is
	// cancelled.
	missingTimeout = 30 * time.Second
	// announceTimeout applies to an engine that has announced a load. If this long
	// after it accepted the order it announces neither the load nor the model, the
	// load has failed.
	announceTimeout = 5 * time.Second
	// loadTimeout bounds a load of weights, including loads at engines that do not
	// announce them or never respond.
	loadTimeout = 30 * time.Minute
)

// phase is the current step of a task.
type phase int

const (
	// draining: new requests for the model to unload are withheld, and those in
	// flight run to their end.
	draining phase = iota
	// unloading: the unload order is sent until the engine confirms that the model
	// is unloaded.
	unloading
	// loading: the load order is sent until the engine accepts it or announces the
	// load; then the task waits for the model.
	loading
)

// task is an order in progress. There is at most one for each endpoint.
type task struct {
	order          Order
	incarnation    uint64
	phase          phase
	phaseStart     time.Time
	id             string // request ID of the order in this phase, the same for all attempts
	attempts       int    // attempts in this phase that may have reached the engine
	rejectedTokens int    // number of order tokens that the endpoint rejected
	// acceptedAt is when the engine accepted the load order or first announced the
	// load.
	acceptedAt time.Time
	// announced reports whether the engine has announced the load.
	announced bool
	// missingSince is when the endpoint went missing; zero while it is present.
	missingSince time.Time
	// checked reports whether this round compared the task with a complete state
	// of its service.
	checked bool
	// withheldAt is the time of the last successful call to withhold requests, and
	// withheldEpoch the epoch of the scheduler that withholds them.
	withheldAt    time.Time
	withheldEpoch uint64
	// endpoint is the latest known state of the endpoint.
	endpoint Endpoint
}

func (t *task) key() loadKey { return loadKey{t.order.Service, t.order.Endpoint, t.order.Load} }

// model returns the model that the current phase loads or unloads.
func (t *task) model() string {
	if t.phase == loading {
		return t.order.Load
	}
	return t.order.Unload
}

// enterPhase starts a phase and resets the state of the previous one.
func (t *task) enterPhase(p phase, now time.Time) {
	t.phase, t.phaseStart, t.attempts, t.id, t.rejectedTokens = p, now, 0, "", 0
}

// drained reports whether no request for the model to unload can be running or
// start at the endpoint. The scheduler that reported the request counts must be
// the one that withholds requests; it took the counts after it began to withhold.
func (t *task) drained(now time.Time) bool {
	e := &t.endpoint
	return !t.withheldAt.IsZero() && t.withheldEpoch == e.Epoch && now.Sub(t.withheldAt) < withholdDuration/2 &&
		e.InFlight[t.order.Unload] == 0 && e.InFlight[""] == 0
}

// due reports whether the order of the current phase is to be sent now.
func (t *task) due() bool {
	switch t.phase {
	case unloading:
		return t.checked
	case loading:
		return t.acceptedAt.IsZero()
	default:
		return false
	}
}

// outcome is the result of a task, or inProgress.
type outcome int

const (
	inProgress outcome = iota
	done
	cancelled
	failed
)

// advance compares a task with the state of its endpoint. It returns the outcome
// and, unless the task is in progress or done, the reason.
func (x *Executor) advance(now time.Time, t *task, s *Service) (outcome, string) {
	e := s.endpoint(t.order.Endpoint)
	if e == nil || !e.Live {
		if t.missingSince.IsZero() {
			t.missingSince = now
		}
		if now.Sub(t.missingSince) >= missingTimeout {
			return cancelled, "the endpoint has been missing for too long"
		}
		return inProgress, ""
	}
	t.missingSince = time.Time{}
	if e.Incarnation != t.incarnation {
		return cancelled, "the endpoint was restarted"
	}
	if e.Leaving {
		return cancelled, "the endpoint is leaving"
	}
	t.endpoint = *e
	switch t.phase {
	case draining:
		return x.advanceDraining(now, t, s)
	case unloading:
		return x.advanceUnloading(now, t, s)
	default:
		return x.advanceLoading(now, t)
	}
}

func (x *Executor) advanceDraining(now time.Time, t *task, s *Service) (outcome, string) {
	switch {
	case !s.Policy.Enabled:
		return cancelled, "placement was disabled for the service"
	case t.endpoint.has(t.order.Load):
		return cancelled, "the model is already loaded"
	case !t.endpoint.has(t.order.Unload):
		t.enterPhase(loading, now)
	case !x.planner.MayUnload(s, x.pending(), t.order.Endpoint, t.order.Unload):
		return cancelled, "the model to unload is needed again"
	case t.drained(now):
		t.enterPhase(unloading, now)
	case now.Sub(t.phaseStart) >= drainTimeout:
		return failed, "requests for the model to unload did not end in time"
	}
	return inProgress, ""
}

func (x *Executor) advanceUnloading(now time.Time, t *task, s *Service) (outcome, string) {
	switch {
	case !t.endpoint.has(t.order.Unload):
		x.unloaded(now, t)
	case t.attempts == 0 && !x.planner.MayUnload(s, x.pending(), t.order.Endpoint, t.order.Unload):
		return cancelled, "the model to unload is needed again"
	case !t.drained(now):
		// A new scheduler may have granted requests in the meantime.
		t.enterPhase(draining, now)
	case now.Sub(t.phaseStart) >= drainTimeout:
		return failed, "the unload order did not take effect in time"
	}
	return inProgress, ""
}

// unloaded records that the model was unloaded and starts the loading phase.
func (x *Executor) unloaded(now time.Time, t *task) {
	x.metrics.unloaded.Inc(1)
	x.options.Events.Emit(eventUnloaded, event.F("endpoint", t.order.Endpoint), event.F("model", t.order.Unload))
	t.enterPhase(loading, now)
}

func (x *Executor) advanceLoading(now time.Time, t *task) (outcome, string) {
	e := &t.endpoint
	switch {
	case e.has(t.order.Load):
		x.limiter.confirmStart(now, t.key())
		return done, ""
	case contains(e.Loading, t.order.Load):
		// The announcement replaces a response that was lost.
		t.announced = true
		if t.acceptedAt.IsZero() {
			t.acceptedAt = now
		}
	case t.announced && now.Sub(t.acceptedAt) >= announceTimeout:
		return failed, "the engine abandoned the load"
	}
	if now.Sub(t.phaseStart) >= loadTimeout {
		return failed, "the load did not complete in time"
	}
	return inProgress, ""
}
