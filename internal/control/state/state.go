// Package state implements the state machine that the control members
// replicate: settings, booking records, assignments of scheduler groups, member
// addresses, the routing table and usage windows. It is deterministic: it changes only through
// Apply, reads no clock and does no I/O, so that the same commands in the same
// order produce the same state on every member.
package state

import (
	"errors"
	"slices"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/settings"
)

// Error is the class of errors of this package.
var Error = errs.Class("control state")

// ErrCorrupt is returned by Restore for data that is not an intact snapshot.
var ErrCorrupt = errors.New("snapshot is corrupt")

const (
	// MaxResults is the number of changes whose results are kept for resends. At
	// 870 changes a day this covers 11 days, which is longer than any client
	// resends a change.
	MaxResults = 10_000
	// MaxHistory is the number of accepted changes kept to send deltas and to
	// list the conflicts of a change with outcome CONFLICT.
	MaxHistory = 1_000
	// MaxHistoryBytes bounds the operations of these changes, without the latest one.
	MaxHistoryBytes = 4 << 20
	// MaxRecords bounds the booking records of one customer, not counting
	// tombstones, so that one customer cannot exhaust the members' memory.
	MaxRecords = 100_000
	// maxRefusedAttempts bounds the attempts kept for each key after they received
	// STARTED, because another attempt held the key.
	maxRefusedAttempts = 64
	// maxConflicts and maxTouched bound the list of conflicts in a change result
	// and the settings listed for each conflict.
	maxConflicts = 20
	maxTouched   = 20
)

// Result is the result of one command. Only the field that belongs to the kind
// of command is set.
type Result struct {
	Change     *controlv1.ChangeResult
	Booking    *controlv1.BookingResponse
	Assignment *controlv1.Assignment
	// Routing is the routing table in force after the command.
	Routing *controlv1.RoutingTable
	// Expired is the number of records that the command processed: they became
	// tombstones, were deleted or were kept until the next expiry.
	Expired int
}

// acceptedChange is an entry of the history of accepted changes.
type acceptedChange struct {
	version    uint64
	changeID   string
	actor      string
	operations []*controlv1.Operation
	bytes      int // size of the operations
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	index   uint64
	version uint64
	tree    *settings.Tree
	// history holds the latest accepted changes, oldest first and without gaps, and
	// historyBytes is the size of their operations.
	history      []acceptedChange
	historyBytes int
	results      results

	bookings bookings
	groups   map[string]*controlv1.Assignment
	// assignedIndex holds the log index at which each group was assigned.
	// restoredIndex is the index of the snapshot from which the state was
	// restored. Neither is stored in snapshots.
	assignedIndex map[string]uint64
	restoredIndex uint64
	members       map[uint64]*controlv1.MemberAddress
	// routing is the routing table in force, or nil; see applyRouting.
	routing *controlv1.RoutingTable
	usage   Usage
}

// New returns an empty state.
func New() *State {
	return &State{
		tree:          settings.New(),
		results:       newResults(),
		bookings:      newBookings(),
		groups:        make(map[string]*controlv1.Assignment),
		assignedIndex: make(map[string]uint64),
		members:       make(map[uint64]*controlv1.MemberAddress),
	}
}

// Apply executes the committed command at index. A nil command stands for a
// log entry without a command and only advances the index.
func (s *State) Apply(index uint64, cmd *controlv1.Command) Result {
	s.index = index
	switch c := cmd.GetCommand().(type) {
	case *controlv1.Command_Change:
		return Result{Change: s.applyChange(c.Change)}
	case *controlv1.Command_Begin:
		return Result{Booking: s.bookings.counted(c.Begin.GetKey(), func() *controlv1.BookingResponse { return s.bookings.begin(c.Begin) })}
	case *controlv1.Command_Finish:
		return Result{Booking: s.bookings.counted(c.Finish.GetKey(), func() *controlv1.BookingResponse { return s.bookings.finish(c.Finish) })}
	case *controlv1.Command_Release:
		return Result{Booking: s.bookings.counted(c.Release.GetKey(), func() *controlv1.BookingResponse { return s.bookings.release(c.Release) })}
	case *controlv1.Command_Expire:
		return Result{Expired: s.bookings.expire(c.Expire.GetBeforeMs(), int(c.Expire.GetLimit()))}
	case *controlv1.Command_Assign:
		return Result{Assignment: s.assign(c.Assign)}
	case *controlv1.Command_Member:
		s.setMember(c.Member)
	case *controlv1.Command_Routing:
		s.applyRouting(c.Routing)
		return Result{Routing: s.routing}
	case *controlv1.Command_Usage:
		s.usage.apply(c.Usage)
	}
	return Result{}
}

// Index returns the index of the last applied log entry.
func (s *State) Index() uint64 { return s.index }

// Version returns the version of the settings, or 0 before the first change.
func (s *State) Version() uint64 { return s.version }

// Tree returns the current settings.
func (s *State) Tree() *settings.Tree { return s.tree }

// ChangesSince returns the accepted changes after the given version in order.
// It reports false if the version is in the future or older than the history.
func (s *State) ChangesSince(version uint64) ([]*controlv1.VersionedChange, bool) {
	if version > s.version || s.version-version > uint64(len(s.history)) {
		return nil, false
	}
	var out []*controlv1.VersionedChange
	for _, a := range s.history[len(s.history)-int(s.version-version):] {
		out = append(out, &controlv1.VersionedChange{Version: a.version, Operations: a.operations})
	}
	return out, true
}

// assign assigns a group to an instance under the next epoch. The epoch of a
// group never decreases, even if the group was unassigned in between.
func (s *State) assign(a *controlv1.AssignGroup) *controlv1.Assignment {
	next := &controlv1.Assignment{
		Group: a.GetGroup(), Instance: a.GetInstance(), Address: a.GetAddress(),
		Epoch: s.groups[a.GetGroup()].GetEpoch() + 1,
	}
	s.groups[a.GetGroup()] = next
	s.assignedIndex[a.GetGroup()] = s.index
	return next
}

// Assignment returns the assignment of a group, or nil. The caller must not
// modify it.
func (s *State) Assignment(group string) *controlv1.Assignment { return s.groups[group] }

// Assignments returns all assignments ordered by group, without the groups
// that no instance holds. The caller must not modify the elements.
func (s *State) Assignments() []*controlv1.Assignment {
	out := make([]*controlv1.Assignment, 0, len(s.groups))
	for _, group := range sortedKeys(s.groups) {
		if a := s.groups[group]; a.Instance != "" {
			out = append(out, a)
		}
	}
	return out
}

// AssignmentsUpTo returns the assignments in force that were made at or before the
// given log index, with the order and guarantees of Assignments. It reports false
// if the state was restored from a later snapshot, which does not contain the
// index of each assignment.
func (s *State) AssignmentsUpTo(index uint64) ([]*controlv1.Assignment, bool) {
	if s.restoredIndex > index {
		return nil, false
	}
	return slices.DeleteFunc(s.Assignments(), func(a *controlv1.Assignment) bool { return s.assignedIndex[a.Group] > index }), true
}

func (s *State) setMember(m *controlv1.MemberAddress) {
	if m.GetRemoved() {
		delete(s.members, m.GetId())
		return
	}
	s.members[m.GetId()] = proto.Clone(m).(*controlv1.MemberAddress)
}

// Members returns the addresses of the members ordered by ID. The caller must
// not modify the elements.
func (s *State) Members() []*controlv1.MemberAddress {
	out := make([]*controlv1.MemberAddress, 0, len(s.members))
	for _, id := range sortedKeys(s.members) {
		out = append(out, s.members[id])
	}
	return out
}

// Member returns the address of a member, or nil.
func (s *State) Member(id uint64) *controlv1.MemberAddress { return s.members[id] }
