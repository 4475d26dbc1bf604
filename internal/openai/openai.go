// Package openai defines the parts of the OpenAI chat API that this project reads
// and writes. Requests are forwarded with all their fields, also those that are not
// defined here.
package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ErrInvalid is wrapped by every error that ParseChat returns.
var ErrInvalid = errors.New("invalid request")

const (
	// bytesPerToken is the usual mean for English text. It is used for estimates only.
	bytesPerToken = 4
	// prefixBlockBytes is the length of the prompt text between two prefix hashes.
	// It is of the same order as the cache blocks of engines (some hundred tokens).
	prefixBlockBytes = 1024
	// maxPrefixes bounds the number of prefix hashes of one request.
	maxPrefixes = 32
	// maxTokensLimit is the highest token limit that a request may set. It keeps
	// absurd values out of the load estimates.
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

// ChatMessage is one message of a chat request. Content is a string or a list of parts.
type ChatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParseChat decodes and validates the body of a chat completion request.
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

// TokenLimit returns the caller's limit on the tokens of the response, or 0 if the
// request sets none.
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

// PromptTokens estimates the number of tokens of the prompt from its bytes. The
// estimate is at least 1.
func (r *ChatRequest) PromptTokens() int {
	n := 0
	for _, m := range r.Messages {
		n += len(m.Content)
	}
	return n/bytesPerToken + 1
}

// Prefixes returns the hashes of prefixes of the prompt, the shortest prefix first.
// Each prefix is one block longer than the one before it, and a prompt shorter than
// one block has a single hash. Two requests share a hash if and only if they share the
// model and the prefix that it covers, apart from hash collisions.
func (r *ChatRequest) Prefixes() []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Model)
	var out []uint64
	remaining := prefixBlockBytes
	for _, m := range r.Messages {
		text := m.Role + "\x00" + string(m.Content)
		for len(text) > 0 && len(out) < maxPrefixes {
			part := text[:min(remaining, len(text))]
			_, _ = h.WriteString(part)
			text, remaining = text[len(part):], remaining-len(part)
			if remaining == 0 {
				out, remaining = append(out, h.Sum64()), prefixBlockBytes
			}
		}
	}
	if len(out) == 0 {
		out = append(out, h.Sum64())
	}
	return out
}

// ErrorBody is the body of an error response, in the format of the OpenAI API.
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

// Chunk is the data of one event of a streamed completion.
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

// Completion is the body of a response that is not streamed.
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

// Message is the message of a CompletionChoice.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage holds the token counts of a request and its response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ModelList is the body of the response to GET /v1/models.
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
