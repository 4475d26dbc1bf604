package router

import (
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
)

var (
	eventPlaced   = event.Define(8000, "request-placed", event.Info, "a request is sent to an endpoint")
	eventAttempt  = event.Define(8001, "attempt-failed", event.Warn, "an endpoint did not answer a request as it should")
	eventRefused  = event.Define(8002, "request-refused", event.Info, "a request was turned away without running")
	eventFailed   = event.Define(8003, "request-failed", event.Warn, "a request ended without its whole answer and may have run")
	eventAnswered = event.Define(8004, "request-answered", event.Info, "a request got its endpoint's answer")
	eventLeft     = event.Define(8005, "caller-left", event.Info, "a caller gave up its request; the work at the endpoint was cancelled")
	eventDenied   = event.Define(8006, "request-denied", event.Info, "a request has no route, no valid key or a wrong form")
	eventDraining = event.Define(8007, "entry-draining", event.Info, "the entry is leaving; it goes on taking requests for a while")
	eventDrained  = event.Define(8008, "entry-drained", event.Info, "the entry has stopped taking requests")
	eventNoBudget = event.Define(8009, "retry-budget-spent", event.Info, "a request is not sent again because the retry budget is spent")
	eventResumed  = event.Define(8010, "stream-resumed", event.Info, "a stream goes on at another endpoint")
)

// metrics counts requests by their end.
type metrics struct {
	requests, answered, refused, denied, failed, left, attempts, attemptsFailed tally.Counter
	firstEvent, whole                                                           tally.Histogram
	inFlight                                                                    tally.Gauge
}

// latencyBuckets reach from below the objective of plain services to the time
// limit of streams.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

func newMetrics(s tally.Scope) *metrics {
	return &metrics{
		requests: s.Counter("router_requests"), answered: s.Counter("router_answered"), refused: s.Counter("router_refused"),
		denied: s.Counter("router_denied"), failed: s.Counter("router_failed"), left: s.Counter("router_callers_left"),
		attempts: s.Counter("router_attempts"), attemptsFailed: s.Counter("router_attempts_failed"),
		firstEvent: s.Histogram("router_first_byte", latencyBuckets), whole: s.Histogram("router_whole_answer", latencyBuckets),
		inFlight: s.Gauge("router_in_flight"),
	}
}
