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

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	// maxBody bounds bodies before a table names a lower bound.
	maxBody = 4 << 20
	// bodyTimeout is how long a caller may take to send a body.
	bodyTimeout = 10 * time.Second
	// leavingReturn is when callers come back to another entry.
	leavingReturn = 20 * time.Millisecond
	// routePriorities is how many priorities of routes are told apart for each
	// priority of customers; endpoints know ten ranks in all.
	routePriorities = 3
	// defaultCustomerPriority is that of customers without one.
	defaultCustomerPriority = 1
	// startupReturn is when callers come back to an entry without a routing table:
	// an entry learns the table within 0.3 s of the first answer of the feed.
	startupReturn = 500 * time.Millisecond
)

// request is one request of a caller on its way.
type request struct {
	server   *Server
	call     Call
	route    *routing.Route
	service  string
	backend  *backend
	customer *routing.Customer
	method   string
	target   string
	host     string
	body     []byte
	arrived  time.Time
	deadline time.Time
	demand   dispatch.Demand
	// lateRank tells that the rank after the request's own is free for late work.
	lateRank bool

	w http.ResponseWriter
	// runs counts the attempts that have run or may have run, sends all attempts.
	runs, sends int
	avoid       []string
	// behind is by how much the last placement would miss the objective.
	behind time.Duration
	// relayed tells that a part of an answer went to the caller; lastEvent is the
	// id of the last event of it.
	relayed   bool
	lastEvent int64
	// firstEvent is the time from the request's arrival to its first event, 0 for
	// answers that are not streams.
	firstEvent time.Duration
}

// errCallerLeft ends the work for a caller that has gone; errTimeLimit the work
// of a request whose time is over.
var (
	errCallerLeft = errors.New("the caller has left")
	errTimeLimit  = errors.New("the time limit of the request has passed")
	errStalled    = errors.New("the endpoint did not begin to answer in time")
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.metrics.requests.Inc(1)
	s.metrics.inFlight.Update(float64(s.inFlight.Add(1)))
	defer func() { s.metrics.inFlight.Update(float64(s.inFlight.Add(-1))) }()
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{server: s, w: w, arrived: time.Now(), method: r.Method, target: r.RequestURI, host: r.Host}
	if failure := q.accept(r); failure != nil {
		q.deny(failure)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errTimeLimit)
	defer cancel()
	q.serve(ctx)
}

// accept decodes a request, finds its route and customer, and reads its body.
func (q *request) accept(r *http.Request) *verdict.Error {
	index := q.server.options.Routing()
	if index == nil {
		return refusal(http.StatusServiceUnavailable, "no-table", "no routing table is known yet", startupReturn)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	var err error
	q.call, err = q.server.options.Codec.Decode(r)
	if q.route = index.Match(r.Host, path); q.route == nil {
		return refusal(http.StatusNotFound, "no-route", "no route serves this host and path", 0)
	}
	if err != nil {
		return refusal(http.StatusBadRequest, "bad-request", err.Error(), 0)
	}
	if index.Table.Keyed && !q.route.Public {
		if q.customer = index.Customer(q.call.Key); q.customer == nil {
			return refusal(http.StatusUnauthorized, "bad-key", "the key is missing or unknown", 0)
		}
	}
	if failure := q.readBody(r, index.Table.Limits); failure != nil {
		return failure
	}
	if since := q.server.drainingFor(); since > q.server.options.DrainWait {
		// What begins now may not end before the process does.
		return refusal(http.StatusServiceUnavailable, "leaving", "the entry is stopping", leavingReturn)
	}
	q.service = q.route.Pick(rand.Float64())
	if q.backend = q.server.fleet.backend(q.service); q.backend == nil {
		return refusal(http.StatusServiceUnavailable, "no-service", "the service of the route is not known yet", startupReturn)
	}
	next := q.route.Priority + 1
	q.lateRank = next > 0 && next < routePriorities && !index.UsesPriority(q.service, next)
	q.limitTime()
	return nil
}

// limitTime sets the deadline to what ends first, the caller's patience or the
// time limit of the route.
func (q *request) limitTime() {
	wait := q.route.Timeout()
	if q.call.Patience > 0 {
		wait = min(wait, q.call.Patience)
	}
	q.deadline = q.arrived.Add(wait)
	q.lastEvent = -1
	if n, err := strconv.ParseInt(q.call.LastEvent, 10, 64); err == nil {
		q.lastEvent = n
	}
	q.demand = dispatch.Demand{
		Prompt: q.call.Prompt, Rank: q.rank(), Objective: q.route.Objective(), Arrived: q.arrived, Deadline: q.deadline,
	}
}

// rank orders requests at the endpoint: by the priority of the customer, and
// within it by that of the route.
func (q *request) rank() int {
	customer := defaultCustomerPriority
	if q.customer != nil && q.customer.Priority != nil {
		customer = *q.customer.Priority
	}
	route := min(max(0, q.route.Priority), routePriorities-1)
	return min(dispatch.MaxRank, max(0, customer)*routePriorities+route)
}

func (q *request) readBody(r *http.Request, limits routing.Limits) *verdict.Error {
	limit := int64(maxBody)
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
	// A listener without deadlines, as in tests, has none to set.
	_ = control.SetReadDeadline(q.arrived.Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		return refusal(http.StatusBadRequest, "body-broken", "the body could not be read", 0)
	case int64(len(body)) > limit:
		return refusal(http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large", 0)
	}
	q.body = body
	return nil
}

// refusal is the end of a request that has not run.
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
		event.F("status", e.Status), event.F("code", e.Code), event.F("table", q.tableVersion()))
	q.reply(e)
}

// refuse ends a request that has not run and tells when to come back.
func (q *request) refuse(e *verdict.Error) {
	q.server.metrics.refused.Inc(1)
	q.server.options.Events.Emit(eventRefused, q.fields(event.F("status", e.Status), event.F("code", e.Code),
		event.F("reason", e.Message), event.F("behind_ms", q.behind.Milliseconds()), event.F("retry_after", e.RetryAfter))...)
	q.reply(e)
}

// fail ends a request that may have run.
func (q *request) fail(status int, code string, err error) {
	q.server.metrics.failed.Inc(1)
	q.server.options.Events.Emit(eventFailed, q.fields(event.F("status", status), event.F("code", code), event.F("error", err),
		event.F("last_event", q.lastEvent))...)
	if q.relayed {
		// The connection ends without the end of the answer, so that it does not
		// look complete.
		panic(http.ErrAbortHandler)
	}
	q.reply(&verdict.Error{Verdict: verdict.MayHaveRun, Status: status, Code: code, Message: err.Error()})
}

// fields describes a request in the log.
func (q *request) fields(more ...event.Field) []event.Field {
	out := []event.Field{
		event.Request(q.call.ID), event.F("route", routeName(q.route)), event.F("service", q.service), event.F("sends", q.sends),
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

func (q *request) tableVersion() uint64 {
	if x := q.server.options.Routing(); x != nil {
		return x.Table.Version
	}
	return 0
}

// reply sends an answer of the router's own.
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
	// A caller that has gone shows by its context.
	_, _ = io.WriteString(q.w, body)
}
