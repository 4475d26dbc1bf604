// Package router takes requests of callers, finds their route in the routing
// table, sends them to endpoints and relays the answers. What a request and an
// answer look like on the wire is a Codec's matter.
package router

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"auburnstep.example/auburnstep/internal/dispatch"
)

// Error is the class of errors of this package.
var Error = errs.Class("router")

// Call is a caller's request as decoded from its headers.
type Call struct {
	// ID is drawn by the caller, a new one for each attempt of its own.
	ID string
	// Key admits the request; it is never passed on.
	Key string
	// Patience is how long the caller waits for the answer, 0 if it did not say.
	Patience time.Duration
	Prompt   dispatch.Prompt
	// LastEvent is the id of the event after which a stream goes on, "" for the whole stream.
	LastEvent string
	// Header holds the headers that are passed on.
	Header http.Header
}

// Send describes one attempt at an endpoint.
type Send struct {
	// Endpoint is the id of the endpoint; another one at its address refuses the request.
	Endpoint string
	Customer string
	// Left is how long the endpoint may work on it.
	Left time.Duration
	// Rank orders requests at the endpoint, 0 first, at most dispatch.MaxRank.
	Rank      int
	LastEvent string
	// FetchFrom is the address of an endpoint that is expected to have parts of
	// the prompt in its cache, "" for none.
	FetchFrom string
}

// Answer is what an endpoint says of a request besides its content.
type Answer struct {
	// RequestID is the request that the answer belongs to, "" if it does not say.
	RequestID string
	// Genuine tells that the answer was made by running the request.
	Genuine bool
	// NotRun tells that the endpoint has not run the request and will not.
	NotRun bool
	// Replaced tells that another endpoint is at the address.
	Replaced bool
	// Load is the load of the endpoint, nil if it does not say.
	Load *dispatch.Report
}

// Codec translates between the wire and the types of this package. It is safe
// for concurrent use.
type Codec interface {
	// Decode reads a caller's request without its body.
	Decode(r *http.Request) (Call, error)
	// Encode returns the headers of an attempt.
	Encode(c *Call, s Send) http.Header
	// Answer reads the head of an endpoint's answer.
	Answer(r *http.Response) Answer
}

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// StripHopByHop removes the headers that concern one connection only, and those
// that the Connection header names.
func StripHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range splitList(list) {
			h.Del(name)
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
