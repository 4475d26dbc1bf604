package consensus_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"auburnstep.example/auburnstep/internal/consensus"
	"pgregory.net/rapid"
)

// schedulesPerTest is the number of schedules of each parallel property test.
const schedulesPerTest = "600"

// propertySeed makes the schedules the same in every run.
const propertySeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.checks": schedulesPerTest, "rapid.seed": propertySeed, "rapid.nofailfile": "true",
	} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// action is one step of a schedule.
type action int

const (
	propose action = iota
	proposeMany
	read
	crash
	crashBeforePersist
	crashBeforeSend
	restart
	cutOneWay
	isolate
	heal
	pause
	loseDisk
	transfer
	compact
	setNoise
	actions
)

// do performs an action on hosts that a and b select.
func (s *sim) do(kind action, a, b int) {
	h, o := s.hosts[a%len(s.hosts)], s.hosts[b%len(s.hosts)]
	switch kind {
	case propose, proposeMany:
		for range 1 + int(kind)*7 {
			s.propose()
		}
	case read:
		s.read()
	case crash:
		s.stop(h)
	case crashBeforePersist:
		h.crash = beforePersist
	case crashBeforeSend:
		h.crash = beforeSend
	case restart:
		s.start(h)
	case cutOneWay:
		s.cut[link{h.id, o.id}] = true
	case isolate:
		for _, o := range s.hosts {
			s.cut[link{h.id, o.id}], s.cut[link{o.id, h.id}] = true, true
		}
	case heal:
		clear(s.cut)
	case pause:
		if h.node != nil {
			h.pausedUntil = s.now + int64(1+b)*tickUnits
		}
	case loseDisk:
		s.loseDisk(h)
	case transfer:
		s.eachLeader(func(l *host) { _ = l.node.TransferLeadership(o.id) })
	case compact:
		s.compact(h)
	case setNoise:
		s.noise = b
	}
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
// ID in its place. At most one lost member waits for its replacement.
func (s *sim) loseDisk(h *host) {
	for _, o := range s.hosts {
		if o.lost && s.isMember(o.id) {
			return
		}
	}
	if h.lost || !s.isMember(h.id) || s.initial < 3 {
		return
	}
	s.stop(h)
	h.lost = true
	s.start(s.addHost())
}

// isMember looks at the membership of the member with the highest commit.
func (s *sim) isMember(id uint64) bool {
	var best consensus.Status
	for _, h := range s.hosts {
		if h.node != nil && h.node.Status().Commit >= best.Commit {
			best = h.node.Status()
		}
	}
	return best.Members.Has(id)
}

// operate does what an operator does after a loss: it adds the new host as a
// learner, promotes it and removes the lost member. Refusals are retried.
func (s *sim) operate() {
	s.eachLeader(func(l *host) {
		members := l.node.Status().Members
		for _, h := range s.hosts {
			c := consensus.MembershipChange{ID: h.id}
			switch {
			case h.lost && members.Has(h.id):
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
	for range 20 {
		s.run(2 * electionTick)
		s.operate()
	}
	before := s.top
	s.propose()
	s.run(4 * electionTick)
	if s.top <= before {
		s.failf("no progress after all faults ended:%s", s.describe())
	}
	for _, h := range s.hosts {
		if h.node == nil {
			continue
		}
		if st := h.node.Status(); st.Applied != s.top || !st.Members.IsVoter(h.id) {
			s.failf("host %d is not a voter with all entries after all faults ended: %+v, committed %d", h.id, st, s.top)
		}
	}
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

// schedule draws and runs one schedule.
func schedule(t *rapid.T, voters int) {
	s := newSim(rapid.Uint64().Draw(t, "seed"), voters)
	defer func() {
		if r := recover(); r != nil {
			if v, ok := r.(violation); ok {
				t.Fatalf("%s", v)
			}
			panic(r)
		}
	}()
	s.run(3 * electionTick)
	steps := rapid.IntRange(5, 40).Draw(t, "steps")
	for range steps {
		kind := action(rapid.IntRange(0, int(actions)-1).Draw(t, "action"))
		s.do(kind, rapid.IntRange(0, 6).Draw(t, "a"), rapid.IntRange(0, 40).Draw(t, "b"))
		s.run(rapid.IntRange(0, 25).Draw(t, "ticks"))
		s.operate()
	}
	s.recover()
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
