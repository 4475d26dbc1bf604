package daemon

import (
	"context"
	"time"

	"auburnstep.example/auburnstep/internal/directory"
	"auburnstep.example/auburnstep/internal/duty"
	"auburnstep.example/auburnstep/internal/fleet"
	"auburnstep.example/auburnstep/internal/routing"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

// Names under which the services of the autoscaling duty are registered in the kernel.
const (
	ServiceFleet          = "fleet"
	ServiceFleetDirectory = "fleet-directory"
)

// registerFleet registers the ordering of endpoints at a control member. Orders leave while
// this instance is the holder of the duties.
func (d *RoutedDaemon) registerFleet() error {
	client := d.directoryClient
	if client == nil {
		// An endpoint announces itself to any member, so the registries of all members are
		// merged as entries do it.
		client = directory.NewClient(directory.ClientOptions{
			Pool: d.pool, Members: d.Member.Members, Self: func() *directoryv1.Entry { return &directoryv1.Entry{} },
			NoLoads: true, Crashes: d.crashes, Events: d.Events, Scope: d.metrics.Scope,
		})
		if err := d.kernel.Register(ServiceFleetDirectory, client); err != nil {
			return err
		}
	}
	source := &fleetSource{routing: d.Member.AppliedRouting, directory: d.Directory, client: client}
	return d.kernel.Register(ServiceFleet, fleet.NewRunner(fleet.RunnerOptions{Source: source, Caller: fleetCaller{d.DutyCaller}, Events: d.Events, Scope: d.metrics.Scope}))
}

// fleetSource implements fleet.Source with what this member knows.
type fleetSource struct {
	routing   func() *controlv1.RoutingTable
	directory *directory.Service
	client    *directory.Client

	// table is the table that services were read from.
	table    *controlv1.RoutingTable
	services []routing.Service
}

// Observe implements fleet.Source.
func (s *fleetSource) Observe() (fleet.Observation, bool) {
	if table := s.routing(); table != s.table {
		s.table, s.services = table, nil
		// A table that cannot be decoded was refused when it was proposed.
		if decoded, err := routing.Decode(table.GetDocument()); err == nil {
			s.services = decoded.Services
		}
	}
	return fleet.Observation{Services: s.services, Endpoints: s.client.Snapshot().Endpoints, Demand: s.directory.Demand()},
		len(s.services) > 0 && s.client.Synced()
}

// fleetCaller places the orders of endpoints as calls of the duties. It implements
// fleet.Caller.
type fleetCaller struct{ duties *duty.Caller }

// Call implements fleet.Caller. An order that was not sent counts as unknown too: its next
// attempt says the same number.
func (c fleetCaller) Call(ctx context.Context, o fleet.Order) (fleet.Result, error) {
	order := duty.Order(o)
	a := c.duties.Call(ctx, order.Subject(), order)
	switch a.Result {
	case duty.Accepted:
		return fleet.Accepted, nil
	case duty.Superseded:
		return fleet.Superseded, nil
	case duty.Unavailable:
		return fleet.Unavailable, nil
	default:
		return fleet.Unknown, a.Err
	}
}

// Holding implements fleet.Caller.
func (c fleetCaller) Holding(time.Time) bool {
	_, ok := c.duties.Holder()
	return ok
}
