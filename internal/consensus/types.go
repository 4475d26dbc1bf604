// Package consensus implements the Raft protocol as a pure state machine: it
// performs no I/O, reads no clock and starts no goroutine. The driver delivers
// messages and ticks to a Node and carries out the work that Ready returns.
//
// Safety depends on these guarantees of the driver:
//
//   - Ready.Snapshot, Ready.HardState and Ready.Entries are durable before the
//     driver sends any of Ready.Messages, applies any of Ready.Committed or
//     calls Advance. A driver that cannot make them durable stops.
//   - A member ID is generated at random when an empty data directory is first
//     used, and is stored there with the log. Operators never set it, and it
//     is never derived from an address. A member that lost its disk therefore
//     gets a new ID, joins as a learner and cannot vote under its former ID.
//   - Tick is called once for every tick interval that passed on a steady clock,
//     including intervals that passed while the process was paused or the machine
//     was suspended.
//     Before the driver steps a message or reads LeaseTicks for a request, it
//     delivers all ticks up to a clock reading that it took after it received
//     the message or request. If it took the reading earlier, a pause in
//     between could let a member acknowledge a lease and vote for another
//     leader while that lease is valid.
//   - The tick intervals of any two members differ by at most the factor that
//     Config.LeaseMarginTicks allows.
//   - A Node is used by one goroutine at a time.
package consensus

import "github.com/zeebo/errs"

// Error is the class of errors that a Node returns.
var Error = errs.Class("consensus")

// Errors returned by the methods of Node. Compare them with errors.Is.
var (
	// ErrNotLeader means that another member is the leader; see Status.Leader.
	ErrNotLeader = Error.New("not the leader")
	// ErrLeaderUnknown means that this member currently knows no leader.
	ErrLeaderUnknown = Error.New("leader unknown")
	// ErrBusy means that the log has no room: for uncommitted entries, or for any entries
	// before the next snapshot; retry later.
	ErrBusy = Error.New("the log has no room for further entries")
	// ErrTransferring means that a leadership transfer is in progress.
	ErrTransferring = Error.New("leadership transfer in progress")
	// ErrChangePending means that an earlier membership change is not committed
	// yet, or that the leader has not committed an entry of its own term yet.
	ErrChangePending = Error.New("membership change pending")
	// ErrInvalidChange means that a change does not apply to the current
	// membership.
	ErrInvalidChange = Error.New("invalid membership change")
	// ErrRemovedID means that the ID belongs to a removed member; IDs are not
	// reused.
	ErrRemovedID = Error.New("member ID was removed and cannot return")
	// ErrNotCaughtUp means that the log of a learner to be promoted, or of the
	// target of a leadership transfer, is too far behind the leader's, or that
	// the member has not responded within the election timeout.
	ErrNotCaughtUp = Error.New("member has not caught up")
	// ErrIsLeader means that the member to be removed is the leader, which must
	// transfer leadership first.
	ErrIsLeader = Error.New("leader cannot be removed; transfer leadership first")
	// ErrInvalidConfig means that New was given invalid or inconsistent values.
	ErrInvalidConfig = Error.New("invalid configuration")
	// ErrInvalidMessage means that a message is malformed or addressed to
	// another member.
	ErrInvalidMessage = Error.New("invalid message")
	// ErrCompacted means that no snapshot can be made at an index, because the
	// log was compacted past it or the entry is not applied yet.
	ErrCompacted = Error.New("index is compacted or not applied")
)

// Defaults for the fields of Config whose value is zero.
const (
	DefaultElectionTicks        = 10
	DefaultHeartbeatTicks       = 1
	DefaultMaxEntriesPerMessage = 256
	DefaultMaxBytesPerMessage   = 1 << 20
	DefaultMaxInflight          = 32
	DefaultMaxUncommitted       = 8192
	DefaultMaxUncommittedBytes  = 32 << 20
	DefaultMaxLogBytes          = 64 << 20
	DefaultRetainedEntries      = 1024
	DefaultRetainedBytes        = 16 << 20
	DefaultMaxPromoteLag        = 256
)

// Config holds the parameters of a Node, which do not change after New. Fields
// other than ID and Seed that are zero are replaced by their defaults.
type Config struct {
	// ID is the ID of this member. It must not be zero.
	ID uint64
	// ElectionTicks is the minimum number of ticks without contact from a
	// leader before a member campaigns or votes. Election timeouts are drawn at
	// random from ElectionTicks up to, but not including, twice that value.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between two heartbeats of a leader.
	HeartbeatTicks int
	// Seed seeds the random election timeouts; members should use different
	// seeds.
	Seed int64
	// MaxEntriesPerMessage and MaxBytesPerMessage limit the size of an append
	// message. An entry larger than MaxBytesPerMessage is sent in a message of
	// its own.
	MaxEntriesPerMessage int
	MaxBytesPerMessage   int
	// MaxInflight limits the number of unacknowledged append messages per
	// follower.
	MaxInflight int
	// MaxUncommitted limits the number of uncommitted entries of a leader.
	// Proposals beyond it fail with ErrBusy.
	MaxUncommitted int
	// MaxUncommittedBytes is the size of the data of the uncommitted entries of a leader from
	// which on proposals fail with ErrBusy.
	MaxUncommittedBytes int
	// MaxLogBytes limits the data of the committed entries in memory. From that size on, a
	// leader accepts no proposals and a follower no entries until Compact is called.
	MaxLogBytes int
	// LeaseMarginTicks is the margin by which the leader lease is shorter than
	// ElectionTicks. One tick of it covers the granularity of ticks. The lease
	// is safe while the tick intervals of any two members differ by a factor of
	// at most (ElectionTicks-1)/(ElectionTicks-LeaseMarginTicks). The default
	// is one tick plus a fifth of ElectionTicks, rounded up.
	LeaseMarginTicks int
	// RetainedEntries is the number of entries before a snapshot that are
	// retained in memory, so that a follower which is slightly behind needs no
	// snapshot.
	RetainedEntries int
	// RetainedBytes is the maximum size of the data of the retained entries. It must be smaller
	// than MaxLogBytes.
	RetainedBytes int
	// MaxPromoteLag is the maximum number of entries by which the log of a
	// member may be behind the leader's when the member is promoted to voter or
	// becomes the target of a leadership transfer.
	MaxPromoteLag int
}

// EntryKind defines how the data of an entry is interpreted.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryNormal carries data of the application.
	EntryNormal EntryKind = iota
	// EntryConfig carries an encoded MembershipChange.
	EntryConfig
	// EntryNoop is appended by a new leader as the first entry of its term.
	EntryNoop
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte
}

// HardState is the part of the state that must be durable before messages are
// sent.
type HardState struct {
	Term, Vote, Commit uint64
}

// Membership lists the members by role. The slices are sorted and never
// modified after creation.
type Membership struct {
	Voters, Learners []uint64
	// Removed lists the IDs of former members. They cannot be added again.
	Removed []uint64
}

// ChangeKind is the kind of a MembershipChange.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// AddLearner adds a new member that receives the log but does not vote.
	AddLearner ChangeKind = iota + 1
	// PromoteLearner makes a learner that has caught up a voter.
	PromoteLearner
	// RemoveMember permanently removes a voter or learner.
	RemoveMember
)

// MembershipChange adds, promotes or removes one member.
type MembershipChange struct {
	Kind ChangeKind
	ID   uint64
}

// Snapshot is the state of the application after the entry at Index was
// applied, with the membership in force at Index.
type Snapshot struct {
	Index, Term uint64
	Members     Membership
	Data        []byte
}

// Restored is the state that a member loads from its disk at start. The zero
// value represents an empty disk; such a member waits until a leader adds it.
type Restored struct {
	HardState HardState
	// Snapshot is the latest snapshot; its Index is 0 if there is none.
	Snapshot Snapshot
	// Entries are the log entries that directly follow the snapshot, without a
	// gap.
	Entries []Entry
}

// MessageType identifies the kind of a Message. The values are part of the
// protocol between members.
type MessageType uint8

// Message types and how they use the fields of Message.
const (
	// MsgPreVote asks whether the receiver would grant a vote at Term. LogTerm
	// and Index describe the last log entry of the candidate.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteResponse is the response to MsgPreVote. Term is the proposed
	// term if the vote would be granted.
	MsgPreVoteResponse
	// MsgVote requests a vote at Term. Context is ContextTransfer if the leader
	// of the previous term requested the election.
	MsgVote
	// MsgVoteResponse is the response to MsgVote.
	MsgVoteResponse
	// MsgAppend carries Entries that follow the entry (Index, LogTerm), and the
	// commit index in Commit.
	MsgAppend
	// MsgAppendResponse carries in Index the last entry that matches the
	// leader's log. If Reject is set, Index is the index of the rejected
	// MsgAppend, and (RejectHint, LogTerm) is the last entry at which the logs
	// may agree.
	MsgAppendResponse
	// MsgHeartbeat carries the commit index in Commit and the number of the
	// heartbeat round in Context.
	MsgHeartbeat
	// MsgHeartbeatResponse returns the Context of the heartbeat.
	MsgHeartbeatResponse
	// MsgSnapshot carries Snapshot.
	MsgSnapshot
	// MsgTimeoutNow requests that the receiver campaign immediately.
	MsgTimeoutNow
	// MsgRemoved informs a former member that its removal is committed.
	MsgRemoved
)

// ContextTransfer is the Context of a MsgVote for an election that the previous
// leader requested. Receivers may grant such a vote even if they had contact
// with a leader within the election timeout.
const ContextTransfer uint64 = 1

// Message is a message between two members. Fields that its type does not use
// are zero.
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

// ReadState is the result of a call of ReadIndex. Once the application has
// applied Index, a read is linearizable. If LeadershipLost is set, this member
// lost leadership before a majority confirmed it, and the read must be retried
// at the new leader.
type ReadState struct {
	Context, Index uint64
	LeadershipLost bool
}

// Role is the role of a member in the current term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// SoftState is the volatile state whose changes are reported to the driver.
type SoftState struct {
	// Leader is the ID of the leader, or 0 if it is unknown.
	Leader uint64
	Role   Role
}

// Ready is the work that a Node has for its driver. The driver performs it in
// the order of the fields; see the guarantees in the package comment.
type Ready struct {
	// Snapshot, if not nil, replaces the log and the state of the application.
	Snapshot *Snapshot
	// HardState is nil if unchanged.
	HardState *HardState
	// Entries are appended to the durable log. They replace any stored entries
	// with the same or a higher index.
	Entries []Entry
	// Messages are sent in order. The protocol tolerates lost messages.
	Messages []Message
	// Committed lists the committed entries to apply, in order.
	Committed []Entry
	// ReadStates are the results of earlier calls of ReadIndex.
	ReadStates []ReadState
	// SoftState is nil if unchanged.
	SoftState *SoftState
}

// Progress is the replication state of one member as known to the leader.
type Progress struct {
	ID uint64
	// Match is the index of the last entry known to be durable at the member.
	Match uint64
	// Learner is set if the member does not vote.
	Learner bool
	// Active is set if the member responded within the election timeout.
	Active bool
	// InSnapshot is set while a snapshot is being sent to the member.
	InSnapshot bool
}

// Status is a copy of the state of a Node.
type Status struct {
	ID, Term, Leader      uint64
	Role                  Role
	Commit, Applied, Last uint64
	SnapshotIndex         uint64
	// LogBytes is the size of the data of the entries in memory.
	LogBytes int
	Members  Membership
	// Removed is set once this member has learned of its own removal.
	Removed bool
	// TransferTarget is the target of the leadership transfer in progress, or
	// 0.
	TransferTarget uint64
	// Progress has one element per member, sorted by ID. It is empty unless
	// this member is the leader.
	Progress []Progress
}
