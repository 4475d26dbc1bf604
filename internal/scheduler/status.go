package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Status returns a snapshot of the core for operators.
func (c *Core) Status(now time.Time) Status {
	s := Status{Group: c.config.Group, Epoch: c.config.Epoch, Waiting: len(c.waiting)}
	s.Warming = c.config.Successor && now.Sub(c.started) < WarmUp && !c.allAdopted()
	for _, ep := range c.endpointOrder {
		e := EndpointStatus{
			Endpoint: ep.spec, InFlight: ep.inFlight, Ejected: ep.health.ejected,
			LeaseLeft: max(0, ep.leaseUntil.Sub(now)),
		}
		if p := ep.pace.SmoothedSeconds(); p > 0 {
			e.Pace = 1 / p
		}
		s.Endpoints = append(s.Endpoints, e)
	}
	slices.SortFunc(s.Endpoints, func(a, b EndpointStatus) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	for _, cl := range c.classOrder {
		s.Classes = append(s.Classes, ClassStatus{
			Class: cl.name, Tier: cl.tier, Waiting: cl.waiting.count, InFlight: cl.inFlight,
			Granted: cl.granted, Refused: cl.refused,
		})
	}
	slices.SortFunc(s.Classes, func(a, b ClassStatus) int { return cmp.Compare(a.Class, b.Class) })
	return s
}

// Position returns the number of waiting requests of the same class up to and
// including the request, or zero if it does not wait. It counts no further than
// 1,000.
func (c *Core) Position(requestID string) int {
	const maxPosition = 1000
	n := 0
	for w := c.waiting[requestID]; w != nil && n < maxPosition; w = w.classLinks.prev {
		n++
	}
	return n
}
