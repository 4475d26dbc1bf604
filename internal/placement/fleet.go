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

// FleetState is the combined state of all schedulers at one moment.
type FleetState struct {
	// Services lists all engine services, including those without placement,
	// because their loads use the same weight store.
	Services []Service
	// Partial contains the services for which a scheduler did not respond or has
	// not run long enough to know all endpoints.
	Partial map[string]bool
}

func (state *FleetState) service(name string) *Service {
	for i := range state.Services {
		if state.Services[i].Name == name {
			return &state.Services[i]
		}
	}
	return nil
}

// Fleet provides access to the schedulers.
type Fleet interface {
	// Poll returns the current state of all schedulers.
	Poll(ctx context.Context) FleetState
	// Withhold stops new requests for a model at an endpoint for the duration d.
	// It returns the epoch of the scheduler that withholds them.
	Withhold(ctx context.Context, group, endpoint, model string, d time.Duration) (epoch uint64, err error)
}

// Directory provides the settings and the locations of the schedulers.
type Directory interface {
	Index() *settings.Index
	// Groups returns the names of the scheduler groups of a service.
	Groups(service string) []string
	// Holder returns the address of the instance that schedules a group.
	Holder(group string) (address string, epoch uint64, ok bool)
}

const (
	// callTimeout bounds a poll of all schedulers and each Withhold call.
	callTimeout = time.Second
	// minSchedulerAge is the age from which a scheduler knows all endpoints:
	// endpoints announce themselves every second with a lease of 3 s.
	minSchedulerAge = 5 * time.Second
)

// schedulerFleet is a Fleet that calls the schedulers over the network.
type schedulerFleet struct {
	directory Directory
	dial      func(address string) schedulerv1connect.SchedulerClient
	// minAge is the age below which the state of a scheduler counts as partial.
	minAge time.Duration
}

// NewFleet returns a Fleet that calls the schedulers of all engine services.
func NewFleet(d Directory, dial func(address string) schedulerv1connect.SchedulerClient) Fleet {
	return &schedulerFleet{directory: d, dial: dial, minAge: minSchedulerAge}
}

// Poll implements Fleet.
func (f *schedulerFleet) Poll(ctx context.Context) FleetState {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state := FleetState{Partial: make(map[string]bool)}
	type groupStatus struct {
		service int
		status  *schedulerv1.StatusResponse
	}
	statuses := make(chan groupStatus)
	var wg sync.WaitGroup
	for _, s := range f.directory.Index().Services() {
		if !s.Engine {
			continue
		}
		i := len(state.Services)
		state.Services = append(state.Services, Service{Name: s.Name, Policy: s.Placement, Models: s.Models})
		for _, group := range f.directory.Groups(s.Name) {
			wg.Go(func() { statuses <- groupStatus{i, f.status(ctx, group)} })
		}
	}
	go func() {
		wg.Wait()
		close(statuses)
	}()
	for g := range statuses {
		s := &state.Services[g.service]
		if g.status == nil || time.Duration(g.status.AgeMs)*time.Millisecond < f.minAge {
			state.Partial[s.Name] = true
			continue
		}
		s.addGroup(g.status)
	}
	return state
}

// status returns the status of a group, or nil if its scheduler is unknown or
// the call fails.
func (f *schedulerFleet) status(ctx context.Context, group string) *schedulerv1.StatusResponse {
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
func (f *schedulerFleet) Withhold(ctx context.Context, group, endpoint, model string, d time.Duration) (uint64, error) {
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

// addGroup adds the demand and the endpoints of one group.
func (s *Service) addGroup(r *schedulerv1.StatusResponse) {
	for _, d := range r.Demand {
		s.Demand = append(s.Demand, Demand{
			Model: d.Model, Tier: int(d.Tier), Waiting: int(d.Waiting), InFlight: int(d.InFlight),
			TokensPerSecond: float64(d.TokensPerSecond), RefusedPerSecond: float64(d.RefusedPerSecond),
		})
	}
	for _, e := range r.Endpoints {
		s.Endpoints = append(s.Endpoints, newEndpoint(r, e))
	}
	// An endpoint that changes its group is briefly reported by both schedulers.
	slices.SortStableFunc(s.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	s.Endpoints = slices.CompactFunc(s.Endpoints, func(a, b Endpoint) bool { return a.ID == b.ID })
}

func newEndpoint(r *schedulerv1.StatusResponse, s *schedulerv1.EndpointStatus) Endpoint {
	e := s.Endpoint
	out := Endpoint{
		ID: e.Id, Group: r.Group, Epoch: r.Epoch, Address: e.Address, Incarnation: e.Incarnation, Domain: e.FailureDomain,
		Models: e.Models, Loading: e.Loading, Slots: int(e.Slots), StreamRate: float64(s.ObservedTokensPerSecond),
		Live: s.LeaseLeftMs > 0, Leaving: e.Leaving, Ejected: s.Ejected,
		ChecksOrders: e.ChecksOrders, RefusesOldFencing: e.RefusesOldFencing, InFlight: make(map[string]int),
	}
	if out.StreamRate <= 0 {
		out.StreamRate = float64(e.TokensPerSecond)
	}
	for _, m := range s.ByModel {
		out.InFlight[m.Model] += int(m.InFlight)
	}
	return out
}
