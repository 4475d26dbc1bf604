package state

import "auburnstep.example/auburnstep/internal/rpc/controlv1"

// applyRouting puts a routing table in force if its version is higher than the
// present one. The first table of a version stays: another one under the same
// version, or an older one that arrives late, changes nothing.
func (s *State) applyRouting(t *controlv1.RoutingTable) {
	if t.GetVersion() > s.routing.GetVersion() {
		s.routing = t
	}
}

// Routing returns the routing table in force, or nil. It must not be changed.
func (s *State) Routing() *controlv1.RoutingTable { return s.routing }
