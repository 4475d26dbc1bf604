package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/grants"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/upstream"
	"auburnstep.example/auburnstep/internal/verdict"
)

// maxAnswer bounds the answer of a plain service that is passed on.
const maxAnswer = 64 << 20

// plain serves /services/{service}/...
func (s *Server) plain(w http.ResponseWriter, r *http.Request, q *request) *verdict.Error {
	service, ok := q.index.Service(r.PathValue("service"))
	if !ok || service.Engine {
		return verdict.Refused(http.StatusNotFound, "unknown_service", "there is no plain service "+quote(r.PathValue("service")))
	}
	q.service = service
	if refusal := q.classify(r.Header); refusal != nil {
		return refusal
	}
	held, refusal := s.enter(tierOf(q.class))
	if refusal != nil {
		return refusal
	}
	defer held.leave()
	body, refusal := readBounded(w, r, q.class.BodyMax, held)
	if refusal != nil {
		return refusal
	}
	s.o.Events.Emit(eventAccepted, q.fields(event.F("method", r.Method), event.F("bytes", len(body)))...)
	ctx, cancel := q.context(r)
	defer cancel()
	c := &plainCall{s: s, q: q, w: w, held: held, body: body, method: r.Method, target: plainTarget(r), header: plainHeader(r.Header)}
	if q.key != "" {
		return s.atMostOnce(ctx, w, q, bodyHash(r, body), c.recorded)
	}
	return c.serve(ctx)
}

// plainTarget returns the path and query below the name of the service, in
// the caller's own encoding.
func plainTarget(r *http.Request) string {
	target := "/" + r.PathValue("rest")
	prefix := "/services/" + r.PathValue("service")
	if escaped := r.URL.EscapedPath(); len(escaped) > len(prefix) && escaped[:len(prefix)] == prefix {
		target = escaped[len(prefix):]
	}
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return target
}

// plainHeader returns the headers that endpoints may see. The customer's key
// stays inside the system.
func plainHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Authorization")
	out.Del(HeaderClass)
	out.Del(HeaderRequestID)
	out.Del(endpointapi.HeaderFencing)
	return out
}

// plainCall is one call of a plain service.
type plainCall struct {
	s      *Server
	q      *request
	w      http.ResponseWriter
	method string
	target string
	header http.Header
	body   []byte
	held   *room
	begun  bool
}

func (c *plainCall) call(id string, l *grants.Lease) upstream.PlainCall {
	return upstream.PlainCall{
		Endpoint: l.Grant.Address, RequestID: id, Method: c.method, Target: c.target, Header: c.header,
		Body: bytes.NewReader(c.body), Length: int64(len(c.body)), MaxAnswer: maxAnswer,
		FirstByte: c.q.service.FirstTokenTimeout, BetweenBytes: c.q.service.IdleTimeout, MayRepeat: c.q.class.Idempotent,
		SendBefore: l.UseUntil(),
	}
}

// serve passes an idempotent call on and streams its answer.
func (c *plainCall) serve(ctx context.Context) *verdict.Error {
	var first time.Duration
	err := newAttempts(c.s, c.q, c.q.demand()).run(ctx, func(ctx context.Context, id string, l *grants.Lease) result {
		start := time.Now()
		answer, err := c.s.o.Upstream.Do(ctx, c.call(id, l))
		if err != nil {
			return result{err: err}
		}
		defer answer.Body.Close()
		first = time.Since(c.q.start)
		took := time.Since(start)
		return result{firstToken: took, err: c.pass(answer)}
	})
	if err == nil {
		c.s.finished(c.q, first, 0)
		return nil
	}
	c.s.failed(c.q, err, 0)
	if c.begun {
		// The caller must see a broken answer, not a short one.
		panic(http.ErrAbortHandler)
	}
	return err
}

// pass copies an answer to the caller. A failure before the first byte leaves
// the way open for another attempt; one after it does not.
func (c *plainCall) pass(answer *upstream.Answer) error {
	buf := make([]byte, 32<<10)
	control := http.NewResponseController(c.w)
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 || err == io.EOF {
			if !c.begun {
				c.begin(answer)
			}
			_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, werr := c.w.Write(buf[:n]); werr != nil {
				return errCallerGone
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			if c.begun {
				return errAnswerBegun{err}
			}
			return err
		}
	}
}

// errAnswerBegun is the failure of an answer whose first part the caller has.
// It hides the reason of its cause, so that no other attempt follows.
type errAnswerBegun struct{ cause error }

// Error implements error.
func (e errAnswerBegun) Error() string { return "the answer broke off: " + e.cause.Error() }

// Is makes the retry layer treat the failure like a caller that is gone.
func (e errAnswerBegun) Is(target error) bool { return target == errCallerGone }

func (c *plainCall) begin(answer *upstream.Answer) {
	c.begun = true
	h := c.w.Header()
	for name, values := range answer.Header {
		if name != HeaderRequestID {
			h[name] = values
		}
	}
	h.Set(verdict.Header, verdict.Ran.String())
	c.w.WriteHeader(answer.Status)
}

// recorded runs a call that must not repeat and returns its whole outcome. A
// server error of the endpoint leaves open whether the call took effect, so it
// is no outcome that duplicates could be told.
func (c *plainCall) recorded(ctx context.Context) (*controlv1.BookingOutcome, *verdict.Error) {
	var outcome *controlv1.BookingOutcome
	c.held.charge(maxStoredOutcome)
	err := newAttempts(c.s, c.q, c.q.demand()).run(ctx, func(ctx context.Context, id string, l *grants.Lease) result {
		start, call := time.Now(), c.call(id, l)
		call.MaxAnswer = maxStoredOutcome
		answer, err := c.s.o.Upstream.Do(ctx, call)
		if err != nil {
			return result{err: err}
		}
		defer answer.Body.Close()
		first := time.Since(start)
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			return result{err: err}
		}
		if answer.Status >= http.StatusInternalServerError {
			return result{err: verdict.Unknown(http.StatusBadGateway, "endpoint_error",
				"the endpoint failed with status "+http.StatusText(answer.Status)+"; the request may have run")}
		}
		outcome = &controlv1.BookingOutcome{
			Status: uint32(answer.Status), ContentType: answer.Header.Get("Content-Type"), Body: body,
		}
		return result{firstToken: first}
	})
	return outcome, err
}
