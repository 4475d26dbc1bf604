package settings

import (
	"fmt"
	"slices"
)

// Names of keys.
const (
	KeyTier              = "tier"
	KeyFirstToken        = "target.first_token"
	KeyBetweenTokens     = "target.between_tokens"
	KeyDeadline          = "deadline"
	KeyQueueMax          = "queue.max"
	KeyQueueWait         = "queue.wait"
	KeyStarvationBound   = "starvation.bound"
	KeyShareMin          = "share.min"
	KeyIdempotent        = "idempotent"
	KeyBodyMax           = "body.max"
	KeyKind              = "kind"
	KeyModels            = "models"
	KeyClassDefault      = "class.default"
	KeySchedulerGroups   = "scheduler.groups"
	KeyRetryBudget       = "retry.budget"
	KeyIdleTimeout       = "endpoint.idle_timeout"
	KeyFirstTokenTimeout = "endpoint.first_token_timeout"
	KeyConcurrency       = "limit.concurrency"
	KeyTokensPerSecond   = "limit.tokens_per_second"
	KeyWeight            = "limit.weight"
	KeyBookingRetention  = "booking.retention"
	KeyHashes            = "key.sha256"

	KeyPlacement            = "placement.enabled"
	KeyPlacementFloor       = "placement.floor"
	KeyPlacementHold        = "placement.hold"
	KeyPlacementPause       = "placement.pause"
	KeyPlacementPerEndpoint = "placement.models_per_endpoint"
	KeyWeightsConcurrent    = "weights.concurrent"
	KeyWeightsPerMinute     = "weights.per_minute"
)

// Key describes one key of the settings.
type Key struct {
	Name string
	Type Type
	// Scope is the kind of node whose effective value the system uses.
	Scope Kind
	// Kinds are the kinds of nodes the key may be set on.
	Kinds []Kind
	// Min and Max bound integers, durations, sizes and ratios.
	Min, Max string
	// Default is the value where no node sets the key. HasDefault is false
	// where the key is then absent.
	Default    string
	HasDefault bool
	// Allowed lists the values of an enumeration.
	Allowed []string
	// MaxItems bounds a list.
	MaxItems int
	Doc      string

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
		{Name: KeyFirstToken, Type: TypeDuration, Min: "1ms", Max: "1h", Default: "1s",
			Doc: "Target for the time from arrival to the first token. It may not exceed the deadline."},
		{Name: KeyBetweenTokens, Type: TypeDuration, Min: "1ms", Max: "1m", Default: "100ms",
			Doc: "Target for the time between two tokens."},
		{Name: KeyDeadline, Type: TypeDuration, Min: "10ms", Max: "24h", Default: "60s",
			Doc: "Time from arrival after which a response is of no use to the caller."},
		{Name: KeyQueueMax, Type: TypeInt, Min: "0", Max: "1000000", Default: "1000",
			Doc: "Requests of the class that may wait in one scheduler group."},
		{Name: KeyQueueWait, Type: TypeDuration, Min: "0s", Max: "24h", Default: "30s",
			Doc: "Longest time a request may wait for an endpoint before it is refused as not run."},
		{Name: KeyStarvationBound, Type: TypeDuration, Min: "1s", Max: "50s", Default: "20s",
			Doc: "Time without service after which the oldest request of the class gets the next free slot of the reserved lane. The upper limit leaves ten seconds for a slot to come free within a minute."},
		{Name: KeyShareMin, Type: TypeRatio, Min: "0", Max: "1", Default: "0",
			Doc: "Least share of the service that the class gets among the classes of its tier while it has requests waiting. The shares of the classes of a service may not add up to more than 1."},
		{Name: KeyIdempotent, Type: TypeBool, Default: "false",
			Doc: "Whether a request of the class may be run more than once. Requests of other classes need an Idempotency-Key and run at most once."},
		{Name: KeyBodyMax, Type: TypeSize, Min: "1KiB", Max: "64MiB", Default: "4MiB",
			Doc: "Largest request body that is accepted."},
	}
}

func serviceKeys() []*Key {
	return []*Key{
		{Name: KeyKind, Type: TypeName, Kinds: []Kind{Service}, Allowed: []string{"engine", "plain"}, Default: "engine",
			Doc: "What the endpoints of the service are: model engines or plain HTTP services."},
		{Name: KeyModels, Type: TypeNames, Kinds: []Kind{Service}, MaxItems: 64,
			Doc: "Names of the models that callers may ask for. Without it the models are those that endpoints announce."},
		{Name: KeyClassDefault, Type: TypeName, Kinds: []Kind{Service},
			Doc: "Class of requests that name none. Without it such requests are refused. It must be a class of the service."},
		{Name: KeySchedulerGroups, Type: TypeInt, Min: "1", Max: "256", Default: "1",
			Doc: "Number of scheduler groups that the endpoints of the service are divided into."},
		{Name: KeyRetryBudget, Type: TypeRatio, Min: "0", Max: "1", Default: "0.1",
			Doc: "Share of the requests of the service that may be moved to another endpoint after a failure."},
		{Name: KeyIdleTimeout, Type: TypeDuration, Min: "50ms", Max: "10m", Default: "5s",
			Doc: "Time without a byte on a running stream after which the endpoint counts as failed for this request."},
		{Name: KeyFirstTokenTimeout, Type: TypeDuration, Min: "50ms", Max: "10m", Default: "30s",
			Doc: "Time without a first byte after which the endpoint counts as failed for this request."},
	}
}

func placementKeys() []*Key {
	return []*Key{
		{Name: KeyPlacement, Type: TypeBool, Default: "false",
			Doc: "Whether models are loaded and unloaded at the engines of the service by demand."},
		{Name: KeyPlacementFloor, Type: TypeInt, Min: "0", Max: "1000", Default: "1",
			Doc: "Least number of endpoints that keep each model of the service loaded."},
		{Name: KeyPlacementHold, Type: TypeDuration, Min: "10s", Max: "1h", Default: "30s",
			Doc: "Time for which demand must ask for a change without a break before it is made."},
		{Name: KeyPlacementPause, Type: TypeDuration, Min: "10s", Max: "24h", Default: "2m",
			Doc: "Least time between two changes at one endpoint."},
		{Name: KeyPlacementPerEndpoint, Type: TypeInt, Min: "2", Max: "64", Default: "2",
			Doc: "Models that one endpoint may have loaded. At least 2, since an endpoint without a model counts as one that serves every model."},
		{Name: KeyWeightsConcurrent, Type: TypeInt, Min: "1", Max: "1000", Default: "2",
			Doc: "Loads from the weight store that may run at once in the whole cluster. The lowest value of all services with placement applies."},
		{Name: KeyWeightsPerMinute, Type: TypeInt, Min: "1", Max: "10000", Default: "6",
			Doc: "Loads from the weight store that may start within a minute in the whole cluster. The lowest value of all services with placement applies."},
	}
}

func customerKeys() []*Key {
	return []*Key{
		{Name: KeyConcurrency, Type: TypeInt, Min: "0", Max: "1000000", Default: "0",
			Doc: "Requests of the customer that may run at once in one service. 0 is no limit."},
		{Name: KeyTokensPerSecond, Type: TypeInt, Min: "0", Max: "100000000", Default: "0",
			Doc: "Generated tokens per second that the customer may use in one service. 0 is no limit."},
		{Name: KeyWeight, Type: TypeInt, Min: "1", Max: "1000", Default: "1",
			Doc: "Weight of the customer in the fair shares within a tier."},
		{Name: KeyBookingRetention, Type: TypeDuration, Min: "1m", Max: "720h", Default: "24h",
			Doc: "Time for which the outcome of a request that runs at most once is kept for its duplicates."},
		{Name: KeyHashes, Type: TypeHashes, Kinds: []Kind{Customer}, MaxItems: 8,
			Doc: "SHA-256 hashes, in hex, of the customer's bearer keys. Several let a key be replaced without a gap."},
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
			k.prepare()
			out[k.Name] = k
		}
	}
	add(Class, classKinds, class)
	add(Service, serviceKinds, service)
	add(Customer, customerKinds, customer)
	return out
}

// prepare parses the texts of the key; a fault is a programming error.
func (k *Key) prepare() {
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

// Keys returns all keys by name.
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

// mustKey is for keys named by constants.
func mustKey(name string) *Key {
	k, ok := registry[name]
	if !ok {
		panic("settings: no key " + name)
	}
	return k
}
