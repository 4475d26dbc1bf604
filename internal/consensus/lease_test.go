package consensus_test

import "testing"

// TestLeaseProperties guards against the election of a new leader while the old
// one holds a lease. In each schedule, one follower may stop receiving messages
// from the leader, and then campaigns. The lease then depends on the other
// follower, which is restarted, paused or made the target of a leadership
// transfer. Finally, the leader is isolated. Tick intervals differ by the
// largest factor that the lease margin allows.
func TestLeaseProperties(t *testing.T) {
	t.Parallel()
	const schedules = 3000
	for seed := range uint64(schedules) {
		if v := runLeaseSchedule(seed); v != "" {
			t.Fatalf("seed %d: %s", seed, v)
		}
	}
}

func runLeaseSchedule(seed uint64) (found violation) {
	defer func() {
		if r := recover(); r != nil {
			found = r.(violation)
		}
	}()
	s := newSimulation(seed, 3)
	s.run(4*electionTicks*minTickUnits + s.rng.Int64N(minTickUnits))
	var leader *host
	s.eachLeader(func(h *host) { leader = h })
	if leader == nil {
		return ""
	}
	cutOff, other := s.hosts[leader.id%3], s.hosts[(leader.id+1)%3]
	s.blockedLinks[link{leader.id, cutOff.id}] = s.rng.IntN(2) == 0
	s.run(s.rng.Int64N(15 * minTickUnits))
	switch s.rng.IntN(5) {
	case 0:
		s.restart(other)
	case 1:
		other.pausedUntil = s.now + s.rng.Int64N(20*minTickUnits)
	case 2:
		_ = leader.node.TransferLeadership(other.id)
		s.processReady(leader)
	}
	s.run(s.rng.Int64N(3 * minTickUnits))
	s.isolate(leader)
	s.run(4 * electionTicks * minTickUnits)
	return ""
}
