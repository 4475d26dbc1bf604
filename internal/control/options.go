// Package control runs one control member. It replicates the state of package
// state by consensus with a log on disk, and serves the calls of
// control.v1.Control.
//
// A member runs these goroutines: the consensus loop owns the consensus node and
// the log; one sender per peer sends messages; the apply loop applies committed
// entries and copies the state for snapshots; the snapshot loop encodes these
// copies; the join loop adds this member to the cluster; and the leader loop
// promotes and removes members, assigns scheduler groups and expires booking
// records.
package control

import (
	"errors"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/event"
)

// Error is the class of errors of this package.
var Error = errs.Class("control")

var (
	// ErrNotLeader means that this member is not the leader or does not hold the
	// lease. The operation had no effect.
	ErrNotLeader = errors.New("this member is not the leader")
	// ErrBusy means that the operation was not started because of other operations
	// in progress. It had no effect.
	ErrBusy = errors.New("too many operations are in progress")
	// ErrSuperseded means that an entry of another leader replaced the operation in
	// the log. The operation had no effect.
	ErrSuperseded = errors.New("the operation was superseded by a new leader")
	// ErrOutcomeUnknown means that the outcome of the operation is not known: it
	// may have taken effect or may still do so.
	ErrOutcomeUnknown = errors.New("the outcome is unknown")
	// ErrClusterMismatch means that a message belongs to another cluster.
	ErrClusterMismatch = errors.New("the message belongs to another cluster")
	// errRemoved ends the run of a member that was removed from the cluster. Start
	// then lets it join again as a new member.
	errRemoved = errors.New("this member was removed")
	// errStorage marks errors of the data directory, after which Start tries again.
	errStorage = errors.New("storage")
	// ErrStopped means that the member has stopped or does not take part in
	// consensus yet.
	ErrStopped = errors.New("control member has stopped")
)

// Events of the storage and of the consensus driver.
var (
	eventStorageFailed    = event.Define(2000, "storage-failed", event.Failure, "storing the log failed; the control member restarts from its data directory")
	eventLeader           = event.Define(2001, "leader-elected", event.Info, "this member became the leader")
	eventFollower         = event.Define(2002, "leader-changed", event.Info, "the leader of the control members changed")
	eventClusterFormed    = event.Define(2003, "cluster-founded", event.Info, "the cluster was formed with the initial members")
	eventFormationWaiting = event.Define(2004, "founding-waits", event.Warn, "the cluster is not formed yet; some initial members do not respond")
	eventJoining          = event.Define(2005, "member-joining", event.Info, "this member is not part of the cluster and asks the leader to add it")
	eventMemberChanged    = event.Define(2006, "member-changed", event.Info, "a control member was added, promoted or removed")
	eventRemoved          = event.Define(2007, "member-removed", event.Warn, "this member was removed from the cluster")
	eventSnapshot         = event.Define(2008, "snapshot-stored", event.Debug, "a snapshot of the state was stored")
	eventNewIdentity      = event.Define(2009, "identity-drawn", event.Info, "the data directory was empty; a new member ID was generated")
	eventClusterMismatch  = event.Define(2010, "foreign-message", event.Warn, "a message from another cluster was refused")
	eventVoterReplaced    = event.Define(2013, "lost-voter-replaced", event.Warn, "a learner that has caught up becomes a voter in place of a lost one, which is removed then")
	eventRejoining        = event.Define(2014, "member-joins-anew", event.Warn, "this member was removed from the cluster; it deletes its data and joins again as a new member")
	eventSurplusRemoved   = event.Define(2015, "lost-voter-removed", event.Warn, "a lost voter that the cluster can spare is removed, so that the next loss leaves a majority")
	eventLeft             = event.Define(2016, "member-left", event.Info, "this member stops; the leader has removed it because the cluster can spare a voter")
	eventLeaveFailed      = event.Define(2017, "member-leave-failed", event.Warn, "this member stops, but did not learn that the leader has removed it; the leader removes it once it counts as lost")
	eventJoinFailed       = event.Define(2018, "member-join-failed", event.Warn, "this member found no leader, or the leader did not add it; it asks again")
	eventRestored         = event.Define(2011, "state-restored", event.Info, "the state was restored from the data directory")
	eventCorruptEntry     = event.Define(2012, "corrupt-entry", event.Failure, "a committed entry or a snapshot cannot be decoded; the control member stops")
)

// Events of settings, groups and the feed.
var (
	eventChange          = event.Define(3000, "settings-changed", event.Info, "a settings change was accepted")
	eventChangeFailed    = event.Define(3001, "settings-refused", event.Info, "a settings change was not accepted")
	eventAssigned        = event.Define(3002, "group-assigned", event.Info, "a scheduler group was assigned")
	eventBookingsExpired = event.Define(3003, "bookings-expired", event.Debug, "booking records past their retention were removed")
	eventBookingsFull    = event.Define(3008, "bookings-full", event.Warn, "the booking records have reached their memory limit, or are below it again; above it, new keys are refused and outcomes are not kept")
	eventHandOver        = event.Define(3004, "group-hand-over", event.Info, "the holder of a scheduler group is asked to hand it over to an instance with fewer groups")
)

const (
	defaultTick          = 50 * time.Millisecond
	defaultElectionTicks = 10
	defaultSnapshotEvery = 4096
	defaultCallTimeout   = time.Second
	largeStepTimeout     = 10 * time.Second
	stepTimeout          = 500 * time.Millisecond
	maxProposalsPerRound = 256
	maxInboundPerRound   = 512
	// inboxCapacity and the other capacities are in elements; Limits.Queue bounds their bytes.
	inboxCapacity      = 4096
	proposalCapacity   = 4096
	applyCapacity      = 64
	peerQueueCapacity  = 512
	maxMessagesPerStep = 64
	// maxCatchUpTicks bounds the ticks that are delivered after a pause; see
	// driver.tick.
	maxCatchUpTicks = 64
	// storageRetryInterval is the time between attempts to use a failed data
	// directory again. A disk that is no longer full is in use again after half of
	// this time on average.
	storageRetryInterval = 500 * time.Millisecond
	// defaultCatchUp is the default of Options.CatchUp.
	defaultCatchUp = 4 * time.Second
	// lostVoterParts is the part of Options.CatchUp after which an unresponsive voter counts as
	// lost. An election, the join of the successor and two membership changes take the rest.
	lostVoterParts = 4
	// maxLearnerLag is the maximum number of entries that a learner may still miss
	// when it replaces a voter.
	maxLearnerLag   = 16
	leaderInterval  = 100 * time.Millisecond
	gaugeInterval   = time.Second
	expireInterval  = 10 * time.Second
	expireBatchSize = 1000
	maxOutcomeBytes = 256 << 10
	maxCommandBytes = 16 << 20
	maxKeyBytes     = 512
	maxAttemptBytes = 128
	// instanceLiveTimeout is the time since its last poll for which an instance
	// counts as live.
	instanceLiveTimeout = 1500 * time.Millisecond
	// entriesAge is the time for which the leader reuses the list of live instances.
	entriesAge = 100 * time.Millisecond
	// groupLeaseMargin covers clocks that run at different speeds; see
	// formerLeaseWait.
	groupLeaseMargin = 200 * time.Millisecond
	// directoryWarmup is the time after which a new leader has received polls from
	// all live instances.
	directoryWarmup = time.Second
	// maxVoters bounds the number of voters. Further members stay learners.
	maxVoters    = 7
	joinInterval = 500 * time.Millisecond
	// joinStatusTimeout and joinCallTimeout bound the calls of a member that joins. A member that
	// is down may not respond at all, and others may still name it as the leader.
	joinStatusTimeout = 500 * time.Millisecond
	joinCallTimeout   = time.Second
	// unheardTimeout is the time without a message of another member after which a member
	// asks the leader whether it still is one. It is longer than an election.
	unheardTimeout        = 2 * time.Second
	membershipWaitTimeout = 5 * time.Second
)

// Options configures a Member.
type Options struct {
	// Cluster is the name of the cluster. Messages from other clusters are refused.
	Cluster string
	// Instance is the name of this instance, which must be unique in the cluster.
	Instance string
	// Address is the address at which other processes reach this member.
	Address string
	// InitialMembers lists the addresses of the members that form the cluster. It
	// must be the same on all of them, and may stay set after the cluster is formed.
	InitialMembers []string
	// Peers lists the addresses of control members through which a member that is
	// not an initial member finds the cluster.
	Peers   []string
	Storage Storage
	Network Network
	Events  *event.Recorder
	Scope   tally.Scope
	// Tick is the unit of the consensus clock. The election timeout is 1 to 2 times
	// ElectionTicks.
	Tick          time.Duration
	ElectionTicks int
	// SnapshotEvery is the maximum number of entries between snapshots. There are fewer between
	// them if they are large; see Limits.
	SnapshotEvery int
	// Limits bounds what the member keeps; see LimitsFor.
	Limits Limits
	// Clock is the steady clock of leases and timeouts. The default is clock.Now.
	Clock func() time.Time
	// ReplaceLostVoters makes the leader remove lost voters once a successor has
	// caught up, and makes a removed member join again as a new member. Without it,
	// only operators remove members, and removed members do not join again.
	ReplaceLostVoters bool
	// CatchUp is the time after the start of a successor, or the return of a lost member, within
	// which the cluster must survive the loss of another member. It is used with
	// ReplaceLostVoters.
	CatchUp time.Duration
	// UsageWindow returns the current window of usage. It is nil if usage is not reported.
	UsageWindow func() int64
	// Seed is the seed of the random election timeouts. It should differ between the
	// members.
	Seed int64
}

func (o Options) withDefaults() Options {
	if o.Tick == 0 {
		o.Tick = defaultTick
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = defaultElectionTicks
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	if o.CatchUp == 0 {
		o.CatchUp = defaultCatchUp
	}
	o.Limits = o.Limits.withDefaults()
	if o.Clock == nil {
		o.Clock = clock.Now
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}
