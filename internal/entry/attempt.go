package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/grants"
	"auburnstep.example/auburnstep/internal/httpconn"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/upstream"
	"auburnstep.example/auburnstep/internal/verdict"
)

// maxAttempts bounds the attempts of one request. The retry budgets of the scheduler
// bound the retries of all requests together.
const maxAttempts = 4

// maxCrashes bounds the endpoints that crash under the same request, since it may be the
// cause.
const maxCrashes = 2

// retrier runs one request; no other layer retries. For each attempt it acquires a
// grant and calls a function with it. After a failure it tries another endpoint if
// that is allowed.
type retrier struct {
	s *Server
	q *request
	// schedRequest describes the request to the scheduler.
	schedRequest *schedulerv1.Request
	// leastCertain is NotRun until an attempt has ended without proof that the
	// request did not run; then it is the verdict of the last such attempt.
	leastCertain verdict.Verdict
	// crashes counts the endpoints that crashed before their answers had advanced.
	crashes int
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	tokens int
	// timeToFirstToken counts from the start of the attempt.
	timeToFirstToken time.Duration
	// begun reports that a part of the answer's head arrived, and advanced that more of it was
	// passed on than its start.
	begun, advanced bool
	err             error
	// crashed is set by tryOnce if the endpoint crashed before the answer had advanced.
	crashed bool
}

// newRetrier returns the retrier of a request.
func newRetrier(s *Server, q *request, schedRequest *schedulerv1.Request) *retrier {
	return &retrier{s: s, q: q, leastCertain: verdict.NotRun, schedRequest: schedRequest}
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (rt *retrier) run(ctx context.Context, attempt func(ctx context.Context, id string, l *grants.Lease) attemptResult) *verdict.Error {
	for n := 1; ; n++ {
		err, retry := rt.tryOnce(ctx, fmt.Sprintf("%s-%d", rt.q.id, n), attempt)
		if err == nil {
			return nil
		}
		if err.Verdict != verdict.NotRun {
			rt.leastCertain = err.Verdict
		}
		if !retry || n == maxAttempts || ctx.Err() != nil {
			return rt.finalError(ctx, err)
		}
		if timeLeft := time.Until(rt.q.deadline); rt.s.firstTokens.allSlowerThan(rt.q.class, timeLeft) {
			rt.s.opts.Events.Emit(eventRetrySkipped, rt.q.fields(event.F("left", timeLeft))...)
			return rt.finalError(ctx, err)
		}
	}
}

// tryOnce makes one attempt and reports whether another attempt is allowed.
func (rt *retrier) tryOnce(ctx context.Context, id string, attempt func(context.Context, string, *grants.Lease) attemptResult) (*verdict.Error, bool) {
	schedRequest := proto.CloneOf(rt.schedRequest)
	schedRequest.Id = id
	schedRequest.DeadlineMs = uint32(max(time.Until(rt.q.deadline), time.Millisecond).Milliseconds())
	lease, refusal := rt.s.opts.Grants.Acquire(ctx, rt.q.service.Name, schedRequest)
	if refusal != nil {
		return refusal, false
	}
	// Check immediately before the first byte is sent: if the process was paused
	// after it received the grant, the slot may have been granted to another request.
	if !lease.Usable(clock.Now()) {
		lease.Release(&schedulerv1.Outcome{Unused: true})
		return verdict.Overloaded("grant_expired", "the grant for the request ran out before it was used", 0), true
	}
	start := time.Now()
	rt.s.opts.Events.Emit(eventSent, rt.q.fields(event.F("attempt", id), event.F("endpoint", lease.Grant.Endpoint))...)
	sentAt := clock.Now()
	r := attempt(ctx, id, lease)
	r.crashed = !r.advanced && upstream.IsLost(r.err) && httpconn.HasCrashed(ctx, lease.Grant.Address)
	if r.crashed {
		rt.reportCrash(lease, r, sentAt)
	}
	lease.Release(attemptOutcome(r, start))
	if r.err == nil {
		rt.s.firstTokens.record(rt.q.class, r.timeToFirstToken)
		return nil, false
	}
	if upstream.ReasonOf(r.err) != upstream.ReasonGrantExpired {
		rt.avoidEndpoint(lease.Grant.Endpoint)
	}
	v := verdict.From(r.err)
	if r.crashed {
		rt.crashes++
	}
	if ctx.Err() == nil {
		rt.s.opts.Events.Emit(eventAttemptFailed, rt.q.fields(event.F("attempt", id), event.F("endpoint", lease.Grant.Endpoint),
			event.F("verdict", v.Verdict), event.F("crashed", r.crashed), event.F("error", v.Error()))...)
	}
	return v, rt.crashes < maxCrashes && retryable(r.err, v, rt.q.class.Idempotent)
}

// reportCrash tells all schedulers of the service that the endpoint crashed under the
// request. The prompt is blamed only if the answer had begun; see scheduler.Crash.
func (rt *retrier) reportCrash(l *grants.Lease, r attemptResult, sentAt time.Time) {
	crash := grants.Crash{Request: rt.q.id, Fingerprint: rt.schedRequest.Fingerprint, SentAt: sentAt, LostAt: clock.Now()}
	if r.begun {
		crash.Prefixes = rt.schedRequest.Prefixes
	}
	rt.s.opts.Grants.ReportCrash(l, crash)
}

func (rt *retrier) avoidEndpoint(endpoint string) {
	for _, e := range rt.schedRequest.Avoid {
		if e == endpoint {
			return
		}
	}
	rt.schedRequest.Avoid = append(rt.schedRequest.Avoid, endpoint)
}

// retryable reports whether another attempt is allowed after a failure. A request
// that must not repeat is retried only with proof that it did not run. A request
// that an endpoint rejected as invalid is not retried, since it fails at every
// endpoint.
func retryable(err error, v *verdict.Error, idempotent bool) bool {
	if errors.Is(err, errCallerDisconnected) || v.Code == codeResponseTooLarge {
		return false
	}
	switch upstream.ReasonOf(err) {
	case upstream.ReasonRejected, upstream.ReasonInvalid, upstream.ReasonResponseTooLarge, upstream.ReasonRequestTooLarge,
		upstream.ReasonCancelled, upstream.ReasonDeadlineExceeded:
		return false
	}
	return idempotent || v.Verdict == verdict.NotRun
}

// finalError returns the last error with a verdict that covers all attempts: that the
// last attempt did not run the request does not prove that no earlier attempt ran it.
func (rt *retrier) finalError(ctx context.Context, err *verdict.Error) *verdict.Error {
	out := *err
	if out.Verdict == verdict.NotRun {
		out.Verdict = rt.leastCertain
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		out.Status, out.Code = http.StatusGatewayTimeout, "deadline_exceeded"
		out.Message = "the deadline of the request passed before the answer was whole"
	}
	return &out
}

func attemptOutcome(r attemptResult, start time.Time) *schedulerv1.Outcome {
	o := &schedulerv1.Outcome{
		Tokens: uint32(r.tokens), FirstTokenMs: uint32(r.timeToFirstToken.Milliseconds()),
		DurationMs: uint32(time.Since(start).Milliseconds()), Failed: r.err != nil,
	}
	if r.err != nil {
		o.Crashed, o.CrashedBeforeHead = r.crashed, r.crashed && !r.begun
		o.EndpointFault = upstream.IsEndpointFault(r.err)
		o.ConnectRefused = upstream.ReasonOf(r.err) == upstream.ReasonUnreachable
		o.Unused = upstream.ReasonOf(r.err) == upstream.ReasonGrantExpired
	}
	return o
}
