// Package control runs one control member: the replicated state of package
// state over consensus and a log on disk, and the calls of control.v1.Control.
//
// One goroutine carries each duty: the consensus loop owns the consensus node
// and the log, one sender per peer sends messages, the apply loop applies
// committed entries and makes snapshots, and the leader loop promotes and removes
// members, assigns scheduler groups and expires booking records.
package control

import (
	"errors"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"auburnstep.example/auburnstep/internal/event"
)

// Error is the class of errors of this package.
var Error = errs.Class("control")

var (
	// ErrNotLeader means that this member does not lead or holds no lease; the
	// operation had no effect.
	ErrNotLeader = errors.New("this member is not the leader")
	// ErrBusy means that the operation was not started because of others in
	// progress; it had no effect.
	ErrBusy = errors.New("too many operations are in progress")
	// ErrSuperseded means that another leader's entry took the place of the
	// operation in the log; it had no effect.
	ErrSuperseded = errors.New("the operation was superseded by a new leader")
	// ErrUnknown means that the operation may still take effect.
	ErrUnknown = errors.New("the outcome is unknown")
	// ErrClusterMismatch means that a message belongs to another cluster.
	ErrClusterMismatch = errors.New("the message belongs to another cluster")
	// errRemoved ends the run of a member that was removed and joins anew.
	errRemoved = errors.New("this member was removed")
	// errStorage is the class of errors of the data folder.
	errStorage = errors.New("storage")
	// ErrStopped means that the member has stopped.
	ErrStopped = errors.New("control member has stopped")
)

// Events of the storage and of the consensus driver.
var (
	eventStorageFailed  = event.Define(2000, "storage-failed", event.Failure, "storing the log failed; the control member begins anew from its data folder")
	eventLeader         = event.Define(2001, "leader-elected", event.Info, "this member became leader")
	eventFollower       = event.Define(2002, "leader-changed", event.Info, "the leader of the control members changed")
	eventFounded        = event.Define(2003, "cluster-founded", event.Info, "the cluster was formed with the initial members")
	eventFoundingWaits  = event.Define(2004, "founding-waits", event.Warn, "the cluster is not formed yet; some initial members do not answer")
	eventJoining        = event.Define(2005, "member-joining", event.Info, "this member asks the leader to add it")
	eventMemberChanged  = event.Define(2006, "member-changed", event.Info, "a control member was added, promoted or removed")
	eventRemoved        = event.Define(2007, "member-removed", event.Warn, "this member was removed from the cluster")
	eventSnapshot       = event.Define(2008, "snapshot-stored", event.Debug, "a snapshot of the state was stored")
	eventNewIdentity    = event.Define(2009, "identity-drawn", event.Info, "the data folder was empty; a new member ID was drawn")
	eventForeignMessage = event.Define(2010, "foreign-message", event.Warn, "a message of another cluster was refused")
	eventLostVoter      = event.Define(2013, "lost-voter-replaced", event.Warn, "a voter that was lost is removed; a successor has caught up")
	eventJoinsAnew      = event.Define(2014, "member-joins-anew", event.Warn, "this member was removed while it was away; it drops its data and joins as a new one")
	eventRestored       = event.Define(2011, "state-restored", event.Info, "the state was restored from the data folder")
	eventCorruptEntry   = event.Define(2012, "corrupt-entry", event.Failure, "a committed entry or snapshot cannot be read; the control member stops")
)

// Events of settings, groups and the feed.
var (
	eventChange       = event.Define(3000, "settings-changed", event.Info, "a settings change was accepted")
	eventChangeFailed = event.Define(3001, "settings-refused", event.Info, "a settings change was not accepted")
	eventAssigned     = event.Define(3002, "group-assigned", event.Info, "a scheduler group was assigned")
	eventExpired      = event.Define(3003, "bookings-expired", event.Debug, "booking records passed their retention")
	eventHandOver     = event.Define(3004, "group-hand-over", event.Info, "the holder of a scheduler group is asked to hand it over to an instance with fewer groups")
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
	inboxCapacity        = 4096
	proposalCapacity     = 4096
	applyCapacity        = 64
	peerCapacity         = 512
	maxMessagesPerStep   = 64
	maxTicksCaughtUp     = 64
	// storageRetryInterval is the time between attempts to use a failing data
	// folder again: a disk that was full is found usable within half of it.
	storageRetryInterval = 500 * time.Millisecond
	// lostVoterAfter is how long a voter must not have answered before a successor
	// takes its place: longer than any restart, shorter than the 5 s after which
	// the next loss must be survived.
	lostVoterAfter = 3 * time.Second
	// maxLearnerLag is the number of entries by which a successor may be behind.
	maxLearnerLag    = 16
	leaderInterval   = 100 * time.Millisecond
	gaugeInterval    = time.Second
	expireInterval   = 10 * time.Second
	expireBatch      = 1000
	maxOutcomeBytes  = 256 << 10
	maxCommandBytes  = 16 << 20
	maxKeyBytes      = 512
	maxAttemptBytes  = 128
	instanceLiveFor  = 1500 * time.Millisecond
	entriesAge       = 100 * time.Millisecond
	groupLeaseMargin = 200 * time.Millisecond
	directoryWarmup  = time.Second
	// maxVoters bounds the members that must agree; further ones stay learners.
	maxVoters             = 7
	joinInterval          = 500 * time.Millisecond
	membershipWaitTimeout = 5 * time.Second
)

// Options configures a Member.
type Options struct {
	// Cluster names the cluster. Messages of another one are refused.
	Cluster string
	// Instance is the name of this instance, unique in the cluster.
	Instance string
	// Address is where other processes reach this one.
	Address string
	// InitialMembers lists the addresses of the members with which the cluster
	// is formed. It must be the same on all of them and may stay set later.
	InitialMembers []string
	// Peers lists addresses of control members by which a member that is not
	// initial finds the cluster.
	Peers   []string
	Storage Storage
	Network Network
	Events  *event.Recorder
	Scope   tally.Scope
	// Tick is the unit of the consensus clock; an election takes
	// 1 to 2 times ElectionTicks.
	Tick          time.Duration
	ElectionTicks int
	// SnapshotEvery is the number of entries between snapshots.
	SnapshotEvery int
	// Replace makes the leader remove voters that were lost once a successor has
	// caught up, and makes a removed member join again as a new one. Without it
	// only operators remove members, and a removed one stays out.
	Replace bool
	// Seed varies election timeouts between members.
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
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}
