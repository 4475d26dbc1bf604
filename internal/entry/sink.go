package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/openai"
	"auburnstep.example/auburnstep/internal/upstream"
	"auburnstep.example/auburnstep/internal/verdict"
)

// sink takes the answer of a chat request.
type sink interface {
	// chunk takes one piece. An error says that the caller is gone.
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
	return s.event(c.Raw)
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

// wholeSink collects the answer and sends it only when it is whole.
type wholeSink struct {
	w       http.ResponseWriter
	id      string
	request *openai.ChatRequest
	text    strings.Builder
	tokens  int
	reason  string
	usage   json.RawMessage
}

func newWholeSink(w http.ResponseWriter, id string, r *openai.ChatRequest) *wholeSink {
	return &wholeSink{w: w, id: id, request: r}
}

func (s *wholeSink) begun() bool { return false }

func (s *wholeSink) fail(*verdict.Error) {}

func (s *wholeSink) chunk(c upstream.Chunk) error {
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
	usage := openai.Usage{PromptTokens: s.request.PromptTokens(), CompletionTokens: s.tokens}
	// The engine's own count goes before the estimate, where it is readable.
	_ = json.Unmarshal(s.usage, &usage)
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	return openai.Completion{
		ID: "chatcmpl-" + s.id, Object: "chat.completion", Created: time.Now().Unix(), Model: s.request.Model, Usage: usage,
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
