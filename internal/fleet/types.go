// Package fleet orders the number of endpoints that services need. Planner decides, without
// I/O; Runner asks it every second and places the orders while this instance is the holder
// of the duty.
package fleet

import (
	"context"
	"time"

	"auburnstep.example/auburnstep/internal/directory"
	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

// Order sets the number of endpoints of one kind of a service in a failure domain.
type Order struct {
	Service, Domain string
	Desired         int
	// Spot is set for endpoints that may be reclaimed.
	Spot bool
}

// Result is what became of an order.
type Result int

// Results of orders.
const (
	// Accepted orders are in force.
	Accepted Result = iota
	// Superseded orders came from an instance that is not the holder any more.
	Superseded
	// Unavailable means that no such endpoints are available in the domain at the moment.
	Unavailable
	// Unknown orders had no answer. They may come into force for lateOrder, after newer
	// orders too.
	Unknown
)

// String returns the name used in events.
func (r Result) String() string {
	return [...]string{"accepted", "superseded", "unavailable", "unknown"}[r]
}

// Caller sends orders to the platform in the name of the holder.
type Caller interface {
	// Call sends an order and returns its result. The error describes Unknown results.
	Call(ctx context.Context, o Order) (Result, error)
	// Holding reports whether this instance is the holder of the duty at a time of package
	// clock.
	Holding(now time.Time) bool
}

// Observation is what a member knows at a time.
type Observation struct {
	// Services are those of the routing table in force. Services without a scale are not
	// ordered.
	Services []routing.Service
	// Endpoints are the announced endpoints that have not left, of all members.
	Endpoints map[string]*directoryv1.Endpoint
	Demand    directory.Demand
}

// Source provides observations.
type Source interface {
	// Observe returns false while the member knows too little.
	Observe() (Observation, bool)
}
