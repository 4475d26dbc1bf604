package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"auburnstep.example/auburnstep/internal/event"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/settings"
	"auburnstep.example/auburnstep/internal/text"
	"auburnstep.example/auburnstep/internal/verdict"
)

// Headers of the caller API.
const (
	HeaderClass          = "X-Auburnstep-Class"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks a response to a duplicate that was made from the stored
	// outcome of the first request.
	HeaderReplayed = "X-Auburnstep-Replayed"
)

// request is one caller's request and the settings that apply to it.
type request struct {
	id    string
	start time.Time
	// deadline is set when class is set.
	deadline time.Time
	index    *settings.Index
	customer string
	service  *settings.ServicePolicy
	class    *settings.ClassPolicy
	// idempotencyKey is set only for a class that is not idempotent.
	idempotencyKey string
	// fingerprint is set once the body has been read; see requestFingerprint.
	fingerprint string
	// delta is added to the counters of the customer when the request ends.
	delta usageDelta
}

// handler serves one authenticated request. A returned error is written to the
// caller; a handler that has already sent a part of the response must not return one.
type handler func(w http.ResponseWriter, r *http.Request, q *request) *verdict.Error

// callerHandler wraps a handler with the request ID, the authentication and the
// accounting that all requests of callers share.
func (s *Server) callerHandler(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		q := &request{id: uuid.NewString(), start: time.Now()}
		w.Header().Set(HeaderRequestID, q.id)
		if r.ContentLength != 0 {
			setReadDeadline(w, s.bodyTimeout)
		}
		var err *verdict.Error
		// Deferred, because a handler panics to abort a response that has begun.
		defer func() { s.recordUsage(q, err) }()
		if err = s.authenticate(r, q); err == nil {
			err = h(w, r, q)
		}
		if err != nil {
			s.opts.Events.Emit(eventErrorResponse, event.Request(q.id), event.Customer(q.customer), event.F("code", err.Code),
				event.F("status", err.Status), event.F("verdict", err.Verdict))
			writeError(w, err)
		}
	})
}

// authenticate checks that the settings are current and sets the customer by the
// bearer key.
func (s *Server) authenticate(r *http.Request, q *request) *verdict.Error {
	if !s.opts.View.Fresh() {
		return verdict.StaleSettings()
	}
	q.index = s.opts.View.Index()
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return verdict.Refused(http.StatusUnauthorized, "missing_key", "the Authorization header holds no bearer key")
	}
	// The lookup uses the hash of the key, so its duration reveals nothing about
	// how close a guess is.
	customer, ok := q.index.CustomerByKeyHash(settings.HashKey(key))
	if !ok {
		return verdict.Refused(http.StatusUnauthorized, "invalid_key", "the bearer key belongs to no customer")
	}
	q.customer = customer
	return nil
}

// classify sets the class, the deadline and the idempotency key from the headers.
// The service must be set.
func (q *request) classify(h http.Header) *verdict.Error {
	if refusal := q.resolveClass(h); refusal != nil {
		return refusal
	}
	if refusal := q.setDeadline(h); refusal != nil {
		return refusal
	}
	return q.setIdempotencyKey(h)
}

func (q *request) resolveClass(h http.Header) *verdict.Error {
	name := h.Get(HeaderClass)
	if name == "" {
		name = q.service.DefaultClass
	}
	if name == "" {
		return verdict.Refused(http.StatusBadRequest, "missing_class",
			"service "+q.service.Name+" has no default class; name one in "+HeaderClass)
	}
	class, ok := q.index.ClassPolicy(q.service.Name, name, q.customer)
	if !ok {
		return verdict.Refused(http.StatusBadRequest, "unknown_class",
			"service "+q.service.Name+" has no class "+quote(name)+"; it has "+strings.Join(q.service.Classes, ", "))
	}
	q.class = class
	return nil
}

func (q *request) setIdempotencyKey(h http.Header) *verdict.Error {
	if q.class.Idempotent {
		return nil
	}
	q.idempotencyKey = h.Get(HeaderIdempotencyKey)
	if !text.IsID(q.idempotencyKey) {
		return verdict.Refused(http.StatusBadRequest, "missing_idempotency_key", "requests of class "+q.class.Class+
			" run at most once and need an "+HeaderIdempotencyKey+" of 1 to 128 printable characters without spaces")
	}
	return nil
}

// schedulerRequest returns the description of the request for the scheduler.
func (q *request) schedulerRequest() *schedulerv1.Request {
	return &schedulerv1.Request{Customer: q.customer, Class: q.class.Class, MayRepeat: q.class.Idempotent, Fingerprint: q.fingerprint}
}

// withDeadline returns the context of r, bounded by the deadline of the request.
func (q *request) withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithDeadline(r.Context(), q.deadline)
}

// fields returns the event fields that identify the request, followed by more.
func (q *request) fields(more ...event.Field) []event.Field {
	return append([]event.Field{
		event.Request(q.id), event.Customer(q.customer), event.F("service", q.service.Name), event.F("class", q.class.Class),
	}, more...)
}

// quote returns a caller's text in quotes for an error message, shortened to 64
// bytes.
func quote(s string) string {
	const maxLength = 64
	if len(s) > maxLength {
		s = s[:maxLength] + "..."
	}
	return "\"" + s + "\""
}

// largestBody returns the largest body that any class of the customer accepts.
func largestBody(x *settings.Index, services []*settings.ServicePolicy, customer string) int64 {
	var largest int64
	for _, service := range services {
		for _, class := range service.Classes {
			if c, ok := x.ClassPolicy(service.Name, class, customer); ok {
				largest = max(largest, c.MaxBodyBytes)
			}
		}
	}
	return largest
}
