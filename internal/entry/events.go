package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/verdict"
)

var (
	eventAccepted  = event.Define(5001, "request-accepted", event.Debug, "accepted a request of a caller")
	eventSent      = event.Define(5002, "request-sent", event.Debug, "sent a request to an endpoint")
	eventAttempt   = event.Define(5003, "attempt-failed", event.Warn, "an endpoint failed a request")
	eventAnswered  = event.Define(5004, "request-answered", event.Debug, "delivered a whole answer to the caller")
	eventFailed    = event.Define(5005, "request-failed", event.Info, "ended a request without a whole answer")
	eventGone      = event.Define(5006, "caller-gone", event.Info, "the caller closed the connection before the answer was whole")
	eventRefused   = event.Define(5007, "error-answered", event.Debug, "answered a request with an error")
	eventNoTime    = event.Define(5008, "retry-not-started", event.Info, "did not retry a request, since the time left is below that of any recent first token of its class")
	eventDraining  = event.Define(5010, "draining", event.Info, "left the list of entries; accepting until callers' lists run out")
	eventDrained   = event.Define(5011, "drained", event.Info, "closed the listener for callers")
	eventCut       = event.Define(5012, "requests-cut", event.Failure, "ended with requests in flight")
	eventBooking   = event.Define(5020, "booking-begun", event.Debug, "recorded a request that runs at most once")
	eventDuplicate = event.Define(5021, "booking-duplicate", event.Info, "answered a duplicate of a recorded request without running it")
	eventUnstored  = event.Define(5022, "booking-outcome-unstored", event.Warn, "could not store the outcome of a request in time; storing goes on")
	eventLeaving   = event.Define(6001, "endpoint-leaving", event.Info, "an endpoint announced that it is leaving")
	eventRejected  = event.Define(6002, "announcement-rejected", event.Warn, "rejected an endpoint's announcement")
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

// finished records a whole answer.
func (s *Server) finished(q *request, firstToken time.Duration, tokens int, fields ...event.Field) {
	q.spent.outcome, q.spent.tokens = outcomeAnswered, tokens
	s.metrics.finished(q, firstToken, tokens)
	s.o.Events.Emit(eventAnswered, q.fields(fields...)...)
}

// failed records a request without a whole answer, and the tokens wasted on it.
func (s *Server) failed(q *request, err *verdict.Error, tokens int, fields ...event.Field) {
	s.wasted(q, err.Verdict, tokens)
	fields = append([]event.Field{event.F("verdict", err.Verdict), event.F("code", err.Code)}, fields...)
	s.o.Events.Emit(eventFailed, q.fields(fields...)...)
}

// gone records a request whose caller closed the connection.
func (s *Server) gone(q *request, v verdict.Verdict, tokens int) {
	s.wasted(q, v, tokens)
	s.o.Events.Emit(eventGone, q.fields(event.F("tokens", tokens))...)
}

func (s *Server) wasted(q *request, v verdict.Verdict, tokens int) {
	q.spent.outcome, q.spent.tokens = outcomeOfVerdict(v), tokens
	s.metrics.failed(idOf(q.class), v, tokens)
}

func (m requestMetrics) finished(r *request, firstToken time.Duration, tokens int) {
	s := m.class(idOf(r.class))
	s.Counter("answered").Inc(1)
	s.Counter("tokens_delivered").Inc(int64(tokens))
	s.Timer("first_token").Record(firstToken)
	s.Timer("duration").Record(time.Since(r.start))
	if firstToken <= r.class.FirstToken {
		s.Counter("first_token_in_target").Inc(1)
	}
}

// failed counts a request without a whole answer. Before the class of a request
// is known its labels are empty.
func (m requestMetrics) failed(c classID, v verdict.Verdict, tokens int) {
	s := m.class(c)
	s.Tagged(map[string]string{"verdict": v.String()}).Counter("failed").Inc(1)
	s.Counter("tokens_wasted").Inc(int64(tokens))
}
