package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/directory"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
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
	byService := make(map[string][]dispatch.Endpoint)
	for _, e := range s.Endpoints {
		byService[e.Service] = append(byService[e.Service], dispatch.Endpoint{
			ID: e.Id, Incarnation: e.Incarnation, Address: e.Address, Domain: e.FailureDomain,
			Slots: int(e.Slots), Draining: e.Draining, Silent: e.Silent,
		})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = s.Entries
	if index != nil {
		for _, service := range index.Table.Services {
			f.ensure(&service)
		}
	}
	fresh := loads.At.After(f.loadsAt)
	f.loadsAt = loads.At
	for name, b := range f.services {
		b.mu.Lock()
		b.balancer.SetEndpoints(byService[name], s.Entries)
		if fresh {
			b.balancer.SetRemote(loads.At, func(id string) dispatch.Load { return remoteLoad(loads.ByID[id]) })
		}
		b.mu.Unlock()
	}
}

func remoteLoad(l *directoryv1.Load) dispatch.Load {
	return dispatch.Load{
		Requests: int(l.GetRequests()), PromptTokens: int(l.GetPromptTokens()), LateTokens: int(l.GetLateTokens()),
		Light: int(l.GetLight()), Late: int(l.GetLate()), MemoryTokens: int(l.GetMemoryTokens()),
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
func (f *fleet) loads() []*directoryv1.Load {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []*directoryv1.Load
	for _, b := range f.services {
		b.mu.Lock()
		b.balancer.Own(func(id string, l dispatch.Load) {
			out = append(out, &directoryv1.Load{
				Id: id, Requests: uint32(max(0, l.Requests)), PromptTokens: uint32(max(0, l.PromptTokens)),
				LateTokens: uint32(max(0, l.LateTokens)), Light: uint32(max(0, l.Light)), Late: uint32(max(0, l.Late)), MemoryTokens: uint32(max(0, l.MemoryTokens)),
			})
		})
		b.mu.Unlock()
	}
	return out
}
