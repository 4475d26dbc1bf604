package router

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"auburnstep.example/auburnstep/internal/directory"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/routing"
)

// serviceState holds the balancer and the retry budget of a service.
type serviceState struct {
	mu       sync.Mutex
	balancer *dispatch.Balancer // guarded by mu
	budget   *dispatch.RetryBudget
	engine   bool
	demand   *demandCounts
}

// registry holds the states of all services. It is safe for concurrent use.
//
// Requests read from it while they hold the lock of a service. So nothing here waits for the
// lock of a service while it holds another lock that a request may need.
type registry struct {
	failureDomain string
	retryRules    dispatch.RetryRules

	// byName holds the services. The map is not changed once it is stored.
	byName     atomic.Pointer[map[string]*serviceState]
	slackShare *dispatch.SlackShare
	// paced is set while the endpoints of an engine service of the table report their pace.
	paced atomic.Bool

	// updating serializes update, which alone uses the following fields.
	updating sync.Mutex
	// index and snapshot are what the balancers' endpoints were last set from.
	index    *routing.Index
	snapshot *directory.Snapshot
	// loadsAt is the time of the load report from other entries that is in use.
	loadsAt time.Time
}

func newRegistry(failureDomain string, retryRules dispatch.RetryRules) *registry {
	r := &registry{failureDomain: failureDomain, retryRules: retryRules, slackShare: dispatch.NewSlackShare(retryRules.Window)}
	r.byName.Store(&map[string]*serviceState{})
	return r
}

// serviceState returns the state of a service, or nil if the service is unknown.
func (r *registry) serviceState(service string) *serviceState { return (*r.byName.Load())[service] }

// slackEntries returns the number of entries by which the slack of a retry budget is divided
// at a time of package clock, or 0 if this entry may not use its part.
func (r *registry) slackEntries(now time.Time) int { return r.slackShare.Entries(now) }

// update applies the routing table, the endpoints, and the load and the limits reported by
// other entries. Endpoints of a service that the table does not list are used once it
// does.
func (r *registry) update(index *routing.Index, s *directory.Snapshot, loads *directory.Loads, limits *directory.Limits) {
	r.updating.Lock()
	defer r.updating.Unlock()
	if index != r.index || s != r.snapshot {
		r.index, r.snapshot = index, s
		r.setEndpoints()
	}
	r.paced.Store(r.hasPacedEngines())
	if limits.Changed() {
		r.eachBalancer(func(b *dispatch.Balancer) { b.MergeLimits(limits.Of) })
	}
	if !loads.At.After(r.loadsAt) {
		return
	}
	r.loadsAt = loads.At
	r.slackShare.Observe(loads.PolledAt, s.Entries)
	r.eachBalancer(func(b *dispatch.Balancer) { b.SetRemoteLoad(loads.At, loads.Of) })
}

// hasPacedEngines reports whether the endpoints of an engine service of the table report their
// pace.
func (r *registry) hasPacedEngines() (paced bool) {
	if r.index == nil {
		return false
	}
	states := *r.byName.Load()
	for _, service := range r.index.Table.Services {
		if state := states[service.Name]; state != nil && state.engine {
			state.withBalancer(func(b *dispatch.Balancer) { paced = paced || b.ReportsPace() })
		}
	}
	return paced
}

// eachBalancer calls f with each balancer, under the lock of its service only.
func (r *registry) eachBalancer(f func(b *dispatch.Balancer)) {
	for _, state := range *r.byName.Load() {
		state.withBalancer(f)
	}
}

// withBalancer calls f with the balancer under the lock of the service. f must not block,
// and must not take a lock that is held while another goroutine waits for this one.
func (s *serviceState) withBalancer(f func(b *dispatch.Balancer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.balancer)
}

// setEndpoints passes the endpoints to the balancers of their services. It costs
// about 1 us per endpoint, so it runs only when the table or the endpoints have
// changed, not for each load report. Requests see a new service once it has its endpoints.
func (r *registry) setEndpoints() {
	byService := make(map[string][]dispatch.Endpoint)
	for _, e := range r.snapshot.Endpoints {
		byService[e.Service] = append(byService[e.Service], dispatch.Endpoint{
			ID: e.Id, Incarnation: e.Incarnation, Address: e.Address, Domain: e.FailureDomain,
			Slots: int(e.Slots), Draining: e.Draining, Warming: e.WarmupMs > 0, Silent: e.Silent,
		})
	}
	states := maps.Clone(*r.byName.Load())
	if r.index != nil {
		for _, service := range r.index.Table.Services {
			r.ensureService(states, &service)
		}
	}
	for name, state := range states {
		state.withBalancer(func(b *dispatch.Balancer) { b.SetEndpoints(byService[name], r.snapshot.Entries) })
	}
	r.byName.Store(&states)
}

// ensureService adds the state of a service, or replaces it if the service has
// become or ceased to be an engine service.
func (r *registry) ensureService(states map[string]*serviceState, s *routing.Service) {
	engine := s.Engine != nil
	if state := states[s.Name]; state != nil && state.engine == engine {
		return
	}
	budget, demand := dispatch.NewRetryBudget(r.retryRules), &demandCounts{}
	if state := states[s.Name]; state != nil {
		budget, demand = state.budget, state.demand
	}
	var memory *dispatch.Memory
	if engine {
		memory = &dispatch.Memory{Tokens: s.Engine.KVTokens, FetchTokensPerMs: s.Engine.FetchTokensPerMs, Ordered: s.Scale != nil}
	}
	states[s.Name] = &serviceState{
		balancer: dispatch.NewBalancer(r.failureDomain, memory, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), budget: budget, engine: engine, demand: demand,
	}
}

// loads returns this entry's work in flight by endpoint.
func (r *registry) loads() map[string]dispatch.Load {
	out := make(map[string]dispatch.Load)
	r.eachBalancer(func(b *dispatch.Balancer) {
		b.EachOwnLoad(func(id string, l dispatch.Load) { out[id] = out[id].Plus(l) })
	})
	return out
}

// busy reports whether requests were placed recently while endpoints were expected
// to miss their objectives.
func (r *registry) busy(now time.Time) (busy bool) {
	r.eachBalancer(func(b *dispatch.Balancer) { busy = busy || b.Busy(now) })
	return busy
}
