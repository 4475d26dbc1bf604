package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/grants"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/upstream"
	"auburnstep.example/auburnstep/internal/verdict"
)

// maxAttempts bounds the endpoints that one request is tried at. The retry
// budgets of the scheduler bound the retries of all requests together.
const maxAttempts = 4

// attempts is the one layer that retries. It asks for a grant, runs a function
// under it, and moves the request to another endpoint where that is allowed.
type attempts struct {
	s *Server
	q *request
	// demand describes the request to the scheduler.
	demand *schedulerv1.Request
	// worst is the least certain verdict of the attempts so far.
	worst verdict.Verdict
}

// result is what one attempt reports.
type result struct {
	tokens int
	// firstToken counts from the start of the attempt.
	firstToken time.Duration
	err        error
}

// newAttempts returns the retry layer for a request.
func newAttempts(s *Server, q *request, demand *schedulerv1.Request) *attempts {
	return &attempts{s: s, q: q, worst: verdict.NotRun, demand: demand}
}

// run tries the request until it succeeds or may not be retried.
func (a *attempts) run(ctx context.Context, attempt func(ctx context.Context, id string, l *grants.Lease) result) *verdict.Error {
	for n := 1; ; n++ {
		err, retry := a.once(ctx, fmt.Sprintf("%s-%d", a.q.id, n), attempt)
		if err == nil {
			return nil
		}
		if err.Verdict != verdict.NotRun {
			a.worst = err.Verdict
		}
		if !retry || n == maxAttempts || ctx.Err() != nil {
			return a.final(ctx, err)
		}
		if left := time.Until(a.q.deadline); a.s.paces.hopeless(a.q.class, left) {
			a.s.o.Events.Emit(eventNoTime, a.q.fields(event.F("left", left))...)
			return a.final(ctx, err)
		}
	}
}

// once makes one attempt and reports whether another one is allowed.
func (a *attempts) once(ctx context.Context, id string, attempt func(context.Context, string, *grants.Lease) result) (*verdict.Error, bool) {
	demand := proto.CloneOf(a.demand)
	demand.Id = id
	demand.DeadlineMs = uint32(max(time.Until(a.q.deadline), time.Millisecond).Milliseconds())
	lease, refusal := a.s.o.Grants.Acquire(ctx, a.q.service.Name, demand)
	if refusal != nil {
		return refusal, false
	}
	// The check stands directly before the first byte: a process that was
	// paused after it got the grant must not use a slot that was given away.
	if !lease.Usable(time.Now()) {
		lease.Release(&schedulerv1.Outcome{Unused: true})
		return verdict.Overloaded("grant_expired", "the grant for the request ran out before it was used", 0), true
	}
	start := time.Now()
	a.s.o.Events.Emit(eventSent, a.q.fields(event.F("attempt", id), event.F("endpoint", lease.Grant.Endpoint))...)
	r := attempt(ctx, id, lease)
	lease.Release(outcomeOf(r, start))
	if r.err == nil {
		a.s.paces.add(a.q.class, r.firstToken)
		return nil, false
	}
	if upstream.ReasonOf(r.err) != upstream.ReasonLate {
		a.avoid(lease.Grant.Endpoint)
	}
	v := verdict.From(r.err)
	if ctx.Err() == nil {
		a.s.o.Events.Emit(eventAttempt, a.q.fields(event.F("attempt", id), event.F("endpoint", lease.Grant.Endpoint),
			event.F("verdict", v.Verdict), event.F("error", v.Error()))...)
	}
	return v, retryable(r.err, v, a.q.class.Idempotent)
}

func (a *attempts) avoid(endpoint string) {
	for _, e := range a.demand.Avoid {
		if e == endpoint {
			return
		}
	}
	a.demand.Avoid = append(a.demand.Avoid, endpoint)
}

// retryable reports whether a failure may be answered by another attempt. A
// request that must not repeat is retried only with proof that it did not run.
// A request that the endpoint rejected as invalid fails everywhere.
func retryable(err error, v *verdict.Error, idempotent bool) bool {
	if errors.Is(err, errCallerGone) || v.Code == codeAnswerTooLarge {
		return false
	}
	switch upstream.ReasonOf(err) {
	case upstream.ReasonRejected, upstream.ReasonInvalid, upstream.ReasonTooLarge, upstream.ReasonBodyTooLarge,
		upstream.ReasonCancelled, upstream.ReasonDeadline:
		return false
	}
	return idempotent || v.Verdict == verdict.NotRun
}

// final combines the last error with what earlier attempts left open: a
// refusal of the last attempt does not prove that an earlier one did not run.
func (a *attempts) final(ctx context.Context, err *verdict.Error) *verdict.Error {
	out := *err
	if out.Verdict == verdict.NotRun {
		out.Verdict = a.worst
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		out.Status, out.Code = http.StatusGatewayTimeout, "deadline_exceeded"
		out.Message = "the deadline of the request passed before the answer was whole"
	}
	return &out
}

func outcomeOf(r result, start time.Time) *schedulerv1.Outcome {
	o := &schedulerv1.Outcome{
		Tokens: uint32(r.tokens), FirstTokenMs: uint32(r.firstToken.Milliseconds()),
		DurationMs: uint32(time.Since(start).Milliseconds()), Failed: r.err != nil,
	}
	if r.err != nil {
		o.EndpointFault = upstream.IsEndpointFault(r.err)
		o.ConnectRefused = upstream.ReasonOf(r.err) == upstream.ReasonUnreachable
		o.Unused = upstream.ReasonOf(r.err) == upstream.ReasonLate
	}
	return o
}
