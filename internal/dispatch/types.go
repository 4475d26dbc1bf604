// Package dispatch decides where a request runs, whether it waits and when it is
// turned away. Every decision is a pure function of what the entry knows at a
// given time; all methods take that time and do no I/O.
package dispatch

import "time"

// Part is one part of a prompt. Requests whose prompts begin with the same
// parts share them in an engine's cache.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the demand of a request on a model engine.
type Prompt struct {
	// Tokens is the length of the prompt and Output the bound of the answer.
	Tokens, Output int
	Parts          []Part
}

// Demand is what placement needs to know of a request.
type Demand struct {
	Prompt Prompt
	// Rank orders requests; 0 is the most urgent.
	Rank int
	// Objective is how long after its arrival the request is timely, counted to
	// its first event for streams and to the whole answer otherwise.
	Objective time.Duration
	// Arrived is when the entry got the request, and Deadline when its caller or
	// its route gives up.
	Arrived, Deadline time.Time
}

// MaxRank is the least urgent rank.
const MaxRank = 9

// Endpoint is a place to run requests, as announced.
type Endpoint struct {
	ID          string
	Incarnation int64
	Address     string
	Domain      string
	Slots       int
	Draining    bool
	// Warming endpoints have just started and are still slow.
	Warming bool
	// Silent endpoints were not heard of for a while.
	Silent bool
}

// Load is work in flight at an endpoint.
type Load struct {
	// Requests counts all, Light those with short prompts and Late those that
	// wait behind timely ones.
	Requests, Light, Late int
	// PromptTokens and LateTokens are still to be read, of timely and of late requests.
	PromptTokens, LateTokens int
	// MemoryTokens is the memory that the requests take when they end.
	MemoryTokens int
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{
		Requests: l.Requests + o.Requests, Light: l.Light + o.Light, Late: l.Late + o.Late,
		PromptTokens: l.PromptTokens + o.PromptTokens, LateTokens: l.LateTokens + o.LateTokens, MemoryTokens: l.MemoryTokens + o.MemoryTokens,
	}
}

// Minus returns a load without a part of it.
func (l Load) Minus(o Load) Load {
	return l.Plus(Load{
		Requests: -o.Requests, Light: -o.Light, Late: -o.Late,
		PromptTokens: -o.PromptTokens, LateTokens: -o.LateTokens, MemoryTokens: -o.MemoryTokens,
	})
}

// Memory describes the memory of model engines.
type Memory struct {
	// Tokens is the size of one engine's, 0 if unknown.
	Tokens int
	// FetchPerMs is how many cached tokens an engine fetches from another one in a
	// millisecond, 0 if it cannot.
	FetchPerMs float64
}

// Report is the load that an endpoint tells with an answer.
type Report struct {
	Running, Waiting, Slots int
}

// Choice is where a request is sent. It is handed back to the balancer when the
// request moves on.
type Choice struct {
	Endpoint Endpoint
	// Predicted is the expected time to the first event (streams) or to the
	// whole answer.
	Predicted time.Duration
	// Whole is the expected time to the end of the answer.
	Whole time.Duration
	// Uncached is the number of prompt tokens that the endpoint has to read.
	Uncached int
	Light    bool
	// Late tells that the request is expected to miss its objective. It is sent
	// behind timely ones.
	Late bool
	// Behind is by how much the request is expected to miss its objective, counting
	// at most a part of the objective for reading its own prompt; it is negative
	// for a timely one.
	Behind time.Duration
	// Overload tells that the endpoints as a whole are behind.
	Overload bool
	// Urgent tells that most requests to the service lately were less urgent. Such a
	// request is not turned away for being late; the others make room for it.
	Urgent bool
	// FetchFrom is the address of the endpoint that is expected to have the shared
	// parts of the prompt, "" if the chosen one is.
	FetchFrom string
	// Home is 1 for the home of the shared parts, 2 and more for the next in
	// line, and 0 for another endpoint or a prompt without a home.
	Home int
	// waits tells that a plain request is expected to wait for a slot.
	waits       bool
	memory      int
	started     bool
	sent, began time.Time
}

// Outcome tells how a request at an endpoint ended.
type Outcome int

// Outcomes of requests.
const (
	// Answered requests got the endpoint's own answer.
	Answered Outcome = iota
	// Errored requests got an answer that reports a fault of the endpoint.
	Errored
	// Rejected requests were turned away by the endpoint without running.
	Rejected
	// Broken requests got no answer, or one that is not complete.
	Broken
	// Unreachable means that no connection could be made.
	Unreachable
	// Replaced means that another endpoint is at the address.
	Replaced
	// Abandoned requests were cancelled by the caller; it tells nothing of the endpoint.
	Abandoned
)
