package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/openai"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/settings"
	"auburnstep.example/auburnstep/internal/verdict"
)

// Headers of the caller API.
const (
	HeaderClass          = "X-Auburnstep-Class"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks a stored outcome that is given to a duplicate.
	HeaderReplayed = "X-Auburnstep-Replayed"
)

// request is one caller's request with the settings it is served under.
type request struct {
	id    string
	start time.Time
	// deadline is set together with class.
	deadline time.Time
	index    *settings.Index
	customer string
	service  *settings.ServicePolicy
	class    *settings.ClassPolicy
	// key is the idempotency key, set only for a class that is not idempotent.
	key string
	// spent is added to the counters of the customer when the request ends.
	spent spending
}

// handler serves one authenticated request. A returned error is written to the
// caller, unless the answer has begun.
type handler func(w http.ResponseWriter, r *http.Request, q *request) *verdict.Error

// caller wraps a handler with the checks that hold for every caller.
func (s *Server) caller(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		q := &request{id: uuid.NewString(), start: time.Now()}
		w.Header().Set(HeaderRequestID, q.id)
		if r.ContentLength != 0 {
			setReadDeadline(w, s.bodyTimeout)
		}
		var err *verdict.Error
		// A handler that breaks an answer off panics.
		defer func() { s.account(q, err) }()
		if err = s.admit(r, q); err == nil {
			err = h(w, r, q)
		}
		if err != nil {
			s.o.Events.Emit(eventRefused, event.Request(q.id), event.Customer(q.customer), event.F("code", err.Code),
				event.F("status", err.Status), event.F("verdict", err.Verdict))
			writeError(w, err)
		}
	})
}

// admit checks that the settings are current and names the customer.
func (s *Server) admit(r *http.Request, q *request) *verdict.Error {
	if !s.o.View.Fresh() {
		return verdict.StaleSettings()
	}
	q.index = s.o.View.Index()
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return verdict.Refused(http.StatusUnauthorized, "missing_key", "the Authorization header holds no bearer key")
	}
	// Only the hash of the key is looked up, so the time of the look-up says
	// nothing about how close a guess is.
	customer, ok := q.index.CustomerByKeyHash(settings.HashKey(key))
	if !ok {
		return verdict.Refused(http.StatusUnauthorized, "invalid_key", "the bearer key belongs to no customer")
	}
	q.customer = customer
	return nil
}

// classify sets what the headers decide once the service is known: the class,
// the deadline and the idempotency key.
func (q *request) classify(h http.Header) *verdict.Error {
	if refusal := q.findClass(h); refusal != nil {
		return refusal
	}
	if refusal := q.bound(h); refusal != nil {
		return refusal
	}
	return q.findKey(h)
}

func (q *request) findClass(h http.Header) *verdict.Error {
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

func (q *request) findKey(h http.Header) *verdict.Error {
	if q.class.Idempotent {
		return nil
	}
	q.key = h.Get(HeaderIdempotencyKey)
	if !openai.CleanID(q.key) {
		return verdict.Refused(http.StatusBadRequest, "missing_idempotency_key", "requests of class "+q.class.Class+
			" run at most once and need an "+HeaderIdempotencyKey+" of 1 to 128 printable characters without spaces")
	}
	return nil
}

// demand describes the request to the scheduler.
func (q *request) demand() *schedulerv1.Request {
	return &schedulerv1.Request{Customer: q.customer, Class: q.class.Class, MayRepeat: q.class.Idempotent}
}

// context bounds the request by its deadline.
func (q *request) context(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithDeadline(r.Context(), q.deadline)
}

// fields identifies the request in events.
func (q *request) fields(more ...event.Field) []event.Field {
	return append([]event.Field{
		event.Request(q.id), event.Customer(q.customer), event.F("service", q.service.Name), event.F("class", q.class.Class),
	}, more...)
}

// quote shortens a caller's text for an error message.
func quote(s string) string {
	const most = 64
	if len(s) > most {
		s = s[:most] + "..."
	}
	return "\"" + s + "\""
}

// largestBody returns the largest body that any class of the customer accepts.
func largestBody(x *settings.Index, services []*settings.ServicePolicy, customer string) int64 {
	var most int64
	for _, service := range services {
		for _, class := range service.Classes {
			if c, ok := x.ClassPolicy(service.Name, class, customer); ok {
				most = max(most, c.BodyMax)
			}
		}
	}
	return most
}
