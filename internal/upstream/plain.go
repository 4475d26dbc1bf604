package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"auburnstep.example/auburnstep/internal/verdict"
)

// PlainCall is one call to a plain service.
type PlainCall struct {
	// Endpoint is host:port.
	Endpoint  string
	RequestID string
	Method    string
	// Target is the path with an optional query, as in a request line.
	Target string
	// Header is forwarded without its hop-by-hop headers.
	Header http.Header
	// Body may be nil. Length is its length in bytes, or -1 if it is unknown.
	Body   io.Reader
	Length int64
	// MaxBody and MaxResponse limit the size of the request body and the response body
	// in bytes. Zero sets no limit.
	MaxBody     int64
	MaxResponse int64
	// MaxTimeToFirstByte limits the time from the call to the response header,
	// MaxTimeBetweenBytes the time that one Read waits for more bytes. Zero sets no
	// limit.
	MaxTimeToFirstByte  time.Duration
	MaxTimeBetweenBytes time.Duration
	// SendBefore is the time of clock.Now after which the request must not be sent; zero sets no
	// limit.
	SendBefore time.Time
	// ReuseConnection allows the use of an idle connection. It must be set only for
	// requests that may be repeated: if the endpoint has closed the idle connection, it
	// is unknown whether it ran the request.
	ReuseConnection bool
}

// Response is the response of a plain service. Reads of Body return io.EOF only after the
// complete response; any other error is a *RequestError. The caller must close Body.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	Body   io.ReadCloser
}

var errBodyTooLarge = Error.New("the request body exceeds the size limit")

// Do sends a call to a plain service. If the endpoint rejects the call with proof that it
// did not run, Do returns a *RequestError with the verdict NotRun. A response with any
// other error status is returned like a successful one.
func (c *Client) Do(ctx context.Context, call PlainCall) (*Response, error) {
	a := attempt{c, call.Endpoint, call.RequestID}
	if call.MaxBody > 0 && call.Length > call.MaxBody {
		return nil, a.recordError(ReasonRequestTooLarge, verdict.NotRun, errBodyTooLarge)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	body := &boundedBody{reader: call.Body, limit: call.MaxBody, length: call.Length}
	req, err := c.newPlainRequest(ctx, call, body)
	if err != nil {
		cancel(err)
		return nil, a.recordError(ReasonInvalid, verdict.NotRun, err)
	}
	timer := newOptionalTimer(call.MaxTimeToFirstByte, func() { cancel(errFirstTokenTimeout) })
	resp, tracker, err := c.roundTrip(req, call.ReuseConnection, call.SendBefore)
	timer.stop()
	if err != nil {
		reqErr := a.classifyRoundTripError(ctx, tracker, err)
		cancel(err)
		return nil, body.attributeError(a, reqErr)
	}
	response, err := a.response(ctx, cancel, call, resp, tracker)
	if err != nil {
		cancel(err)
		_ = resp.Body.Close()
		return nil, err
	}
	return response, nil
}

func (c *Client) newPlainRequest(ctx context.Context, call PlainCall, body *boundedBody) (*http.Request, error) {
	req, err := c.newRequest(ctx, call.Method, call.Endpoint, call.Target)
	if err != nil {
		return nil, err
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	removeHopByHopHeaders(req.Header)
	req.Header.Set(HeaderRequestID, call.RequestID)
	setTimeoutHeader(ctx, req.Header)
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = nil // Keeps net/http from adding its default value.
	}
	switch {
	case call.Body != nil:
		req.Body, req.ContentLength = body, call.Length
	case call.ReuseConnection:
		// After the loss of an idle connection the transport itself repeats a request
		// without a body. An empty body of unknown length prevents that.
		req.Body = body
	}
	return req, nil
}

// response checks the header of resp and returns the Response for the caller.
func (a attempt) response(ctx context.Context, cancel context.CancelCauseFunc, call PlainCall, resp *http.Response, tracker *writeTracker) (*Response, error) {
	if err := tracker.checkResponseID(resp, call.RequestID); err != nil {
		a.client.metrics.responseMismatches.Inc(1)
		return nil, a.recordError(ReasonResponseMismatch, verdict.MayHaveRun, err)
	}
	if resp.StatusCode >= http.StatusBadRequest && verdict.Parse(resp.Header.Get(verdict.Header)) == verdict.NotRun {
		return nil, a.classifyErrorResponse(resp)
	}
	if call.MaxResponse > 0 && resp.ContentLength > call.MaxResponse {
		return nil, a.recordError(ReasonResponseTooLarge, verdict.MayHaveRun, Error.New("the response has %d bytes", resp.ContentLength))
	}
	if !hasDelimitedBody(resp, call.Method) {
		return nil, a.recordError(ReasonResponseMalformed, verdict.MayHaveRun, Error.New("the response has neither a length nor a chunked transfer encoding"))
	}
	removeHopByHopHeaders(resp.Header)
	body := &responseBody{attempt: a, ctx: ctx, cancel: cancel, body: resp.Body, limit: call.MaxResponse}
	body.timer = newOptionalTimer(call.MaxTimeBetweenBytes, func() { cancel(errBetweenTokensTimeout) })
	body.timer.stop()
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: body}, nil
}

// hasDelimitedBody reports whether the end of the response body can be distinguished from
// a lost connection. A body that ends with its connection cannot be known to be complete.
func hasDelimitedBody(resp *http.Response, method string) bool {
	return resp.ContentLength >= 0 || method == http.MethodHead || slices.Contains(resp.TransferEncoding, "chunked")
}

// boundedBody is the body of a plain request. It limits the size of the body. Because
// net/http cannot rewind it, the transport cannot repeat the request on its own.
type boundedBody struct {
	reader    io.Reader
	limit     int64 // 0: no limit
	length    int64 // negative: unknown
	bytesRead int64
	readToEnd atomic.Bool
	readErr   atomic.Pointer[error]
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.reader == nil {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	b.bytesRead += int64(n)
	switch {
	case b.limit > 0 && b.bytesRead > b.limit:
		n, err = 0, errBodyTooLarge
	case errors.Is(err, io.EOF):
		b.readToEnd.Store(true)
		if b.bytesRead < b.length {
			err = io.ErrUnexpectedEOF
		}
	}
	if err != nil && err != io.EOF {
		b.readErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *boundedBody) Close() error { return nil }

// attributeError returns reqErr, or the error of the request body if reading that body failed.
// It clears EndpointFault of a first-byte timeout that the caller caused.
func (b *boundedBody) attributeError(a attempt, reqErr *RequestError) *RequestError {
	err := b.readErr.Load()
	if err == nil {
		// The endpoint did not cause a timeout while the caller was still sending the body.
		if b.reader != nil && !b.readToEnd.Load() && reqErr.Reason == ReasonFirstTokenTimeout {
			reqErr.EndpointFault = false
		}
		return reqErr
	}
	if errors.Is(*err, errBodyTooLarge) {
		return a.recordError(ReasonRequestTooLarge, reqErr.Err.Verdict, *err)
	}
	return a.recordError(ReasonRequestBodyFailed, reqErr.Err.Verdict, *err)
}

// responseBody is the body of a Response. It limits the size of the body and the time
// that one Read waits.
type responseBody struct {
	attempt
	ctx       context.Context
	cancel    context.CancelCauseFunc
	body      io.ReadCloser
	limit     int64
	bytesRead int64
	timer     *optionalTimer
	endErr    error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.endErr != nil {
		return 0, b.endErr
	}
	b.timer.start()
	n, err := b.body.Read(p)
	b.timer.stop()
	b.bytesRead += int64(n)
	if b.limit > 0 && b.bytesRead > b.limit {
		b.endErr = b.recordError(ReasonResponseTooLarge, verdict.MayHaveRun, Error.New("the response is larger than %d bytes", b.limit))
		b.cancel(errResponseClosed)
		return 0, b.endErr
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.endErr = io.EOF
	default:
		b.endErr = b.classifyReadError(b.ctx, err)
	}
	return n, b.endErr
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if b.endErr == nil {
		b.endErr = errResponseClosed
	}
	b.cancel(errResponseClosed)
	return b.body.Close()
}

// optionalTimer is a timer that never fires if its duration is zero.
type optionalTimer struct {
	duration time.Duration
	timer    *time.Timer
}

// newOptionalTimer returns a running timer that calls f after d. A timer whose d is not
// positive never calls f.
func newOptionalTimer(d time.Duration, f func()) *optionalTimer {
	if d <= 0 {
		return &optionalTimer{}
	}
	return &optionalTimer{duration: d, timer: time.AfterFunc(d, f)}
}

func (t *optionalTimer) start() {
	if t.timer != nil {
		t.timer.Reset(t.duration)
	}
}

func (t *optionalTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}
