package consensus

import (
	"math/rand/v2"
)

// leaseNever is a tick long before any tick that counts for a lease.
const leaseNever int64 = -1 << 40

// Node is one member of a Raft group. Create it with New.
type Node struct {
	cfg Config
	rng *rand.Rand

	term, vote uint64
	role       Role
	leader     uint64
	log        raftLog
	members    history
	// removed is set once the removal of this member is known to be committed.
	removed bool

	// ticks counts the calls of Tick.
	ticks int64
	// elapsed counts ticks towards timeout (campaign) or the next heartbeat.
	elapsed, timeout int
	// sinceLeader counts ticks since a leader was heard. It starts at zero, as
	// a restarted member may have acknowledged a lease just before.
	sinceLeader int
	votes       map[uint64]bool

	lead    leadership
	msgs    []Message
	reads   []ReadState
	handed  handedOut
	hard    HardState
	soft    SoftState
	waiting bool // Ready was called and Advance was not
}

// handedOut records what the last Ready contained.
type handedOut struct {
	hard                HardState
	soft                SoftState
	lastIndex, lastTerm uint64
	applied             uint64
	restored            uint64
}

// New returns a follower with the restored state.
func New(c Config, r Restored) (*Node, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: c, rng: rand.New(rand.NewPCG(uint64(c.Seed), c.ID))}
	if err := n.restore(r); err != nil {
		return nil, err
	}
	n.resetTimeout()
	n.hard = r.HardState
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
		{&c.KeepEntries, DefaultKeepEntries},
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
	if c.ID == 0 || c.HeartbeatTicks >= c.ElectionTicks || c.LeaseMarginTicks < 1 {
		return c, ErrInvalidConfig
	}
	return c, nil
}

// restore loads the persisted state and checks that it is consistent.
func (n *Node) restore(r Restored) error {
	s := r.Snapshot
	n.log = raftLog{offset: s.Index, offsetTerm: s.Term, snapshot: s, applied: s.Index}
	for i, e := range r.Entries {
		if e.Index != s.Index+uint64(i)+1 || e.Term < n.log.lastTerm() {
			return Error.Wrap(ErrInvalidConfig)
		}
		n.log.append(e)
	}
	n.log.unstable = n.log.last() + 1
	n.log.commit = max(r.HardState.Commit, s.Index)
	if n.log.commit > n.log.last() {
		return ErrInvalidConfig
	}
	members, err := history{{s.Index, s.Members}}.extend(r.Entries)
	if err != nil {
		return err
	}
	n.members = members
	n.term, n.vote = r.HardState.Term, r.HardState.Vote
	// A crash between saving a snapshot and its hard state leaves a log ahead
	// of the stored term. No vote was cast in the newer term then.
	if t := n.log.lastTerm(); t > n.term {
		n.term, n.vote = t, 0
	}
	n.noteRemoval()
	return nil
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// resetTimeout draws the next election timeout.
func (n *Node) resetTimeout() {
	n.elapsed = 0
	n.timeout = n.cfg.ElectionTicks + n.rng.IntN(n.cfg.ElectionTicks)
}

// Tick advances the logical clock by one tick.
func (n *Node) Tick() {
	n.ticks++
	n.elapsed++
	n.sinceLeader++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.timeout {
		n.elapsed = 0
		n.preCampaign()
	}
}

// Step handles a message from another member. An error means that the message
// was ignored.
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
	if m.Type == MsgVote && m.Context != ContextTransfer && n.sticky() {
		return nil
	}
	switch {
	case m.Term > n.term:
		n.stepHigherTerm(m)
	case m.Term < n.term:
		n.answerLowerTerm(m)
		return nil
	}
	return n.dispatch(m)
}

// sticky reports whether this member must not help to elect a new leader,
// because the present one may still hold a lease that this member granted.
func (n *Node) sticky() bool {
	return n.role == Leader || n.sinceLeader < n.cfg.ElectionTicks
}

// stepHigherTerm enters the term of the message. Pre-votes and granted
// pre-votes carry a term that nobody has entered yet.
func (n *Node) stepHigherTerm(m Message) {
	if m.Type == MsgPreVote || m.Type == MsgPreVoteResponse && !m.Reject {
		return
	}
	leader := uint64(0)
	if m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
}

// answerLowerTerm tells the sender the current term. A leader of a lower term
// steps down on it: without that, a member that is ahead in term and cut off
// from elections by stickiness would stay out for ever.
func (n *Node) answerLowerTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendResponse, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteResponse, To: m.From, Reject: true})
	case MsgVote:
		n.send(Message{Type: MsgVoteResponse, To: m.From, Reject: true})
	}
}

func (n *Node) dispatch(m Message) error {
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
		return n.handleToLeader(m)
	case MsgTimeoutNow:
		n.handleTimeoutNow(m)
	default:
		return ErrInvalidMessage
	}
	return nil
}

// send queues a message; the term defaults to the current one.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.msgs = append(n.msgs, m)
}

func (n *Node) becomeFollower(term, leader uint64) {
	if n.role == Leader {
		n.loseLeadership()
	}
	if term > n.term {
		n.term, n.vote = term, 0
	}
	n.role, n.leader = Follower, leader
	n.votes = nil
	n.resetTimeout()
}

// markRemoved makes this member silent for good: the removal is committed, so
// no future leader needs its vote.
func (n *Node) markRemoved() {
	if !n.removed {
		n.removed = true
		n.becomeFollower(n.term, 0)
	}
}

// noteRemoval checks the committed membership for this member's removal.
func (n *Node) noteRemoval() {
	if n.members.at(n.log.commit).IsRemoved(n.cfg.ID) {
		n.markRemoved()
	}
}
