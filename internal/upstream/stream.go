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
	// RequestID must be unique for each attempt: a cancel that arrives late must
	// not hit a later attempt at the same endpoint.
	RequestID string
	// PublicID replaces RequestID in the chunks passed on, if it is set.
	PublicID string
	Priority int
	// Offset is the number of tokens that the caller already has.
	Offset int
	// Body is the JSON body of the request. It must ask for a stream, see StreamBody.
	Body []byte
	// FirstToken bounds the time from the call to the first token, BetweenTokens
	// the time that Next waits for a further one. Zero sets no bound.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// SendBefore is the time after which the request must not be sent; zero
	// sets no bound.
	SendBefore time.Time
	// MayRepeat allows the use of an idle connection.
	MayRepeat bool
}

// StreamBody returns a chat request body that asks for a stream.
func StreamBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, Error.Wrap(err)
	}
	if fields == nil {
		return nil, Error.New("the body is not an object")
	}
	fields["stream"] = json.RawMessage("true")
	out, err := json.Marshal(fields)
	return out, Error.Wrap(err)
}

// Chunk is one piece of an answer.
type Chunk struct {
	// ID is the request id that callers see.
	ID string
	// Offset is the number of tokens before this chunk, and Tokens is 0 or 1.
	Offset int
	Tokens int
	Text   string
	// FinishReason is set on the last chunk that belongs to the answer's text.
	FinishReason string
	// Usage is the usage object, or nil.
	Usage json.RawMessage
	// Raw is the JSON of the chunk as sent by the engine, but for PublicID. It is
	// valid until the next call of Next.
	Raw []byte
}

// Stream is the answer to a Call. Next and Close must not run concurrently.
type Stream struct {
	attempt
	call     Call
	body     io.ReadCloser
	reader   *bufio.Reader
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	stopWait func() bool

	start    time.Time
	last     time.Time
	expected int
	first    bool
	finished bool
	// paced is true once a token has arrived, also one to skip. From then on
	// BetweenTokens is the bound in force.
	paced  bool
	pacing atomic.Bool // paced, for the timer's goroutine
	once   sync.Once
	ended  error
	long   []byte
	wire   wireChunk
	public []byte
}

// Chat starts a call. It returns when the header of the answer has arrived.
func (c *Client) Chat(ctx context.Context, call Call) (*Stream, error) {
	s := &Stream{attempt: attempt{c, call.Endpoint, call.RequestID}, call: call, expected: call.Offset, start: time.Now()}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	req, err := c.newRequest(s.ctx, http.MethodPost, call.Endpoint, "/v1/chat/completions")
	if err != nil {
		s.cancel(err)
		return nil, s.fail(ReasonInvalid, verdict.NotRun, err)
	}
	req.Body, req.ContentLength = onceBody{bytes.NewReader(call.Body)}, int64(len(call.Body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	setTimeout(ctx, req.Header)
	if call.Offset > 0 {
		req.Header.Set(HeaderResumeOffset, strconv.Itoa(call.Offset))
	}
	if call.FirstToken > 0 {
		s.timer = time.AfterFunc(call.FirstToken, s.pass)
	}
	if err := s.open(ctx, req); err != nil {
		return nil, err
	}
	return s, nil
}

// open sends the request and checks the header of the response.
func (s *Stream) open(ctx context.Context, req *http.Request) error {
	resp, proof, err := s.client.roundTrip(req, s.call.MayRepeat, s.call.SendBefore)
	if err != nil {
		f := s.failRoundTrip(s.ctx, proof, err)
		s.stop(f, f.Err.Verdict != verdict.NotRun)
		return f
	}
	s.body = resp.Body
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != s.call.RequestID {
		s.client.metrics.crossed.Inc(1)
		return s.abort(s.fail(ReasonCrossed, verdict.MayHaveRun, Error.New("the header has id %q", id)))
	}
	if resp.StatusCode != http.StatusOK {
		f := s.failStatus(resp)
		s.stop(f, f.Err.Verdict != verdict.NotRun && f.EndpointFault)
		return f
	}
	s.reader = bufio.NewReaderSize(resp.Body, 4096)
	// The reader of the stream may be busy elsewhere when its context ends, so
	// the endpoint is told from here.
	s.stopWait = context.AfterFunc(ctx, s.tell)
	return nil
}

// tell cancels the request at the endpoint, once.
func (s *Stream) tell() {
	s.once.Do(func() { s.client.cancelAtEndpoint(s.call.Endpoint, s.call.RequestID) })
}

// stop ends the stream with err.
func (s *Stream) stop(err error, tell bool) {
	s.ended = err
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.stopWait != nil {
		s.stopWait()
	}
	// The cancellation closes the connection where the body is not at its end.
	s.cancel(errClosed)
	if s.body != nil {
		_ = s.body.Close()
	}
	if tell {
		s.tell()
	}
}

// abort ends the stream with a failure and returns it.
func (s *Stream) abort(f *Failure) error {
	s.stop(f, true)
	return f
}

// complete ends the stream after a whole answer. What is left of the body is the
// end mark of the transfer; once that is read the connection can be used again.
func (s *Stream) complete() {
	s.ended = io.EOF
	if s.timer != nil {
		s.timer.Stop()
	}
	s.stopWait()
	drain := func() {
		timer := time.AfterFunc(drainTimeout, func() { s.cancel(errDrained) })
		_, _ = io.Copy(io.Discard, io.LimitReader(s.reader, maxErrorBody))
		timer.Stop()
		_ = s.body.Close()
		s.cancel(errDrained)
	}
	if !s.call.MayRepeat || !s.client.background(drain) {
		s.cancel(errDrained)
		_ = s.body.Close()
	}
}

// Close releases the stream. An answer that is not complete is cancelled at the
// endpoint.
func (s *Stream) Close() {
	if s.ended == nil {
		s.stop(s.fail(ReasonCancelled, verdict.MayHaveRun, errClosed), true)
	}
}

// Delivered returns the number of tokens up to which the answer is known. It is
// the offset for a call that resumes the answer at another endpoint.
func (s *Stream) Delivered() int { return s.expected }

// Next returns the next chunk. It returns io.EOF only after a whole answer; any
// other end is a *Failure.
func (s *Stream) Next() (Chunk, error) {
	s.arm()
	defer s.disarm()
	for s.ended == nil {
		line, err := s.line()
		if err != nil {
			return Chunk{}, s.abort(s.failLine(err))
		}
		data, ok := dataOf(line)
		if !ok {
			continue
		}
		chunk, skip, err := s.accept(data)
		if err != nil {
			return Chunk{}, err
		}
		if !skip {
			return chunk, nil
		}
		s.arm()
	}
	return Chunk{}, s.ended
}

// accept checks one event. A chunk to skip repeats tokens that the caller has.
func (s *Stream) accept(data []byte) (chunk Chunk, skip bool, err error) {
	if string(data) == "[DONE]" {
		if !s.finished {
			return Chunk{}, false, s.abort(s.fail(ReasonTruncated, verdict.MayHaveRun, Error.New("end mark without finish reason")))
		}
		s.complete()
		return Chunk{}, true, nil
	}
	w := &s.wire
	if err := w.parse(data); err != nil {
		return Chunk{}, false, s.abort(s.fail(ReasonMalformed, verdict.MayHaveRun, err))
	}
	if w.Error != nil {
		return Chunk{}, false, s.abort(s.fail(ReasonEndpointError, verdict.MayHaveRun, Error.New("error event: %s", w.Error)))
	}
	if w.ID != s.call.RequestID {
		s.client.metrics.crossed.Inc(1)
		return Chunk{}, false, s.abort(s.fail(ReasonCrossed, verdict.MayHaveRun, Error.New("a chunk has id %q", w.ID)))
	}
	return s.place(w, data)
}

// place checks the offset of a chunk of this answer.
func (s *Stream) place(w *wireChunk, data []byte) (chunk Chunk, skip bool, err error) {
	tokens, reason := w.tokens(), w.finishReason()
	switch {
	case w.Offset == nil || s.finished && tokens > 0:
		return Chunk{}, false, s.abort(s.fail(ReasonMalformed, verdict.MayHaveRun, Error.New("a chunk has no offset or follows the last one")))
	case *w.Offset > s.expected:
		return Chunk{}, false, s.abort(s.fail(ReasonGap, verdict.MayHaveRun, Error.New("offset %d in place of %d", *w.Offset, s.expected)))
	case *w.Offset < s.expected && reason != "":
		return Chunk{}, false, s.abort(s.fail(ReasonTruncated, verdict.MayHaveRun, Error.New("the answer ends at %d, %d tokens were delivered", *w.Offset, s.expected)))
	case *w.Offset < s.expected:
		s.pace(tokens)
		s.client.metrics.repeated.Inc(int64(tokens))
		return Chunk{}, true, nil
	case tokens == 0 && reason == "" && w.Usage == nil && s.call.Offset > 0:
		// The opening chunk with the role only was part of the first attempt.
		return Chunk{}, true, nil
	}
	s.measure(tokens)
	s.expected += tokens
	s.finished = s.finished || reason != ""
	id := s.call.RequestID
	if s.call.PublicID != "" {
		id = s.call.PublicID
	}
	return Chunk{
		ID: id, Offset: *w.Offset, Tokens: tokens, Text: w.text(), FinishReason: reason, Usage: w.Usage, Raw: s.rename(data),
	}, false, nil
}

// pace makes BetweenTokens the bound in force once a token has arrived.
func (s *Stream) pace(tokens int) {
	if tokens > 0 && !s.paced {
		s.paced = true
		s.pacing.Store(true)
	}
}

// measure records the pace of tokens.
func (s *Stream) measure(tokens int) {
	if tokens == 0 {
		return
	}
	s.pace(tokens)
	now := time.Now()
	if s.first {
		s.client.metrics.betweenTokens.RecordDuration(now.Sub(s.last))
	} else {
		s.first = true
		s.client.metrics.firstToken.RecordDuration(now.Sub(s.start))
	}
	s.last = now
	s.client.metrics.tokens.Inc(int64(tokens))
}

// rename puts the public id in place of the request id, which is the first
// occurrence of the quoted id after its key.
func (s *Stream) rename(data []byte) []byte {
	if s.call.PublicID == "" || s.call.PublicID == s.call.RequestID {
		return data
	}
	old := strconv.AppendQuote(nil, s.call.RequestID)
	at := bytes.Index(data, old)
	if at < 0 {
		return data
	}
	s.public = append(s.public[:0], data[:at]...)
	s.public = strconv.AppendQuote(s.public, s.call.PublicID)
	s.public = append(s.public, data[at+len(old):]...)
	return s.public
}
