package router

import (
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
)

var (
	eventPlaced           = event.Define(8000, "request-placed", event.Info, "a request is sent to an endpoint")
	eventAttemptFailed    = event.Define(8001, "attempt-failed", event.Warn, "an endpoint failed to serve a request or violated the protocol")
	eventRefused          = event.Define(8002, "request-refused", event.Info, "a request was refused without running")
	eventFailed           = event.Define(8003, "request-failed", event.Warn, "a request ended without a complete response and may have run")
	eventAnswered         = event.Define(8004, "request-answered", event.Info, "a request received its endpoint's response")
	eventCallerLeft       = event.Define(8005, "caller-left", event.Info, "a caller disconnected; the work at the endpoint was cancelled")
	eventDenied           = event.Define(8006, "request-denied", event.Info, "a request has no route, has no valid key or is malformed")
	eventDraining         = event.Define(8007, "entry-draining", event.Info, "the entry is shutting down; it keeps accepting requests for a while")
	eventDrained          = event.Define(8008, "entry-drained", event.Info, "the entry has stopped accepting requests")
	eventRetryBudgetSpent = event.Define(8009, "retry-budget-spent", event.Info, "a request is not sent again because the retry budget is exhausted")
	eventStreamResumed    = event.Define(8010, "stream-resumed", event.Info, "a stream resumes at another endpoint")
	eventEndpointCrashed  = event.Define(8012, "endpoint-crashed", event.Warn, "an endpoint refuses connections after it lost a request that it had not well begun to answer")
	eventCrashUnchecked   = event.Define(8013, "crash-unchecked", event.Warn, "an endpoint lost a request that it had not well begun to answer; too many checks for crashes are running")
	eventLimitNamed       = event.Define(8014, "endpoint-limit-named", event.Info, "an endpoint names the requests per second that it takes from all entries together")
	eventEndpointLeaving  = event.Define(8016, "endpoint-leaving", event.Info, "an endpoint says in an answer that it is leaving; this entry sends it nothing more")
	eventEndpointPaused   = event.Define(8017, "endpoint-paused", event.Info, "an endpoint turned a request away and wants no others from this entry for a time")
	eventRetryAllowed     = event.Define(8018, "retry-allowed", event.Info, "a request is sent again; the retry budget of its service pays for it")
	eventLimitEnded       = event.Define(8015, "endpoint-limit-ended", event.Info, "an endpoint names no limit any more")
	eventResetFailed      = event.Define(8011, "reset-failed", event.Warn, "the connection of a caller could not be reset; a broken response may look complete to it")
)

// metrics counts requests by outcome and measures their latency.
type metrics struct {
	requests, answered, refused, denied, failed, disconnected, attempts, attemptsFailed, retries, retriesDenied tally.Counter
	firstEvent, completeResponse                                                                                tally.Histogram
	// loadsAsked counts the endpoints that were asked for their load, loadsUnanswered those
	// that did not say it in time.
	loadsAsked, loadsUnanswered tally.Counter
	inFlight                    tally.Gauge
}

// latencyBuckets range from below the objective of plain services to the time
// limit of streams.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

func newMetrics(s tally.Scope) *metrics {
	return &metrics{
		requests: s.Counter("router_requests"), answered: s.Counter("router_answered"), refused: s.Counter("router_refused"),
		denied: s.Counter("router_denied"), failed: s.Counter("router_failed"), disconnected: s.Counter("router_callers_left"),
		attempts: s.Counter("router_attempts"), attemptsFailed: s.Counter("router_attempts_failed"),
		retries: s.Counter("router_retries"), retriesDenied: s.Counter("router_retries_denied"),
		firstEvent: s.Histogram("router_first_byte", latencyBuckets), completeResponse: s.Histogram("router_whole_answer", latencyBuckets),
		loadsAsked: s.Counter("router_loads_asked"), loadsUnanswered: s.Counter("router_loads_unanswered"),
		inFlight: s.Gauge("router_in_flight"),
	}
}
