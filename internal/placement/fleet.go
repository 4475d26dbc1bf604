package placement

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/rpc/schedulerv1/schedulerv1connect"
	"auburnstep.example/auburnstep/internal/settings"
)

// FleetState is what the schedulers know at one moment.
type FleetState struct {
	// Services lists all engine services, those without placement too, since
	// their loads use the same weight store.
	Services []Service
	// Partial names the services of which a scheduler did not answer.
	Partial map[string]bool
}

func (p *FleetState) service(name string) *Service {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i]
		}
	}
	return nil
}

// Fleet reaches the schedulers.
type Fleet interface {
	Poll(ctx context.Context) FleetState
	// Withhold keeps new requests for a model away from an endpoint for a while.
	// It returns the epoch of the scheduler that does so.
	Withhold(ctx context.Context, group, endpoint, model string, d time.Duration) (epoch uint64, err error)
}

// Directory tells where schedulers are.
type Directory interface {
	Index() *settings.Index
	// Groups returns the names of the groups of a service.
	Groups(service string) []string
	// Holder returns the address of the instance that schedules a group.
	Holder(group string) (address string, epoch uint64, ok bool)
}

const (
	// callTimeout bounds a call to a scheduler.
	callTimeout = time.Second
	// settleTime is the age from which a scheduler knows all endpoints: they
	// announce themselves every second with a lease of 3 s.
	settleTime = 5 * time.Second
)

// schedulers is the Fleet that asks schedulers over the network.
type schedulers struct {
	directory Directory
	dial      func(address string) schedulerv1connect.SchedulerClient
	settle    time.Duration
}

// NewFleet returns a Fleet that asks the schedulers of all engine services.
func NewFleet(d Directory, dial func(address string) schedulerv1connect.SchedulerClient) Fleet {
	return &schedulers{directory: d, dial: dial, settle: settleTime}
}

// Poll implements Fleet.
func (f *schedulers) Poll(ctx context.Context) FleetState {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p := FleetState{Partial: make(map[string]bool)}
	type answer struct {
		service int
		status  *schedulerv1.StatusResponse
	}
	answers := make(chan answer)
	var wg sync.WaitGroup
	for _, s := range f.directory.Index().Services() {
		if !s.Engine {
			continue
		}
		i := len(p.Services)
		p.Services = append(p.Services, Service{Name: s.Name, Policy: s.Placement, Models: s.Models})
		for _, group := range f.directory.Groups(s.Name) {
			wg.Go(func() { answers <- answer{i, f.status(ctx, group)} })
		}
	}
	go func() {
		wg.Wait()
		close(answers)
	}()
	for a := range answers {
		s := &p.Services[a.service]
		if a.status == nil || time.Duration(a.status.AgeMs)*time.Millisecond < f.settle {
			p.Partial[s.Name] = true
			continue
		}
		s.add(a.status)
	}
	return p
}

func (f *schedulers) status(ctx context.Context, group string) *schedulerv1.StatusResponse {
	address, _, ok := f.directory.Holder(group)
	if !ok {
		return nil
	}
	r, err := f.dial(address).Status(ctx, connect.NewRequest(&schedulerv1.StatusRequest{Group: group}))
	if err != nil {
		return nil
	}
	return r.Msg
}

// Withhold implements Fleet.
func (f *schedulers) Withhold(ctx context.Context, group, endpoint, model string, d time.Duration) (uint64, error) {
	address, _, ok := f.directory.Holder(group)
	if !ok {
		return 0, Error.New("group %s has no scheduler", group)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := f.dial(address).Withhold(ctx, connect.NewRequest(&schedulerv1.WithholdRequest{
		Group: group, Endpoint: endpoint, Model: model, ForMs: uint32(d.Milliseconds()),
	}))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return r.Msg.Epoch, nil
}

// add takes over the status of one group.
func (s *Service) add(r *schedulerv1.StatusResponse) {
	for _, d := range r.Demand {
		s.Demand = append(s.Demand, Demand{
			Model: d.Model, Tier: int(d.Tier), Waiting: int(d.Waiting), InFlight: int(d.InFlight),
			TokensPerSecond: float64(d.TokensPerSecond), RefusedPerSecond: float64(d.RefusedPerSecond),
		})
	}
	for _, e := range r.Endpoints {
		s.Endpoints = append(s.Endpoints, endpointOf(r, e))
	}
	// An endpoint that changes its group is known to both for a moment.
	slices.SortStableFunc(s.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	s.Endpoints = slices.CompactFunc(s.Endpoints, func(a, b Endpoint) bool { return a.ID == b.ID })
}

func endpointOf(r *schedulerv1.StatusResponse, s *schedulerv1.EndpointStatus) Endpoint {
	e := s.Endpoint
	out := Endpoint{
		ID: e.Id, Group: r.Group, Epoch: r.Epoch, Address: e.Address, Incarnation: e.Incarnation, Domain: e.FailureDomain,
		Models: e.Models, Loading: e.Loading, Slots: int(e.Slots), Pace: float64(s.ObservedTokensPerSecond),
		Live: s.LeaseLeftMs > 0, Leaving: e.Leaving, Ejected: s.Ejected,
		ChecksOrders: e.ChecksOrders, RefusesOldFencing: e.RefusesOldFencing, InFlight: make(map[string]int),
	}
	if out.Pace <= 0 {
		out.Pace = float64(e.TokensPerSecond)
	}
	for _, m := range s.ByModel {
		out.InFlight[m.Model] += int(m.InFlight)
	}
	return out
}
