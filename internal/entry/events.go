package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/verdict"
)

var (
	eventAccepted             = event.Define(5001, "request-accepted", event.Debug, "accepted a request of a caller")
	eventSent                 = event.Define(5002, "request-sent", event.Debug, "sent a request to an endpoint")
	eventAttemptFailed        = event.Define(5003, "attempt-failed", event.Warn, "an attempt to run a request at an endpoint failed")
	eventCompleted            = event.Define(5004, "request-answered", event.Debug, "delivered a complete response to the caller")
	eventFailed               = event.Define(5005, "request-failed", event.Info, "a request ended without a complete response")
	eventDisconnected         = event.Define(5006, "caller-gone", event.Info, "the caller disconnected before the response was complete")
	eventErrorResponse        = event.Define(5007, "error-answered", event.Debug, "responded to a request with an error")
	eventRetrySkipped         = event.Define(5008, "retry-not-started", event.Info, "did not retry a request, since the time left is shorter than every recent time to the first token in its class")
	eventDraining             = event.Define(5010, "draining", event.Info, "left the list of entries; accepting requests until the lists cached by callers expire")
	eventDrained              = event.Define(5011, "drained", event.Info, "closed the listener for callers")
	eventInterrupted          = event.Define(5012, "requests-cut", event.Failure, "closed the connections of requests in flight")
	eventBookingBegun         = event.Define(5020, "booking-begun", event.Debug, "stored the booking of a request that must run at most once")
	eventBookingDuplicate     = event.Define(5021, "booking-duplicate", event.Info, "responded to a duplicate of a booked request without running it")
	eventBookingUpdateDelayed = event.Define(5022, "booking-outcome-unstored", event.Warn, "could not store the outcome of a booking or release it in time; retrying in the background")
	eventEndpointLeaving      = event.Define(6001, "endpoint-leaving", event.Info, "an endpoint announced that it is leaving")
	eventAnnouncementRefused  = event.Define(6002, "announcement-rejected", event.Warn, "refused an endpoint's announcement")
)

// requestMetrics counts requests by class and verdict.
type requestMetrics struct{ scope tally.Scope }

func newRequestMetrics(scope tally.Scope) requestMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return requestMetrics{scope.SubScope("requests")}
}

func (m requestMetrics) class(c classID) tally.Scope {
	return m.scope.Tagged(map[string]string{"service": c.service, "class": c.class})
}

// recordCompleted records a request with a complete response.
func (s *Server) recordCompleted(q *request, timeToFirstToken time.Duration, tokens int, fields ...event.Field) {
	q.delta.outcome, q.delta.tokens = outcomeAnswered, tokens
	s.metrics.recordCompleted(q, timeToFirstToken, tokens)
	s.opts.Events.Emit(eventCompleted, q.fields(fields...)...)
}

// recordFailed records a request without a complete response and its wasted tokens.
func (s *Server) recordFailed(q *request, err *verdict.Error, tokens int, fields ...event.Field) {
	s.recordWasted(q, err.Verdict, tokens)
	fields = append([]event.Field{event.F("verdict", err.Verdict), event.F("code", err.Code)}, fields...)
	s.opts.Events.Emit(eventFailed, q.fields(fields...)...)
}

// recordDisconnect records a request whose caller disconnected.
func (s *Server) recordDisconnect(q *request, v verdict.Verdict, tokens int) {
	s.recordWasted(q, v, tokens)
	s.opts.Events.Emit(eventDisconnected, q.fields(event.F("tokens", tokens))...)
}

func (s *Server) recordWasted(q *request, v verdict.Verdict, tokens int) {
	q.delta.outcome, q.delta.tokens = outcomeFromVerdict(v), tokens
	s.metrics.recordFailed(classIDOf(q.class), v, tokens)
}

func (m requestMetrics) recordCompleted(r *request, timeToFirstToken time.Duration, tokens int) {
	s := m.class(classIDOf(r.class))
	s.Counter("answered").Inc(1)
	s.Counter("tokens_delivered").Inc(int64(tokens))
	s.Timer("first_token").Record(timeToFirstToken)
	s.Timer("duration").Record(time.Since(r.start))
	if timeToFirstToken <= r.class.FirstTokenTarget {
		s.Counter("first_token_in_target").Inc(1)
	}
}

// recordFailed counts a request without a complete response. The labels are empty if
// the class of the request is not known.
func (m requestMetrics) recordFailed(c classID, v verdict.Verdict, tokens int) {
	s := m.class(c)
	s.Tagged(map[string]string{"verdict": v.String()}).Counter("failed").Inc(1)
	s.Counter("tokens_wasted").Inc(int64(tokens))
}
