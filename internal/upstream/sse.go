package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"time"

	"auburnstep.example/auburnstep/internal/verdict"
)

// maxLineBytes bounds the length of one line of an event stream.
const maxLineBytes = 1 << 20

var errLineTooLong = Error.New("a line is longer than %d bytes", maxLineBytes)

// wireChunk is the decoded JSON of one chunk of a streamed response.
type wireChunk struct {
	ID      string          `json:"id"`
	Offset  *int            `json:"auburnstep_offset"`
	Choices []wireChoice    `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
	Error   json.RawMessage `json:"error"`

	// inlineChoice and inlineOffset hold the values of Choices and Offset in the usual
	// case, which saves their allocation.
	inlineChoice [1]wireChoice
	inlineOffset int
}

type wireChoice struct {
	Delta        wireDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type wireDelta struct {
	Content   string          `json:"content"`
	Reasoning string          `json:"reasoning_content"`
	Refusal   string          `json:"refusal"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// parse decodes data with chunkDecoder, or with encoding/json if chunkDecoder does not
// support the chunk.
func (w *wireChunk) parse(data []byte) error {
	*w = wireChunk{}
	if (&chunkDecoder{data: data}).decode(w) {
		return nil
	}
	*w = wireChunk{}
	return w.parseJSON(data)
}

func (w *wireChunk) parseJSON(data []byte) error {
	if err := json.Unmarshal(data, w); err != nil {
		return err
	}
	if string(w.Usage) == "null" {
		w.Usage = nil
	}
	if string(w.Error) == "null" {
		w.Error = nil
	}
	return nil
}

// tokenCount returns 1 for a chunk with content of any kind, since an engine sends each
// token in a separate chunk. It returns 0 for a chunk without content, which has only the
// role or the finish reason.
func (w *wireChunk) tokenCount() int {
	for _, c := range w.Choices {
		d := &c.Delta
		if d.Content != "" || d.Reasoning != "" || d.Refusal != "" || len(d.ToolCalls) > 0 && string(d.ToolCalls) != "null" {
			return 1
		}
	}
	return 0
}

func (w *wireChunk) text() string {
	if len(w.Choices) == 0 {
		return ""
	}
	return w.Choices[0].Delta.Content
}

func (w *wireChunk) finishReason() string {
	if len(w.Choices) == 0 || w.Choices[0].FinishReason == nil {
		return ""
	}
	return *w.Choices[0].FinishReason
}

// eventData returns the data of a line of an event stream. ok is false for comments, empty
// lines and fields other than data.
func eventData(line []byte) (data []byte, ok bool) {
	line = bytes.TrimRight(line, "\r\n")
	data, ok = bytes.CutPrefix(line, []byte("data:"))
	return bytes.TrimPrefix(data, []byte(" ")), ok && len(data) > 0
}

// line reads one line. The line is valid until the next call.
func (s *Stream) line() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	s.longLine = append(s.longLine[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(s.longLine) > maxLineBytes {
			return nil, errLineTooLong
		}
		line, err = s.reader.ReadSlice('\n')
		s.longLine = append(s.longLine, line...)
	}
	return s.longLine, err
}

// classifyLineError returns the RequestError for an error of line.
func (s *Stream) classifyLineError(err error) *RequestError {
	if errors.Is(err, errLineTooLong) {
		return s.recordError(ReasonResponseMalformed, verdict.MayHaveRun, err)
	}
	return s.classifyReadError(s.ctx, err)
}

// startTokenTimer starts the timer for the next token once a token has arrived. The timer
// for the first token has run since the start of the call. Between tokens only the time
// spent in Next counts, because the endpoint does not cause the delay of a slow reader.
func (s *Stream) startTokenTimer() {
	if !s.tokenSeen || s.endErr != nil || s.call.MaxTimeBetweenTokens <= 0 {
		return
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(s.call.MaxTimeBetweenTokens, s.onTimeout)
		return
	}
	s.timer.Reset(s.call.MaxTimeBetweenTokens)
}

// stopTokenTimer stops the timer for the next token. The timer for the first token keeps
// running.
func (s *Stream) stopTokenTimer() {
	if s.tokenSeen && s.timer != nil {
		s.timer.Stop()
	}
}

// onTimeout cancels the request with the cause that matches the expired timer.
func (s *Stream) onTimeout() {
	if s.tokenSeenAtomic.Load() {
		s.cancel(errBetweenTokensTimeout)
		return
	}
	s.cancel(errFirstTokenTimeout)
}
