package state

import "auburnstep.example/auburnstep/internal/rpc/controlv1"

// applyRouting replaces the routing table if the new version is higher than the
// current one. The first table of each version is kept: a different table with
// the same version and an older table that arrives late have no effect. The first
// table also sets the window after which usage is reported, so that a leader which fails
// right after it cannot lose a window.
func (s *State) applyRouting(t *controlv1.RoutingTable) {
	if t.GetVersion() > s.routing.GetVersion() {
		if s.routing == nil && t.GetUsageWindow() != 0 && !s.usage.Started {
			s.usage.Started, s.usage.Newest = true, t.GetUsageWindow()
		}
		s.routing = t
	}
}

// Routing returns the routing table in force, or nil. The caller must not modify
// it.
func (s *State) Routing() *controlv1.RoutingTable { return s.routing }
