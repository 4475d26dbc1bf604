package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"auburnstep.example/auburnstep/internal/verdict"
)

// Call is one chat request to one engine.
type Call struct {
	// Endpoint is host:port.
	Endpoint string
	// RequestID must be unique for each attempt, so that a delayed cancel request does
	// not cancel a later attempt at the same endpoint.
	RequestID string
	// PublicID, if set, replaces RequestID in the chunks that Next returns.
	PublicID string
	Priority int
	// Offset is the number of tokens that the caller already has.
	Offset int
	// Body is the JSON body of the request. It must request a streamed response, see
	// StreamBody.
	Body []byte
	// MaxTimeToFirstToken limits the time from the call to the first token,
	// MaxTimeBetweenTokens the time that Next waits for a further token. Zero sets no
	// limit.
	MaxTimeToFirstToken  time.Duration
	MaxTimeBetweenTokens time.Duration
	// SendBefore is the time of clock.Now after which the request must not be sent; zero sets no
	// limit.
	SendBefore time.Time
	// ReuseConnection allows the use of an idle connection. It must be set only for
	// requests that may be repeated: if the endpoint has closed the idle connection, it
	// is unknown whether it ran the request.
	ReuseConnection bool
}

// StreamBody returns a copy of a chat request body that requests a streamed response.
func StreamBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, Error.Wrap(err)
	}
	if fields == nil {
		return nil, Error.New("the body is not a JSON object")
	}
	fields["stream"] = json.RawMessage("true")
	out, err := json.Marshal(fields)
	return out, Error.Wrap(err)
}

// Chunk is one chunk of a streamed response.
type Chunk struct {
	// ID is PublicID of the Call, or RequestID if no PublicID is set.
	ID string
	// Offset is the number of response tokens before this chunk. Tokens is the number of
	// tokens in this chunk, 0 or 1.
	Offset int
	Tokens int
	Text   string
	// FinishReason is set on the chunk that ends the text of the response.
	FinishReason string
	// Usage is the usage object, or nil.
	Usage json.RawMessage
	// Raw is the JSON of the chunk as the engine sent it, but with ID as its ID. It is
	// valid until the next call of Next.
	Raw []byte
}

// Stream is the response to a Call. Next and Close must not run concurrently.
type Stream struct {
	attempt
	call             Call
	body             io.ReadCloser
	reader           *bufio.Reader
	ctx              context.Context
	cancel           context.CancelCauseFunc
	timer            *time.Timer
	stopContextWatch func() bool

	startedAt          time.Time
	lastTokenAt        time.Time
	nextOffset         int
	firstTokenRecorded bool
	finishReasonSeen   bool
	// tokenSeen is true once a token has arrived, including a token that is skipped. From
	// then on MaxTimeBetweenTokens applies.
	tokenSeen       bool
	tokenSeenAtomic atomic.Bool // tokenSeen for the goroutine of the timer
	cancelOnce      sync.Once
	endErr          error
	longLine        []byte
	wire            wireChunk
	publicRaw       []byte
}

// Chat starts a call. It returns when the response header has arrived.
func (c *Client) Chat(ctx context.Context, call Call) (*Stream, error) {
	s := &Stream{attempt: attempt{c, call.Endpoint, call.RequestID}, call: call, nextOffset: call.Offset, startedAt: time.Now()}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	req, err := c.newRequest(s.ctx, http.MethodPost, call.Endpoint, "/v1/chat/completions")
	if err != nil {
		s.cancel(err)
		return nil, s.recordError(ReasonInvalid, verdict.NotRun, err)
	}
	req.Body, req.ContentLength = nonRewindableBody{bytes.NewReader(call.Body)}, int64(len(call.Body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	setTimeoutHeader(ctx, req.Header)
	if call.Offset > 0 {
		req.Header.Set(HeaderResumeOffset, strconv.Itoa(call.Offset))
	}
	if call.MaxTimeToFirstToken > 0 {
		s.timer = time.AfterFunc(call.MaxTimeToFirstToken, s.onTimeout)
	}
	if err := s.open(ctx, req); err != nil {
		return nil, err
	}
	return s, nil
}

// open sends the request and checks the header of the response.
func (s *Stream) open(ctx context.Context, req *http.Request) error {
	resp, tracker, err := s.client.roundTrip(req, s.call.ReuseConnection, s.call.SendBefore)
	if err != nil {
		reqErr := s.classifyRoundTripError(s.ctx, tracker, err)
		s.stop(reqErr, reqErr.Err.Verdict != verdict.NotRun)
		return reqErr
	}
	s.body = resp.Body
	if err := tracker.checkResponseID(resp, s.call.RequestID); err != nil {
		s.client.metrics.responseMismatches.Inc(1)
		return s.abort(s.recordError(ReasonResponseMismatch, verdict.MayHaveRun, err))
	}
	if resp.StatusCode != http.StatusOK {
		reqErr := s.classifyErrorResponse(resp)
		s.stop(reqErr, reqErr.Err.Verdict != verdict.NotRun && reqErr.EndpointFault)
		return reqErr
	}
	s.reader = bufio.NewReaderSize(resp.Body, 4096)
	// When the context ends, the reader of the stream may not be in Next, so the request
	// is cancelled from the goroutine of AfterFunc.
	s.stopContextWatch = context.AfterFunc(ctx, s.cancelRequest)
	return nil
}

// cancelRequest cancels the request at the endpoint. Only the first call has an effect.
func (s *Stream) cancelRequest() {
	s.cancelOnce.Do(func() { s.client.cancelAtEndpoint(s.call.Endpoint, s.call.RequestID) })
}

// stop ends the stream with err. If cancelRequest is set, it also cancels the request at the
// endpoint.
func (s *Stream) stop(err error, cancelRequest bool) {
	s.endErr = err
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.stopContextWatch != nil {
		s.stopContextWatch()
	}
	// If the body has not been read to its end, the cancellation closes the connection.
	s.cancel(errResponseClosed)
	if s.body != nil {
		_ = s.body.Close()
	}
	if cancelRequest {
		s.cancelRequest()
	}
}

// abort ends the stream with reqErr, cancels the request at the endpoint and returns reqErr.
func (s *Stream) abort(reqErr *RequestError) error {
	s.stop(reqErr, true)
	return reqErr
}

// complete ends the stream after a complete response. Only the end of the chunked transfer
// encoding is left of the body; once it has been read, the connection can be reused.
func (s *Stream) complete() {
	s.endErr = io.EOF
	if s.timer != nil {
		s.timer.Stop()
	}
	s.stopContextWatch()
	drain := func() {
		timer := time.AfterFunc(drainTimeout, func() { s.cancel(errResponseComplete) })
		_, _ = io.Copy(io.Discard, io.LimitReader(s.reader, maxErrorBodyBytes))
		timer.Stop()
		_ = s.body.Close()
		s.cancel(errResponseComplete)
	}
	if !s.call.ReuseConnection || !s.client.runInBackground(drain) {
		s.cancel(errResponseComplete)
		_ = s.body.Close()
	}
}

// Close releases the stream. If the response is not complete, Close cancels the request at
// the endpoint.
func (s *Stream) Close() {
	if s.endErr == nil {
		s.stop(s.recordError(ReasonCancelled, verdict.MayHaveRun, errResponseClosed), true)
	}
}

// Delivered returns the number of response tokens delivered so far, including those before
// Call.Offset. It is the Offset of a Call that resumes the response at another endpoint.
func (s *Stream) Delivered() int { return s.nextOffset }

// Next returns the next chunk. It returns io.EOF only after the complete response; any
// other error is a *RequestError.
func (s *Stream) Next() (Chunk, error) {
	s.startTokenTimer()
	defer s.stopTokenTimer()
	for s.endErr == nil {
		line, err := s.line()
		if err != nil {
			return Chunk{}, s.abort(s.classifyLineError(err))
		}
		data, ok := eventData(line)
		if !ok {
			continue
		}
		chunk, skip, err := s.handleEvent(data)
		if err != nil {
			return Chunk{}, err
		}
		if !skip {
			return chunk, nil
		}
		s.startTokenTimer()
	}
	return Chunk{}, s.endErr
}

// handleEvent checks the data of one event and returns its chunk. skip is true if the event
// has nothing to deliver, for example if the caller already has its token.
func (s *Stream) handleEvent(data []byte) (chunk Chunk, skip bool, err error) {
	if string(data) == "[DONE]" {
		if !s.finishReasonSeen {
			return Chunk{}, false, s.abort(s.recordError(ReasonResponseTruncated, verdict.MayHaveRun, Error.New("the stream ended without a finish reason")))
		}
		s.complete()
		return Chunk{}, true, nil
	}
	w := &s.wire
	if err := w.parse(data); err != nil {
		return Chunk{}, false, s.abort(s.recordError(ReasonResponseMalformed, verdict.MayHaveRun, err))
	}
	if w.Error != nil {
		return Chunk{}, false, s.abort(s.recordError(ReasonEndpointError, verdict.MayHaveRun, Error.New("error event: %s", w.Error)))
	}
	if w.ID != s.call.RequestID {
		s.client.metrics.responseMismatches.Inc(1)
		return Chunk{}, false, s.abort(s.recordError(ReasonResponseMismatch, verdict.MayHaveRun, Error.New("a chunk has ID %q", w.ID)))
	}
	return s.checkChunk(w, data)
}

// checkChunk checks the offset of a chunk of this response and returns the Chunk to deliver.
func (s *Stream) checkChunk(w *wireChunk, data []byte) (chunk Chunk, skip bool, err error) {
	tokenCount, reason := w.tokenCount(), w.finishReason()
	switch {
	case w.Offset == nil || s.finishReasonSeen && tokenCount > 0:
		return Chunk{}, false, s.abort(s.recordError(ReasonResponseMalformed, verdict.MayHaveRun, Error.New("a chunk has no offset, or has a token after the finish reason")))
	case *w.Offset > s.nextOffset:
		return Chunk{}, false, s.abort(s.recordError(ReasonTokenGap, verdict.MayHaveRun, Error.New("a chunk has offset %d, expected %d", *w.Offset, s.nextOffset)))
	case *w.Offset < s.nextOffset && reason != "":
		return Chunk{}, false, s.abort(s.recordError(ReasonResponseTruncated, verdict.MayHaveRun, Error.New("the response ends at offset %d, but %d tokens were delivered", *w.Offset, s.nextOffset)))
	case *w.Offset < s.nextOffset:
		s.markTokenSeen(tokenCount)
		s.client.metrics.repeatedTokens.Inc(int64(tokenCount))
		return Chunk{}, true, nil
	case tokenCount == 0 && reason == "" && w.Usage == nil && s.call.Offset > 0:
		// The first attempt has already delivered the opening chunk, which has only the role.
		return Chunk{}, true, nil
	}
	s.recordTokens(tokenCount)
	s.nextOffset += tokenCount
	s.finishReasonSeen = s.finishReasonSeen || reason != ""
	id := s.call.RequestID
	if s.call.PublicID != "" {
		id = s.call.PublicID
	}
	return Chunk{
		ID: id, Offset: *w.Offset, Tokens: tokenCount, Text: w.text(), FinishReason: reason, Usage: w.Usage, Raw: s.replaceID(data),
	}, false, nil
}

// markTokenSeen records that a token has arrived. MaxTimeBetweenTokens applies from then on.
func (s *Stream) markTokenSeen(tokens int) {
	if tokens > 0 && !s.tokenSeen {
		s.tokenSeen = true
		s.tokenSeenAtomic.Store(true)
	}
}

// recordTokens records the metrics of the tokens of a delivered chunk.
func (s *Stream) recordTokens(tokens int) {
	if tokens == 0 {
		return
	}
	s.markTokenSeen(tokens)
	now := time.Now()
	if s.firstTokenRecorded {
		s.client.metrics.betweenTokens.RecordDuration(now.Sub(s.lastTokenAt))
	} else {
		s.firstTokenRecorded = true
		s.client.metrics.firstToken.RecordDuration(now.Sub(s.startedAt))
	}
	s.lastTokenAt = now
	s.client.metrics.tokens.Inc(int64(tokens))
}

// replaceID replaces the request ID in data by the public ID. It replaces the first
// occurrence of the quoted request ID, which is taken to be the value of the "id" key.
func (s *Stream) replaceID(data []byte) []byte {
	if s.call.PublicID == "" || s.call.PublicID == s.call.RequestID {
		return data
	}
	quotedID := strconv.AppendQuote(nil, s.call.RequestID)
	start := bytes.Index(data, quotedID)
	if start < 0 {
		return data
	}
	s.publicRaw = append(s.publicRaw[:0], data[:start]...)
	s.publicRaw = strconv.AppendQuote(s.publicRaw, s.call.PublicID)
	s.publicRaw = append(s.publicRaw, data[start+len(quotedID):]...)
	return s.publicRaw
}
