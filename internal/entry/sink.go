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

// sink takes the answer of a chat request.
type sink interface {
	// chunk takes one piece. Its error ends the attempt: errCallerGone, or an
	// answer that is larger than the sink may collect.
	chunk(upstream.Chunk) error
	// end completes a whole answer.
	end() error
	// begun reports whether the caller has received a part of the answer, so
	// that a failure can no longer be a status.
	begun() bool
	// fail ends an answer that has begun and is not whole.
	fail(*verdict.Error)
}

// streamSink passes the answer on as server-sent events.
type streamSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
	buf     bytes.Buffer
}

func newStreamSink(w http.ResponseWriter) *streamSink {
	return &streamSink{w: w, control: http.NewResponseController(w)}
}

func (s *streamSink) begun() bool { return s.started }

func (s *streamSink) chunk(c upstream.Chunk) error {
	// A resumed engine opens with a chunk without text, which the caller has.
	if s.started && c.Tokens == 0 && c.FinishReason == "" && c.Usage == nil {
		return nil
	}
	if s.event(c.Raw) != nil {
		return errCallerGone
	}
	return nil
}

func (s *streamSink) end() error { return s.event([]byte("[DONE]")) }

// fail sends an error event and no [DONE], by which a client knows that the
// answer is not whole.
func (s *streamSink) fail(e *verdict.Error) {
	body, err := json.Marshal(errorBody(e))
	if err == nil {
		_ = s.event(body)
	}
}

func (s *streamSink) event(data []byte) error {
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
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}

// maxWholeAnswer bounds an answer that is collected before it is sent. It holds
// the longest answer that a request may ask for, 2^20 tokens, at the usual four
// bytes a token twice over.
const maxWholeAnswer = 8 << 20

// codeAnswerTooLarge is the code of answers that do not fit. Another attempt
// would not make them smaller.
const codeAnswerTooLarge = "answer_too_large"

func answerTooLarge(limit int) *verdict.Error {
	return verdict.Unknown(http.StatusBadGateway, codeAnswerTooLarge,
		"the answer is larger than "+strconv.Itoa(limit)+" bytes, which is the most that is kept")
}

// wholeSink collects the answer and sends it only when it is whole.
type wholeSink struct {
	w      http.ResponseWriter
	id     string
	model  string
	prompt int
	held   *room
	limit  int
	// charged is the part of limit that is accounted in held.
	charged int
	text    strings.Builder
	tokens  int
	reason  string
	usage   json.RawMessage
}

func (s *wholeSink) begun() bool { return false }

func (s *wholeSink) fail(*verdict.Error) {}

func (s *wholeSink) chunk(c upstream.Chunk) error {
	size := s.text.Len() + len(c.Text) + len(c.Usage)
	if size > s.limit {
		return answerTooLarge(s.limit)
	}
	for s.charged < size {
		s.charged += answerStep
		s.held.charge(answerStep)
	}
	s.text.WriteString(c.Text)
	s.tokens += c.Tokens
	if c.FinishReason != "" {
		s.reason = c.FinishReason
	}
	if c.Usage != nil {
		s.usage = append(s.usage[:0], c.Usage...)
	}
	return nil
}

// completion returns the collected answer.
func (s *wholeSink) completion() openai.Completion {
	usage := openai.Usage{PromptTokens: s.prompt, CompletionTokens: s.tokens}
	// The engine's own count goes before the estimate, where it is readable.
	_ = json.Unmarshal(s.usage, &usage)
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	return openai.Completion{
		ID: "chatcmpl-" + s.id, Object: "chat.completion", Created: time.Now().Unix(), Model: s.model, Usage: usage,
		Choices: []openai.CompletionChoice{{
			Message: openai.Message{Role: "assistant", Content: s.text.String()}, FinishReason: s.reason,
		}},
	}
}

func (s *wholeSink) end() error {
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	s.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(s.w).Encode(s.completion())
}
