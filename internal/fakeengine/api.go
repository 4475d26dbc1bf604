package fakeengine

import "auburnstep.example/auburnstep/internal/openai"

// Completion is a complete, unstreamed response. Offset is the number of tokens
// before the first one of this response; it is above 0 in resumed requests.
type Completion struct {
	openai.Completion
	Offset int `json:"auburnstep_offset"`
}

// Stats counts the work of a fake endpoint. Tests and the load tool use the
// counters to find requests that ran twice and tokens that no caller received.
type Stats struct {
	Received        int64 `json:"received"`
	Completed       int64 `json:"completed"`
	Cancelled       int64 `json:"cancelled"`
	Refused         int64 `json:"refused"`
	Resumed         int64 `json:"resumed"`
	TokensGenerated int64 `json:"tokens_generated"`
	// TokensCompleted counts the tokens of responses that were written to the end.
	TokensCompleted int64 `json:"tokens_completed"`
	// LateArrivalMS is the time from the start of leaving to the arrival of the
	// last request after it.
	LateArrivalMS int64 `json:"late_arrival_ms"`
	Announced     int64 `json:"announced"`
	Connections   int64 `json:"connections"`
}
