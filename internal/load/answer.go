package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/openai"
	"auburnstep.example/auburnstep/internal/verdict"
)

// Outcome is what became of one request.
type Outcome int

// The outcomes. Each request has one.
const (
	Whole Outcome = iota
	// NotRun, MayHaveRun and Ran are failures by their verdict.
	NotRun
	MayHaveRun
	Ran
	// Cut is a failure without a verdict, such as a lost connection.
	Cut
	// Unsent is a request for which no entry could be reached.
	Unsent
	// Wrong is an answer that was presented as whole and is not, or that holds a
	// part of another answer.
	Wrong
)

// streamEvent is one event of a streamed answer.
type streamEvent struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// streamed is a streamed answer as it was received.
type streamed struct {
	text       strings.Builder
	tokens     int
	first      time.Duration
	between    []time.Duration
	id         string
	crossed    bool
	finished   bool
	done       bool
	errVerdict *verdict.Verdict
}

var (
	contentKey = []byte(`"content":"`)
	finishNull = []byte(`"finish_reason":null`)
	idKey      = []byte(`{"id":"`)
)

// quickToken reads a plain chunk with content without a JSON decoder, so that the
// client takes little of the processor time that it measures. ok is false for
// any other event.
func quickToken(data []byte) (id, text []byte, ok bool) {
	if !bytes.HasPrefix(data, idKey) || !bytes.Contains(data, finishNull) || bytes.IndexByte(data, '\\') >= 0 {
		return nil, nil, false
	}
	id, _, ok = bytes.Cut(data[len(idKey):], []byte{'"'})
	if !ok {
		return nil, nil, false
	}
	_, rest, ok := bytes.Cut(data, contentKey)
	if !ok || bytes.Count(data, contentKey) != 1 {
		return nil, nil, false
	}
	text, _, ok = bytes.Cut(rest, []byte{'"'})
	return id, text, ok && len(text) > 0
}

// readStream reads events until the end mark, an error event or the end of the body.
func readStream(body io.Reader, start time.Time) *streamed {
	s := &streamed{}
	var last time.Time
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 4096), maxAnswer)
	scanner.Split(wholeLines)
	for scanner.Scan() && !s.done && s.errVerdict == nil {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok || !s.take(data) {
			continue
		}
		now := time.Now()
		if s.tokens++; s.tokens == 1 {
			s.first = now.Sub(start)
		} else {
			s.between = append(s.between, now.Sub(last))
		}
		last = now
	}
	return s
}

// wholeLines splits at line breaks and drops a last line without one: it was cut
// with the connection and must not be taken for a malformed event.
func wholeLines(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, bytes.TrimSuffix(data[:i], []byte{'\r'}), nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}

// take adds one event. It is true for an event with content.
func (s *streamed) take(data []byte) bool {
	if id, text, ok := quickToken(data); ok {
		s.see(string(id))
		s.text.Write(text)
		return true
	}
	if string(data) == "[DONE]" {
		s.done = true
		return false
	}
	var e streamEvent
	if err := json.Unmarshal(data, &e); err != nil {
		s.crossed = true
		return false
	}
	if e.Error != nil {
		v := verdict.Parse(e.Error.Verdict)
		s.errVerdict = &v
		return false
	}
	s.see(e.ID)
	if len(e.Choices) == 0 {
		return false
	}
	s.finished = s.finished || e.Choices[0].FinishReason != nil
	s.text.WriteString(e.Choices[0].Delta.Content)
	return e.Choices[0].Delta.Content != ""
}

// see checks that all events carry the id of the first one.
func (s *streamed) see(id string) {
	if s.id == "" {
		s.id = id
	}
	s.crossed = s.crossed || id != s.id
}

// judge compares the answer with the one that the request must get. A part of
// it that does not belong to the request makes any answer wrong.
func (s *streamed) judge(want string) Outcome {
	text := s.text.String()
	switch {
	case s.crossed || !strings.HasPrefix(want, text):
		return Wrong
	case s.done && s.finished && text == want:
		return Whole
	case s.done:
		return Wrong
	case s.errVerdict != nil:
		return ofVerdict(*s.errVerdict)
	}
	return Cut
}

func ofVerdict(v verdict.Verdict) Outcome {
	switch v {
	case verdict.NotRun:
		return NotRun
	case verdict.Ran:
		return Ran
	default:
		return MayHaveRun
	}
}

// ofStatus is the outcome of an error response.
func ofStatus(resp *http.Response) Outcome {
	if h := resp.Header.Get(verdict.Header); h != "" {
		return ofVerdict(verdict.Parse(h))
	}
	return Cut
}

// ofError is the outcome of a request without a response.
func ofError(err error) Outcome {
	if errors.Is(err, errNoEntry) {
		return Unsent
	}
	return Cut
}

// readWhole reads and judges an answer that is not streamed. Its first token
// arrives with the rest.
func readWhole(body io.Reader, want string, start time.Time) sample {
	var answer openai.Completion
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return sample{outcome: Cut}
	}
	took := time.Since(start)
	s := sample{outcome: Whole, first: took, total: took, tokens: answer.Usage.CompletionTokens}
	if len(answer.Choices) != 1 || answer.Choices[0].Message.Content != want {
		s.outcome = Wrong
	}
	return s
}
