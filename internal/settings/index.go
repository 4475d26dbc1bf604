package settings

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync"
	"time"
)

// digestSalt is drawn at each start. Key hashes are found by a salted digest of
// them, so that the time of a look-up says nothing about the stored hashes: a
// caller cannot choose keys whose digests share a prefix with a stored one.
var digestSalt = func() (salt [32]byte) {
	rand.Read(salt[:])
	return salt
}()

func digestOf(hash [32]byte) string {
	var buf [64]byte
	copy(buf[:32], digestSalt[:])
	copy(buf[32:], hash[:])
	sum := sha256.Sum256(buf[:])
	return string(sum[:16])
}

func digestOfHex(text string) string {
	var hash [32]byte
	// The text was validated when it was parsed.
	hex.Decode(hash[:], []byte(text))
	return digestOf(hash)
}

// HashKey returns the hash under which a bearer key is stored.
func HashKey(key string) [32]byte { return sha256.Sum256([]byte(key)) }

// Index answers what the request path asks of a tree. It is safe for concurrent
// use. Policies of services are computed at once, those of customers on first use.
type Index struct {
	tree      *Tree
	services  []*ServicePolicy
	byName    map[string]*ServicePolicy
	classes   map[classKey]*ClassPolicy
	customers sync.Map // name to *CustomerPolicy
	overrides sync.Map // overrideKey to *ClassPolicy
}

type classKey struct{ service, class string }

type overrideKey struct{ service, class, customer string }

// ServicePolicy holds the effective settings of a service.
type ServicePolicy struct {
	Name string
	Path string
	// Engine is false for a plain service.
	Engine bool
	Models []string
	// DefaultClass is empty where requests must name their class.
	DefaultClass      string
	Classes           []string
	Groups            int
	RetryBudget       float64
	IdleTimeout       time.Duration
	FirstTokenTimeout time.Duration
	Placement         PlacementPolicy
}

// PlacementPolicy holds the settings of model placement for a service.
type PlacementPolicy struct {
	Enabled            bool
	Floor              int
	Hold               time.Duration
	Pause              time.Duration
	ModelsPerEndpoint  int
	MaxConcurrentLoads int
	MaxLoadsPerMinute  int
}

// ClassPolicy holds the effective settings of a class, for one customer where
// that customer overrides some.
type ClassPolicy struct {
	Service         string
	Class           string
	Tier            int
	FirstToken      time.Duration
	BetweenTokens   time.Duration
	Deadline        time.Duration
	QueueMax        int
	QueueWait       time.Duration
	StarvationBound time.Duration
	ShareMin        float64
	Idempotent      bool
	BodyMax         int64
}

// CustomerPolicy holds the effective settings of a customer.
type CustomerPolicy struct {
	Name string
	Path string
	// Concurrency and TokensPerSecond are 0 where there is no limit.
	Concurrency      int
	TokensPerSecond  int
	Weight           int
	BookingRetention time.Duration
}

// Index returns the index of the tree. Its cost grows with the number of
// services and classes, not of customers.
func (t *Tree) Index() *Index {
	x := &Index{tree: t, byName: map[string]*ServicePolicy{}, classes: map[classKey]*ClassPolicy{}}
	for _, s := range t.names.prefixed(entryService) {
		if x.byName[s.Name()] != nil {
			continue
		}
		p := t.servicePolicy(s)
		for c := range t.classesOf(s) {
			p.Classes = append(p.Classes, c.Name())
			x.classes[classKey{p.Name, c.Name()}] = classPolicy(p.Name, c.Name(), t.chain(c, nil))
		}
		x.services = append(x.services, p)
		x.byName[p.Name] = p
	}
	return x
}

// Tree returns the tree the index was made from.
func (x *Index) Tree() *Tree { return x.tree }

// Services returns all services by name. The result must not be changed.
func (x *Index) Services() []*ServicePolicy { return x.services }

// Service returns the service with the given name.
func (x *Index) Service(name string) (*ServicePolicy, bool) {
	p, ok := x.byName[name]
	return p, ok
}

// CustomerByKeyHash returns the name of the customer that has the hash among
// its key hashes.
func (x *Index) CustomerByKeyHash(hash [32]byte) (customer string, ok bool) {
	n, ok := x.tree.named(entryHash, digestOf(hash))
	if !ok {
		return "", false
	}
	v, _ := n.get(KeyHashes)
	match := 0
	for _, h := range v.List() {
		var stored [32]byte
		hex.Decode(stored[:], []byte(h))
		match |= subtle.ConstantTimeCompare(stored[:], hash[:])
	}
	if match != 1 {
		return "", false
	}
	return n.Name(), true
}

// ClassPolicy returns the settings of a class for a customer. The customer may
// be empty or unknown; it then has no overrides.
func (x *Index) ClassPolicy(service, class, customer string) (*ClassPolicy, bool) {
	base, ok := x.classes[classKey{service, class}]
	if !ok || customer == "" {
		return base, ok
	}
	c, ok := x.tree.named(entryCustomer, customer)
	if !ok {
		return base, true
	}
	override, ok := x.tree.nodes.get(below(c.path) + class)
	if !ok {
		return base, true
	}
	key := overrideKey{service, class, customer}
	if p, ok := x.overrides.Load(key); ok {
		return p.(*ClassPolicy), true
	}
	node, _ := x.tree.nodes.get(below(x.byName[service].Path) + class)
	p := classPolicy(service, class, x.tree.chain(override, node))
	x.overrides.Store(key, p)
	return p, true
}

// CustomerPolicy returns the settings of a customer.
func (x *Index) CustomerPolicy(customer string) (*CustomerPolicy, bool) {
	if p, ok := x.customers.Load(customer); ok {
		return p.(*CustomerPolicy), true
	}
	n, ok := x.tree.named(entryCustomer, customer)
	if !ok {
		return nil, false
	}
	p := customerPolicy(n, x.tree.chain(n, nil))
	x.customers.Store(customer, p)
	return p, true
}

// value returns the effective value of a key, or the zero Value where it has none.
func value(chain []*Node, key string) Value {
	v, _, _ := find(chain, mustKey(key))
	return v
}

func (t *Tree) servicePolicy(n *Node) *ServicePolicy {
	chain := t.chain(n, nil)
	return &ServicePolicy{
		Name:              n.Name(),
		Path:              n.path,
		Engine:            value(chain, KeyKind).text == "engine",
		Models:            value(chain, KeyModels).List(),
		DefaultClass:      value(chain, KeyClassDefault).text,
		Groups:            value(chain, KeySchedulerGroups).Int(),
		RetryBudget:       value(chain, KeyRetryBudget).Ratio(),
		IdleTimeout:       value(chain, KeyIdleTimeout).Duration(),
		FirstTokenTimeout: value(chain, KeyFirstTokenTimeout).Duration(),
		Placement: PlacementPolicy{
			Enabled:            value(chain, KeyPlacement).Bool(),
			Floor:              value(chain, KeyPlacementFloor).Int(),
			Hold:               value(chain, KeyPlacementHold).Duration(),
			Pause:              value(chain, KeyPlacementPause).Duration(),
			ModelsPerEndpoint:  value(chain, KeyPlacementPerEndpoint).Int(),
			MaxConcurrentLoads: value(chain, KeyWeightsConcurrent).Int(),
			MaxLoadsPerMinute:  value(chain, KeyWeightsPerMinute).Int(),
		},
	}
}

func classPolicy(service, class string, chain []*Node) *ClassPolicy {
	return &ClassPolicy{
		Service:         service,
		Class:           class,
		Tier:            value(chain, KeyTier).Int(),
		FirstToken:      value(chain, KeyFirstToken).Duration(),
		BetweenTokens:   value(chain, KeyBetweenTokens).Duration(),
		Deadline:        value(chain, KeyDeadline).Duration(),
		QueueMax:        value(chain, KeyQueueMax).Int(),
		QueueWait:       value(chain, KeyQueueWait).Duration(),
		StarvationBound: value(chain, KeyStarvationBound).Duration(),
		ShareMin:        value(chain, KeyShareMin).Ratio(),
		Idempotent:      value(chain, KeyIdempotent).Bool(),
		BodyMax:         value(chain, KeyBodyMax).Bytes(),
	}
}

func customerPolicy(n *Node, chain []*Node) *CustomerPolicy {
	return &CustomerPolicy{
		Name:             n.Name(),
		Path:             n.path,
		Concurrency:      value(chain, KeyConcurrency).Int(),
		TokensPerSecond:  value(chain, KeyTokensPerSecond).Int(),
		Weight:           value(chain, KeyWeight).Int(),
		BookingRetention: value(chain, KeyBookingRetention).Duration(),
	}
}
