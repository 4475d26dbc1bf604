package router

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/bytebudget"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	// maxBodyBytes bounds request bodies if the routing table names no bound.
	maxBodyBytes = 4 << 20
	// bodyReadTimeout is how long a caller may take to send a body.
	bodyReadTimeout = 10 * time.Second
	// drainRetryAfter is the Retry-After of a draining entry: callers can retry at
	// another entry almost at once.
	drainRetryAfter = 20 * time.Millisecond
	// routePriorityLevels is the number of route priorities that are distinguished
	// within each customer priority; endpoints support only ten ranks in total.
	routePriorityLevels = 3
	// defaultCustomerPriority is the priority of customers that have none configured.
	defaultCustomerPriority = 1
	// startupRetryAfter is the Retry-After of an entry that has no routing table. An
	// entry receives the table within 0.3 s of the first response of the feed.
	startupRetryAfter = 500 * time.Millisecond
)

// request is a caller's request in progress.
type request struct {
	server *Server
	call   Call
	// table is the routing table that the request is handled by.
	table        Table
	route        *routing.Route
	service      string
	serviceState *serviceState
	customer     *routing.Customer
	method       string
	target       string
	host         string
	body         bytebudget.Body
	arrived      time.Time
	deadline     time.Time
	demand       dispatch.Demand
	competition  competition
	// lateRankFree reports that no other route of the service uses the rank after the
	// request's own, so late work may take it.
	lateRankFree bool

	// heldResponse is the body of the endpoint's response that is buffered last.
	heldResponse bytebudget.Body

	w http.ResponseWriter
	// attemptCount counts all attempts, runs those that ran or may have run.
	runs, attemptCount int
	avoid              []string
	// lateness is by how much the last placement was predicted to miss the objective.
	lateness time.Duration
	// responseStarted reports that part of a response was sent to the caller.
	// lastEvent is the id of the last event that the caller has received, or -1.
	responseStarted bool
	lastEvent       int64
	// usageCounted is set once the request is part of its customer's usage.
	usageCounted bool
	// lastEventAt is when the last event of the present attempt arrived, and longestPause
	// the longest time between two of its events.
	lastEventAt  time.Time
	longestPause time.Duration
	// attemptEvents is the number of events of the present attempt.
	attemptEvents int
	// attemptEventAt is when the first event of the present attempt arrived.
	attemptEventAt time.Time
	// cachedFingerprint and cachedSuspects are the results of fingerprint and suspects, zero
	// before their first calls.
	cachedFingerprint string
	cachedSuspects    []string
	// quarantinedPart is the part of the prompt, or the fingerprint, for which the request is
	// refused.
	quarantinedPart string
	// closeDelimited is set if the caller's protocol marks the end of a response of unknown
	// length only by closing the connection.
	closeDelimited bool
	// firstEvent is the time from the request's arrival to its first event, 0 for
	// responses that are not streams.
	firstEvent time.Duration
}

// Causes that end a request or an attempt: the caller disconnected, the request's
// deadline passed, the endpoint's first event was overdue, or the grace time of the entry
// is about to end.
var (
	errCallerDisconnected = errors.New("the caller has disconnected")
	errTimeLimit          = errors.New("the time limit of the request has passed")
	errStalled            = errors.New("the endpoint did not begin to answer in time")
	errStopping           = errors.New("the entry is stopping")
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.metrics.requests.Inc(1)
	s.metrics.inFlight.Update(float64(s.inFlight.Add(1)))
	defer func() { s.metrics.inFlight.Update(float64(s.inFlight.Add(-1))) }()
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{server: s, w: w, arrived: time.Now(), method: r.Method, target: r.RequestURI, host: r.Host,
		closeDelimited: !r.ProtoAtLeast(1, 1)}
	defer func() { q.body.Release(); q.heldResponse.Release() }()
	if failure := q.accept(r); failure != nil {
		q.deny(failure)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errTimeLimit)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(s.stopping, func() { end(errStopping) })()
	q.serve(ctx)
}

// accept decodes a request, finds its route and customer, and reads its body.
func (q *request) accept(r *http.Request) *verdict.Error {
	if q.server.options.Routing().Index == nil {
		return refusal(http.StatusServiceUnavailable, "no-table", "no routing table is known yet", startupRetryAfter)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	var err error
	if q.call, err = q.server.options.Codec.DecodeRequest(r); err == nil {
		err = q.call.CheckText()
	}
	q.findTable(r.Context())
	index := q.table.Index
	if q.route = index.Match(r.Host, path); q.route == nil {
		return q.denial(http.StatusNotFound, "no-route", "no route serves this host and path")
	}
	if err != nil {
		return refusal(http.StatusBadRequest, "bad-request", err.Error(), 0)
	}
	if index.Table.KeyRequired && !q.route.Public {
		if q.customer = index.Customer(q.call.Key); q.customer == nil {
			return q.denial(http.StatusUnauthorized, "bad-key", "the key is missing or unknown")
		}
	}
	if failure := q.readBody(r, index.Table.Limits); failure != nil {
		return failure
	}
	if draining := q.server.drainingFor(); draining > q.server.options.DrainWait {
		// A request that starts now may not end before the process exits.
		return refusal(http.StatusServiceUnavailable, "leaving", "the entry is stopping", drainRetryAfter)
	}
	q.service = q.route.PickService(rand.Float64())
	if q.serviceState = q.server.registry.serviceState(q.service); q.serviceState == nil {
		return refusal(http.StatusServiceUnavailable, "no-service", "the service of the route is not known yet", startupRetryAfter)
	}
	next := q.route.Priority + 1
	q.lateRankFree = next > 0 && next < routePriorityLevels && !index.UsesPriority(q.service, next)
	q.setDemand()
	return nil
}

// setDemand sets the deadline to the earlier of the caller's own timeout and the
// route's time limit, and derives the last event received by the caller and the
// demand passed to the balancer.
func (q *request) setDemand() {
	timeout := q.route.Timeout()
	if q.call.MaxWait > 0 {
		timeout = min(timeout, q.call.MaxWait)
	}
	q.deadline = q.arrived.Add(timeout)
	q.lastEvent = -1
	if n, err := strconv.ParseInt(q.call.LastEvent, 10, 64); err == nil {
		q.lastEvent = n
	}
	q.demand = dispatch.Demand{
		Prompt: q.call.Prompt, Rank: q.rank(), Objective: q.route.Objective(), LateLast: q.lateRankFree, Arrived: q.arrived, Deadline: q.deadline,
	}
}

// rank returns the request's rank at the endpoint: ordered by the priority of the
// customer, then by the priority of the route.
func (q *request) rank() int {
	customer := defaultCustomerPriority
	if q.customer != nil && q.customer.Priority != nil {
		customer = *q.customer.Priority
	}
	route := min(max(0, q.route.Priority), routePriorityLevels-1)
	return min(dispatch.MaxRank, max(0, customer)*routePriorityLevels+route)
}

func (q *request) readBody(r *http.Request, limits routing.Limits) *verdict.Error {
	limit := int64(maxBodyBytes)
	if limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	if r.ContentLength > limit {
		return refusal(http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large", 0)
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(q.w)
	// Errors are ignored: connections without deadline support, as in tests, have no
	// deadline to set.
	_ = control.SetReadDeadline(q.arrived.Add(bodyReadTimeout))
	body, err := q.server.requestBodies.ReadAllWith(r.Body, r.ContentLength, limit, func(take func() bool) bool {
		return q.server.options.MakeRoom != nil && q.server.options.MakeRoom(r.Context(), take)
	})
	if errors.Is(err, bytebudget.ErrExhausted) {
		// A response before the end of the body would be lost with the connection.
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, limit)) // The refusal does not depend on it.
	}
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, bytebudget.ErrTooLarge):
		return refusal(http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large", 0)
	case errors.Is(err, bytebudget.ErrExhausted):
		return refusal(http.StatusServiceUnavailable, "no-memory", err.Error(), startupRetryAfter)
	case err != nil:
		return refusal(http.StatusBadRequest, "body-broken", "the body could not be read", 0)
	}
	q.body = body
	return nil
}

// refusal returns the error response for a request that has not run.
func refusal(status int, code, message string, retryAfter time.Duration) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: status, Code: code, Message: message, RetryAfter: retryAfter}
}

// deny ends a request that was not accepted.
func (q *request) deny(e *verdict.Error) {
	if e.Status == http.StatusServiceUnavailable {
		q.refuse(e)
		return
	}
	q.server.metrics.denied.Inc(1)
	q.server.options.Events.Emit(eventDenied, event.Request(q.call.ID), event.F("host", q.host), event.F("target", q.target),
		event.F("status", e.Status), event.F("code", e.Code), event.F("table", q.table.version()), event.F("table_age_ms", q.table.Age.Milliseconds()))
	q.reply(e)
}

// refuse ends a request that has not run and states when the caller may retry.
func (q *request) refuse(e *verdict.Error) {
	q.server.metrics.refused.Inc(1)
	fields := q.eventFields(event.F("status", e.Status), event.F("code", e.Code),
		event.F("reason", e.Message), event.F("table", q.table.version()), event.F("table_age_ms", q.table.Age.Milliseconds()), event.F("rank", q.demand.Rank), event.F("behind_ms", q.lateness.Milliseconds()), event.F("retry_after", e.RetryAfter),
		event.F("part", q.quarantinedPart))
	q.server.options.Events.Emit(eventRefused, append(fields, q.excessFields()...)...)
	q.reply(e)
}

// fail ends a request that may have run.
func (q *request) fail(status int, code string, err error) {
	q.server.metrics.failed.Inc(1)
	q.server.options.Events.Emit(eventFailed, q.eventFields(event.F("status", status), event.F("code", code), event.F("error", err),
		event.F("last_event", q.lastEvent))...)
	if q.responseStarted {
		q.abort()
	}
	q.reply(&verdict.Error{Verdict: verdict.MayHaveRun, Status: status, Code: code, Message: err.Error()})
}

// abort ends the connection without a proper end of the response, so that the response
// does not look complete. Events that were relayed are sent before. It does not return.
func (q *request) abort() {
	if q.responseStarted {
		_ = http.NewResponseController(q.w).Flush() // Fails only if the caller has disconnected.
	}
	if q.responseStarted && q.closeDelimited {
		q.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection with a reset. Callers with HTTP/1.0 take a regular
// close for the end of the response.
func (q *request) resetConnection() {
	conn, _, err := http.NewResponseController(q.w).Hijack()
	if err != nil {
		q.server.options.Events.Emit(eventResetFailed, q.eventFields(event.F("error", err))...)
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // Fails only on a closed connection.
	}
	_ = conn.Close()
}

// eventFields returns the event fields that describe a request, followed by more.
func (q *request) eventFields(more ...event.Field) []event.Field {
	out := []event.Field{
		event.Request(q.call.ID), event.F("route", routeName(q.route)), event.F("service", q.service), event.F("sends", q.attemptCount),
		event.F("runs", q.runs), event.F("elapsed_ms", time.Since(q.arrived).Milliseconds()),
	}
	return append(out, more...)
}

func routeName(r *routing.Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

// partsField returns the ids of prompt parts as an event field, separated by commas.
func partsField(parts []dispatch.Part) string { return strings.Join(partIDs(parts), ",") }

// reply sends a response that the router itself made.
func (q *request) reply(e *verdict.Error) {
	h := q.w.Header()
	h.Set(verdict.Header, e.Verdict.String())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := e.Message + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(e.Status)
	// Write errors are ignored: the context reports that the caller disconnected.
	_, _ = io.WriteString(q.w, body)
}
