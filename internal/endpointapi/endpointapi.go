// Package endpointapi defines the API between the processes of this project and
// endpoints: the announcements that endpoints send, the headers of requests to
// endpoints, and the orders to engines. See docs/endpoints.md.
package endpointapi

// Headers of requests to endpoints.
const (
	// HeaderRequestID is an ID that is unique for each attempt. The endpoint
	// returns it in the response.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is the priority of the request; 0 is the highest.
	HeaderPriority = "X-Priority"
	// HeaderResumeOffset is the number of response tokens that the caller already has,
	// so that the endpoint can continue after them.
	HeaderResumeOffset = "X-Resume-Offset"
	// HeaderFencing is the fencing number of an order: the epoch of the lease under
	// which the order was issued.
	HeaderFencing = "X-Fencing-Number"
)

// Kinds of endpoint.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Kinds of cache event. An event of kind CacheCleared removes all prefixes, so that the
// events before it no longer matter.
const (
	CacheStored  = "stored"
	CacheRemoved = "removed"
	CacheCleared = "cleared"
)

// Load is the load that an endpoint reports. It may be out of date.
type Load struct {
	Running      int     `json:"running"`
	Waiting      int     `json:"waiting"`
	KVUsed       float64 `json:"kv_used"`
	MeasuredAtMS int64   `json:"measured_at_ms"`
}

// CacheEvent is one change of an engine's prefix cache. Prefix is a hash of the model
// and a prefix of the prompt, as openai.ChatRequest.Prefixes returns it, in
// hexadecimal.
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
	// CacheEvents are the changes of the prefix cache since the last announcement
	// that was confirmed. Events may arrive late, and some may be missing.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// Address is one address of an entry.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Weight        uint32 `json:"weight"`
}

// AnnounceResponse is the response to an Announcement. It states when and at which
// entries the endpoint announces itself next.
type AnnounceResponse struct {
	RenewAfterMS int64     `json:"renew_after_ms"`
	Entries      []Address `json:"entries"`
	// Resync is set if cache events are missing. The next announcement must then
	// carry an event of kind CacheCleared followed by all cached prefixes.
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

// Order is an instruction to an engine to load or unload a model or an adapter, or to
// change its role.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderResponse is the response to an Order. It lists what the engine has loaded.
type OrderResponse struct {
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role,omitempty"`
	Fencing  uint64   `json:"fencing"`
	// Loading lists the models whose weights are being loaded.
	Loading []string `json:"loading"`
}
