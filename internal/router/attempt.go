package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/httpconn"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/routing"
)

const (
	// maxSends bounds the attempts of a request, those that were rejected included.
	maxSends = 4
	// freshFor is how long a kept connection may have been idle for a request
	// that must not run twice: an endpoint may drop idle connections without
	// notice, and a request that meets that cannot be sent again.
	freshFor = 500 * time.Millisecond
	// minAttempt is the least time left that is worth an attempt.
	minAttempt = 30 * time.Millisecond
	// stallFactor and stallMargin bound the wait for the first event against the
	// predicted time before a request that may run twice is sent elsewhere.
	stallFactor = 4
	stallMargin = 100 * time.Millisecond
	// streamStall is the least such wait for streams, in objectives: an engine in
	// a burst answers late without being at fault, and a second attempt would
	// read the whole prompt again.
	streamStall = 3
)

// result is the end of one attempt.
type result struct {
	outcome dispatch.Outcome
	// done tells that the caller has its answer.
	done bool
	// notRun is true only with proof.
	notRun bool
	err    error
	// answer is an endpoint's complete answer that is held back because another
	// attempt may do better.
	answer *wholeAnswer
}

// serve sends a request to endpoints until one has answered it, or until it
// may not be sent again.
func (q *request) serve(ctx context.Context) {
	q.locked(func(b *dispatch.Balancer) { q.backend.budget.Request(q.arrived) })
	var last result
	for {
		choice, failure := q.choose(ctx)
		if failure != "" {
			q.giveUp(ctx, last, failure)
			return
		}
		last = q.attempt(ctx, choice)
		if last.done {
			return
		}
		if !q.again(ctx, last) {
			q.giveUp(ctx, last, "")
			return
		}
	}
}

func (q *request) locked(f func(b *dispatch.Balancer)) {
	q.backend.mu.Lock()
	defer q.backend.mu.Unlock()
	f(q.backend.balancer)
}

// choose places the next attempt. Before the first one it waits as long as the
// request may wait for an endpoint. It returns a reason where no attempt is made.
func (q *request) choose(ctx context.Context) (c dispatch.Choice, reason string) {
	p := q.place()
	for p.decision == dispatch.Wait {
		if kernel.Sleep(ctx, dispatch.WaitStep) != nil {
			return p.choice, "the request ended while it waited"
		}
		p = q.place()
	}
	c = p.choice
	q.behind = c.Behind
	switch {
	case !p.found:
		return c, "no endpoint of the service is available"
	case p.decision == dispatch.Refuse && p.at.Add(c.Whole).After(q.deadline):
		return c, "the endpoints cannot end the request in its time"
	case p.decision == dispatch.Refuse:
		return c, "the service is overloaded and the answer would be late"
	}
	q.server.options.Events.Emit(eventPlaced, event.Request(q.call.ID), event.F("route", q.route.Name), event.F("attempt", q.sends+1),
		event.F("endpoint", c.Endpoint.ID), event.F("address", c.Endpoint.Address), event.F("predicted_ms", c.Predicted.Milliseconds()),
		event.F("waited_ms", p.at.Sub(q.arrived).Milliseconds()), event.F("uncached", c.Uncached), event.F("rank", q.sendRank(&c)), event.F("late", c.Late),
		event.F("overload", c.Overload), event.F("urgent", c.Urgent), event.F("fetch_from", c.FetchFrom), event.F("home", c.Home), event.F("candidates", p.candidates),
		event.F("load_age_ms", p.loadAge.Milliseconds()), event.F("table", q.tableVersion()))
	return c, ""
}

// placed is where a request would go at a moment, and what becomes of it.
type placed struct {
	at         time.Time
	found      bool // whether there is any endpoint
	choice     dispatch.Choice
	decision   dispatch.Decision
	candidates int
	loadAge    time.Duration
}

// place places a request and counts it as sent if it may be. Only its first
// attempt is subject to admission.
func (q *request) place() (p placed) {
	p.at, p.decision = time.Now(), dispatch.Refuse
	q.locked(func(b *dispatch.Balancer) {
		p.choice, p.found = b.Choose(p.at, q.demand, q.avoid)
		p.candidates, p.loadAge = b.Size(p.at), b.RemoteAge(p.at)
		if !p.found {
			return
		}
		if p.decision = dispatch.Send; q.sends == 0 {
			p.decision = dispatch.Admit(p.at, q.demand, p.choice)
		}
		if p.decision == dispatch.Send {
			b.Sent(p.at, &p.choice, q.demand)
		}
	})
	return p
}

// sendRank puts late work behind timely work of the same priorities, unless that
// would make it equal to a less urgent route.
func (q *request) sendRank(c *dispatch.Choice) int {
	if c.Late && q.lateRank {
		return q.demand.Rank + 1
	}
	return q.demand.Rank
}

// attempt sends a request to an endpoint and relays its answer.
func (q *request) attempt(ctx context.Context, c dispatch.Choice) result {
	q.sends++
	q.server.metrics.attempts.Inc(1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := q.stallTimer(c, cancel)
	if stall != nil {
		defer stall.Stop()
	}
	r := q.exchange(ctx, &c, stall)
	if cause := context.Cause(ctx); r.err != nil && cause != nil {
		r.err = cause
		if !errors.Is(cause, errStalled) && !errors.Is(cause, errTimeLimit) {
			r.outcome, r.err = dispatch.Abandoned, errCallerLeft
		}
	}
	q.locked(func(b *dispatch.Balancer) { b.Ended(time.Now(), &c, r.outcome) })
	if !r.notRun {
		q.runs++
	}
	q.avoid = append(q.avoid, c.Endpoint.ID)
	if r.err != nil {
		q.server.metrics.attemptsFailed.Inc(1)
		q.server.options.Events.Emit(eventAttempt, q.fields(event.F("endpoint", c.Endpoint.ID), event.F("address", c.Endpoint.Address),
			event.F("not_run", r.notRun), event.F("error", r.err), event.F("last_event", q.lastEvent))...)
	}
	return r
}

// stallTimer cancels an attempt of a repeatable request that does not begin to
// answer long after it should have, as long as it may be sent elsewhere.
func (q *request) stallTimer(c dispatch.Choice, cancel context.CancelCauseFunc) *time.Timer {
	if !q.route.Repeatable() || q.runs+1 >= q.route.Attempts {
		return nil
	}
	bound := max(stallFactor*c.Predicted, q.route.Objective()) + stallMargin
	if q.route.Kind == routing.Stream {
		bound = max(stallFactor*c.Predicted, streamStall*q.route.Objective())
	}
	return time.AfterFunc(bound, func() {
		left := 0
		q.locked(func(*dispatch.Balancer) { left = q.backend.budget.Left(time.Now(), q.server.fleet.entryCount()) })
		if left > 0 {
			cancel(errStalled)
		}
	})
}

// exchange sends one attempt and relays the answer.
func (q *request) exchange(ctx context.Context, c *dispatch.Choice, stall *time.Timer) result {
	codec := q.server.options.Codec
	s := Send{Endpoint: c.Endpoint.ID, Left: time.Until(q.deadline), Rank: q.sendRank(c), LastEvent: q.call.LastEvent, FetchFrom: c.FetchFrom}
	if q.customer != nil {
		s.Customer = q.customer.Name
	}
	if q.relayed && q.lastEvent >= 0 {
		s.LastEvent = strconv.FormatInt(q.lastEvent, 10)
		q.server.options.Events.Emit(eventResumed, q.fields(event.F("endpoint", c.Endpoint.ID), event.F("last_event", q.lastEvent))...)
	}
	request := &httpconn.Request{
		Method: q.method, Target: q.target, Host: q.host, Header: codec.Encode(&q.call, s), Body: q.body,
		Matches: func(r *http.Response) bool { id := codec.Answer(r).RequestID; return id == "" || id == q.call.ID },
	}
	if !q.route.Repeatable() {
		request.MaxIdle = freshFor
	}
	resp, err := q.server.pool.Do(ctx, c.Endpoint.Address, request)
	if err != nil {
		return failed(err)
	}
	answer := codec.Answer(resp.Response)
	if answer.Load != nil {
		q.locked(func(b *dispatch.Balancer) { b.Reported(time.Now(), c, *answer.Load) })
	}
	switch {
	case answer.Replaced:
		_ = resp.Close(false)
		q.server.pool.CloseIdle(c.Endpoint.Address)
		return result{outcome: dispatch.Replaced, notRun: true, err: errReplaced}
	case answer.NotRun:
		return q.rejected(resp)
	case !answer.Genuine:
		_ = resp.Close(false)
		return result{outcome: dispatch.Broken, err: errNotGenuine}
	}
	began := func() {
		if stall != nil {
			stall.Stop()
		}
		q.locked(func(b *dispatch.Balancer) { b.Began(time.Now(), c) })
	}
	if q.route.Kind == routing.Stream && resp.StatusCode == http.StatusOK {
		return q.relayStream(resp, began)
	}
	return q.relayWhole(resp, c, began)
}

// failed maps an error of the connection.
func failed(err error) result {
	r := result{outcome: dispatch.Broken, err: err}
	var f *httpconn.RequestError
	if errors.As(err, &f) {
		r.notRun = !f.Sent
		if !f.Connected {
			r.outcome = dispatch.Unreachable
		}
	}
	return r
}

// again reports whether a request may be sent once more, and spends budget on it.
func (q *request) again(ctx context.Context, r result) bool {
	now := time.Now()
	if ctx.Err() != nil || errors.Is(r.err, errCallerLeft) || q.sends >= maxSends || q.deadline.Sub(now) < minAttempt {
		return false
	}
	if !r.notRun && (!q.route.Repeatable() || q.runs >= max(1, q.route.Attempts)) {
		return false
	}
	if q.relayed && q.lastEvent < 0 {
		return false
	}
	allowed := false
	q.locked(func(*dispatch.Balancer) { allowed = q.backend.budget.Take(now, q.server.fleet.entryCount()) })
	if !allowed {
		q.server.options.Events.Emit(eventNoBudget, q.fields()...)
	}
	return allowed
}

// giveUp ends a request with the best answer that is true.
func (q *request) giveUp(ctx context.Context, last result, reason string) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(last.err, errCallerLeft), cause != nil && !errors.Is(cause, errTimeLimit):
		q.server.metrics.left.Inc(1)
		q.server.options.Events.Emit(eventLeft, q.fields(event.F("last_event", q.lastEvent))...)
		panic(http.ErrAbortHandler)
	case last.answer != nil:
		q.finish(last.answer)
	case q.runs > 0:
		status, code := http.StatusBadGateway, "endpoint-failed"
		if cause != nil {
			status, code = http.StatusGatewayTimeout, "time-limit"
		}
		q.fail(status, code, last.err)
	default:
		if reason == "" {
			reason = "no endpoint took the request"
		}
		q.refuse(refusal(http.StatusServiceUnavailable, "no-capacity", reason, q.returnAfter()))
	}
}

func (q *request) returnAfter() time.Duration {
	return dispatch.ReturnAfter(q.demand.Objective, q.behind, rand.Float64())
}
