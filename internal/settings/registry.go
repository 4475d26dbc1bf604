package settings

import (
	"fmt"
	"slices"
)

// Names of the keys of settings.
const (
	KeyTier                = "tier"
	KeyFirstTokenTarget    = "target.first_token"
	KeyBetweenTokensTarget = "target.between_tokens"
	KeyDeadline            = "deadline"
	KeyQueueMax            = "queue.max"
	KeyQueueWait           = "queue.wait"
	KeyStarvationBound     = "starvation.bound"
	KeyShareMin            = "share.min"
	KeyIdempotent          = "idempotent"
	KeyBodyMax             = "body.max"
	KeyKind                = "kind"
	KeyModels              = "models"
	KeyClassDefault        = "class.default"
	KeySchedulerGroups     = "scheduler.groups"
	KeyRetryBudget         = "retry.budget"
	KeyIdleTimeout         = "endpoint.idle_timeout"
	KeyFirstTokenTimeout   = "endpoint.first_token_timeout"
	KeyConcurrency         = "limit.concurrency"
	KeyTokensPerSecond     = "limit.tokens_per_second"
	KeyWeight              = "limit.weight"
	KeyBookingRetention    = "booking.retention"
	KeyHashes              = "key.sha256"

	KeyPlacementEnabled     = "placement.enabled"
	KeyPlacementFloor       = "placement.floor"
	KeyPlacementHold        = "placement.hold"
	KeyPlacementPause       = "placement.pause"
	KeyPlacementPerEndpoint = "placement.models_per_endpoint"
	KeyWeightsConcurrent    = "weights.concurrent"
	KeyWeightsPerMinute     = "weights.per_minute"
)

// Key describes one key of settings.
type Key struct {
	Name string
	Type Type
	// Scope is the kind of node to which the key applies: the system uses the
	// effective value at nodes of this kind.
	Scope Kind
	// Kinds are the kinds of nodes on which the key may be set.
	Kinds []Kind
	// Min and Max are the inclusive limits of integers, durations, sizes and
	// ratios. They are empty if the values are not limited.
	Min, Max string
	// Default is the value if no node sets the key. If HasDefault is false, the
	// key then has no value.
	Default    string
	HasDefault bool
	// Allowed lists the values of an enumeration.
	Allowed []string
	// MaxItems is the maximum length of a list, or 0.
	MaxItems int
	Doc      string // help text in docs/settings.md

	min, max, def Value
}

var (
	classKinds    = []Kind{Group, Service, Class}
	serviceKinds  = []Kind{Group, Service}
	customerKinds = []Kind{Group, Customer}
)

var registry = buildRegistry(classKeys(), append(serviceKeys(), placementKeys()...), customerKeys())

func classKeys() []*Key {
	return []*Key{
		{Name: KeyTier, Type: TypeInt, Min: "0", Max: "2", Default: "1",
			Doc: "Priority tier of the class; 0 is the highest. A request is never shed or preempted for one of a lower tier."},
		{Name: KeyFirstTokenTarget, Type: TypeDuration, Min: "1ms", Max: "1h", Default: "1s",
			Doc: "Target for the time from arrival to the first token. It may not exceed the deadline."},
		{Name: KeyBetweenTokensTarget, Type: TypeDuration, Min: "1ms", Max: "1m", Default: "100ms",
			Doc: "Target for the time between two consecutive tokens."},
		{Name: KeyDeadline, Type: TypeDuration, Min: "10ms", Max: "24h", Default: "60s",
			Doc: "Time from arrival after which the caller has no use for a response."},
		{Name: KeyQueueMax, Type: TypeInt, Min: "0", Max: "1000000", Default: "1000",
			Doc: "Maximum number of requests of the class that wait in one scheduler group."},
		{Name: KeyQueueWait, Type: TypeDuration, Min: "0s", Max: "24h", Default: "30s",
			Doc: "Maximum time that a request waits for an endpoint before it is refused as not run."},
		{Name: KeyStarvationBound, Type: TypeDuration, Min: "1s", Max: "50s", Default: "20s",
			Doc: "Time without service after which the oldest request of the class gets the next free reserved slot. The upper limit leaves ten seconds for a slot to become free, so that the request is served within a minute."},
		{Name: KeyShareMin, Type: TypeRatio, Min: "0", Max: "1", Default: "0",
			Doc: "Minimum share of the service that the class gets among the classes of its tier while requests of the class are waiting. The shares of the classes of a service may not add up to more than 1."},
		{Name: KeyIdempotent, Type: TypeBool, Default: "false",
			Doc: "Whether a request of the class may be run more than once. Requests of other classes need an Idempotency-Key and run at most once."},
		{Name: KeyBodyMax, Type: TypeSize, Min: "1KiB", Max: "64MiB", Default: "4MiB",
			Doc: "Maximum size of a request body."},
	}
}

func serviceKeys() []*Key {
	return []*Key{
		{Name: KeyKind, Type: TypeName, Kinds: []Kind{Service}, Allowed: []string{"engine", "plain"}, Default: "engine",
			Doc: "Type of the endpoints of the service: model engines or plain HTTP services."},
		{Name: KeyModels, Type: TypeNames, Kinds: []Kind{Service}, MaxItems: 64,
			Doc: "Names of the models that callers may request. If it is not set, callers may request the models that endpoints announce."},
		{Name: KeyClassDefault, Type: TypeName, Kinds: []Kind{Service},
			Doc: "Class of requests that do not name a class. If it is not set, such requests are refused. It must be a class of the service."},
		{Name: KeySchedulerGroups, Type: TypeInt, Min: "1", Max: "256", Default: "1",
			Doc: "Number of scheduler groups that the endpoints of the service are divided into."},
		{Name: KeyRetryBudget, Type: TypeRatio, Min: "0", Max: "1", Default: "0.1",
			Doc: "Maximum share of the requests of the service that are retried at another endpoint after a failure."},
		{Name: KeyIdleTimeout, Type: TypeDuration, Min: "50ms", Max: "10m", Default: "5s",
			Doc: "Time without a byte on a running stream after which the endpoint is considered failed for this request."},
		{Name: KeyFirstTokenTimeout, Type: TypeDuration, Min: "50ms", Max: "10m", Default: "30s",
			Doc: "Time without a first byte after which the endpoint is considered failed for this request."},
	}
}

func placementKeys() []*Key {
	return []*Key{
		{Name: KeyPlacementEnabled, Type: TypeBool, Default: "false",
			Doc: "Whether models are loaded and unloaded at the engines of the service according to demand."},
		{Name: KeyPlacementFloor, Type: TypeInt, Min: "0", Max: "1000", Default: "1",
			Doc: "Minimum number of endpoints that keep each model of the service loaded."},
		{Name: KeyPlacementHold, Type: TypeDuration, Min: "10s", Max: "1h", Default: "30s",
			Doc: "Time for which the demand must continuously require a change before the change is made."},
		{Name: KeyPlacementPause, Type: TypeDuration, Min: "10s", Max: "24h", Default: "2m",
			Doc: "Minimum time between two changes at one endpoint."},
		{Name: KeyPlacementPerEndpoint, Type: TypeInt, Min: "2", Max: "64", Default: "2",
			Doc: "Maximum number of models that one endpoint has loaded. It must be at least 2, because an endpoint without a loaded model counts as one that serves every model."},
		{Name: KeyWeightsConcurrent, Type: TypeInt, Min: "1", Max: "1000", Default: "2",
			Doc: "Maximum number of concurrent loads of model weights from the weight store in the whole cluster. The lowest value among the services with placement enabled applies."},
		{Name: KeyWeightsPerMinute, Type: TypeInt, Min: "1", Max: "10000", Default: "6",
			Doc: "Maximum number of loads of model weights from the weight store that start within a minute in the whole cluster. The lowest value among the services with placement enabled applies."},
	}
}

func customerKeys() []*Key {
	return []*Key{
		{Name: KeyConcurrency, Type: TypeInt, Min: "0", Max: "1000000", Default: "0",
			Doc: "Maximum number of concurrent requests of the customer in one service. 0 means no limit."},
		{Name: KeyTokensPerSecond, Type: TypeInt, Min: "0", Max: "100000000", Default: "0",
			Doc: "Maximum number of generated tokens per second of the customer in one service. 0 means no limit."},
		{Name: KeyWeight, Type: TypeInt, Min: "1", Max: "1000", Default: "1",
			Doc: "Weight of the customer in fair queueing within a tier."},
		{Name: KeyBookingRetention, Type: TypeDuration, Min: "1m", Max: "720h", Default: "24h",
			Doc: "Time for which the outcome of a request that runs at most once is kept to respond to its duplicates."},
		{Name: KeyHashes, Type: TypeHashes, Kinds: []Kind{Customer}, MaxItems: 8,
			Doc: "SHA-256 hashes, in hex, of the customer's bearer keys. Several hashes allow a key to be replaced without an interruption."},
	}
}

func buildRegistry(class, service, customer []*Key) map[string]*Key {
	out := make(map[string]*Key)
	add := func(scope Kind, kinds []Kind, keys []*Key) {
		for _, k := range keys {
			k.Scope = scope
			if k.Kinds == nil {
				k.Kinds = kinds
			}
			k.parseTexts()
			out[k.Name] = k
		}
	}
	add(Class, classKinds, class)
	add(Service, serviceKinds, service)
	add(Customer, customerKinds, customer)
	return out
}

// parseTexts parses Min, Max and Default. It panics if one is invalid, since that
// is a programming error.
func (k *Key) parseTexts() {
	parse := func(text string) Value {
		v, err := parseType(k.Type, text)
		if err != nil {
			panic(fmt.Sprintf("settings: key %s: %v", k.Name, err))
		}
		return v
	}
	if k.Min != "" {
		k.min, k.max = parse(k.Min), parse(k.Max)
	}
	if k.HasDefault = k.Default != ""; k.HasDefault {
		k.def = parse(k.Default)
	}
}

// Keys returns all keys, sorted by name.
func Keys() []*Key {
	out := make([]*Key, 0, len(registry))
	for _, name := range keyNames() {
		out = append(out, registry[name])
	}
	return out
}

// KeyByName returns the key with the given name.
func KeyByName(name string) (*Key, bool) {
	k, ok := registry[name]
	return k, ok
}

func keyNames() []string {
	names := make([]string, 0, len(registry))
	for name := range registry {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// mustKey returns the key with the given name, which must be one of the constants
// of this package. It panics if the key does not exist.
func mustKey(name string) *Key {
	k, ok := registry[name]
	if !ok {
		panic("settings: unknown key " + name)
	}
	return k
}
