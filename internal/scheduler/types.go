// Package scheduler is the pure scheduling core of one endpoint group: one
// queue, exact counts of grants in flight, and the choice of endpoints. Every
// method takes the time; nothing in here starts goroutines or performs I/O.
package scheduler

import (
	"time"

	"auburnstep.example/auburnstep/internal/limit"
	"auburnstep.example/auburnstep/internal/verdict"
)

// Tiers is the number of service tiers; tier 0 is the highest.
const Tiers = 3

// Kind says what the endpoints of a group are.
type Kind int

const (
	// Engine endpoints generate tokens.
	Engine Kind = iota
	// Plain endpoints serve calls without tokens.
	Plain
)

// Config is fixed for the life of a Core.
type Config struct {
	Group string
	Kind  Kind
	// Epoch is the epoch of the group lease. Grants carry it.
	Epoch uint64
	// Successor is set when an earlier holder of the group may have granted
	// slots. The core then warms up: until every entry in Entries has called
	// Adopt or Renew, and for WarmUp at most, it grants only what is known to
	// be free.
	Successor bool
	Entries   []string
	// SharedLimits says that limits of customers are spread over several groups:
	// what this group may use comes from SetShares.
	SharedLimits bool
}

// Policy is the part of the settings tree that applies to a group. It is
// replaced as a whole by Configure and never modified.
type Policy struct {
	Classes map[string]ClassPolicy
	// Customer looks up the limits of a customer; nil means no limits.
	Customer func(customer string) limit.Policy
	// QueueMax bounds all waiting requests of the group; zero means
	// DefaultQueueMax.
	QueueMax int
	// RetryBudget is the fraction of the group's successes that may be spent
	// on retries; zero means limit.DefaultRetryFraction.
	RetryBudget float64
}

// ClassPolicy holds the settings of one class. Zero values mean the defaults.
type ClassPolicy struct {
	// StarvationBound is how long the class may go unserved before it gets the
	// next free slot of the reserved lane.
	StarvationBound time.Duration
	// QueueWait bounds the time a request of the class may wait.
	QueueWait time.Duration
	// QueueMax bounds the waiting requests of the class.
	QueueMax int
	// ShareMin is the smallest share of its tier's grants that the class gets
	// while it has waiting requests.
	ShareMin float64
}

// Request asks for a slot. The caller repeats it at least every RepeatWithin
// while it waits.
type Request struct {
	// ID is drawn by the entry and makes Enqueue idempotent.
	ID       string
	Entry    string
	Customer string
	Class    string
	// Tier is 0 (highest) to Tiers-1.
	Tier int
	// Target is the class target for the first token, and Deadline the longest
	// the caller waits for it. Both count from the caller's arrival, which lies
	// Waited before the call of Enqueue. Zero means none.
	Target   time.Duration
	Deadline time.Duration
	Waited   time.Duration
	// PromptTokens and MaxTokens are zero for plain services.
	PromptTokens int
	MaxTokens    int
	// Prefixes are hashes of growing prefixes of the prompt, shortest first.
	Prefixes []uint64
	// Model and Adapter are matched against the endpoint; empty matches all.
	Model   string
	Adapter string
	// MayRepeat says that the request may be sent a second time.
	MayRepeat bool
	// Avoid lists endpoints that failed this request before. They are not used
	// while another endpoint serves the request. A request with such a list
	// counts against the retry budgets.
	Avoid []string
}

// Load is an endpoint's own report. It lags behind the truth.
type Load struct {
	Running    int
	Waiting    int
	KVUsed     float64
	MeasuredAt time.Time
}

// CacheEvent is one change of an endpoint's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Stored   bool
	Prefix   uint64
	// Cleared says that all earlier events are void.
	Cleared bool
}

// Endpoint is one announcement.
type Endpoint struct {
	ID              string
	Incarnation     uint64
	Address         string
	Models          []string
	Adapters        []string
	Slots           int
	TokensPerSecond float64
	FailureDomain   string
	// Lease is how long the announcement counts; zero means DefaultLease.
	Lease   time.Duration
	Leaving bool
	// Loading lists models whose weights are being loaded.
	Loading []string
	// ChecksOrders and RefusesOldFencing say how the endpoint treats orders.
	ChecksOrders      bool
	RefusesOldFencing bool
	Load              *Load
	CacheEvents       []CacheEvent
}

// Outcome reports the end of a grant.
type Outcome struct {
	Tokens     int
	FirstToken time.Duration
	Duration   time.Duration
	// Failed says that the response was not delivered whole.
	Failed bool
	// EndpointFault says that the failure speaks against the endpoint.
	EndpointFault bool
	// ConnectRefused says that the endpoint did not accept a connection, which
	// ejects it at once.
	ConnectRefused bool
	// Unused says that the grant was returned without a byte sent.
	Unused bool
}

// HeldGrant is a grant as its holder lists it.
type HeldGrant struct {
	GrantID   string
	RequestID string
	Endpoint  string
	Customer  string
	Class     string
	Epoch     uint64
}

// Decision is a Granted, a Refused or a Resync.
type Decision interface{ decision() }

// Granted gives a request a slot of an endpoint.
type Granted struct {
	RequestID string
	Entry     string
	GrantID   string
	Epoch     uint64
	Endpoint  string
	Address   string
	// ExpiresIn counts from the call that returned the decision. A grant that
	// has not been used by then is void.
	ExpiresIn time.Duration
	// Priority is the priority for the engine, 0 is the highest.
	Priority int
	// Reserved says that the slot came from the reserved lane.
	Reserved bool
}

// Refused ends a request without a slot.
type Refused struct {
	RequestID string
	Entry     string
	Err       *verdict.Error
}

// Resync asks for the whole list of an endpoint's cached prefixes, because
// cache events are missing.
type Resync struct {
	Endpoint string
	// After is the last sequence number seen without a gap.
	After uint64
}

func (Granted) decision() {}
func (Refused) decision() {}
func (Resync) decision()  {}

// EndpointStatus is an endpoint as the core sees it.
type EndpointStatus struct {
	Endpoint  Endpoint
	InFlight  int
	Ejected   bool
	LeaseLeft time.Duration
	// Pace is the observed number of tokens per second of one stream.
	Pace float64
}

// ClassStatus counts the requests of a class.
type ClassStatus struct {
	Class    string
	Tier     int
	Waiting  int
	InFlight int
	Granted  uint64
	Refused  uint64
}

// Status is a snapshot for operators.
type Status struct {
	Group     string
	Epoch     uint64
	Warming   bool
	Waiting   int
	Endpoints []EndpointStatus
	Classes   []ClassStatus
}
