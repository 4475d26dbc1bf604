package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/directory"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/routing"
)

// backend is a service with its balancer and retry budget.
type backend struct {
	mu       sync.Mutex
	balancer *dispatch.Balancer
	budget   *dispatch.RetryBudget
	engine   bool
}

// fleet holds the backends of all services. It is safe for concurrent use.
type fleet struct {
	domain string
	rules  dispatch.RetryRules

	mu       sync.RWMutex
	services map[string]*backend
	entries  int
	// index and snapshot are what the backends' endpoints were taken from.
	index    *routing.Index
	snapshot *directory.Snapshot
	// loadsAt is the moment of the load of other entries that is in use.
	loadsAt time.Time
}

func newFleet(domain string, rules dispatch.RetryRules) *fleet {
	return &fleet{domain: domain, rules: rules, services: make(map[string]*backend), entries: 1}
}

// backend returns the backend of a service, or nil.
func (f *fleet) backend(service string) *backend {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.services[service]
}

func (f *fleet) entryCount() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.entries
}

// update takes over the table, the endpoints and the load of other entries.
// Endpoints of services that the table does not list wait until it does.
func (f *fleet) update(index *routing.Index, s *directory.Snapshot, loads *directory.Loads) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = s.Entries
	if index != f.index || s != f.snapshot {
		f.index, f.snapshot = index, s
		f.setEndpoints()
	}
	if !loads.At.After(f.loadsAt) {
		return
	}
	f.loadsAt = loads.At
	for _, b := range f.services {
		b.mu.Lock()
		b.balancer.SetRemote(loads.At, loads.Of)
		b.mu.Unlock()
	}
}

// setEndpoints hands the endpoints to the backends. It costs some 1 us for each
// endpoint and is done only when the table or the endpoints have changed, not for
// each report of load.
func (f *fleet) setEndpoints() {
	byService := make(map[string][]dispatch.Endpoint)
	for _, e := range f.snapshot.Endpoints {
		byService[e.Service] = append(byService[e.Service], dispatch.Endpoint{
			ID: e.Id, Incarnation: e.Incarnation, Address: e.Address, Domain: e.FailureDomain,
			Slots: int(e.Slots), Draining: e.Draining, Warming: e.WarmupMs > 0, Silent: e.Silent,
		})
	}
	if f.index != nil {
		for _, service := range f.index.Table.Services {
			f.ensure(&service)
		}
	}
	for name, b := range f.services {
		b.mu.Lock()
		b.balancer.SetEndpoints(byService[name], f.snapshot.Entries)
		b.mu.Unlock()
	}
}

// ensure adds the backend of a service, or replaces it if its kind has changed.
func (f *fleet) ensure(s *routing.Service) {
	engine := s.Engine != nil
	if b := f.services[s.Name]; b != nil && b.engine == engine {
		return
	}
	var memory *dispatch.Memory
	if engine {
		memory = &dispatch.Memory{Tokens: s.Engine.KVTokens, FetchPerMs: s.Engine.FetchPerMs}
	}
	f.services[s.Name] = &backend{
		balancer: dispatch.NewBalancer(f.domain, memory, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), budget: dispatch.NewRetryBudget(f.rules), engine: engine,
	}
}

// loads returns the work in flight at all endpoints.
func (f *fleet) loads() map[string]dispatch.Load {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make(map[string]dispatch.Load)
	for _, b := range f.services {
		b.mu.Lock()
		b.balancer.Own(func(id string, l dispatch.Load) { out[id] = out[id].Plus(l) })
		b.mu.Unlock()
	}
	return out
}

// busy reports whether requests were placed just now while endpoints were behind.
func (f *fleet) busy(now time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, b := range f.services {
		b.mu.Lock()
		busy := b.balancer.Busy(now)
		b.mu.Unlock()
		if busy {
			return true
		}
	}
	return false
}
