package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/openai"
	"auburnstep.example/auburnstep/internal/upstream"
	"auburnstep.example/auburnstep/internal/verdict"
)

// sink receives the response to a chat request.
type sink interface {
	// chunk receives one chunk. Its error ends the attempt: either
	// errCallerDisconnected, or an error for a response that is too large to buffer.
	chunk(upstream.Chunk) error
	// finish ends a complete response.
	finish() error
	// headerSent reports whether the response header has been sent to the caller, so
	// that a failure can no longer be reported by the status.
	headerSent() bool
	// abort ends an incomplete response whose header has been sent.
	abort(*verdict.Error)
}

// streamSink sends the response to the caller as server-sent events.
type streamSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	started    bool
	buf        bytes.Buffer
}

func newStreamSink(w http.ResponseWriter) *streamSink {
	return &streamSink{w: w, controller: http.NewResponseController(w)}
}

func (s *streamSink) headerSent() bool { return s.started }

func (s *streamSink) chunk(c upstream.Chunk) error {
	// An engine that resumes a response opens with a chunk that has only the role,
	// which the caller already has.
	if s.started && c.Tokens == 0 && c.FinishReason == "" && c.Usage == nil {
		return nil
	}
	if s.writeEvent(c.Raw) != nil {
		return errCallerDisconnected
	}
	return nil
}

func (s *streamSink) finish() error { return s.writeEvent([]byte("[DONE]")) }

// abort sends an error event. The missing [DONE] shows the client that the response
// is incomplete.
func (s *streamSink) abort(e *verdict.Error) {
	body, err := json.Marshal(errorBody(e))
	if err == nil {
		_ = s.writeEvent(body)
	}
}

func (s *streamSink) writeEvent(data []byte) error {
	if !s.started {
		s.started = true
		h := s.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
	}
	s.buf.Reset()
	s.buf.WriteString("data: ")
	s.buf.Write(data)
	s.buf.WriteString("\n\n")
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return err
	}
	return s.controller.Flush()
}

// maxBufferedResponse bounds the size in bytes of a response that is buffered before
// it is sent. It is twice the usual size of the longest response that a request may
// ask for: 2^20 tokens of 4 bytes each.
const maxBufferedResponse = 8 << 20

// codeResponseTooLarge is the error code for a response that exceeds the limit of its
// buffer. Such a request is not retried, since the response would not be smaller.
const codeResponseTooLarge = "answer_too_large"

func responseTooLarge(limit int) *verdict.Error {
	return verdict.Unknown(http.StatusBadGateway, codeResponseTooLarge,
		"the answer is larger than "+strconv.Itoa(limit)+" bytes, which is the most that is kept")
}

// bufferedSink buffers the response and sends it only after it is complete.
type bufferedSink struct {
	w            http.ResponseWriter
	id           string
	model        string
	promptTokens int
	reserved     *reservation
	maxBytes     int
	// chargedBytes is the memory that has been charged to reserved.
	chargedBytes     int
	text             strings.Builder
	completionTokens int
	finishReason     string
	usage            json.RawMessage
}

func (s *bufferedSink) headerSent() bool { return false }

func (s *bufferedSink) abort(*verdict.Error) {}

func (s *bufferedSink) chunk(c upstream.Chunk) error {
	size := s.text.Len() + len(c.Text) + len(c.Usage)
	if size > s.maxBytes {
		return responseTooLarge(s.maxBytes)
	}
	for s.chargedBytes < size {
		s.chargedBytes += responseChargeStep
		s.reserved.charge(responseChargeStep)
	}
	s.text.WriteString(c.Text)
	s.completionTokens += c.Tokens
	if c.FinishReason != "" {
		s.finishReason = c.FinishReason
	}
	if c.Usage != nil {
		s.usage = append(s.usage[:0], c.Usage...)
	}
	return nil
}

// completion returns the buffered response.
func (s *bufferedSink) completion() openai.Completion {
	usage := openai.Usage{PromptTokens: s.promptTokens, CompletionTokens: s.completionTokens}
	// The engine's own counts replace the estimates if they can be decoded.
	_ = json.Unmarshal(s.usage, &usage)
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	return openai.Completion{
		ID: "chatcmpl-" + s.id, Object: "chat.completion", Created: time.Now().Unix(), Model: s.model, Usage: usage,
		Choices: []openai.CompletionChoice{{
			Message: openai.Message{Role: "assistant", Content: s.text.String()}, FinishReason: s.finishReason,
		}},
	}
}

func (s *bufferedSink) finish() error {
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	s.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(s.w).Encode(s.completion())
}
