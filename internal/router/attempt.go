package router

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/httpconn"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/quarantine"
	"auburnstep.example/auburnstep/internal/routing"
)

const (
	// maxAttempts bounds the attempts of a request, including rejected ones.
	maxAttempts = 4
	// atMostOnceMaxIdle is how long a reused connection may have been idle for a
	// request that must not run twice. Endpoints may close idle connections without
	// notice, and a request sent at that moment cannot be sent again.
	atMostOnceMaxIdle = 500 * time.Millisecond
	// minAttemptTime is the minimum remaining time for another attempt to be
	// worthwhile.
	minAttemptTime = 30 * time.Millisecond
	// stallFactor and stallMargin bound the wait for the first event, relative to the
	// predicted time, after which a request that may run twice is sent to another
	// endpoint.
	stallFactor = 4
	stallMargin = 100 * time.Millisecond
	// streamStallObjectives is the minimum of that bound for streams, as a multiple
	// of the objective. During a burst a healthy engine responds late, and a second
	// attempt would prefill the whole prompt again.
	streamStallObjectives = 3
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome dispatch.Outcome
	// delivered reports that a complete response was relayed to the caller, so that
	// no further attempt is made.
	delivered bool
	// notRun is true only if it is proven that the request has not run.
	notRun bool
	// begun reports that the endpoint's own response had begun: at least a part of its head
	// has arrived.
	begun bool
	err   error
	// status is the status of the response that was delivered.
	status int
	// response is an endpoint's complete error response, held back because another
	// attempt may succeed.
	response *bufferedResponse
}

// serve sends a request to endpoints until one has served it, or until it may not
// be sent again.
func (q *request) serve(ctx context.Context) {
	q.serviceState.budget.CountRequest(clock.Now())
	demand := q.serviceState.demand
	demand.offered.Add(1)
	var last attemptResult
	var retryTaken time.Time
	for {
		demand.waiting.Add(1)
		choice, reason := q.awaitPlacement(ctx)
		demand.waiting.Add(-1)
		if q.attemptCount == 0 {
			demand.promptTokens.Add(uint64(max(0, choice.Uncached)))
		}
		if reason != "" {
			q.giveUp(ctx, last, reason)
			return
		}
		if q.attemptCount > 0 {
			q.serviceState.budget.RecordSent(clock.Now(), retryTaken)
		}
		last = q.attempt(ctx, choice)
		if last.delivered {
			return
		}
		retryTaken = clock.Now()
		if !q.takeRetry(ctx, last) {
			q.giveUp(ctx, last, "")
			return
		}
	}
}

func (q *request) withBalancer(f func(b *dispatch.Balancer)) {
	q.serviceState.withBalancer(f)
}

// awaitPlacement places the next attempt. The first attempt waits for capacity for
// as long as admission control allows. If no attempt may be made, it returns the
// reason.
func (q *request) awaitPlacement(ctx context.Context) (c dispatch.Choice, reason string) {
	if q.findQuarantined() {
		return c, errQuarantined.Error()
	}
	q.askCandidates(ctx)
	p := q.placeWithPermit(ctx)
	for p.decision == dispatch.Wait {
		if kernel.Sleep(ctx, dispatch.WaitStep) != nil {
			return p.choice, "the request ended while it waited"
		}
		if q.findQuarantined() {
			return c, errQuarantined.Error()
		}
		p = q.placeWithPermit(ctx)
	}
	c = p.choice
	q.lateness = c.Lateness
	switch {
	case !p.hasEndpoint && c.Paused:
		return c, "the endpoints have asked for a pause"
	case !p.hasEndpoint && c.BlockedFor > 0:
		return c, "the endpoints have got the requests that their limits allow"
	case !p.hasEndpoint:
		return c, "no endpoint of the service is available"
	case q.competition.refused:
		return c, reasonExcess
	case p.decision == dispatch.Refuse && p.at.Add(c.PredictedTotal).After(q.deadline):
		return c, "the endpoints cannot end the request in its time"
	case p.decision == dispatch.Refuse:
		return c, "the service is overloaded and the answer would be late"
	}
	q.server.options.Events.Emit(eventPlaced, event.Request(q.call.ID), event.F("route", q.route.Name), event.F("attempt", q.attemptCount+1),
		event.F("endpoint", c.Endpoint.ID), event.F("address", c.Endpoint.Address), event.F("predicted_ms", c.Predicted.Milliseconds()),
		event.F("waited_ms", p.at.Sub(q.arrived).Milliseconds()), event.F("uncached", c.Uncached), event.F("slowdown", math.Round(100*c.Slowdown)/100), event.F("rank", q.attemptRank(&c)), event.F("late", c.Late),
		event.F("overload", c.Overload), event.F("protected", c.Protected), event.F("fetch_from", c.FetchFrom), event.F("home", c.PreferenceRank), event.F("candidates", p.candidates),
		event.F("load_age_ms", p.loadAge.Milliseconds()), event.F("table", q.table.version()), event.F("table_age_ms", q.table.Age.Milliseconds()))
	return c, ""
}

// placement is an endpoint choice for a request at a point in time, with the
// admission decision.
type placement struct {
	at          time.Time
	hasEndpoint bool // whether any endpoint is available
	choice      dispatch.Choice
	decision    dispatch.Decision
	candidates  int
	loadAge     time.Duration
}

// tryPlace chooses an endpoint for the next attempt and, if the request may be
// sent, records it as sent unless the endpoint names a limit. Only the first attempt is
// subject to admission control.
func (q *request) tryPlace() (p placement) {
	p.at, p.decision = time.Now(), dispatch.Refuse
	q.withBalancer(func(b *dispatch.Balancer) {
		p.choice, p.hasEndpoint = b.Choose(p.at, q.demand, q.avoid)
		p.candidates, p.loadAge = b.Available(p.at), b.RemoteLoadAge(p.at)
		if !p.hasEndpoint {
			if p.choice.BlockedFor > 0 {
				p.decision = dispatch.AdmitBlocked(p.at, q.demand)
			}
			return
		}
		if p.decision = dispatch.Send; q.attemptCount == 0 {
			p.decision = dispatch.Admit(p.at, q.demand, p.choice)
			q.countDemand(&p.choice)
		}
		if p.decision != dispatch.Refuse && q.refusedForExcess(&p.choice) {
			p.decision = dispatch.Refuse
		}
		switch p.decision {
		case dispatch.Send:
			if p.choice.Limit.PerSecond == 0 {
				b.RecordSent(p.at, &p.choice, q.demand)
			}
		case dispatch.Refuse:
			b.RecordRefused(p.at, &p.choice, q.demand)
		case dispatch.Wait:
		}
	})
	return p
}

// attemptRank ranks late work after timely work of the same priorities, unless
// that rank belongs to a less urgent route.
func (q *request) attemptRank(c *dispatch.Choice) int {
	if c.Late && q.lateRankFree {
		return q.demand.Rank + 1
	}
	return q.demand.Rank
}

// attempt sends a request to an endpoint and relays its response.
func (q *request) attempt(ctx context.Context, c dispatch.Choice) attemptResult {
	q.attemptCount++
	q.server.metrics.attempts.Inc(1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	notWaiting := q.server.attempts.add(q.suspects(), cancel)
	defer notWaiting()
	if q.findQuarantined() { // The quarantine began after the placement.
		cancel(errQuarantined)
	}
	stall := q.stallTimer(c, cancel)
	if stall != nil {
		defer stall.Stop()
	}
	sentAt := time.Now()
	q.attemptEventAt = time.Time{}
	q.serviceState.demand.begin()
	r := q.exchange(ctx, &c, stall, notWaiting)
	q.serviceState.demand.end(time.Since(sentAt))
	q.trackCrashes(ctx, &c, r, sentAt)
	if cause := context.Cause(ctx); r.err != nil && cause != nil {
		r.err = cause
		switch {
		case errors.Is(cause, errStalled), errors.Is(cause, errTimeLimit):
		case errors.Is(cause, errQuarantined), errors.Is(cause, errStopping):
			r.outcome = dispatch.Abandoned
		default:
			r.outcome, r.err = dispatch.Abandoned, errCallerDisconnected
		}
	}
	q.withBalancer(func(b *dispatch.Balancer) {
		b.RecordOutcome(time.Now(), &c, r.outcome)
		if r.outcome == dispatch.Answered && q.route.Kind == routing.Stream {
			b.RecordEvents(&c, q.lastEventAt, q.attemptEvents)
			b.RecordPauses(&c, q.longestPause, time.Duration(q.route.MaxPauseMs)*time.Millisecond)
		}
	})
	if !r.notRun {
		q.runs++
	}
	q.avoid = append(q.avoid, c.Endpoint.ID)
	if r.err != nil {
		q.server.metrics.attemptsFailed.Inc(1)
		q.server.options.Events.Emit(eventAttemptFailed, q.eventFields(event.F("endpoint", c.Endpoint.ID), event.F("address", c.Endpoint.Address),
			event.F("not_run", r.notRun), event.F("error", r.err), event.F("last_event", q.lastEvent),
			event.F("begun", r.begun), event.F("parts", partsField(q.demand.Prompt.Parts)), event.F("fingerprint", q.fingerprint()))...)
	}
	return r
}

// stallTimer cancels an attempt of a repeatable request if the first event is long
// overdue and the retry budget still allows another attempt. It returns nil if the
// request may not run again.
func (q *request) stallTimer(c dispatch.Choice, cancel context.CancelCauseFunc) *time.Timer {
	if !q.route.Repeatable() || q.runs+1 >= q.route.Attempts {
		return nil
	}
	bound := max(stallFactor*c.Predicted, q.route.Objective()) + stallMargin
	if q.route.Kind == routing.Stream {
		bound = max(stallFactor*c.Predicted, streamStallObjectives*q.route.Objective())
	}
	return time.AfterFunc(bound, func() {
		now := clock.Now()
		if q.serviceState.budget.Left(now, q.server.registry.slackEntries(now)) > 0 {
			cancel(errStalled)
		}
	})
}

// exchange sends a request to the chosen endpoint and relays the response. It calls notWaiting
// once the head of the endpoint's own response has arrived.
func (q *request) exchange(ctx context.Context, c *dispatch.Choice, stall *time.Timer, notWaiting func()) attemptResult {
	codec := q.server.options.Codec
	send := Attempt{Endpoint: c.Endpoint.ID, TimeLeft: time.Until(q.deadline), Rank: q.attemptRank(c), LastEvent: q.call.LastEvent, FetchFrom: c.FetchFrom}
	if q.customer != nil {
		send.Customer = q.customer.Name
	}
	if q.responseStarted && q.lastEvent >= 0 {
		send.LastEvent = strconv.FormatInt(q.lastEvent, 10)
		q.server.options.Events.Emit(eventStreamResumed, q.eventFields(event.F("endpoint", c.Endpoint.ID), event.F("last_event", q.lastEvent))...)
	}
	request := &httpconn.Request{
		Method: q.method, Target: q.target, Host: q.host, Header: codec.EncodeAttempt(&q.call, send), Body: q.body.Bytes,
		Matches: func(r *http.Response) bool { id := codec.ResponseHead(r).RequestID; return id == "" || id == q.call.ID },
	}
	if !q.route.Repeatable() {
		request.MaxIdle = atMostOnceMaxIdle
	}
	resp, err := q.server.pool.Do(ctx, c.Endpoint.Address, request)
	if err != nil {
		return connectionFailure(err)
	}
	head := codec.ResponseHead(resp.Response)
	if head.Load != nil {
		q.withBalancer(func(b *dispatch.Balancer) { b.RecordReport(time.Now(), c, *head.Load) })
	}
	if head.Limit != nil || head.Executed {
		q.recordLimit(c, head.Limit)
	}
	if head.Leaving && !head.Replaced {
		q.recordEndpointLeaving(c)
	}
	switch {
	case head.RequestID == "" && resp.Reused:
		// It may be a late response to an earlier request on the connection, and proves
		// nothing about this one.
		_ = resp.Close(false)
		return attemptResult{outcome: dispatch.Broken, err: errUnverified}
	case head.Replaced:
		_ = resp.Close(false)
		q.server.pool.CloseIdle(c.Endpoint.Address)
		return attemptResult{outcome: dispatch.Replaced, notRun: true, err: errReplaced}
	case head.NotRun:
		r := q.endRejected(resp)
		if head.Pause > 0 {
			q.recordEndpointPause(c, head.Pause)
			r.outcome = dispatch.Paused
		}
		return r
	case !head.Executed:
		_ = resp.Close(false)
		return attemptResult{outcome: dispatch.Broken, err: errUnverified}
	}
	if head.Pause > 0 {
		q.recordEndpointPause(c, head.Pause)
	}
	onResponseStart := func() {
		if stall != nil {
			stall.Stop()
		}
		q.withBalancer(func(b *dispatch.Balancer) { b.RecordFirstEvent(time.Now(), c) })
	}
	notWaiting()
	var r attemptResult
	if q.route.Kind == routing.Stream && resp.StatusCode == http.StatusOK {
		r = q.relayStream(resp, onResponseStart)
	} else {
		q.countUsage()
		r = q.relayBuffered(resp, c, onResponseStart)
	}
	r.begun = true
	return r
}

// connectionFailure converts a connection error to an attempt result.
func connectionFailure(err error) attemptResult {
	r := attemptResult{outcome: dispatch.Broken, err: err}
	var reqErr *httpconn.RequestError
	if errors.As(err, &reqErr) {
		r.notRun, r.begun = !reqErr.Sent, reqErr.Begun
		if !reqErr.Connected {
			r.outcome = dispatch.Unreachable
		}
	}
	return r
}

// takeRetry reports whether a request may be sent again. If so, it takes a retry
// from the budget.
func (q *request) takeRetry(ctx context.Context, r attemptResult) bool {
	now := time.Now()
	if ctx.Err() != nil || errors.Is(r.err, errCallerDisconnected) || errors.Is(r.err, errQuarantined) || q.attemptCount >= maxAttempts || q.deadline.Sub(now) < minAttemptTime {
		return false
	}
	if !r.notRun && (!q.route.Repeatable() || q.runs >= max(1, q.route.Attempts)) {
		return false
	}
	if q.responseStarted && q.lastEvent < 0 {
		return false
	}
	budgetNow := clock.Now()
	entries := q.server.registry.slackEntries(budgetNow)
	allowed := q.serviceState.budget.Take(budgetNow, entries)
	kind, counter := eventRetryBudgetSpent, q.server.metrics.retriesDenied
	if allowed {
		kind, counter = eventRetryAllowed, q.server.metrics.retries
	}
	counter.Inc(1)
	usage := q.serviceState.budget.Usage(budgetNow, entries)
	q.server.options.Events.Emit(kind, q.eventFields(event.F("spent", usage.Spent), event.F("allowed", usage.Allowed), event.F("entries", usage.Entries),
		event.F("contact_ms", q.server.registry.slackShare.Age(budgetNow).Milliseconds()))...)
	return allowed
}

// giveUp ends a request that no attempt served. If the caller has disconnected, it
// aborts the connection. Otherwise it relays the response that was held back, if
// any, or reports whether the request may have run.
func (q *request) giveUp(ctx context.Context, last attemptResult, reason string) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(last.err, errCallerDisconnected), cause != nil && !errors.Is(cause, errTimeLimit) && !errors.Is(cause, errStopping):
		q.server.metrics.disconnected.Inc(1)
		q.server.options.Events.Emit(eventCallerLeft, q.eventFields(event.F("last_event", q.lastEvent))...)
		q.abort()
	case last.response != nil:
		q.sendBuffered(last.response)
	case q.runs > 0:
		status, code := http.StatusBadGateway, "endpoint-failed"
		switch {
		case errors.Is(cause, errStopping):
			code = "stopping"
		case cause != nil:
			status, code = http.StatusGatewayTimeout, "time-limit"
		}
		q.fail(status, code, last.err)
	case q.quarantinedPart != "":
		code := "part-quarantined"
		if strings.HasPrefix(q.quarantinedPart, quarantine.RequestPrefix) {
			code = "request-quarantined"
		}
		q.refuse(refusal(http.StatusServiceUnavailable, code, reason, quarantineRetryAfter))
	case errors.Is(cause, errStopping):
		q.refuse(refusal(http.StatusServiceUnavailable, "leaving", errStopping.Error(), drainRetryAfter))
	default:
		if reason == "" {
			reason = "no endpoint took the request"
		}
		q.serviceState.demand.refused.Add(1)
		q.refuse(refusal(http.StatusServiceUnavailable, "no-capacity", reason, q.retryAfter()))
	}
}

func (q *request) retryAfter() time.Duration {
	return dispatch.RetryAfter(q.demand.Objective, q.lateness, rand.Float64())
}
