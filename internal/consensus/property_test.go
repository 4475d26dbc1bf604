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

// schedulesPerTest is the number of schedules of each parallel property test.
const schedulesPerTest = 600

func TestMain(m *testing.M) { os.Exit(properties.Run(m, schedulesPerTest)) }

// action is one step of a schedule; it concerns one or two hosts.
type action func(s *sim, h, o *host, r *rand.Rand)

// actions holds every action with its share of the steps.
var actions = []struct {
	share int
	do    action
}{
	{3, func(s *sim, _, _ *host, r *rand.Rand) {
		for range 1 + r.IntN(6) {
			s.propose()
		}
	}},
	{1, func(s *sim, _, _ *host, _ *rand.Rand) { s.read() }},
	{1, func(s *sim, h, _ *host, _ *rand.Rand) { s.stop(h) }},
	{2, func(s *sim, h, _ *host, _ *rand.Rand) { s.start(h) }},
	{2, func(s *sim, h, _ *host, _ *rand.Rand) { s.restart(h) }},
	{1, func(s *sim, h, _ *host, _ *rand.Rand) { // power loss at all hosts but one
		for _, o := range s.hosts {
			if o != h && o.node != nil {
				s.restart(o)
			}
		}
	}},
	{2, func(_ *sim, h, _ *host, r *rand.Rand) { h.crash = crashPoint(1 + r.IntN(2)) }},
	{2, func(s *sim, h, o *host, _ *rand.Rand) { s.cut[link{h.id, o.id}] = true }},
	{3, func(s *sim, h, _ *host, _ *rand.Rand) { s.isolate(h) }},
	{3, func(s *sim, _, _ *host, _ *rand.Rand) { clear(s.cut) }},
	{2, func(s *sim, h, _ *host, r *rand.Rand) { h.pausedUntil = s.now + r.Int64N(30*tickUnits) }},
	{1, func(s *sim, h, _ *host, _ *rand.Rand) { s.loseDisk(h) }},
	{2, func(s *sim, _, o *host, _ *rand.Rand) {
		s.eachLeader(func(l *host) { _ = l.node.TransferLeadership(o.id) })
	}},
	{1, func(s *sim, h, _ *host, _ *rand.Rand) { s.compact(h) }},
	{1, func(s *sim, _, _ *host, r *rand.Rand) { s.noise = r.IntN(40) }},
	{4, func(s *sim, _, _ *host, _ *rand.Rand) { s.operate() }},
	{1, doRemove},
}

// draw returns a random action.
func draw(r *rand.Rand) action {
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

// doRemove removes members that are alive, as in a planned replacement. It
// tries several at once; all but the first must be refused.
func doRemove(s *sim, h, o *host, _ *rand.Rand) {
	if s.initial < 3 || !s.repaired() {
		return
	}
	s.eachLeader(func(l *host) {
		for _, h := range []*host{h, o, s.hosts[int(l.id)%s.initial]} {
			c := consensus.MembershipChange{Kind: consensus.RemoveMember, ID: h.id}
			if !h.retired && l.node.ProposeMembership(c) == nil {
				h.retired = true
				s.start(s.addHost())
			}
		}
	})
}

// eachLeader calls f for every member that believes to lead.
func (s *sim) eachLeader(f func(*host)) {
	for _, h := range s.hosts {
		if h.node != nil && h.pausedUntil <= s.now && h.node.Status().Role == consensus.Leader {
			f(h)
			s.settle(h)
		}
	}
}

func (s *sim) propose() {
	s.eachLeader(func(l *host) {
		s.proposed++
		_, _ = l.node.Propose(fmt.Appendf(nil, "%d by %d", s.proposed, l.id))
	})
}

func (s *sim) read() {
	s.eachLeader(func(l *host) {
		context := uint64(len(s.reads) + 1)
		s.reads[context] = s.top
		_ = l.node.ReadIndex(context)
	})
}

func (s *sim) compact(h *host) {
	if h.node == nil {
		return
	}
	data := binary.BigEndian.AppendUint64(nil, h.sum)
	snap, err := h.node.MakeSnapshot(h.node.Status().Applied, data)
	if err != nil || snap.Index == h.disk.Snapshot.Index {
		return
	}
	saveSnapshot(&h.disk, snap)
	h.node.Compact(snap)
}

// loseDisk destroys a host and starts a new one with an empty disk and a new
// ID in its place. The next loss has to wait for the end of the repair, since
// a majority of the voters must be left for the progress check.
func (s *sim) loseDisk(h *host) {
	if h.lost || s.initial < 3 || !s.repaired() {
		return
	}
	s.stop(h)
	h.lost = true
	s.start(s.addHost())
}

// repaired reports whether a member with a fully committed log knows at least as
// many voters as there were at the start, none of them lost.
func (s *sim) repaired() bool {
	for _, h := range s.hosts {
		if h.node == nil {
			continue
		}
		st := h.node.Status()
		if st.Commit != s.top || st.Last != s.top || len(st.Members.Voters) < s.initial {
			continue
		}
		if s.countVoters(st, func(h *host) bool { return h.lost || h.retired }) == 0 {
			return true
		}
	}
	return false
}

// operate does what an operator does after a loss: it adds the new host as a
// learner, promotes it and removes the lost member. Refusals are retried.
func (s *sim) operate() {
	s.eachLeader(func(l *host) {
		members := l.node.Status().Members
		if l.retired {
			_ = l.node.TransferLeadership(members.Voters[s.rng.IntN(len(members.Voters))])
		}
		for _, h := range s.hosts {
			if h.retired && !members.Has(h.id) {
				continue
			}
			c := consensus.MembershipChange{ID: h.id}
			switch {
			case (h.lost || h.retired) && members.Has(h.id):
				c.Kind = consensus.RemoveMember
			case !h.lost && members.IsLearner(h.id):
				c.Kind = consensus.PromoteLearner
			case !h.lost && !members.Has(h.id):
				c.Kind = consensus.AddLearner
			default:
				continue
			}
			_ = l.node.ProposeMembership(c)
		}
	})
}

// recover ends all faults and demands that a new proposal is committed and
// applied by all members.
func (s *sim) recover() {
	clear(s.cut)
	s.noise = 0
	for _, h := range s.hosts {
		h.crash = noCrash
		s.start(h)
	}
	const attempts = 40
	for range attempts {
		s.run(electionTick * tickUnits)
		s.operate()
		before := s.top
		s.propose()
		s.run(4 * tickUnits)
		if s.top > before && s.repaired() && s.complete() {
			return
		}
	}
	s.failf("no progress after all faults ended:%s", s.describe())
}

// complete reports whether all voters have applied all committed entries.
func (s *sim) complete() bool {
	for _, h := range s.hosts {
		if h.node == nil || h.retired {
			continue
		}
		if st := h.node.Status(); st.Applied != s.top || !st.Members.IsVoter(h.id) {
			return false
		}
	}
	return true
}

// describe lists the state of all hosts.
func (s *sim) describe() string {
	var b strings.Builder
	for _, h := range s.hosts {
		fmt.Fprintf(&b, "\n  host %d lost=%v", h.id, h.lost)
		if h.node != nil {
			fmt.Fprintf(&b, " %+v", h.node.Status())
		}
	}
	return b.String()
}

// schedule draws and runs one schedule. The contents of a step depend on the
// seeds and its number only, so that rapid can leave out steps when it looks
// for a smaller failing schedule.
func schedule(t *rapid.T, voters int) {
	seed := rapid.Uint64().Draw(t, "seed")*31 + rapid.Uint64().Draw(t, "seed 2")
	s := newSim(seed, voters)
	defer func() {
		if r := recover(); r != nil {
			if v, ok := r.(violation); ok {
				t.Fatalf("%s", v)
			}
			panic(r)
		}
	}()
	s.run(3 * electionTick * tickUnits)
	const steps = 100
	for step, active := range rapid.SliceOfN(rapid.Bool(), steps, steps).Draw(t, "steps") {
		if active {
			s.act(rand.New(rand.NewPCG(seed, uint64(step))))
		}
	}
	s.recover()
}

// act performs one random action, half of the time on a leader, and then lets
// some time pass.
func (s *sim) act(r *rand.Rand) {
	h, o := s.hosts[r.IntN(len(s.hosts))], s.hosts[r.IntN(len(s.hosts))]
	if r.IntN(2) == 0 {
		s.eachLeader(func(l *host) { h = l })
	}
	draw(r)(s, h, o, r)
	if r.IntN(4) > 0 {
		s.run(r.Int64N([]int64{100, 1000, 5000, 15000}[r.IntN(4)]))
	}
}

// TestScheduleProperties guards election safety, log matching, leader
// completeness, state machine safety, durability of committed entries, the
// exclusiveness of the lease and progress after faults.
func TestScheduleProperties(t *testing.T) {
	for voters := 1; voters <= 5; voters++ {
		t.Run(fmt.Sprintf("%d voters", voters), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) { schedule(t, voters) })
		})
	}
}
