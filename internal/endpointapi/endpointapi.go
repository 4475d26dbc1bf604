// Package endpointapi is the contract between the system and endpoints: the
// announcements of endpoints, and the headers and orders of engines. See
// docs/endpoints.md.
package endpointapi

// Headers of requests to endpoints.
const (
	// HeaderRequestID is unique for each attempt and echoed by the endpoint.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is 0 for the highest priority.
	HeaderPriority = "X-Priority"
	// HeaderResumeOffset is the number of tokens that the caller already has.
	HeaderResumeOffset = "X-Resume-Offset"
	// HeaderFencing carries the epoch of the lease under which an order is given.
	HeaderFencing = "X-Fencing-Number"
)

// Kinds of endpoint.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Kinds of cache event. All events before a cleared one are void.
const (
	CacheStored  = "stored"
	CacheRemoved = "removed"
	CacheCleared = "cleared"
)

// Load is an endpoint's report of its load. It may lag behind the truth.
type Load struct {
	Running      int     `json:"running"`
	Waiting      int     `json:"waiting"`
	KVUsed       float64 `json:"kv_used"`
	MeasuredAtMS int64   `json:"measured_at_ms"`
}

// CacheEvent is one change of an engine's prefix cache. A prefix is the hash of
// the model and the text up to it, as openai.ChatRequest.Prefixes makes it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`
}

// Announcement is the body of POST /endpoints/v1/announce.
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
	Load              *Load    `json:"load"`
	// CacheEvents are the changes of the prefix cache since the announcement
	// that was last confirmed. They may be late and have gaps.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// Address is one address of an entry.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Weight        uint32 `json:"weight"`
}

// AnnounceReply tells an endpoint when to announce itself again, and where.
type AnnounceReply struct {
	RenewAfterMS int64     `json:"renew_after_ms"`
	Entries      []Address `json:"entries"`
	// Resync asks for all cached prefixes in the next announcement, after an
	// event of kind cleared, because events are missing.
	Resync bool `json:"resync"`
}

// Kinds of order.
const (
	OrderLoadModel     = "load_model"
	OrderUnloadModel   = "unload_model"
	OrderLoadAdapter   = "load_adapter"
	OrderUnloadAdapter = "unload_adapter"
	OrderSetRole       = "set_role"
)

// Order asks an engine to change what it has loaded, or its role.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderReply says what an engine has loaded after an order.
type OrderReply struct {
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role,omitempty"`
	Fencing  uint64   `json:"fencing"`
	// Loading lists models whose weights are being loaded.
	Loading []string `json:"loading"`
}
