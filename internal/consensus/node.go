package consensus

import (
	"math/rand/v2"
)

// neverAcked is the ackedRoundStart of a member that acknowledged no heartbeat
// round. It is so far in the past that it cannot extend a lease.
const neverAcked int64 = -1 << 40

// Node is one member of a Raft group. Create it with New.
type Node struct {
	cfg Config
	rng *rand.Rand

	term, vote uint64
	role       Role
	leaderID   uint64
	log        raftLog
	members    membershipHistory
	// removed is set once this member learns that its removal is committed.
	removed bool

	// ticks counts the calls of Tick.
	ticks int64
	// elapsedTicks counts ticks until the next heartbeat (leader) or until
	// electionTimeout, when this member campaigns (other roles).
	elapsedTicks, electionTimeout int
	// ticksSinceLeader counts the ticks since the last message from a leader.
	// It starts at zero because a member may have acknowledged a lease just
	// before it restarted.
	ticksSinceLeader int
	votes            map[uint64]bool

	leaderState  volatileLeaderState
	messages     []Message
	reads        []ReadState
	pendingReady readyRecord
	// reportedHardState and reportedSoftState were in the last completed Ready.
	reportedHardState HardState
	reportedSoftState SoftState
	awaitingAdvance   bool // Ready was called without a later Advance
}

// readyRecord records the contents of the last Ready.
type readyRecord struct {
	reportedHardState   HardState
	reportedSoftState   SoftState
	lastIndex, lastTerm uint64
	applied             uint64
	// restoredIndex is the index of the snapshot, or 0 if there was none.
	restoredIndex uint64
}

// New returns a follower with the given restored state.
func New(config Config, restored Restored) (*Node, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: config, rng: rand.New(rand.NewPCG(uint64(config.Seed), config.ID))}
	if err := n.restore(restored); err != nil {
		return nil, err
	}
	n.resetTimeout()
	n.reportedHardState = restored.HardState
	return n, nil
}

func (c Config) withDefaults() (Config, error) {
	for _, f := range []struct {
		field *int
		value int
	}{
		{&c.ElectionTicks, DefaultElectionTicks},
		{&c.HeartbeatTicks, DefaultHeartbeatTicks},
		{&c.MaxEntriesPerMessage, DefaultMaxEntriesPerMessage},
		{&c.MaxBytesPerMessage, DefaultMaxBytesPerMessage},
		{&c.MaxInflight, DefaultMaxInflight},
		{&c.MaxUncommitted, DefaultMaxUncommitted},
		{&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes},
		{&c.MaxLogBytes, DefaultMaxLogBytes},
		{&c.RetainedEntries, DefaultRetainedEntries},
		{&c.RetainedBytes, DefaultRetainedBytes},
		{&c.MaxPromoteLag, DefaultMaxPromoteLag},
	} {
		if *f.field == 0 {
			*f.field = f.value
		}
		if *f.field < 0 {
			return c, ErrInvalidConfig
		}
	}
	if c.LeaseMarginTicks == 0 {
		c.LeaseMarginTicks = 1 + (c.ElectionTicks+4)/5
	}
	if c.ID == 0 || c.HeartbeatTicks >= c.ElectionTicks || c.LeaseMarginTicks < 1 || c.RetainedBytes >= c.MaxLogBytes {
		return c, ErrInvalidConfig
	}
	return c, nil
}

// restore loads the persisted state and checks its consistency.
func (n *Node) restore(r Restored) error {
	s := r.Snapshot
	n.log = raftLog{offset: s.Index, offsetTerm: s.Term, snapshot: s, applied: s.Index}
	for i, e := range r.Entries {
		if e.Index != s.Index+uint64(i)+1 || e.Term < n.log.lastTerm() {
			return Error.Wrap(ErrInvalidConfig)
		}
		n.log.append(e)
	}
	n.log.firstUnstable = n.log.last() + 1
	n.log.commit = s.Index
	if r.HardState.Commit > n.log.last() {
		return ErrInvalidConfig
	}
	n.log.commitTo(r.HardState.Commit)
	members, err := membershipHistory{{s.Index, s.Members}}.extend(r.Entries)
	if err != nil {
		return err
	}
	n.members = members
	n.term, n.vote = r.HardState.Term, r.HardState.Vote
	// If a crash occurred between storing a snapshot and storing the hard
	// state, the log is ahead of the stored term. This member did not vote in
	// the newer term then.
	if t := n.log.lastTerm(); t > n.term {
		n.term, n.vote = t, 0
	}
	n.detectRemoval()
	return nil
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// resetTimeout draws a new random election timeout and restarts it.
func (n *Node) resetTimeout() {
	n.elapsedTicks = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.rng.IntN(n.cfg.ElectionTicks)
}

// Tick advances the logical clock by one tick.
func (n *Node) Tick() {
	n.ticks++
	n.elapsedTicks++
	n.ticksSinceLeader++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsedTicks >= n.electionTimeout {
		n.elapsedTicks = 0
		n.preCampaign()
	}
}

// Step handles a message from another member. If it returns an error, the
// message was ignored.
func (n *Node) Step(m Message) error {
	if m.To != n.cfg.ID || m.From == 0 || m.From == m.To {
		return ErrInvalidMessage
	}
	if m.Type == MsgRemoved {
		n.markRemoved()
		return nil
	}
	if n.members.at(n.log.commit).IsRemoved(m.From) {
		n.send(Message{Type: MsgRemoved, To: m.From, Term: n.term})
		return nil
	}
	if m.Type == MsgVote && m.Context != ContextTransfer && n.leaderMayHoldLease() {
		return nil
	}
	switch {
	case m.Term > n.term:
		n.stepHigherTerm(m)
	case m.Term < n.term:
		n.respondToLowerTerm(m)
		return nil
	}
	return n.handle(m)
}

// leaderMayHoldLease reports whether the current leader may hold a lease that
// this member acknowledged. While it may, this member must not help to elect
// another leader.
func (n *Node) leaderMayHoldLease() bool {
	return n.role == Leader || n.ticksSinceLeader < n.cfg.ElectionTicks
}

// stepHigherTerm enters the term of the message, except for pre-vote requests
// and granted pre-votes, whose term no member has entered yet.
func (n *Node) stepHigherTerm(m Message) {
	if m.Type == MsgPreVote || m.Type == MsgPreVoteResponse && !m.Reject {
		return
	}
	leaderID := uint64(0)
	if m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot {
		leaderID = m.From
	}
	n.becomeFollower(m.Term, leaderID)
}

// respondToLowerTerm sends the current term to a member with a lower term. A
// leader with a lower term then steps down. Without this response, a member
// with a higher term would stay excluded forever: it ignores that leader, and
// the other members refuse to elect a new one.
func (n *Node) respondToLowerTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendResponse, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteResponse, To: m.From, Reject: true})
	case MsgVote:
		n.send(Message{Type: MsgVoteResponse, To: m.From, Reject: true})
	}
}

func (n *Node) handle(m Message) error {
	switch m.Type {
	case MsgPreVote:
		n.handlePreVote(m)
	case MsgVote:
		n.handleVote(m)
	case MsgPreVoteResponse:
		n.handlePreVoteResponse(m)
	case MsgVoteResponse:
		n.handleVoteResponse(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		return n.handleFromLeader(m)
	case MsgAppendResponse, MsgHeartbeatResponse:
		return n.handleFromFollower(m)
	case MsgTimeoutNow:
		n.handleTimeoutNow(m)
	default:
		return ErrInvalidMessage
	}
	return nil
}

// send queues a message for the next Ready. The term defaults to the current
// term.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) becomeFollower(term, leaderID uint64) {
	if n.role == Leader {
		n.loseLeadership()
	}
	if term > n.term {
		n.term, n.vote = term, 0
	}
	n.role, n.leaderID = Follower, leaderID
	n.votes = nil
	n.resetTimeout()
}

// markRemoved stops this member from voting and campaigning permanently. Its
// removal is committed, so no future leader needs its vote.
func (n *Node) markRemoved() {
	if !n.removed {
		n.removed = true
		n.becomeFollower(n.term, 0)
	}
}

// detectRemoval marks this member as removed if the committed membership lists
// its ID as removed.
func (n *Node) detectRemoval() {
	if n.members.at(n.log.commit).IsRemoved(n.cfg.ID) {
		n.markRemoved()
	}
}
