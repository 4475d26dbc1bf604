// Package routing holds the routing table: which service serves a host and
// path, what may be repeated, and whose key is whose. A table is replaced as a
// whole by one of a higher version. The package is pure.
package routing

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("routing")

// Kind tells how often a request of a route may run.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests must not run twice.
	AtMostOnce Kind = "at-most-once"
	// Stream requests are answered by an event stream and run at most once,
	// unless the route is resumable.
	Stream Kind = "stream"
)

// Target is a service with its share of a route's requests.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route selects requests by host and path prefix.
type Route struct {
	Name    string   `json:"name"`
	Host    string   `json:"host"`
	Prefix  string   `json:"prefix"` // begins and ends with a slash
	Kind    Kind     `json:"kind"`
	Targets []Target `json:"targets"`
	// TimeoutMs bounds how long a caller is kept waiting for the whole answer.
	TimeoutMs int64 `json:"timeout_ms"`
	// TargetMs is the latency objective: of the first event for streams, of the
	// whole answer otherwise.
	TargetMs int64 `json:"target_ms"`
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// Attempts is the number of endpoints that may run one request.
	Attempts int `json:"attempts"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Resumable streams may go on at another endpoint after the last event.
	Resumable bool `json:"resumable,omitempty"`
	// Prompts tells that requests list the parts of their prompt.
	Prompts bool `json:"prompts,omitempty"`
	// MaxPauseMs is the longest pause between events of a timely stream; 0 for none.
	MaxPauseMs int64 `json:"max_pause_ms,omitempty"`
}

// Timeout returns TimeoutMs as a duration.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMs) * time.Millisecond }

// Objective returns TargetMs as a duration.
func (r *Route) Objective() time.Duration { return time.Duration(r.TargetMs) * time.Millisecond }

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request, given a random number in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := int(random * float64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path"`
	MaxConnections int    `json:"max_connections"` // of one endpoint, by all entries together
	// Engine is set for services of model engines.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots    int `json:"slots"`     // requests that run at once
	KVTokens int `json:"kv_tokens"` // memory for prompts and answers
	// FetchPerMs is how many tokens of cached prompts an engine can fetch from
	// another one in a millisecond, 0 if it cannot.
	FetchPerMs float64 `json:"fetch_per_ms,omitempty"`
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes     int   `json:"header_bytes"`
	BodyBytes       int64 `json:"body_bytes"`
	HeaderTimeoutMs int64 `json:"header_timeout_ms"`
	IdleTimeoutMs   int64 `json:"idle_timeout_ms"`
}

// Customer holds keys by which requests are admitted.
type Customer struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority takes precedence over the route's, if set.
	Priority *int `json:"priority,omitempty"`
}

// Table is a complete routing table.
type Table struct {
	Version   uint64     `json:"version"`
	Routes    []Route    `json:"routes"`
	Services  []Service  `json:"services"`
	Limits    Limits     `json:"limits"`
	Customers []Customer `json:"customers"`
	// Keyed tells that requests need a key, even if no customer is left.
	Keyed bool `json:"keyed,omitempty"`
	// Origin is the operator's own text of the table, returned as it was sent.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Validate returns the first fault of a table.
func (t *Table) Validate() error {
	if t.Version == 0 {
		return Error.New("the version is missing or 0")
	}
	services := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		if s.Name == "" || services[s.Name] {
			return Error.New("service %q has no name or is listed twice", s.Name)
		}
		services[s.Name] = true
	}
	places := make(map[string]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		place := canonicalHost(r.Host) + r.Prefix
		if other, ok := places[place]; ok {
			return Error.New("routes %q and %q have the same host and prefix", other, r.Name)
		}
		places[place] = r.Name
	}
	return t.validateCustomers()
}

func (r *Route) validate(services map[string]bool) error {
	fault := func(format string, args ...any) error {
		return Error.New("route %q: %s", r.Name, fmt.Sprintf(format, args...))
	}
	switch {
	case r.Host == "":
		return fault("the host is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fault("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Kind != Idempotent && r.Kind != AtMostOnce && r.Kind != Stream:
		return fault("kind %q is unknown", r.Kind)
	case r.TimeoutMs <= 0:
		return fault("the timeout is %d ms; it must be above 0", r.TimeoutMs)
	case r.TargetMs < 0 || r.Attempts < 0 || r.MaxPauseMs < 0:
		return fault("a negative number")
	}
	total := 0
	for _, target := range r.Targets {
		if !services[target.Service] {
			return fault("service %q is not listed", target.Service)
		}
		if target.Weight < 0 {
			return fault("weight %d is negative", target.Weight)
		}
		total += target.Weight
	}
	if total == 0 {
		return fault("the weights add up to 0")
	}
	return nil
}

func (t *Table) validateCustomers() error {
	owner := make(map[string]string)
	for _, c := range t.Customers {
		if c.Name == "" {
			return Error.New("a customer has no name")
		}
		for _, k := range c.Keys {
			if k == "" {
				return Error.New("customer %q has an empty key", c.Name)
			}
			if other, ok := owner[k]; ok && other != c.Name {
				return Error.New("customers %q and %q share a key", other, c.Name)
			}
			owner[k] = c.Name
		}
	}
	return nil
}

// Encode returns the stored form of a table.
func (t *Table) Encode() ([]byte, error) {
	b, err := json.Marshal(t)
	return b, Error.Wrap(err)
}

// Decode reads what Encode wrote.
func Decode(b []byte) (*Table, error) {
	t := &Table{}
	if err := json.Unmarshal(b, t); err != nil {
		return nil, Error.Wrap(err)
	}
	return t, t.Validate()
}
