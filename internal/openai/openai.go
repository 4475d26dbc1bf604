// Package openai holds the parts of the OpenAI chat API that the system reads
// and writes. Fields it does not know are passed on unchanged.
package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ErrInvalid is wrapped by every error about the shape of a request.
var ErrInvalid = errors.New("invalid request")

const (
	// bytesPerToken is the usual mean of English text; it serves estimates only.
	bytesPerToken = 4
	// prefixBlock is the length of text in bytes between two prefix hashes. It
	// is of the order of the cache blocks of engines (some hundred tokens).
	prefixBlock = 1024
	// maxPrefixes bounds the hashes of one request.
	maxPrefixes = 32
	// maxTokensLimit refuses absurd lengths before they enter any estimate.
	maxTokensLimit = 1 << 20
)

// ChatRequest is the part of a chat completion request that routing needs.
type ChatRequest struct {
	Model               string        `json:"model"`
	Messages            []ChatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	N                   *int          `json:"n"`
}

// ChatMessage is one message; its content is a string or a list of parts.
type ChatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParseChat reads and checks a chat completion request.
func ParseChat(body []byte) (*ChatRequest, error) {
	var r ChatRequest
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&r); err != nil {
		return nil, fmt.Errorf("%w: the body is not a JSON object of a chat completion: %v", ErrInvalid, err)
	}
	if dec.More() {
		return nil, fmt.Errorf("%w: the body holds more than one JSON value", ErrInvalid)
	}
	if r.Model == "" {
		return nil, fmt.Errorf("%w: \"model\" is missing", ErrInvalid)
	}
	if len(r.Messages) == 0 {
		return nil, fmt.Errorf("%w: \"messages\" is missing or empty", ErrInvalid)
	}
	for i, m := range r.Messages {
		if m.Role == "" {
			return nil, fmt.Errorf("%w: \"messages[%d].role\" is missing", ErrInvalid, i)
		}
	}
	if r.N != nil && *r.N != 1 {
		return nil, fmt.Errorf("%w: \"n\" is %d; only 1 is supported", ErrInvalid, *r.N)
	}
	for name, v := range map[string]*int{"max_tokens": r.MaxTokens, "max_completion_tokens": r.MaxCompletionTokens} {
		if v != nil && (*v < 1 || *v > maxTokensLimit) {
			return nil, fmt.Errorf("%w: %q is %d; allowed are 1 to %d", ErrInvalid, name, *v, maxTokensLimit)
		}
	}
	return &r, nil
}

// TokenLimit returns the number of tokens the caller allows, 0 where unset.
func (r *ChatRequest) TokenLimit() int {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	default:
		return 0
	}
}

// PromptTokens estimates the length of the prompt.
func (r *ChatRequest) PromptTokens() int {
	n := 0
	for _, m := range r.Messages {
		n += len(m.Content)
	}
	return n/bytesPerToken + 1
}

// Prefixes returns hashes of growing prefixes of the prompt, shortest first.
// Requests share a hash exactly where they share model and that prefix.
func (r *ChatRequest) Prefixes() []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Model)
	var out []uint64
	room := prefixBlock
	for _, m := range r.Messages {
		text := m.Role + "\x00" + string(m.Content)
		for len(text) > 0 && len(out) < maxPrefixes {
			part := text[:min(room, len(text))]
			_, _ = h.WriteString(part)
			text, room = text[len(part):], room-len(part)
			if room == 0 {
				out, room = append(out, h.Sum64()), prefixBlock
			}
		}
	}
	if len(out) == 0 {
		out = append(out, h.Sum64())
	}
	return out
}

// ErrorBody is the OpenAI error shape.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// Chunk is one event of a streamed completion.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
}

// ChunkChoice is one choice of a Chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a Chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Completion is a whole answer.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is one choice of a Completion.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Message is the text of a whole answer.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ModelList is the answer of GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one entry of a ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// CleanID reports whether a caller's header value may serve as an identifier
// in logs and headers: printable ASCII without spaces, 128 bytes at most.
func CleanID(s string) bool {
	return s != "" && len(s) <= 128 && strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}
