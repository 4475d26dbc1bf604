package fakeengine

import (
	"encoding/json"
	"strings"
)

// Headers of the engine API.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPriority     = "X-Priority"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderFencing      = "X-Fencing-Number"
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

// PromptOf joins the texts of the messages by line breaks. The prompt of a
// single message is its text.
func PromptOf(messages []Message) string {
	texts := make([]string, len(messages))
	for i, m := range messages {
		texts[i] = m.Text()
	}
	return strings.Join(texts, "\n")
}

// ChatRequest is the body of a chat completion request.
type ChatRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	MaxTokens           int       `json:"max_tokens,omitempty"`
	MaxCompletionTokens int       `json:"max_completion_tokens,omitempty"`
	Stream              bool      `json:"stream,omitempty"`
}

// Limit returns the limit of tokens, or 0.
func (r ChatRequest) Limit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// Usage is the token count of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// AnswerMessage is the message of a whole answer.
type AnswerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Choice is one choice of a whole answer.
type Choice struct {
	Index        int           `json:"index"`
	Message      AnswerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

// Completion is a whole answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
	Offset  int      `json:"auburnstep_offset"`
}

// ErrorBody is the OpenAI error shape.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// Load is a load report. MeasuredAtMS is older than the answer by the lag.
type Load struct {
	Running      int     `json:"running"`
	Waiting      int     `json:"waiting"`
	KVUsed       float64 `json:"kv_used"`
	MeasuredAtMS int64   `json:"measured_at_ms"`
}

// Announcement is the body of an announcement to an entry.
type Announcement struct {
	ID                string   `json:"id"`
	Incarnation       uint64   `json:"incarnation"`
	Service           string   `json:"service"`
	Kind              string   `json:"kind"`
	Address           string   `json:"address"`
	Models            []string `json:"models"`
	Adapters          []string `json:"adapters"`
	Loading           []string `json:"loading"`
	Slots             int      `json:"slots"`
	TokensPerSecond   float64  `json:"tokens_per_second"`
	FailureDomain     string   `json:"failure_domain"`
	ChecksOrders      bool     `json:"checks_orders"`
	RefusesOldFencing bool     `json:"refuses_old_fencing"`
	LeaseMS           int64    `json:"lease_ms"`
	Leaving           bool     `json:"leaving"`
	Load              Load     `json:"load"`
	// CacheEvents are the published changes of the prefix cache since the last
	// confirmed announcement.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// EntryAddress is one entry of the list in an AnnounceReply.
type EntryAddress struct {
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	Weight        float64 `json:"weight"`
}

// AnnounceReply is the answer to an Announcement.
type AnnounceReply struct {
	RenewAfterMS int64          `json:"renew_after_ms"`
	Resync       bool           `json:"resync"`
	Entries      []EntryAddress `json:"entries"`
}

// Stats counts what the stand-in did. Tests and the load tool read it to check
// for work that ran twice or in vain.
type Stats struct {
	Received        int64 `json:"received"`
	Completed       int64 `json:"completed"`
	Cancelled       int64 `json:"cancelled"`
	Refused         int64 `json:"refused"`
	Resumed         int64 `json:"resumed"`
	TokensGenerated int64 `json:"tokens_generated"`
	// TokensCompleted counts the tokens of answers that were written to the end.
	TokensCompleted int64 `json:"tokens_completed"`
	// LateArrivalMS is the time from the start of leaving to the last arrival after it.
	LateArrivalMS int64 `json:"late_arrival_ms"`
	Announced     int64 `json:"announced"`
	Connections   int64 `json:"connections"`
}
