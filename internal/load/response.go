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

// Outcome classifies the result of one request.
type Outcome int

// Outcomes. Each request has exactly one.
const (
	// Complete is a response that was received in full and has the expected content.
	Complete Outcome = iota
	// NotRun, MayHaveRun and Ran are failures, classified by the verdict of the response.
	NotRun
	MayHaveRun
	Ran
	// NoVerdict is a failure without a verdict, such as a lost connection.
	NoVerdict
	// Unsent is a request that was not sent, because no entry could be reached or
	// too many requests were in flight.
	Unsent
	// Wrong is a response that was marked as complete but has other than the
	// expected content, or any response that contains a part of another one.
	Wrong
)

// streamEvent is one event of a streamed response.
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

// streamedResponse is the received part of a streamed response.
type streamedResponse struct {
	text           strings.Builder
	responseTokens int
	first          time.Duration // time to the first token
	tokenGaps      []time.Duration
	id             string
	mismatched     bool // an event was malformed or had another ID
	finished       bool // a finish reason was received
	done           bool // [DONE] was received
	errorVerdict   *verdict.Verdict
}

var (
	contentPrefix    = []byte(`"content":"`)
	nullFinishReason = []byte(`"finish_reason":null`)
	idPrefix         = []byte(`{"id":"`)
)

// parsePlainChunk extracts the ID and text of a content chunk without escapes. It
// uses no JSON decoder, so that the client takes little of the processor time that
// it measures. ok is false for any other event.
func parsePlainChunk(data []byte) (id, text []byte, ok bool) {
	if !bytes.HasPrefix(data, idPrefix) || !bytes.Contains(data, nullFinishReason) || bytes.IndexByte(data, '\\') >= 0 {
		return nil, nil, false
	}
	id, _, ok = bytes.Cut(data[len(idPrefix):], []byte{'"'})
	if !ok {
		return nil, nil, false
	}
	_, rest, ok := bytes.Cut(data, contentPrefix)
	if !ok || bytes.Count(data, contentPrefix) != 1 {
		return nil, nil, false
	}
	text, _, ok = bytes.Cut(rest, []byte{'"'})
	return id, text, ok && len(text) > 0
}

// readStream reads events until the [DONE] event, an error event or the end of the
// body.
func readStream(body io.Reader, start time.Time) *streamedResponse {
	s := &streamedResponse{}
	var last time.Time
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 4096), maxResponseBytes)
	scanner.Split(scanTerminatedLines)
	for scanner.Scan() && !s.done && s.errorVerdict == nil {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok || !s.addEvent(data) {
			continue
		}
		now := time.Now()
		if s.responseTokens++; s.responseTokens == 1 {
			s.first = now.Sub(start)
		} else {
			s.tokenGaps = append(s.tokenGaps, now.Sub(last))
		}
		last = now
	}
	return s
}

// scanTerminatedLines is a bufio.SplitFunc that splits at line breaks. It discards a
// last line without a line break: the end of the connection truncated that line,
// which must not be taken for a malformed event.
func scanTerminatedLines(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, bytes.TrimSuffix(data[:i], []byte{'\r'}), nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}

// addEvent adds one event and reports whether the event has content.
func (s *streamedResponse) addEvent(data []byte) bool {
	if id, text, ok := parsePlainChunk(data); ok {
		s.checkID(string(id))
		s.text.Write(text)
		return true
	}
	if string(data) == "[DONE]" {
		s.done = true
		return false
	}
	var event streamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		s.mismatched = true
		return false
	}
	if event.Error != nil {
		v := verdict.Parse(event.Error.Verdict)
		s.errorVerdict = &v
		return false
	}
	s.checkID(event.ID)
	if len(event.Choices) == 0 {
		return false
	}
	s.finished = s.finished || event.Choices[0].FinishReason != nil
	s.text.WriteString(event.Choices[0].Delta.Content)
	return event.Choices[0].Delta.Content != ""
}

// checkID checks that all events carry the ID of the first event.
func (s *streamedResponse) checkID(id string) {
	if s.id == "" {
		s.id = id
	}
	s.mismatched = s.mismatched || id != s.id
}

// classify compares the response with the text that the request must get. Content
// that does not belong to the request makes any response Wrong, even a failed one.
func (s *streamedResponse) classify(want string) Outcome {
	text := s.text.String()
	switch {
	case s.mismatched || !strings.HasPrefix(want, text):
		return Wrong
	case s.done && s.finished && text == want:
		return Complete
	case s.done:
		return Wrong
	case s.errorVerdict != nil:
		return outcomeOfVerdict(*s.errorVerdict)
	}
	return NoVerdict
}

func outcomeOfVerdict(v verdict.Verdict) Outcome {
	switch v {
	case verdict.NotRun:
		return NotRun
	case verdict.Ran:
		return Ran
	default:
		return MayHaveRun
	}
}

// outcomeOfErrorResponse returns the outcome of a response with an error status.
func outcomeOfErrorResponse(resp *http.Response) Outcome {
	if h := resp.Header.Get(verdict.Header); h != "" {
		return outcomeOfVerdict(verdict.Parse(h))
	}
	return NoVerdict
}

// outcomeOfError returns the outcome of a request without a response.
func outcomeOfError(err error) Outcome {
	if errors.Is(err, errNoEntry) {
		return Unsent
	}
	return NoVerdict
}

// readBuffered reads and checks a response that is not streamed. Its first token
// arrives with the rest of the response.
func readBuffered(body io.Reader, want string, start time.Time) requestResult {
	var completion openai.Completion
	if err := json.NewDecoder(body).Decode(&completion); err != nil {
		return requestResult{outcome: NoVerdict}
	}
	elapsed := time.Since(start)
	result := requestResult{outcome: Complete, first: elapsed, total: elapsed, responseTokens: completion.Usage.CompletionTokens}
	if len(completion.Choices) != 1 || completion.Choices[0].Message.Content != want {
		result.outcome = Wrong
	}
	return result
}
