package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/directory"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/routing"
)

// serviceState holds the balancer and the retry budget of a service.
type serviceState struct {
	mu       sync.Mutex
	balancer *dispatch.Balancer
	budget   *dispatch.RetryBudget
	engine   bool
}

// registry holds the states of all services. It is safe for concurrent use.
type registry struct {
	failureDomain string
	retryRules    dispatch.RetryRules

	mu      sync.RWMutex
	byName  map[string]*serviceState
	entries int
	// index and snapshot are what the balancers' endpoints were last set from.
	index    *routing.Index
	snapshot *directory.Snapshot
	// loadsAt is the time of the load report from other entries that is in use.
	loadsAt time.Time
}

func newRegistry(failureDomain string, retryRules dispatch.RetryRules) *registry {
	return &registry{failureDomain: failureDomain, retryRules: retryRules, byName: make(map[string]*serviceState), entries: 1}
}

// serviceState returns the state of a service, or nil if the service is unknown.
func (r *registry) serviceState(service string) *serviceState {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byName[service]
}

func (r *registry) entryCount() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.entries
}

// update applies the routing table, the endpoints, and the load and the limits reported by
// other entries. Endpoints of a service that the table does not list are used once it
// does.
func (r *registry) update(index *routing.Index, s *directory.Snapshot, loads *directory.Loads, limits *directory.Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = s.Entries
	if index != r.index || s != r.snapshot {
		r.index, r.snapshot = index, s
		r.setEndpoints()
	}
	if limits.Changed() {
		for _, state := range r.byName {
			state.mu.Lock()
			state.balancer.MergeLimits(limits.Of)
			state.mu.Unlock()
		}
	}
	if !loads.At.After(r.loadsAt) {
		return
	}
	r.loadsAt = loads.At
	for _, state := range r.byName {
		state.mu.Lock()
		state.balancer.SetRemoteLoad(loads.At, loads.Of)
		state.mu.Unlock()
	}
}

// setEndpoints passes the endpoints to the balancers of their services. It costs
// about 1 us per endpoint, so it runs only when the table or the endpoints have
// changed, not for each load report.
func (r *registry) setEndpoints() {
	byService := make(map[string][]dispatch.Endpoint)
	for _, e := range r.snapshot.Endpoints {
		byService[e.Service] = append(byService[e.Service], dispatch.Endpoint{
			ID: e.Id, Incarnation: e.Incarnation, Address: e.Address, Domain: e.FailureDomain,
			Slots: int(e.Slots), Draining: e.Draining, Warming: e.WarmupMs > 0, Silent: e.Silent,
		})
	}
	if r.index != nil {
		for _, service := range r.index.Table.Services {
			r.ensureService(&service)
		}
	}
	for name, state := range r.byName {
		state.mu.Lock()
		state.balancer.SetEndpoints(byService[name], r.snapshot.Entries)
		state.mu.Unlock()
	}
}

// ensureService adds the state of a service, or replaces it if the service has
// become or ceased to be an engine service.
func (r *registry) ensureService(s *routing.Service) {
	engine := s.Engine != nil
	if state := r.byName[s.Name]; state != nil && state.engine == engine {
		return
	}
	var memory *dispatch.Memory
	if engine {
		memory = &dispatch.Memory{Tokens: s.Engine.KVTokens, FetchTokensPerMs: s.Engine.FetchTokensPerMs}
	}
	r.byName[s.Name] = &serviceState{
		balancer: dispatch.NewBalancer(r.failureDomain, memory, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), budget: dispatch.NewRetryBudget(r.retryRules), engine: engine,
	}
}

// loads returns this entry's work in flight by endpoint.
func (r *registry) loads() map[string]dispatch.Load {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make(map[string]dispatch.Load)
	for _, state := range r.byName {
		state.mu.Lock()
		state.balancer.EachOwnLoad(func(id string, l dispatch.Load) { out[id] = out[id].Plus(l) })
		state.mu.Unlock()
	}
	return out
}

// busy reports whether requests were placed recently while endpoints were expected
// to miss their objectives.
func (r *registry) busy(now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, state := range r.byName {
		state.mu.Lock()
		busy := state.balancer.Busy(now)
		state.mu.Unlock()
		if busy {
			return true
		}
	}
	return false
}
