package answers

import (
	"encoding/json"
	"strings"
)

// Message is one message of a chat request. Content is a string or a list of
// text parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Text string `json:"text"`
}

// Text returns the text of the message.
func (m Message) Text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return ""
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String()
}

// PromptOf returns the texts of the messages, joined by line breaks.
func PromptOf(messages []Message) string {
	texts := make([]string, len(messages))
	for i, m := range messages {
		texts[i] = m.Text()
	}
	return strings.Join(texts, "\n")
}

// ChatRequest is the body of a chat completion request, as far as fake endpoints use it.
type ChatRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	MaxTokens           int       `json:"max_tokens,omitempty"`
	MaxCompletionTokens int       `json:"max_completion_tokens,omitempty"`
	Stream              bool      `json:"stream,omitempty"`
}

// TokenLimit returns the limit on the tokens of the response, or 0 if the request sets none.
func (r ChatRequest) TokenLimit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}
