// Package dispatch decides which endpoint runs a request, and whether the request
// waits at the entry or is refused. Every decision is a function of the entry's
// knowledge at a given time: all methods take the time as an argument and do no
// I/O.
//
// A service is either a model service, whose endpoints are model engines, or a
// plain service, whose endpoints are ordinary HTTP servers.
package dispatch

import "time"

// Part is one segment of a prompt. Requests whose prompts begin with the same parts
// share them in an engine's cache.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the work that a request causes at a model engine.
type Prompt struct {
	// Tokens is the length of the prompt and Output the maximum length of the
	// response, in tokens.
	Tokens, Output int
	Parts          []Part
}

// Demand holds the properties of a request that decide its placement.
type Demand struct {
	Prompt Prompt
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int
	// Objective is the time after arrival within which the request counts as
	// timely. It ends at the first event for streams and at the complete response
	// otherwise.
	Objective time.Duration
	// LateLast is set if the endpoint runs the request after timely ones of the same
	// rank once it is late. Otherwise late and timely work share a queue.
	LateLast bool
	// AvoidLimited leaves out the endpoints that name a limit.
	AvoidLimited bool
	// Arrived is the time at which the entry received the request. Deadline is the
	// time at which the caller or the route gives up.
	Arrived, Deadline time.Time
}

// MaxRank is the least urgent rank.
const MaxRank = 9

// Endpoint is a back end that runs requests, as it was announced.
type Endpoint struct {
	ID          string
	Incarnation int64
	Address     string
	Domain      string
	Slots       int
	Draining    bool
	// Warming is set while the endpoint has just started and is still slow.
	Warming bool
	// Silent is set when no directory member has received an announcement of the
	// endpoint within the lease.
	Silent bool
}

// Load is the work in flight at an endpoint.
type Load struct {
	// Requests counts all requests, Light those with short prompts (below
	// longPromptTokens), and Late those that the endpoint runs after the timely
	// ones.
	Requests, Light, Late int
	// PromptTokens and LateTokens are the prompt tokens that the endpoint still has
	// to prefill for timely and for late requests.
	PromptTokens, LateTokens int
	// MemoryTokens is the memory that the requests occupy when they end, in tokens.
	MemoryTokens int
	// ExpectedMs and ActualMs are the times that recent requests were expected to take at an
	// endpoint of usual speed, and the times that they took; see speed.go.
	ExpectedMs, ActualMs int
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{
		Requests: l.Requests + o.Requests, Light: l.Light + o.Light, Late: l.Late + o.Late,
		PromptTokens: l.PromptTokens + o.PromptTokens, LateTokens: l.LateTokens + o.LateTokens, MemoryTokens: l.MemoryTokens + o.MemoryTokens,
		ExpectedMs: l.ExpectedMs + o.ExpectedMs, ActualMs: l.ActualMs + o.ActualMs,
	}
}

// Minus returns the difference of two loads.
func (l Load) Minus(o Load) Load {
	return l.Plus(Load{
		Requests: -o.Requests, Light: -o.Light, Late: -o.Late,
		PromptTokens: -o.PromptTokens, LateTokens: -o.LateTokens, MemoryTokens: -o.MemoryTokens,
		ExpectedMs: -o.ExpectedMs, ActualMs: -o.ActualMs,
	})
}

// Memory describes the key-value cache of the model engines of a service.
type Memory struct {
	// Tokens is the size of the cache of one engine, 0 if unknown.
	Tokens int
	// FetchTokensPerMs is the number of cached tokens that an engine fetches from another
	// engine per millisecond, 0 if it cannot fetch.
	FetchTokensPerMs float64
	// Ordered is set if the number of engines follows the demand, so that engines join while
	// the service runs.
	Ordered bool
}

// Report is the load that an endpoint reports with a response.
type Report struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the endpoint's machine now, 1 as usual; 0 if the endpoint
	// does not report it.
	Pace float64
}

// Choice is the endpoint chosen for a request, with the predictions behind that
// choice. The caller passes it back to the balancer as the request proceeds.
type Choice struct {
	Endpoint Endpoint
	// Predicted is the expected time to the first event for streams, and to the
	// complete response otherwise.
	Predicted time.Duration
	// PredictedTotal is the expected time to the end of the response.
	PredictedTotal time.Duration
	// Uncached is the number of prompt tokens that the endpoint has to prefill.
	Uncached int
	// Slowdown is how much longer than usual work is expected to take at the endpoint.
	Slowdown float64
	// Light is set for a short prompt (below longPromptTokens).
	Light bool
	// Late is set if the request is expected to miss its objective and is sent at a
	// lower priority than timely requests.
	Late bool
	// Lateness is the time by which the request is expected to miss its objective;
	// it is negative for a timely request. The time to prefill the request's own
	// prompt counts only up to a share of the objective.
	Lateness time.Duration
	// Overload is set if the endpoints of the service as a whole have too much work
	// in flight.
	Overload bool
	// Protected is set if less urgent requests are refused in place of this one. A
	// protected request is not refused for being late.
	Protected bool
	// Limit is the limit that the endpoint names. A request may be sent to it only with a
	// permit if PerSecond is not 0.
	Limit Limit
	// BlockedFor is set in place of an endpoint if the limits or pauses of all endpoints allow
	// no request for this time. Paused is set if the first of them to end is a pause.
	BlockedFor time.Duration
	Paused     bool
	// FetchFrom is the address of the endpoint that is expected to have the shared
	// parts of the prompt cached, "" if the chosen endpoint needs no fetch.
	FetchFrom string
	// PreferenceRank is 1 for the preferred endpoint of the shared parts, 2 and
	// more for the following ones, and 0 for any other endpoint or for a prompt
	// without preferred endpoints.
	PreferenceRank int
	// alone is set if the engine had nothing else to prefill when the request was placed.
	alone bool
	// overflowed is set for an engine outside the short-prompt pool.
	overflowed bool
	// queued is set if a plain request is expected to wait for a slot.
	queued bool
	// memory is the part of the endpoint's MemoryTokens that the request accounts for.
	memory int
	// prefilled is set once the prompt no longer counts as pending prefill.
	prefilled            bool
	sentAt, firstEventAt time.Time
}

// work returns the work that a request asks for, in the unit of requestMix.
func (c *Choice) work() float64 { return float64(max(1, c.Uncached)) }

// Outcome is the way in which a request ended at an endpoint.
type Outcome int

// Outcomes of requests.
const (
	// Answered means that the endpoint sent a complete response of its own.
	Answered Outcome = iota
	// Errored means that the response reports a fault of the endpoint.
	Errored
	// Rejected means that the endpoint rejected the request without running it.
	Rejected
	// Paused means that it also asked for a pause.
	Paused
	// Broken means that the endpoint sent no response or an incomplete one.
	Broken
	// Unreachable means that no connection could be made.
	Unreachable
	// Replaced means that a different endpoint now responds at the address.
	Replaced
	// Abandoned means that the caller cancelled the request. It says nothing about
	// the endpoint.
	Abandoned
)
