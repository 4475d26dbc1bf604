package settings

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync"
	"time"
)

// digestSalt is generated at each process start. Customers are looked up by a
// salted digest of the key hash, so that the duration of a look-up reveals
// nothing about the stored hashes: without the salt a caller could choose keys
// whose digests share a prefix with a stored digest.
var digestSalt = func() (salt [32]byte) {
	rand.Read(salt[:])
	return salt
}()

func saltedDigest(hash [32]byte) string {
	var buf [64]byte
	copy(buf[:32], digestSalt[:])
	copy(buf[32:], hash[:])
	sum := sha256.Sum256(buf[:])
	return string(sum[:16])
}

func saltedDigestOfHex(text string) string {
	var hash [32]byte
	// Decode cannot fail: the text was validated when it was parsed.
	hex.Decode(hash[:], []byte(text))
	return saltedDigest(hash)
}

// HashKey returns the SHA-256 hash that is stored for a bearer key.
func HashKey(key string) [32]byte { return sha256.Sum256([]byte(key)) }

// Index holds the effective settings that requests need, computed from one tree.
// It is safe for concurrent use. The policies of services and their classes are
// computed when the index is made, those of customers on first use.
type Index struct {
	tree      *Tree
	services  []*ServicePolicy
	byName    map[string]*ServicePolicy
	classes   map[classKey]*ClassPolicy
	customers sync.Map // customer name to *CustomerPolicy
	overrides sync.Map // overrideKey to *ClassPolicy
}

type classKey struct{ service, class string }

type overrideKey struct{ service, class, customer string }

// ServicePolicy holds the effective settings of a service.
type ServicePolicy struct {
	Name string
	Path string
	// Engine reports whether the endpoints are model engines. It is false for
	// plain HTTP services.
	Engine bool
	Models []string
	// DefaultClass is empty if requests must name their class.
	DefaultClass string
	Classes      []string
	// Groups is the number of scheduler groups of the service.
	Groups            int
	RetryBudget       float64
	IdleTimeout       time.Duration
	FirstTokenTimeout time.Duration
	Placement         PlacementPolicy
}

// PlacementPolicy holds the settings of model placement for a service.
type PlacementPolicy struct {
	Enabled bool
	// MinReplicas is the minimum number of endpoints that keep a model loaded.
	MinReplicas int
	// StabilizationWindow is the time for which the demand must continuously require a change.
	StabilizationWindow time.Duration
	// MinChangeInterval is the minimum time between two changes at one endpoint.
	MinChangeInterval  time.Duration
	ModelsPerEndpoint  int
	MaxConcurrentLoads int
	MaxLoadsPerMinute  int
}

// ClassPolicy holds the effective settings of a class, including the overrides of
// one customer if it has any.
type ClassPolicy struct {
	Service             string
	Class               string
	Tier                int
	FirstTokenTarget    time.Duration
	BetweenTokensTarget time.Duration
	Deadline            time.Duration
	QueueMax            int
	QueueWait           time.Duration
	StarvationBound     time.Duration
	ShareMin            float64
	Idempotent          bool
	MaxBodyBytes        int64
}

// CustomerPolicy holds the effective settings of a customer.
type CustomerPolicy struct {
	Name string
	Path string
	// Concurrency and TokensPerSecond are 0 if there is no limit.
	Concurrency      int
	TokensPerSecond  int
	Weight           int
	BookingRetention time.Duration
}

// Index returns the index of the tree. Its cost grows with the number of
// services and classes, but not with the number of customers.
func (t *Tree) Index() *Index {
	x := &Index{tree: t, byName: map[string]*ServicePolicy{}, classes: map[classKey]*ClassPolicy{}}
	for _, s := range t.nameIndex.withPrefix(indexService) {
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

// Tree returns the tree from which the index was made.
func (x *Index) Tree() *Tree { return x.tree }

// Services returns all services, sorted by name. The result must not be modified.
func (x *Index) Services() []*ServicePolicy { return x.services }

// Service returns the service with the given name.
func (x *Index) Service(name string) (*ServicePolicy, bool) {
	p, ok := x.byName[name]
	return p, ok
}

// CustomerByKeyHash returns the name of the customer that owns the bearer key with
// the given hash.
func (x *Index) CustomerByKeyHash(hash [32]byte) (customer string, ok bool) {
	n, ok := x.tree.firstIndexed(indexKeyHash, saltedDigest(hash))
	if !ok {
		return "", false
	}
	v, _ := n.get(KeyHashes)
	matches := 0
	for _, h := range v.List() {
		var stored [32]byte
		hex.Decode(stored[:], []byte(h))
		matches |= subtle.ConstantTimeCompare(stored[:], hash[:])
	}
	if matches != 1 {
		return "", false
	}
	return n.Name(), true
}

// ClassPolicy returns the settings of a class for a customer. If the customer is
// empty or unknown, no overrides apply.
func (x *Index) ClassPolicy(service, class, customer string) (*ClassPolicy, bool) {
	base, ok := x.classes[classKey{service, class}]
	if !ok || customer == "" {
		return base, ok
	}
	c, ok := x.tree.firstIndexed(indexCustomer, customer)
	if !ok {
		return base, true
	}
	override, ok := x.tree.nodes.get(descendantPrefix(c.path) + class)
	if !ok {
		return base, true
	}
	key := overrideKey{service, class, customer}
	if p, ok := x.overrides.Load(key); ok {
		return p.(*ClassPolicy), true
	}
	node, _ := x.tree.nodes.get(descendantPrefix(x.byName[service].Path) + class)
	p := classPolicy(service, class, x.tree.chain(override, node))
	x.overrides.Store(key, p)
	return p, true
}

// CustomerPolicy returns the settings of a customer.
func (x *Index) CustomerPolicy(customer string) (*CustomerPolicy, bool) {
	if p, ok := x.customers.Load(customer); ok {
		return p.(*CustomerPolicy), true
	}
	n, ok := x.tree.firstIndexed(indexCustomer, customer)
	if !ok {
		return nil, false
	}
	p := customerPolicy(n, x.tree.chain(n, nil))
	x.customers.Store(customer, p)
	return p, true
}

// effectiveValue returns the effective value of a key, or the zero Value if the key
// has neither a value nor a default.
func effectiveValue(chain []*Node, key string) Value {
	v, _, _ := resolve(chain, mustKey(key))
	return v
}

func (t *Tree) servicePolicy(n *Node) *ServicePolicy {
	chain := t.chain(n, nil)
	return &ServicePolicy{
		Name:              n.Name(),
		Path:              n.path,
		Engine:            effectiveValue(chain, KeyKind).text == "engine",
		Models:            effectiveValue(chain, KeyModels).List(),
		DefaultClass:      effectiveValue(chain, KeyClassDefault).text,
		Groups:            effectiveValue(chain, KeySchedulerGroups).Int(),
		RetryBudget:       effectiveValue(chain, KeyRetryBudget).Ratio(),
		IdleTimeout:       effectiveValue(chain, KeyIdleTimeout).Duration(),
		FirstTokenTimeout: effectiveValue(chain, KeyFirstTokenTimeout).Duration(),
		Placement: PlacementPolicy{
			Enabled:             effectiveValue(chain, KeyPlacementEnabled).Bool(),
			MinReplicas:         effectiveValue(chain, KeyPlacementFloor).Int(),
			StabilizationWindow: effectiveValue(chain, KeyPlacementHold).Duration(),
			MinChangeInterval:   effectiveValue(chain, KeyPlacementPause).Duration(),
			ModelsPerEndpoint:   effectiveValue(chain, KeyPlacementPerEndpoint).Int(),
			MaxConcurrentLoads:  effectiveValue(chain, KeyWeightsConcurrent).Int(),
			MaxLoadsPerMinute:   effectiveValue(chain, KeyWeightsPerMinute).Int(),
		},
	}
}

func classPolicy(service, class string, chain []*Node) *ClassPolicy {
	return &ClassPolicy{
		Service:             service,
		Class:               class,
		Tier:                effectiveValue(chain, KeyTier).Int(),
		FirstTokenTarget:    effectiveValue(chain, KeyFirstTokenTarget).Duration(),
		BetweenTokensTarget: effectiveValue(chain, KeyBetweenTokensTarget).Duration(),
		Deadline:            effectiveValue(chain, KeyDeadline).Duration(),
		QueueMax:            effectiveValue(chain, KeyQueueMax).Int(),
		QueueWait:           effectiveValue(chain, KeyQueueWait).Duration(),
		StarvationBound:     effectiveValue(chain, KeyStarvationBound).Duration(),
		ShareMin:            effectiveValue(chain, KeyShareMin).Ratio(),
		Idempotent:          effectiveValue(chain, KeyIdempotent).Bool(),
		MaxBodyBytes:        effectiveValue(chain, KeyBodyMax).Bytes(),
	}
}

func customerPolicy(n *Node, chain []*Node) *CustomerPolicy {
	return &CustomerPolicy{
		Name:             n.Name(),
		Path:             n.path,
		Concurrency:      effectiveValue(chain, KeyConcurrency).Int(),
		TokensPerSecond:  effectiveValue(chain, KeyTokensPerSecond).Int(),
		Weight:           effectiveValue(chain, KeyWeight).Int(),
		BookingRetention: effectiveValue(chain, KeyBookingRetention).Duration(),
	}
}
