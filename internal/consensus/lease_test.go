package consensus_test

import "testing"

// TestLeaseProperties guards against a new leader while the old one holds a
// lease. One follower stops hearing the leader and tries to take over; the
// other one, on whose answers the lease rests, is restarted, paused or asked
// to take over, and then the leader is cut off. Tick intervals differ by the
// largest factor allowed.
func TestLeaseProperties(t *testing.T) {
	t.Parallel()
	const schedules = 3000
	for seed := range uint64(schedules) {
		if v := leaseSchedule(seed); v != "" {
			t.Fatalf("seed %d: %s", seed, v)
		}
	}
}

func leaseSchedule(seed uint64) (found violation) {
	defer func() {
		if r := recover(); r != nil {
			found = r.(violation)
		}
	}()
	s := newSim(seed, 3)
	s.run(4*electionTick*tickUnits + s.rng.Int64N(tickUnits))
	var leader *host
	s.eachLeader(func(h *host) { leader = h })
	if leader == nil {
		return ""
	}
	deaf, other := s.hosts[leader.id%3], s.hosts[(leader.id+1)%3]
	s.cut[link{leader.id, deaf.id}] = s.rng.IntN(2) == 0
	s.run(s.rng.Int64N(15 * tickUnits))
	switch s.rng.IntN(5) {
	case 0:
		s.restart(other)
	case 1:
		other.pausedUntil = s.now + s.rng.Int64N(20*tickUnits)
	case 2:
		_ = leader.node.TransferLeadership(other.id)
		s.settle(leader)
	}
	s.run(s.rng.Int64N(3 * tickUnits))
	s.isolate(leader)
	s.run(4 * electionTick * tickUnits)
	return ""
}
