// Package consensus implements Raft as a pure state machine: it performs no
// I/O, reads no clock and starts no goroutine. The driver feeds it messages
// and ticks and carries out what Ready returns.
//
// The safety of the package rests on what the driver guarantees:
//
//   - Ready.Snapshot, Ready.HardState and Ready.Entries are durable before any
//     of Ready.Messages is sent, any of Ready.Committed is applied, or Advance
//     is called. A driver that cannot make them durable stops.
//   - A member ID is drawn at random when an empty data folder is first used,
//     and stored there with the log. It is never set by an operator or
//     derived from an address. A member that lost its disk thereby gets a new
//     ID, joins as a learner and cannot vote as its former self.
//   - Tick is called once for every tick interval that passed on a monotonic
//     clock, including intervals that passed during a pause of the process. A
//     driver that is about to step a message or to consult LeaseTicks first
//     delivers the ticks up to a clock reading taken after the message or the
//     request was received. With the reading taken earlier, a pause in between
//     would let a member acknowledge a lease and vote against it at once.
//   - Tick intervals of two members differ at most by the factor that
//     Config.LeaseMarginTicks allows.
//   - A Node is used by one goroutine at a time.
package consensus

import "github.com/zeebo/errs"

// Error is the class of errors that a Node returns.
var Error = errs.Class("consensus")

// Errors returned by the methods of Node; compare with errors.Is.
var (
	// ErrNotLeader means that another member leads; see Status.Leader.
	ErrNotLeader = Error.New("not the leader")
	// ErrLeaderUnknown means that no leader is known at the moment.
	ErrLeaderUnknown = Error.New("leader unknown")
	// ErrBusy means that too many entries await commitment; retry later.
	ErrBusy = Error.New("too many uncommitted entries")
	// ErrTransferring means that leadership is being handed over.
	ErrTransferring = Error.New("leadership transfer in progress")
	// ErrChangePending means that a membership change is not committed yet, or
	// that the leader has not committed an entry of its own term yet.
	ErrChangePending = Error.New("membership change pending")
	// ErrInvalidChange means that a change does not fit the membership.
	ErrInvalidChange = Error.New("invalid membership change")
	// ErrRemovedID means that an ID was a member before; IDs are not reused.
	ErrRemovedID = Error.New("member ID was removed and cannot return")
	// ErrNotCaughtUp means that a learner lags too far behind to be promoted,
	// or that the target of a transfer has not answered recently.
	ErrNotCaughtUp = Error.New("member has not caught up")
	// ErrIsLeader means that a leader must hand over before it is removed.
	ErrIsLeader = Error.New("leader cannot be removed; transfer leadership first")
	// ErrInvalidConfig means that New was given unusable values.
	ErrInvalidConfig = Error.New("invalid configuration")
	// ErrInvalidMessage means that a message is malformed or misaddressed.
	ErrInvalidMessage = Error.New("invalid message")
	// ErrCompacted means that an index is no longer, or not yet, available.
	ErrCompacted = Error.New("index is compacted or not applied")
)

// Defaults of Config for values that are zero.
const (
	DefaultElectionTicks        = 10
	DefaultHeartbeatTicks       = 1
	DefaultMaxEntriesPerMessage = 256
	DefaultMaxBytesPerMessage   = 1 << 20
	DefaultMaxInflight          = 32
	DefaultMaxUncommitted       = 8192
	DefaultKeepEntries          = 1024
	DefaultMaxPromoteLag        = 256
)

// Config holds the constant parameters of a Node. Zero values of all fields
// but ID and Seed are replaced by defaults.
type Config struct {
	// ID is this member's ID; not zero.
	ID uint64
	// ElectionTicks is the least number of ticks without a leader before a
	// member campaigns or votes. Timeouts are drawn from [1, 2) times it.
	ElectionTicks int
	// HeartbeatTicks is the interval of a leader's heartbeats.
	HeartbeatTicks int
	// Seed seeds the election timeouts; members should use different seeds.
	Seed int64
	// MaxEntriesPerMessage and MaxBytesPerMessage bound an append message. An
	// entry larger than the bound travels alone.
	MaxEntriesPerMessage int
	MaxBytesPerMessage   int
	// MaxInflight bounds the unacknowledged append messages per follower.
	MaxInflight int
	// MaxUncommitted bounds a leader's uncommitted entries (ErrBusy beyond).
	MaxUncommitted int
	// LeaseMarginTicks shortens the leader lease to ElectionTicks minus this
	// value. One tick covers the granularity of ticks. The lease is safe while
	// the tick intervals of any two members differ by a factor of at most
	// (ElectionTicks-1)/(ElectionTicks-LeaseMarginTicks). The default is one
	// tick and a fifth of ElectionTicks, rounded up.
	LeaseMarginTicks int
	// KeepEntries is the number of entries kept in memory behind a snapshot,
	// so that a slightly lagging follower needs no snapshot.
	KeepEntries int
	// MaxPromoteLag is the number of entries that a learner may lack when it
	// is promoted.
	MaxPromoteLag int
}

// EntryKind tells what the data of an entry means.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryNormal carries data of the application.
	EntryNormal EntryKind = iota
	// EntryConfig carries an encoded MembershipChange.
	EntryConfig
	// EntryNoop is the first entry of a leader's term.
	EntryNoop
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte
}

// HardState is the state that must be durable before messages are sent.
type HardState struct {
	Term, Vote, Commit uint64
}

// Membership lists the members by role. The slices are sorted and not
// modified after creation.
type Membership struct {
	Voters, Learners []uint64
	// Removed lists the IDs that were members once and can never return.
	Removed []uint64
}

// ChangeKind tells what a MembershipChange does.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// AddLearner adds a new ID that receives the log and does not vote.
	AddLearner ChangeKind = iota + 1
	// PromoteLearner turns a learner that has caught up into a voter.
	PromoteLearner
	// RemoveMember removes a voter or learner for good.
	RemoveMember
)

// MembershipChange adds, promotes or removes one member.
type MembershipChange struct {
	Kind ChangeKind
	ID   uint64
}

// Snapshot is the state of the application after the entry Index, and the
// membership in force there.
type Snapshot struct {
	Index, Term uint64
	Members     Membership
	Data        []byte
}

// Restored is what a member reads from its disk at start. The zero value is an
// empty disk: such a member waits to be added by a leader.
type Restored struct {
	HardState HardState
	// Snapshot is the latest snapshot; Index 0 if there is none.
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// MessageType identifies the kind of a Message. The values are part of the
// protocol between members.
type MessageType uint8

// Message types and the meaning of their fields.
const (
	// MsgPreVote asks whether a vote at Term would be granted. LogTerm and
	// Index describe the last entry of the candidate.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteResponse answers; Term is the proposed term when granted.
	MsgPreVoteResponse
	// MsgVote asks for a vote at Term. Context is ContextTransfer if the
	// leader of the previous term asked for the election.
	MsgVote
	// MsgVoteResponse answers a MsgVote.
	MsgVoteResponse
	// MsgAppend carries Entries after the entry (Index, LogTerm), and Commit.
	MsgAppend
	// MsgAppendResponse carries the last matching Index; or, with Reject, the
	// refused Index and a hint (RejectHint, LogTerm) where logs may agree.
	MsgAppendResponse
	// MsgHeartbeat carries Commit and, in Context, the number of the round.
	MsgHeartbeat
	// MsgHeartbeatResponse echoes Context.
	MsgHeartbeatResponse
	// MsgSnapshot carries Snapshot.
	MsgSnapshot
	// MsgTimeoutNow asks the receiver to campaign at once.
	MsgTimeoutNow
	// MsgRemoved tells a former member that its removal is committed.
	MsgRemoved
)

// ContextTransfer is the Context of a MsgVote that the previous leader asked
// for; receivers then vote even though they heard from a leader recently.
const ContextTransfer uint64 = 1

// Message is a message between two members. Unused fields are zero.
type Message struct {
	Type           MessageType
	From, To       uint64
	Term           uint64
	LogTerm, Index uint64
	Commit         uint64
	Reject         bool
	RejectHint     uint64
	Context        uint64
	Entries        []Entry
	Snapshot       *Snapshot
}

// ReadState answers ReadIndex: once the application has applied Index, a read
// is linearizable. With Lost set, leadership ended before it was confirmed and
// the read must be retried at the leader.
type ReadState struct {
	Context, Index uint64
	Lost           bool
}

// Role is the role of a member in its term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// SoftState is volatile state that drivers watch.
type SoftState struct {
	// Leader is the ID of the leader, 0 if unknown.
	Leader uint64
	Role   Role
}

// Ready is the work that a Node has for its driver, to be carried out in the
// order of the fields; see the guarantees in the package comment.
type Ready struct {
	// Snapshot replaces the log and the application's state.
	Snapshot *Snapshot
	// HardState is nil if unchanged.
	HardState *HardState
	// Entries are appended to the durable log; entries of the same or a higher
	// index that are stored already are replaced.
	Entries []Entry
	// Messages are sent in order; losing some is harmless.
	Messages []Message
	// Committed entries are applied in order.
	Committed []Entry
	// ReadStates answer earlier calls of ReadIndex.
	ReadStates []ReadState
	// SoftState is nil if unchanged.
	SoftState *SoftState
}

// Progress is a leader's knowledge about one member.
type Progress struct {
	ID uint64
	// Match is the last entry known to be durable at the member.
	Match uint64
	// Learner is set for members without a vote.
	Learner bool
	// Active is set if the member answered within the election timeout.
	Active bool
	// InSnapshot is set while a snapshot is on its way to the member.
	InSnapshot bool
}

// Status describes a Node at one moment.
type Status struct {
	ID, Term, Leader      uint64
	Role                  Role
	Commit, Applied, Last uint64
	SnapshotIndex         uint64
	Members               Membership
	// Removed is set once this member knows that it was removed.
	Removed bool
	// TransferTarget is the member that the leader hands over to, or 0.
	TransferTarget uint64
	// Progress has one element per member, in order of ID; leaders only.
	Progress []Progress
}
