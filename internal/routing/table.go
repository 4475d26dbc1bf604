// Package routing holds the routing table: which service serves a host and path, which
// requests may be repeated, and which customer holds a key. A table is only replaced as a
// whole, by a table with a higher version. The package does no I/O.
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

// Kind defines how often a request of a route may run.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests must not run twice.
	AtMostOnce Kind = "at-most-once"
	// Stream requests get an event stream as their response and run at most once,
	// unless the route is resumable.
	Stream Kind = "stream"
)

// Target is a service and its weight among the targets of a route.
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
	// TimeoutMs bounds how long a caller waits for the complete response.
	TimeoutMs int64 `json:"timeout_ms"`
	// ObjectiveMs is the latency objective: the time to the first event for streams, and
	// to the complete response otherwise.
	ObjectiveMs int64 `json:"target_ms"`
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// Attempts is the maximum number of endpoints that may run one request.
	Attempts int `json:"attempts"`
	// Public routes accept requests without a key.
	Public bool `json:"public,omitempty"`
	// Resumable streams may continue at another endpoint after the last event received.
	Resumable bool `json:"resumable,omitempty"`
	// ListsPromptParts is set if requests list the parts of their prompt.
	ListsPromptParts bool `json:"prompts,omitempty"`
	// MaxPauseMs is the longest pause between events of a timely stream; 0 means that
	// there is no limit.
	MaxPauseMs int64 `json:"max_pause_ms,omitempty"`
}

// Timeout returns TimeoutMs as a time.Duration.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMs) * time.Millisecond }

// Objective returns ObjectiveMs as a time.Duration.
func (r *Route) Objective() time.Duration { return time.Duration(r.ObjectiveMs) * time.Millisecond }

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService selects the service for a request by the weights of the targets. It takes
// a random number in [0, 1).
func (r *Route) PickService(random float64) string {
	totalWeight := 0
	for _, t := range r.Targets {
		totalWeight += t.Weight
	}
	offset := int(random * float64(totalWeight))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path"`
	MaxConnections int    `json:"max_connections"` // to one endpoint, from all entries together
	// Engine is set if the endpoints are model engines.
	Engine *Engine `json:"engine,omitempty"`
	// Scale is set if the number of endpoints may be ordered.
	Scale *Scale `json:"scale,omitempty"`
}

// Scale bounds the number of endpoints that may be ordered for a service, and names their
// prices.
type Scale struct {
	// Min and Max bound the endpoints in each failure domain, of both kinds together.
	Min int `json:"min"`
	Max int `json:"max"`
	// BootMs is the time from an order until a new endpoint serves.
	BootMs int64 `json:"boot_ms"`
	// SpotPrice is the price of an endpoint that may be reclaimed, as a share of the price of
	// any other; 0 if there are none.
	SpotPrice float64 `json:"spot_price,omitempty"`
	// DomainPrices holds the price of an endpoint for a second, by failure domain.
	DomainPrices map[string]float64 `json:"domain_prices,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots    int `json:"slots"`     // maximum number of concurrent requests
	KVTokens int `json:"kv_tokens"` // KV cache memory for prompts and generated tokens
	// FetchTokensPerMs is the rate at which an engine can fetch cached prompts from
	// another engine; 0 if it cannot fetch them.
	FetchTokensPerMs float64 `json:"fetch_per_ms,omitempty"`
}

// Limits bound the size of a caller's request and the time that the caller may take.
type Limits struct {
	HeaderBytes     int   `json:"header_bytes"`
	BodyBytes       int64 `json:"body_bytes"`
	HeaderTimeoutMs int64 `json:"header_timeout_ms"`
	IdleTimeoutMs   int64 `json:"idle_timeout_ms"`
}

// Customer holds the keys that admit the requests of one customer.
type Customer struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority, if set, takes precedence over the priority of the route.
	Priority *int `json:"priority,omitempty"`
}

// Table is a complete routing table.
type Table struct {
	Version   uint64     `json:"version"`
	Routes    []Route    `json:"routes"`
	Services  []Service  `json:"services"`
	Limits    Limits     `json:"limits"`
	Customers []Customer `json:"customers"`
	// KeyRequired means that requests need a key, even if the table has no customers left.
	KeyRequired bool `json:"keyed,omitempty"`
	// SourceDocument is the table as the operator sent it. It is returned unchanged when
	// the operator reads the table.
	SourceDocument json.RawMessage `json:"origin,omitempty"`
}

// Validate returns an error for the first fault found in the table.
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
	routeNames := make(map[string]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		hostAndPrefix := CanonicalHost(r.Host) + r.Prefix
		if other, ok := routeNames[hostAndPrefix]; ok {
			return Error.New("routes %q and %q have the same host and prefix", other, r.Name)
		}
		routeNames[hostAndPrefix] = r.Name
	}
	return t.validateCustomers()
}

// CheckNames calls check with each name in the table and what it names, and returns the first
// error. It is apart from Validate, so that a table in force stays valid when the rules for new
// names change. A route may have no name.
func (t *Table) CheckNames(check func(what, name string) error) error {
	for _, s := range t.Services {
		if err := check("the service", s.Name); err != nil {
			return Error.Wrap(err)
		}
		if s.Scale == nil {
			continue
		}
		for domain := range s.Scale.DomainPrices {
			if err := check("the failure domain", domain); err != nil {
				return Error.Wrap(err)
			}
		}
	}
	for _, c := range t.Customers {
		if err := check("the customer", c.Name); err != nil {
			return Error.Wrap(err)
		}
	}
	for i := range t.Routes {
		if name := t.Routes[i].Name; name != "" {
			if err := check("the route", name); err != nil {
				return Error.Wrap(err)
			}
		}
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	invalid := func(format string, args ...any) error {
		return Error.New("route %q: %s", r.Name, fmt.Sprintf(format, args...))
	}
	switch {
	case r.Host == "":
		return invalid("the host is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Kind != Idempotent && r.Kind != AtMostOnce && r.Kind != Stream:
		return invalid("kind %q is unknown", r.Kind)
	case r.TimeoutMs <= 0:
		return invalid("the timeout is %d ms; it must be above 0", r.TimeoutMs)
	case r.ObjectiveMs < 0 || r.Attempts < 0 || r.MaxPauseMs < 0:
		return invalid("a negative number")
	}
	totalWeight := 0
	for _, target := range r.Targets {
		if !services[target.Service] {
			return invalid("service %q is not listed", target.Service)
		}
		if target.Weight < 0 {
			return invalid("weight %d is negative", target.Weight)
		}
		totalWeight += target.Weight
	}
	if totalWeight == 0 {
		return invalid("the weights add up to 0")
	}
	return nil
}

func (t *Table) validateCustomers() error {
	keyHolder := make(map[string]string)
	for _, c := range t.Customers {
		if c.Name == "" {
			return Error.New("a customer has no name")
		}
		for _, k := range c.Keys {
			if k == "" {
				return Error.New("customer %q has an empty key", c.Name)
			}
			if other, ok := keyHolder[k]; ok && other != c.Name {
				return Error.New("customers %q and %q share a key", other, c.Name)
			}
			keyHolder[k] = c.Name
		}
	}
	return nil
}

// Encode returns the stored form of a table.
func (t *Table) Encode() ([]byte, error) {
	b, err := json.Marshal(t)
	return b, Error.Wrap(err)
}

// Decode decodes and validates the stored form of a table.
func Decode(b []byte) (*Table, error) {
	t := &Table{}
	if err := json.Unmarshal(b, t); err != nil {
		return nil, Error.Wrap(err)
	}
	return t, t.Validate()
}
