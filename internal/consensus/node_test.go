package consensus_test

import (
	"errors"
	"testing"

	"auburnstep.example/auburnstep/internal/consensus"
	qt "github.com/frankban/quicktest"
)

// testNode drives member 1 of a group without a network or clock.
type testNode struct {
	*qt.C
	n    *consensus.Node
	disk consensus.Restored
	sent []consensus.Message
}

// threeVoters returns the initial state of a member of a new group of three.
func threeVoters() consensus.Restored { return consensus.Bootstrap(1, 2, 3) }

func newTestNode(t *testing.T, r consensus.Restored) *testNode {
	tn := &testNode{C: qt.New(t), disk: r}
	n, err := consensus.New(consensus.Config{ID: 1, ElectionTicks: electionTicks, MaxEntriesPerMessage: 4, MaxInflight: 3}, r)
	tn.Assert(err, qt.IsNil)
	tn.n = n
	tn.processReady()
	return tn
}

// processReady processes all Ready work and returns the messages sent.
func (tn *testNode) processReady() []consensus.Message {
	tn.sent = nil
	for tn.n.HasReady() {
		r := tn.n.Ready()
		persist(&tn.disk, r)
		tn.sent = append(tn.sent, r.Messages...)
		tn.n.Advance()
	}
	return tn.sent
}

func (tn *testNode) tick(n int) {
	for range n {
		tn.n.Tick()
	}
	tn.processReady()
}

// step delivers a message to the node, at the current term unless the message
// sets one.
func (tn *testNode) step(m consensus.Message) []consensus.Message {
	m.To = 1
	if m.Term == 0 {
		m.Term = tn.n.Status().Term
	}
	tn.Assert(tn.n.Step(m), qt.IsNil)
	return tn.processReady()
}

// campaignWithVotes ticks the node until it campaigns and then delivers the
// votes of the others.
func (tn *testNode) campaignWithVotes(others ...uint64) {
	for tn.n.Status().Role == consensus.Follower {
		tn.tick(1)
	}
	for _, t := range []consensus.MessageType{consensus.MsgPreVoteResponse, consensus.MsgVoteResponse} {
		term := tn.n.Status().Term
		if t == consensus.MsgPreVoteResponse {
			term++
		}
		for _, id := range others {
			tn.step(consensus.Message{Type: t, From: id, Term: term})
		}
	}
}

// ackAll acknowledges all log entries on behalf of another member.
func (tn *testNode) ackAll(from uint64) {
	tn.step(consensus.Message{Type: consensus.MsgAppendResponse, From: from, Index: tn.n.Status().Last})
}

// ackHeartbeat acknowledges the latest heartbeat on behalf of another member.
func (tn *testNode) ackHeartbeat(from uint64) {
	for _, m := range tn.sent {
		if m.Type == consensus.MsgHeartbeat && m.To == from {
			tn.step(consensus.Message{Type: consensus.MsgHeartbeatResponse, From: from, Context: m.Context})
		}
	}
}

func (tn *testNode) role() consensus.Role { return tn.n.Status().Role }

// TestSplitVoteIsRetried guards against an election that takes several timeouts because the
// candidates vote for themselves: of two, only the one with the higher ID tries again at once.
func TestSplitVoteIsRetried(t *testing.T) {
	for _, test := range []struct {
		own, other uint64
		ticks      int
	}{{1, 2, electionTicks - 1}, {3, 2, 2}} {
		tn := newTestNode(t, threeVoters())
		n, err := consensus.New(consensus.Config{ID: test.own, ElectionTicks: electionTicks}, tn.disk)
		tn.Assert(err, qt.IsNil)
		tn.n = n
		for tn.role() == consensus.Follower {
			tn.tick(1)
		}
		step := func(m consensus.Message) {
			m.From, m.To = test.other, test.own
			tn.Assert(tn.n.Step(m), qt.IsNil)
			tn.processReady()
		}
		step(consensus.Message{Type: consensus.MsgPreVoteResponse, Term: 2})
		tn.Assert(tn.role(), qt.Equals, consensus.Candidate)
		step(consensus.Message{Type: consensus.MsgVote, Term: 2, LogTerm: 1, Index: 1})
		step(consensus.Message{Type: consensus.MsgVoteResponse, Term: 2, Reject: true})
		ticks := 0
		for ; tn.role() == consensus.Candidate; ticks++ {
			tn.tick(1)
		}
		tn.Check(ticks >= test.ticks && (test.own < test.other || ticks == test.ticks), qt.IsTrue, qt.Commentf("member %d tries again after %d ticks", test.own, ticks))
	}
}

// TestVote guards against votes that could elect two leaders, lose committed
// entries or violate a lease.
func TestVote(t *testing.T) {
	votedFor2 := threeVoters()
	votedFor2.HardState = consensus.HardState{Term: 5, Vote: 2, Commit: 1}
	newerLog := threeVoters()
	newerLog.Entries = []consensus.Entry{{Index: 2, Term: 3}}
	newerLog.HardState = consensus.HardState{Term: 3, Commit: 1}
	tests := []struct {
		name    string
		disk    consensus.Restored
		ticks   int
		vote    consensus.Message
		granted bool
	}{
		{"granted", threeVoters(), electionTicks - 1, consensus.Message{From: 3, Term: 6, LogTerm: 1, Index: 1, Context: consensus.ContextTransfer}, true},
		{"refused within the election timeout after a restart", threeVoters(), electionTicks - 1, consensus.Message{From: 3, Term: 6, LogTerm: 1, Index: 1}, false},
		{"stored vote granted again to the same candidate", votedFor2, electionTicks, consensus.Message{From: 2, Term: 5, LogTerm: 1, Index: 1}, true},
		{"second vote in the same term refused", votedFor2, electionTicks, consensus.Message{From: 3, Term: 5, LogTerm: 1, Index: 1}, false},
		{"candidate with an outdated log refused", newerLog, electionTicks, consensus.Message{From: 3, Term: 6, LogTerm: 1, Index: 5}, false},
		{"no vote with an empty disk", consensus.Restored{}, electionTicks, consensus.Message{From: 3, Term: 6, LogTerm: 9, Index: 9}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tn := newTestNode(t, test.disk)
			tn.tick(test.ticks)
			test.vote.Type = consensus.MsgVote
			granted := false
			for _, m := range tn.step(test.vote) {
				granted = granted || m.Type == consensus.MsgVoteResponse && !m.Reject
			}
			tn.Assert(granted, qt.Equals, test.granted)
			tn.Assert(granted && tn.disk.HardState.Vote != test.vote.From, qt.IsFalse)
		})
	}
}

// TestLearnersCannotElect guards against an election that is won with the votes
// of learners.
func TestLearnersCannotElect(t *testing.T) {
	r := threeVoters()
	r.Snapshot.Members = consensus.Membership{Voters: []uint64{1, 2, 3}, Learners: []uint64{4, 5}}
	tn := newTestNode(t, r)
	tn.campaignWithVotes(4, 5)
	tn.Assert(tn.role(), qt.Equals, consensus.PreCandidate)
}

// TestNoCommitOfEarlierTermByCount guards against committing an entry of an
// earlier term merely because a majority has it (Raft, figure 8).
func TestNoCommitOfEarlierTermByCount(t *testing.T) {
	r := threeVoters()
	r.Entries = []consensus.Entry{{Index: 2, Term: 2}}
	r.HardState = consensus.HardState{Term: 2, Commit: 1}
	tn := newTestNode(t, r)
	tn.campaignWithVotes(2)
	tn.step(consensus.Message{Type: consensus.MsgAppendResponse, From: 2, Index: 2})
	tn.Assert(tn.n.Status().Commit, qt.Equals, uint64(1))
	tn.Assert(tn.n.ReadIndex(7), qt.IsNil)
	tn.ackAll(2)
	tn.Assert(tn.n.Status().Commit, qt.Equals, uint64(3))
}

// TestReadIndex guards against a read that misses entries committed by an
// earlier leader, or that a deposed leader completes.
func TestReadIndex(t *testing.T) {
	r := threeVoters()
	r.Entries = []consensus.Entry{{Index: 2, Term: 2}}
	r.HardState = consensus.HardState{Term: 2, Commit: 1}
	tn := newTestNode(t, r)
	tn.Assert(errors.Is(tn.n.ReadIndex(7), consensus.ErrLeaderUnknown), qt.IsTrue)
	tn.campaignWithVotes(2)
	tn.Assert(tn.n.ReadIndex(7), qt.IsNil)
	tn.processReady()
	m := tn.sent[len(tn.sent)-1]
	tn.Assert(tn.n.Step(consensus.Message{Type: consensus.MsgHeartbeatResponse, From: 2, To: 1, Term: m.Term, Context: m.Context}), qt.IsNil)
	ready := tn.n.Ready()
	tn.Assert(ready.ReadStates, qt.DeepEquals, []consensus.ReadState{{Context: 7, Index: 3}})
	tn.n.Advance()
	tn.Assert(tn.n.ReadIndex(8), qt.IsNil)
	tn.Assert(tn.n.Step(consensus.Message{Type: consensus.MsgAppend, From: 3, To: 1, Term: 9, Index: 1, LogTerm: 1}), qt.IsNil)
	tn.Assert(tn.n.Ready().ReadStates, qt.DeepEquals, []consensus.ReadState{{Context: 8, LeadershipLost: true}})
}

// TestMembership guards against memberships whose majorities do not intersect
// and against the reuse of a removed ID.
func TestMembership(t *testing.T) {
	tn := newTestNode(t, threeVoters())
	change := func(kind consensus.ChangeKind, id uint64) error {
		return tn.n.ProposeMembership(consensus.MembershipChange{Kind: kind, ID: id})
	}
	assertErr := func(err, want error) { tn.Helper(); tn.Assert(errors.Is(err, want), qt.IsTrue, qt.Commentf("%v", err)) }
	assertErr(change(consensus.AddLearner, 4), consensus.ErrLeaderUnknown)
	tn.campaignWithVotes(2)
	assertErr(change(consensus.AddLearner, 4), consensus.ErrChangePending) // no entry of this term is committed
	tn.ackAll(2)
	assertErr(change(consensus.RemoveMember, 1), consensus.ErrIsLeader)
	assertErr(change(consensus.AddLearner, 3), consensus.ErrInvalidChange)
	tn.Assert(change(consensus.AddLearner, 4), qt.IsNil)
	assertErr(change(consensus.AddLearner, 5), consensus.ErrChangePending)
	tn.ackAll(2)
	assertErr(change(consensus.PromoteLearner, 4), consensus.ErrNotCaughtUp)
	tn.step(consensus.Message{Type: consensus.MsgAppendResponse, From: 4, Index: tn.n.Status().Last - 1})
	assertErr(change(consensus.PromoteLearner, 4), consensus.ErrNotCaughtUp) // its log lacks the entry that added it
	tn.ackAll(4)
	tn.Assert(change(consensus.PromoteLearner, 4), qt.IsNil)
	tn.ackAll(2)
	assertErr(change(consensus.RemoveMember, 3), consensus.ErrChangePending) // only two of four voters have the promotion
	tn.ackAll(4)
	tn.Assert(change(consensus.RemoveMember, 3), qt.IsNil)
	tn.ackAll(2)
	assertErr(change(consensus.AddLearner, 3), consensus.ErrRemovedID)
	tn.Assert(tn.n.Status().Members, qt.DeepEquals, consensus.Membership{
		Voters: []uint64{1, 2, 4}, Learners: []uint64{}, Removed: []uint64{3},
	})
	sent := tn.step(consensus.Message{Type: consensus.MsgVote, From: 3, Term: 50, Context: consensus.ContextTransfer})
	tn.Assert(sent, qt.HasLen, 1)
	tn.Assert(sent[0].Type, qt.Equals, consensus.MsgRemoved)
	tn.Assert(tn.role(), qt.Equals, consensus.Leader)
}

// TestTruncationUndoesMembership guards against a membership that stays in
// force after its entry was truncated.
func TestTruncationUndoesMembership(t *testing.T) {
	tn := newTestNode(t, threeVoters())
	change := consensus.EncodeChange(consensus.MembershipChange{Kind: consensus.AddLearner, ID: 4})
	tn.step(consensus.Message{Type: consensus.MsgAppend, From: 2, Term: 2, Index: 1, LogTerm: 1, Entries: []consensus.Entry{
		{Index: 2, Term: 2, Kind: consensus.EntryNoop}, {Index: 3, Term: 2, Kind: consensus.EntryConfig, Data: change},
	}})
	tn.Assert(tn.n.Status().Members.IsLearner(4), qt.IsTrue)
	tn.step(consensus.Message{Type: consensus.MsgAppend, From: 3, Term: 3, Index: 2, LogTerm: 2, Entries: []consensus.Entry{
		{Index: 3, Term: 3, Kind: consensus.EntryNoop},
	}})
	tn.Assert(tn.n.Status().Members.IsLearner(4), qt.IsFalse)
}

// TestLease guards against a lease that is too long, held without a majority,
// or kept after another member was asked to campaign.
func TestLease(t *testing.T) {
	const lease = electionTicks - 3 // the default margin is 1 + 10/5 ticks
	tn := newTestNode(t, threeVoters())
	tn.campaignWithVotes(2)
	tn.ackHeartbeat(2)
	tn.Assert(tn.n.LeaseTicks(), qt.Equals, 0) // no entry of this term is committed
	tn.ackAll(2)
	tn.Assert(tn.n.LeaseTicks(), qt.Equals, lease)
	tn.tick(1)
	heartbeats := tn.sent
	tn.tick(2)
	tn.Assert(tn.n.LeaseTicks(), qt.Equals, lease-3)
	tn.sent = heartbeats
	tn.ackHeartbeat(3)
	tn.Assert(tn.n.LeaseTicks(), qt.Equals, lease-2) // counts from the start of the round
	tn.Assert(tn.n.TransferLeadership(2), qt.IsNil)
	tn.Assert(tn.n.LeaseTicks(), qt.Equals, 0)
	tn.tick(1)
	tn.ackHeartbeat(3)
	tn.Assert(tn.n.LeaseTicks(), qt.Equals, 0)
	term := tn.n.Status().Term
	for range electionTicks {
		tn.tick(1)
		tn.ackHeartbeat(3)
	}
	tn.Assert(tn.n.Status().Term, qt.Equals, term+1) // the transfer timed out
	tn.Assert(tn.role(), qt.Equals, consensus.Candidate)
}

// TestLeaderStepsDownWithoutQuorum guards against a leader that stays leader
// without contact to a majority.
func TestLeaderStepsDownWithoutQuorum(t *testing.T) {
	tn := newTestNode(t, threeVoters())
	tn.campaignWithVotes(2)
	tn.tick(electionTicks - 1)
	tn.Assert(tn.role(), qt.Equals, consensus.Leader)
	tn.tick(1)
	tn.Assert(tn.role(), qt.Equals, consensus.Follower)
}

// TestMessageAndQueueBounds guards against append messages with too many
// entries, too many unacknowledged messages and an unbounded number of
// uncommitted entries.
func TestMessageAndQueueBounds(t *testing.T) {
	tn := newTestNode(t, threeVoters())
	tn.campaignWithVotes(2)
	tn.ackAll(2)
	for range 100 {
		_, err := tn.n.Propose([]byte("x"))
		tn.Assert(err, qt.IsNil)
	}
	appendsToMember2 := 0
	for _, m := range tn.processReady() {
		if m.To == 2 && m.Type == consensus.MsgAppend {
			appendsToMember2++
			tn.Assert(len(m.Entries) <= 4, qt.IsTrue)
		}
	}
	tn.Assert(appendsToMember2, qt.Equals, 3)
	var err error
	for i := 0; err == nil && i <= consensus.DefaultMaxUncommitted; i++ {
		_, err = tn.n.Propose(nil)
	}
	tn.Assert(errors.Is(err, consensus.ErrBusy), qt.IsTrue)
}

// TestLeaderBoundsItsLog guards against a leader whose log grows without bound while nothing is
// committed, or while no snapshot replaces what is.
func TestLeaderBoundsItsLog(t *testing.T) {
	tn := newLimitedNode(t)
	tn.campaignWithVotes(2)
	tn.ackAll(2)
	propose := func(size int) error {
		_, err := tn.n.Propose(make([]byte, size))
		tn.processReady()
		return err
	}
	tn.Assert(propose(1), qt.IsNil)
	tn.Assert(propose(200), qt.IsNil) // Larger than both limits.
	tn.Assert(propose(1), qt.ErrorIs, consensus.ErrBusy)
	tn.ackAll(2)
	tn.Assert(propose(1), qt.ErrorIs, consensus.ErrBusy)
	tn.compact()
	tn.Assert(propose(20), qt.IsNil)
	tn.Assert(propose(20), qt.IsNil)
	tn.Assert(propose(1), qt.ErrorIs, consensus.ErrBusy)
	tn.Assert(tn.n.Status().LogBytes, qt.Equals, 40)
}

// TestFollowerBoundsItsLog guards against a follower whose log grows without bound while its
// snapshots take longer than new entries, and against one that never accepts entries again.
func TestFollowerBoundsItsLog(t *testing.T) {
	tn := newLimitedNode(t)
	index := uint64(1)
	appendEntry := func(size int) error {
		err := tn.n.Step(consensus.Message{
			Type: consensus.MsgAppend, From: 2, To: 1, Term: 1, Index: index, LogTerm: 1, Commit: index,
			Entries: []consensus.Entry{{Index: index + 1, Term: 1, Data: make([]byte, size)}},
		})
		tn.processReady()
		if err == nil {
			index++
		}
		return err
	}
	for range 5 { // The last entry is not committed yet.
		tn.Assert(appendEntry(30), qt.IsNil)
	}
	tn.Assert(appendEntry(30), qt.ErrorIs, consensus.ErrBusy)
	tn.Assert(tn.n.Status().Commit, qt.Equals, index)
	tn.compact()
	tn.Assert(appendEntry(30), qt.IsNil)
}

// newLimitedNode returns a node that keeps 40 uncommitted bytes, 100 committed ones, and none
// that a snapshot covers.
func newLimitedNode(t *testing.T) *testNode {
	tn := newTestNode(t, threeVoters())
	n, err := consensus.New(consensus.Config{ID: 1, ElectionTicks: electionTicks, MaxUncommittedBytes: 40, MaxLogBytes: 100, RetainedBytes: 10, RetainedEntries: 1}, tn.disk)
	tn.Assert(err, qt.IsNil)
	tn.n = n
	return tn
}

// compact replaces all applied entries by a snapshot.
func (tn *testNode) compact() {
	s, err := tn.n.MakeSnapshot(tn.n.Status().Applied, nil)
	tn.Assert(err, qt.IsNil)
	tn.n.Compact(s)
}
