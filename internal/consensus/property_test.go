package consensus_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"auburnstep.example/auburnstep/internal/consensus"
	"pgregory.net/rapid"

	"auburnstep.example/auburnstep/internal/testkit/properties"
)

// checksPerProperty is the number of schedules that each parallel property test
// runs.
const checksPerProperty = 600

func TestMain(m *testing.M) { os.Exit(properties.Run(m, checksPerProperty)) }

// action is one step of a schedule. It uses up to two hosts.
type action func(s *simulation, h, o *host, r *rand.Rand)

// actions lists all actions with their relative frequencies.
var actions = []struct {
	share int
	do    action
}{
	{3, func(s *simulation, _, _ *host, r *rand.Rand) {
		for range 1 + r.IntN(6) {
			s.propose()
		}
	}},
	{1, func(s *simulation, _, _ *host, _ *rand.Rand) { s.read() }},
	{1, func(s *simulation, h, _ *host, _ *rand.Rand) { s.stop(h) }},
	{2, func(s *simulation, h, _ *host, _ *rand.Rand) { s.start(h) }},
	{2, func(s *simulation, h, _ *host, _ *rand.Rand) { s.restart(h) }},
	{1, func(s *simulation, h, _ *host, _ *rand.Rand) { // power loss at all hosts but one
		for _, o := range s.hosts {
			if o != h && o.node != nil {
				s.restart(o)
			}
		}
	}},
	{2, func(_ *simulation, h, _ *host, r *rand.Rand) { h.crash = crashPoint(1 + r.IntN(2)) }},
	{2, func(s *simulation, h, o *host, _ *rand.Rand) { s.blockedLinks[link{h.id, o.id}] = true }},
	{3, func(s *simulation, h, _ *host, _ *rand.Rand) { s.isolate(h) }},
	{3, func(s *simulation, _, _ *host, _ *rand.Rand) { clear(s.blockedLinks) }},
	{2, func(s *simulation, h, _ *host, r *rand.Rand) { h.pausedUntil = s.now + r.Int64N(30*minTickUnits) }},
	{1, func(s *simulation, h, _ *host, _ *rand.Rand) { s.loseDisk(h) }},
	{2, func(s *simulation, _, o *host, _ *rand.Rand) {
		s.eachLeader(func(l *host) { _ = l.node.TransferLeadership(o.id) })
	}},
	{1, func(s *simulation, h, _ *host, _ *rand.Rand) { s.compact(h) }},
	{1, func(s *simulation, _, _ *host, r *rand.Rand) { s.faultPercent = r.IntN(40) }},
	{4, func(s *simulation, _, _ *host, _ *rand.Rand) { s.repairMembership() }},
	{1, removeHealthyMembers},
}

// pickAction returns a random action, weighted by relative frequency.
func pickAction(r *rand.Rand) action {
	total := 0
	for _, a := range actions {
		total += a.share
	}
	n := r.IntN(total)
	for _, a := range actions {
		if n -= a.share; n < 0 {
			return a.do
		}
	}
	panic("unreachable")
}

// removeHealthyMembers removes members that are running, as in a planned
// replacement. It proposes several removals at once; all but the first must be
// refused.
func removeHealthyMembers(s *simulation, h, o *host, _ *rand.Rand) {
	if s.initialVoters < 3 || !s.repaired() {
		return
	}
	s.eachLeader(func(l *host) {
		for _, h := range []*host{h, o, s.hosts[int(l.id)%s.initialVoters]} {
			c := consensus.MembershipChange{Kind: consensus.RemoveMember, ID: h.id}
			if !h.removed && l.node.ProposeMembership(c) == nil {
				h.removed = true
				s.start(s.addHost())
			}
		}
	})
}

// eachLeader calls f for every member that considers itself the leader, unless
// its host is down or paused.
func (s *simulation) eachLeader(f func(*host)) {
	for _, h := range s.hosts {
		if h.node != nil && h.pausedUntil <= s.now && h.node.Status().Role == consensus.Leader {
			f(h)
			s.processReady(h)
		}
	}
}

func (s *simulation) propose() {
	s.eachLeader(func(l *host) {
		s.proposalCount++
		_, _ = l.node.Propose(fmt.Appendf(nil, "%d by %d", s.proposalCount, l.id))
	})
}

func (s *simulation) read() {
	s.eachLeader(func(l *host) {
		context := uint64(len(s.minReadIndex) + 1)
		s.minReadIndex[context] = s.maxCommitted
		_ = l.node.ReadIndex(context)
	})
}

func (s *simulation) compact(h *host) {
	if h.node == nil {
		return
	}
	data := binary.BigEndian.AppendUint64(nil, h.digest)
	snap, err := h.node.MakeSnapshot(h.node.Status().Applied, data)
	if err != nil || snap.Index == h.disk.Snapshot.Index {
		return
	}
	saveSnapshot(&h.disk, snap)
	h.node.Compact(snap)
}

// loseDisk destroys a host and replaces it with a new host that has an empty
// disk and a new ID. It does nothing until an earlier loss is repaired, because
// the progress check requires that a majority of the voters remains.
func (s *simulation) loseDisk(h *host) {
	if h.diskLost || s.initialVoters < 3 || !s.repaired() {
		return
	}
	s.stop(h)
	h.diskLost = true
	s.start(s.addHost())
}

// repaired reports whether some member has a fully committed log and a
// membership with at least as many voters as at the start, none of which is
// lost or removed.
func (s *simulation) repaired() bool {
	for _, h := range s.hosts {
		if h.node == nil {
			continue
		}
		st := h.node.Status()
		if st.Commit != s.maxCommitted || st.Last != s.maxCommitted || len(st.Members.Voters) < s.initialVoters {
			continue
		}
		if s.countVoters(st, func(h *host) bool { return h.diskLost || h.removed }) == 0 {
			return true
		}
	}
	return false
}

// repairMembership performs the steps of an operator after a loss: it adds the
// new host as a learner, promotes it and removes the lost member. Refused
// changes are retried in later calls.
func (s *simulation) repairMembership() {
	s.eachLeader(func(l *host) {
		members := l.node.Status().Members
		if l.removed {
			_ = l.node.TransferLeadership(members.Voters[s.rng.IntN(len(members.Voters))])
		}
		for _, h := range s.hosts {
			if h.removed && !members.Has(h.id) {
				continue
			}
			c := consensus.MembershipChange{ID: h.id}
			switch {
			case (h.diskLost || h.removed) && members.Has(h.id):
				c.Kind = consensus.RemoveMember
			case !h.diskLost && members.IsLearner(h.id):
				c.Kind = consensus.PromoteLearner
			case !h.diskLost && !members.Has(h.id):
				c.Kind = consensus.AddLearner
			default:
				continue
			}
			_ = l.node.ProposeMembership(c)
		}
	})
}

// recover ends all faults and requires that a new proposal is then committed
// and applied by all members.
func (s *simulation) recover() {
	clear(s.blockedLinks)
	s.faultPercent = 0
	for _, h := range s.hosts {
		h.crash = noCrash
		s.start(h)
	}
	const attempts = 40
	for range attempts {
		s.run(electionTicks * minTickUnits)
		s.repairMembership()
		previousMax := s.maxCommitted
		s.propose()
		s.run(4 * minTickUnits)
		if s.maxCommitted > previousMax && s.repaired() && s.allVotersApplied() {
			return
		}
	}
	s.failf("no progress after all faults ended:%s", s.describe())
}

// allVotersApplied reports whether all running hosts are voters and have
// applied all committed entries.
func (s *simulation) allVotersApplied() bool {
	for _, h := range s.hosts {
		if h.node == nil || h.removed {
			continue
		}
		if st := h.node.Status(); st.Applied != s.maxCommitted || !st.Members.IsVoter(h.id) {
			return false
		}
	}
	return true
}

// describe returns the state of all hosts as text.
func (s *simulation) describe() string {
	var b strings.Builder
	for _, h := range s.hosts {
		fmt.Fprintf(&b, "\n  host %d lost=%v", h.id, h.diskLost)
		if h.node != nil {
			fmt.Fprintf(&b, " %+v", h.node.Status())
		}
	}
	return b.String()
}

// runSchedule generates and runs one schedule. A step depends only on the seeds
// and its number, so that rapid can omit steps when it shrinks a failing
// schedule.
func runSchedule(t *rapid.T, voters int) {
	seed := rapid.Uint64().Draw(t, "seed")*31 + rapid.Uint64().Draw(t, "seed 2")
	s := newSimulation(seed, voters)
	defer func() {
		if r := recover(); r != nil {
			if v, ok := r.(violation); ok {
				t.Fatalf("%s", v)
			}
			panic(r)
		}
	}()
	s.run(3 * electionTicks * minTickUnits)
	const steps = 100
	for step, active := range rapid.SliceOfN(rapid.Bool(), steps, steps).Draw(t, "steps") {
		if active {
			s.runRandomAction(rand.New(rand.NewPCG(seed, uint64(step))))
		}
	}
	s.recover()
}

// runRandomAction performs one random action, half of the time on a leader if
// there is one, and then usually advances the time.
func (s *simulation) runRandomAction(r *rand.Rand) {
	h, o := s.hosts[r.IntN(len(s.hosts))], s.hosts[r.IntN(len(s.hosts))]
	if r.IntN(2) == 0 {
		s.eachLeader(func(l *host) { h = l })
	}
	pickAction(r)(s, h, o, r)
	if r.IntN(4) > 0 {
		s.run(r.Int64N([]int64{100, 1000, 5000, 15000}[r.IntN(4)]))
	}
}

// TestScheduleProperties guards against violations of election safety, log
// matching, leader completeness, state machine safety, durability of committed
// entries and lease exclusivity, and against a group that makes no progress
// after faults end.
func TestScheduleProperties(t *testing.T) {
	for voters := 1; voters <= 5; voters++ {
		t.Run(fmt.Sprintf("%d voters", voters), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) { runSchedule(t, voters) })
		})
	}
}
