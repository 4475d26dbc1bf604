package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"time"

	"auburnstep.example/auburnstep/internal/verdict"
)

// maxLine bounds one line of an event stream.
const maxLine = 1 << 20

var errLongLine = Error.New("a line is longer than %d bytes", maxLine)

// wireChunk is the JSON of one chunk.
type wireChunk struct {
	ID      string          `json:"id"`
	Offset  *int            `json:"auburnstep_offset"`
	Choices []wireChoice    `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
	Error   json.RawMessage `json:"error"`

	// Storage of the usual case.
	one    [1]wireChoice
	offset int
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

func (w *wireChunk) parse(data []byte) error {
	*w = wireChunk{}
	if (&quick{data: data}).chunk(w) {
		return nil
	}
	*w = wireChunk{}
	return w.parseSlow(data)
}

func (w *wireChunk) parseSlow(data []byte) error {
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

// tokens returns 1 for a chunk with content of any kind, since an engine sends
// each token in a chunk of its own, and 0 for one with the role or the end only.
func (w *wireChunk) tokens() int {
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

// dataOf returns the data of a line of an event stream. ok is false for comments,
// empty lines and other fields.
func dataOf(line []byte) (data []byte, ok bool) {
	line = bytes.TrimRight(line, "\r\n")
	data, ok = bytes.CutPrefix(line, []byte("data:"))
	return bytes.TrimPrefix(data, []byte(" ")), ok && len(data) > 0
}

// line reads one line. It is valid until the next call.
func (s *Stream) line() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	s.long = append(s.long[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(s.long) > maxLine {
			return nil, errLongLine
		}
		line, err = s.reader.ReadSlice('\n')
		s.long = append(s.long, line...)
	}
	return s.long, err
}

// failLine classifies an error of line.
func (s *Stream) failLine(err error) *Failure {
	if errors.Is(err, errLongLine) {
		return s.fail(ReasonMalformed, verdict.MayHaveRun, err)
	}
	return s.failRead(s.ctx, err)
}

// arm starts the bound on the time to the next token. The time to the first one
// is counted from the start of the call, and the bound on it is already running.
// Between tokens only the time spent in Next counts: a slow reader of the stream
// is no fault of the endpoint.
func (s *Stream) arm() {
	if !s.paced || s.ended != nil || s.call.BetweenTokens <= 0 {
		return
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(s.call.BetweenTokens, s.pass)
		return
	}
	s.timer.Reset(s.call.BetweenTokens)
}

// disarm stops the bound between tokens.
func (s *Stream) disarm() {
	if s.paced && s.timer != nil {
		s.timer.Stop()
	}
}

// pass ends the request for the bound that was passed.
func (s *Stream) pass() {
	if s.pacing.Load() {
		s.cancel(errBetweenTokens)
		return
	}
	s.cancel(errFirstToken)
}
