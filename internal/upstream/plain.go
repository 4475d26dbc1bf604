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

// PlainCall is one call of a plain service.
type PlainCall struct {
	// Endpoint is host:port.
	Endpoint  string
	RequestID string
	Method    string
	// Target is the path with an optional query, as in a request line.
	Target string
	// Header is passed on but for the headers that concern one connection.
	Header http.Header
	// Body may be nil. Length is its length, or -1 where it is unknown.
	Body   io.Reader
	Length int64
	// MaxBody and MaxAnswer bound the bodies in bytes. Zero sets no bound.
	MaxBody   int64
	MaxAnswer int64
	// FirstByte bounds the time from the call to the header of the answer,
	// BetweenBytes the time that Read waits for more. Zero sets no bound.
	FirstByte    time.Duration
	BetweenBytes time.Duration
	// SendBefore is the time after which the request must not be sent; zero
	// sets no bound.
	SendBefore time.Time
	// MayRepeat allows the use of an idle connection.
	MayRepeat bool
}

// Answer is the answer of a plain service. Reads of Body return io.EOF only
// after a whole answer; any other error is a *Failure. Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 where it is unknown.
	Length int64
	Body   io.ReadCloser
}

var errBodyTooLarge = Error.New("the request body is larger than allowed")

// Do sends a call to a plain service. A refusal before running is a *Failure
// with NotRun; other statuses are answers.
func (c *Client) Do(ctx context.Context, call PlainCall) (*Answer, error) {
	a := attempt{c, call.Endpoint, call.RequestID}
	if call.MaxBody > 0 && call.Length > call.MaxBody {
		return nil, a.fail(ReasonBodyTooLarge, verdict.NotRun, errBodyTooLarge)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	body := &boundedBody{reader: call.Body, limit: call.MaxBody, length: call.Length}
	req, err := c.plainRequest(ctx, call, body)
	if err != nil {
		cancel(err)
		return nil, a.fail(ReasonInvalid, verdict.NotRun, err)
	}
	timer := newBound(call.FirstByte, func() { cancel(errFirstToken) })
	resp, proof, err := c.roundTrip(req, call.MayRepeat, call.SendBefore)
	timer.stop()
	if err != nil {
		f := a.failRoundTrip(ctx, proof, err)
		cancel(err)
		return nil, body.blame(a, f)
	}
	answer, err := a.answer(ctx, cancel, call, resp)
	if err != nil {
		cancel(err)
		_ = resp.Body.Close()
		return nil, err
	}
	return answer, nil
}

func (c *Client) plainRequest(ctx context.Context, call PlainCall, body *boundedBody) (*http.Request, error) {
	req, err := c.newRequest(ctx, call.Method, call.Endpoint, call.Target)
	if err != nil {
		return nil, err
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	dropHopHeaders(req.Header)
	req.Header.Set(HeaderRequestID, call.RequestID)
	setTimeout(ctx, req.Header)
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = nil // Keeps net/http from adding its own.
	}
	switch {
	case call.Body != nil:
		req.Body, req.ContentLength = body, call.Length
	case call.MayRepeat:
		// The transport repeats requests without a body by itself where an idle
		// connection was lost, so an empty body of unknown length stands in.
		req.Body = body
	}
	return req, nil
}

// answer checks the header of a response.
func (a attempt) answer(ctx context.Context, cancel context.CancelCauseFunc, call PlainCall, resp *http.Response) (*Answer, error) {
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != call.RequestID {
		a.client.metrics.crossed.Inc(1)
		return nil, a.fail(ReasonCrossed, verdict.MayHaveRun, Error.New("the answer has id %q", id))
	}
	if resp.StatusCode >= http.StatusBadRequest && verdict.Parse(resp.Header.Get(verdict.Header)) == verdict.NotRun {
		return nil, a.failStatus(resp)
	}
	if call.MaxAnswer > 0 && resp.ContentLength > call.MaxAnswer {
		return nil, a.fail(ReasonTooLarge, verdict.MayHaveRun, Error.New("the answer has %d bytes", resp.ContentLength))
	}
	if !framed(resp, call.Method) {
		return nil, a.fail(ReasonMalformed, verdict.MayHaveRun, Error.New("the answer has neither a length nor chunks"))
	}
	dropHopHeaders(resp.Header)
	body := &answerBody{attempt: a, ctx: ctx, cancel: cancel, body: resp.Body, limit: call.MaxAnswer}
	body.timer = newBound(call.BetweenBytes, func() { cancel(errBetweenTokens) })
	body.timer.stop()
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: body}, nil
}

// framed reports whether the end of a response's body can be told from a lost
// connection. A body that ends with its connection cannot be known to be whole.
func framed(resp *http.Response, method string) bool {
	return resp.ContentLength >= 0 || method == http.MethodHead || slices.Contains(resp.TransferEncoding, "chunked")
}

// boundedBody is the body of a plain request: bounded in size, and not to be
// rewound by net/http, so that the transport cannot repeat the request itself.
type boundedBody struct {
	reader io.Reader
	limit  int64 // 0: no bound
	length int64 // below 0: unknown
	read   int64
	done   atomic.Bool
	failed atomic.Pointer[error]
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.reader == nil {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	b.read += int64(n)
	switch {
	case b.limit > 0 && b.read > b.limit:
		n, err = 0, errBodyTooLarge
	case errors.Is(err, io.EOF):
		b.done.Store(true)
		if b.read < b.length {
			err = io.ErrUnexpectedEOF
		}
	}
	if err != nil && err != io.EOF {
		b.failed.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *boundedBody) Close() error { return nil }

// blame replaces a failure that was caused by the body of the request.
func (b *boundedBody) blame(a attempt, f *Failure) *Failure {
	err := b.failed.Load()
	if err == nil {
		// A caller that is slow to send its body is no fault of the endpoint.
		if b.reader != nil && !b.done.Load() && f.Reason == ReasonFirstToken {
			f.EndpointFault = false
		}
		return f
	}
	if errors.Is(*err, errBodyTooLarge) {
		return a.fail(ReasonBodyTooLarge, f.Err.Verdict, *err)
	}
	return a.fail(ReasonBodyFailed, f.Err.Verdict, *err)
}

// answerBody is the body of an answer, bounded in size and pace.
type answerBody struct {
	attempt
	ctx    context.Context
	cancel context.CancelCauseFunc
	body   io.ReadCloser
	limit  int64
	read   int64
	timer  *bound
	ended  error
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	b.timer.start()
	n, err := b.body.Read(p)
	b.timer.stop()
	b.read += int64(n)
	if b.limit > 0 && b.read > b.limit {
		b.ended = b.fail(ReasonTooLarge, verdict.MayHaveRun, Error.New("the answer is larger than %d bytes", b.limit))
		b.cancel(errClosed)
		return 0, b.ended
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.ended = io.EOF
	default:
		b.ended = b.failRead(b.ctx, err)
	}
	return n, b.ended
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if b.ended == nil {
		b.ended = errClosed
	}
	b.cancel(errClosed)
	return b.body.Close()
}

// bound is a timer that is off where its time is zero.
type bound struct {
	time  time.Duration
	timer *time.Timer
}

func newBound(d time.Duration, f func()) *bound {
	if d <= 0 {
		return &bound{}
	}
	return &bound{time: d, timer: time.AfterFunc(d, f)}
}

func (b *bound) start() {
	if b.timer != nil {
		b.timer.Reset(b.time)
	}
}

func (b *bound) stop() {
	if b.timer != nil {
		b.timer.Stop()
	}
}
