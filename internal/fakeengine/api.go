package fakeengine

import "auburnstep.example/auburnstep/internal/openai"

// Completion is a whole answer with the offset of its first token.
type Completion struct {
	openai.Completion
	Offset int `json:"auburnstep_offset"`
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
