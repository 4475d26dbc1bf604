package consensus_test

import (
	"errors"
	"testing"

	"auburnstep.example/auburnstep/internal/consensus"
	qt "github.com/frankban/quicktest"
)

// bench drives member 1 of a group by hand.
type bench struct {
	*qt.C
	n    *consensus.Node
	disk consensus.Restored
	sent []consensus.Message
}

// three is the disk of a member of a new group of three.
func three() consensus.Restored { return consensus.Bootstrap(1, 2, 3) }

func newBench(t *testing.T, r consensus.Restored) *bench {
	b := &bench{C: qt.New(t), disk: r}
	n, err := consensus.New(consensus.Config{ID: 1, ElectionTicks: electionTick, MaxEntriesPerMessage: 4, MaxInflight: 3}, r)
	b.Assert(err, qt.IsNil)
	b.n = n
	b.work()
	return b
}

// work carries out all work and returns the messages sent.
func (b *bench) work() []consensus.Message {
	b.sent = nil
	for b.n.HasReady() {
		r := b.n.Ready()
		persist(&b.disk, r)
		b.sent = append(b.sent, r.Messages...)
		b.n.Advance()
	}
	return b.sent
}

func (b *bench) tick(n int) {
	for range n {
		b.n.Tick()
	}
	b.work()
}

// step delivers a message at the current term unless it names one.
func (b *bench) step(m consensus.Message) []consensus.Message {
	m.To = 1
	if m.Term == 0 {
		m.Term = b.n.Status().Term
	}
	b.Assert(b.n.Step(m), qt.IsNil)
	return b.work()
}

// lead makes the member leader with the votes of others.
func (b *bench) lead(others ...uint64) {
	for b.n.Status().Role == consensus.Follower {
		b.tick(1)
	}
	for _, t := range []consensus.MessageType{consensus.MsgPreVoteResponse, consensus.MsgVoteResponse} {
		term := b.n.Status().Term
		if t == consensus.MsgPreVoteResponse {
			term++
		}
		for _, id := range others {
			b.step(consensus.Message{Type: t, From: id, Term: term})
		}
	}
}

// ack acknowledges everything at another member.
func (b *bench) ack(from uint64) {
	b.step(consensus.Message{Type: consensus.MsgAppendResponse, From: from, Index: b.n.Status().Last})
}

// ackRound acknowledges the heartbeat that was sent last.
func (b *bench) ackRound(from uint64) {
	for _, m := range b.sent {
		if m.Type == consensus.MsgHeartbeat && m.To == from {
			b.step(consensus.Message{Type: consensus.MsgHeartbeatResponse, From: from, Context: m.Context})
		}
	}
}

func (b *bench) role() consensus.Role { return b.n.Status().Role }

// TestVote guards against votes that could elect two leaders, lose entries or
// break a lease.
func TestVote(t *testing.T) {
	voted := three()
	voted.HardState = consensus.HardState{Term: 5, Vote: 2, Commit: 1}
	longer := three()
	longer.Entries = []consensus.Entry{{Index: 2, Term: 3}}
	longer.HardState = consensus.HardState{Term: 3, Commit: 1}
	tests := []struct {
		name    string
		disk    consensus.Restored
		ticks   int
		vote    consensus.Message
		granted bool
	}{
		{"granted", three(), electionTick - 1, consensus.Message{From: 3, Term: 6, LogTerm: 1, Index: 1, Context: consensus.ContextTransfer}, true},
		{"refused within the election timeout after a restart", three(), electionTick - 1, consensus.Message{From: 3, Term: 6, LogTerm: 1, Index: 1}, false},
		{"stored vote repeated", voted, electionTick, consensus.Message{From: 2, Term: 5, LogTerm: 1, Index: 1}, true},
		{"stored vote not given twice", voted, electionTick, consensus.Message{From: 3, Term: 5, LogTerm: 1, Index: 1}, false},
		{"shorter log refused", longer, electionTick, consensus.Message{From: 3, Term: 6, LogTerm: 1, Index: 5}, false},
		{"empty disk does not vote", consensus.Restored{}, electionTick, consensus.Message{From: 3, Term: 6, LogTerm: 9, Index: 9}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, test.disk)
			b.tick(test.ticks)
			test.vote.Type = consensus.MsgVote
			granted := false
			for _, m := range b.step(test.vote) {
				granted = granted || m.Type == consensus.MsgVoteResponse && !m.Reject
			}
			b.Assert(granted, qt.Equals, test.granted)
			b.Assert(granted && b.disk.HardState.Vote != test.vote.From, qt.IsFalse)
		})
	}
}

// TestLearnerVotes guards against an election won by members without a vote.
func TestLearnerVotes(t *testing.T) {
	r := three()
	r.Snapshot.Members = consensus.Membership{Voters: []uint64{1, 2, 3}, Learners: []uint64{4, 5}}
	b := newBench(t, r)
	b.lead(4, 5)
	b.Assert(b.role(), qt.Equals, consensus.PreCandidate)
}

// TestEarlierTerm guards against committing an entry of an earlier term by
// counting its copies (Raft, figure 8).
func TestEarlierTerm(t *testing.T) {
	r := three()
	r.Entries = []consensus.Entry{{Index: 2, Term: 2}}
	r.HardState = consensus.HardState{Term: 2, Commit: 1}
	b := newBench(t, r)
	b.lead(2)
	b.step(consensus.Message{Type: consensus.MsgAppendResponse, From: 2, Index: 2})
	b.Assert(b.n.Status().Commit, qt.Equals, uint64(1))
	b.Assert(b.n.ReadIndex(7), qt.IsNil)
	b.ack(2)
	b.Assert(b.n.Status().Commit, qt.Equals, uint64(3))
}

// TestReadIndex guards against a read that misses entries which an earlier
// leader committed, or that a deposed leader answers.
func TestReadIndex(t *testing.T) {
	r := three()
	r.Entries = []consensus.Entry{{Index: 2, Term: 2}}
	r.HardState = consensus.HardState{Term: 2, Commit: 1}
	b := newBench(t, r)
	b.Assert(errors.Is(b.n.ReadIndex(7), consensus.ErrLeaderUnknown), qt.IsTrue)
	b.lead(2)
	b.Assert(b.n.ReadIndex(7), qt.IsNil)
	b.work()
	m := b.sent[len(b.sent)-1]
	b.Assert(b.n.Step(consensus.Message{Type: consensus.MsgHeartbeatResponse, From: 2, To: 1, Term: m.Term, Context: m.Context}), qt.IsNil)
	ready := b.n.Ready()
	b.Assert(ready.ReadStates, qt.DeepEquals, []consensus.ReadState{{Context: 7, Index: 3}})
	b.n.Advance()
	b.Assert(b.n.ReadIndex(8), qt.IsNil)
	b.Assert(b.n.Step(consensus.Message{Type: consensus.MsgAppend, From: 3, To: 1, Term: 9, Index: 1, LogTerm: 1}), qt.IsNil)
	b.Assert(b.n.Ready().ReadStates, qt.DeepEquals, []consensus.ReadState{{Context: 8, Lost: true}})
}

// TestMembership guards against memberships whose majorities do not intersect
// and against the return of a removed ID.
func TestMembership(t *testing.T) {
	b := newBench(t, three())
	change := func(kind consensus.ChangeKind, id uint64) error {
		return b.n.ProposeMembership(consensus.MembershipChange{Kind: kind, ID: id})
	}
	is := func(err, want error) { b.Helper(); b.Assert(errors.Is(err, want), qt.IsTrue, qt.Commentf("%v", err)) }
	is(change(consensus.AddLearner, 4), consensus.ErrLeaderUnknown)
	b.lead(2)
	is(change(consensus.AddLearner, 4), consensus.ErrChangePending) // nothing committed in this term
	b.ack(2)
	is(change(consensus.RemoveMember, 1), consensus.ErrIsLeader)
	is(change(consensus.AddLearner, 3), consensus.ErrInvalidChange)
	b.Assert(change(consensus.AddLearner, 4), qt.IsNil)
	is(change(consensus.AddLearner, 5), consensus.ErrChangePending)
	b.ack(2)
	is(change(consensus.PromoteLearner, 4), consensus.ErrNotCaughtUp)
	b.step(consensus.Message{Type: consensus.MsgAppendResponse, From: 4, Index: b.n.Status().Last - 1})
	is(change(consensus.PromoteLearner, 4), consensus.ErrNotCaughtUp) // lacks the entry that added it
	b.ack(4)
	b.Assert(change(consensus.PromoteLearner, 4), qt.IsNil)
	b.ack(2)
	is(change(consensus.RemoveMember, 3), consensus.ErrChangePending) // two of four
	b.ack(4)
	b.Assert(change(consensus.RemoveMember, 3), qt.IsNil)
	b.ack(2)
	is(change(consensus.AddLearner, 3), consensus.ErrRemovedID)
	b.Assert(b.n.Status().Members, qt.DeepEquals, consensus.Membership{
		Voters: []uint64{1, 2, 4}, Learners: []uint64{}, Removed: []uint64{3},
	})
	sent := b.step(consensus.Message{Type: consensus.MsgVote, From: 3, Term: 50, Context: consensus.ContextTransfer})
	b.Assert(sent, qt.HasLen, 1)
	b.Assert(sent[0].Type, qt.Equals, consensus.MsgRemoved)
	b.Assert(b.role(), qt.Equals, consensus.Leader)
}

// TestRollback guards against a membership that outlives its truncated entry.
func TestRollback(t *testing.T) {
	b := newBench(t, three())
	change := consensus.EncodeChange(consensus.MembershipChange{Kind: consensus.AddLearner, ID: 4})
	b.step(consensus.Message{Type: consensus.MsgAppend, From: 2, Term: 2, Index: 1, LogTerm: 1, Entries: []consensus.Entry{
		{Index: 2, Term: 2, Kind: consensus.EntryNoop}, {Index: 3, Term: 2, Kind: consensus.EntryConfig, Data: change},
	}})
	b.Assert(b.n.Status().Members.IsLearner(4), qt.IsTrue)
	b.step(consensus.Message{Type: consensus.MsgAppend, From: 3, Term: 3, Index: 2, LogTerm: 2, Entries: []consensus.Entry{
		{Index: 3, Term: 3, Kind: consensus.EntryNoop},
	}})
	b.Assert(b.n.Status().Members.IsLearner(4), qt.IsFalse)
}

// TestLease guards against a lease that is too long, held without a majority,
// or kept after another member was asked to campaign.
func TestLease(t *testing.T) {
	const lease = electionTick - 3 // the default margin is 1 + 10/5
	b := newBench(t, three())
	b.lead(2)
	b.ackRound(2)
	b.Assert(b.n.LeaseTicks(), qt.Equals, 0) // nothing committed in this term
	b.ack(2)
	b.Assert(b.n.LeaseTicks(), qt.Equals, lease)
	b.tick(1)
	heartbeats := b.sent
	b.tick(2)
	b.Assert(b.n.LeaseTicks(), qt.Equals, lease-3)
	b.sent = heartbeats
	b.ackRound(3)
	b.Assert(b.n.LeaseTicks(), qt.Equals, lease-2) // from the start of the round
	b.Assert(b.n.TransferLeadership(2), qt.IsNil)
	b.Assert(b.n.LeaseTicks(), qt.Equals, 0)
	b.tick(1)
	b.ackRound(3)
	b.Assert(b.n.LeaseTicks(), qt.Equals, 0)
	term := b.n.Status().Term
	for range electionTick {
		b.tick(1)
		b.ackRound(3)
	}
	b.Assert(b.n.Status().Term, qt.Equals, term+1) // the transfer failed
	b.Assert(b.role(), qt.Equals, consensus.Candidate)
}

// TestQuorumLost guards against a leader that goes on without a majority.
func TestQuorumLost(t *testing.T) {
	b := newBench(t, three())
	b.lead(2)
	b.tick(electionTick - 1)
	b.Assert(b.role(), qt.Equals, consensus.Leader)
	b.tick(1)
	b.Assert(b.role(), qt.Equals, consensus.Follower)
}

// TestBounds guards against unbounded messages and queues.
func TestBounds(t *testing.T) {
	b := newBench(t, three())
	b.lead(2)
	b.ack(2)
	for range 100 {
		_, err := b.n.Propose([]byte("x"))
		b.Assert(err, qt.IsNil)
	}
	toTwo := 0
	for _, m := range b.work() {
		if m.To == 2 && m.Type == consensus.MsgAppend {
			toTwo++
			b.Assert(len(m.Entries) <= 4, qt.IsTrue)
		}
	}
	b.Assert(toTwo, qt.Equals, 3)
	var err error
	for i := 0; err == nil && i <= consensus.DefaultMaxUncommitted; i++ {
		_, err = b.n.Propose(nil)
	}
	b.Assert(errors.Is(err, consensus.ErrBusy), qt.IsTrue)
}
