package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/grants"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/upstream"
	"auburnstep.example/auburnstep/internal/verdict"
)

// maxPlainResponse bounds the size in bytes of a plain service's response that is
// relayed to the caller.
const maxPlainResponse = 64 << 20

// handlePlain serves /services/{service}/...
func (s *Server) handlePlain(w http.ResponseWriter, r *http.Request, q *request) *verdict.Error {
	service, ok := q.index.Service(r.PathValue("service"))
	if !ok || service.Engine {
		return verdict.Refused(http.StatusNotFound, "unknown_service", "there is no plain service "+quote(r.PathValue("service")))
	}
	q.service = service
	if refusal := q.classify(r.Header); refusal != nil {
		return refusal
	}
	reserved, refusal := s.reserveRequest(tierOf(q.class))
	if refusal != nil {
		return refusal
	}
	defer reserved.release()
	body, refusal := readReservedBody(w, r, q.class.MaxBodyBytes, reserved)
	if refusal != nil {
		return refusal
	}
	s.opts.Events.Emit(eventAccepted, q.fields(event.F("method", r.Method), event.F("bytes", len(body)))...)
	ctx, cancel := q.withDeadline(r)
	defer cancel()
	q.fingerprint = requestFingerprint(q.customer, r, body)
	c := &plainCall{s: s, q: q, w: w, reserved: reserved, body: body, method: r.Method, target: endpointTarget(r), header: endpointHeader(r.Header)}
	if q.idempotencyKey != "" {
		return s.runAtMostOnce(ctx, w, q, bodyHash(r, body), c.runForBooking)
	}
	return c.serve(ctx)
}

// endpointTarget returns the part of the path after the name of the service, and
// the query, encoded as the caller sent them.
func endpointTarget(r *http.Request) string {
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

// endpointHeader returns the headers that are forwarded to endpoints. The customer's
// key is not forwarded.
func endpointHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Authorization")
	out.Del(HeaderClass)
	out.Del(HeaderRequestID)
	out.Del(endpointapi.HeaderFencing)
	return out
}

// plainCall is one request to a plain service.
type plainCall struct {
	s          *Server
	q          *request
	w          http.ResponseWriter
	method     string
	target     string
	header     http.Header
	body       []byte
	reserved   *reservation
	headerSent bool
}

func (c *plainCall) upstreamCall(id string, l *grants.Lease) upstream.PlainCall {
	return upstream.PlainCall{
		Endpoint: l.Grant.Address, RequestID: id, Method: c.method, Target: c.target, Header: c.header,
		Body: bytes.NewReader(c.body), Length: int64(len(c.body)), MaxResponse: maxPlainResponse,
		MaxTimeToFirstByte: c.q.service.FirstTokenTimeout, MaxTimeBetweenBytes: c.q.service.IdleTimeout, ReuseConnection: c.q.class.Idempotent,
		SendBefore: l.UseUntil(),
	}
}

// serve forwards an idempotent request and streams the response to the caller.
func (c *plainCall) serve(ctx context.Context) *verdict.Error {
	var timeToFirstByte time.Duration
	err := newRetrier(c.s, c.q, c.q.schedulerRequest()).run(ctx, func(ctx context.Context, id string, l *grants.Lease) attemptResult {
		start := time.Now()
		response, err := c.s.opts.Upstream.Do(ctx, c.upstreamCall(id, l))
		if err != nil {
			return attemptResult{err: err, begun: upstream.HasBegun(err)}
		}
		defer response.Body.Close()
		timeToFirstByte = time.Since(c.q.start)
		attemptTimeToFirstByte := time.Since(start)
		return attemptResult{timeToFirstToken: attemptTimeToFirstByte, err: c.relay(response), begun: true}
	})
	if err == nil {
		c.s.recordCompleted(c.q, timeToFirstByte, 0)
		return nil
	}
	c.s.recordFailed(c.q, err, 0)
	if c.headerSent {
		// Aborting the connection shows the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	return err
}

// relay copies a response to the caller. After a failure before the first byte
// another attempt is possible; after a later failure it is not.
func (c *plainCall) relay(response *upstream.Response) error {
	buf := make([]byte, 32<<10)
	controller := http.NewResponseController(c.w)
	for {
		n, err := response.Body.Read(buf)
		if n > 0 || err == io.EOF {
			if !c.headerSent {
				c.writeHeader(response)
			}
			_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, writeErr := c.w.Write(buf[:n]); writeErr != nil {
				return errCallerDisconnected
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			if c.headerSent {
				return errResponseInterrupted{err}
			}
			return err
		}
	}
}

// errResponseInterrupted is the failure of a response that the caller has received
// in part. It does not unwrap to its cause, whose upstream.Reason might allow another
// attempt.
type errResponseInterrupted struct{ cause error }

// Error implements error.
func (e errResponseInterrupted) Error() string {
	return "the response was interrupted: " + e.cause.Error()
}

// Is makes the retrier treat the failure like a disconnected caller.
func (e errResponseInterrupted) Is(target error) bool { return target == errCallerDisconnected }

func (c *plainCall) writeHeader(response *upstream.Response) {
	c.headerSent = true
	h := c.w.Header()
	for name, values := range response.Header {
		if name != HeaderRequestID {
			h[name] = values
		}
	}
	h.Set(verdict.Header, verdict.Ran.String())
	c.w.WriteHeader(response.Status)
}

// runForBooking runs a request that must not repeat and returns its outcome. After a
// server error of the endpoint it is unknown whether the request took effect, so the
// error is not stored as an outcome for duplicates.
func (c *plainCall) runForBooking(ctx context.Context) (*controlv1.BookingOutcome, *verdict.Error) {
	var outcome *controlv1.BookingOutcome
	c.reserved.charge(maxStoredOutcome)
	err := newRetrier(c.s, c.q, c.q.schedulerRequest()).run(ctx, func(ctx context.Context, id string, l *grants.Lease) attemptResult {
		start, upstreamCall := time.Now(), c.upstreamCall(id, l)
		upstreamCall.MaxResponse = maxStoredOutcome
		response, err := c.s.opts.Upstream.Do(ctx, upstreamCall)
		if err != nil {
			return attemptResult{err: err, begun: upstream.HasBegun(err)}
		}
		defer response.Body.Close()
		timeToFirstByte := time.Since(start)
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return attemptResult{err: err, begun: true}
		}
		if response.Status >= http.StatusInternalServerError {
			return attemptResult{err: verdict.Unknown(http.StatusBadGateway, "endpoint_error",
				"the endpoint failed with status "+http.StatusText(response.Status)+"; the request may have run")}
		}
		outcome = &controlv1.BookingOutcome{
			Status: uint32(response.Status), ContentType: strings.ToValidUTF8(response.Header.Get("Content-Type"), ""), Body: body,
		}
		return attemptResult{timeToFirstToken: timeToFirstByte}
	})
	return outcome, err
}
