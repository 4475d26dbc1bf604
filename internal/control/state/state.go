// Package state is the replicated state of the control members: settings,
// booking records, assignments of scheduler groups and addresses of members.
// It is pure: it changes only by Apply, reads no clock and does no I/O, so that
// the same commands in the same order give the same state on every member.
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

// ErrCorrupt is returned by Restore for bytes that Snapshot did not write.
var ErrCorrupt = errors.New("snapshot is corrupt")

const (
	// KeepResults is the number of changes whose results are remembered. At
	// 870 changes a day this is 11 days, longer than any resend.
	KeepResults = 10_000
	// KeepHistory is the number of accepted changes kept for deltas and for
	// the summaries of conflicts.
	KeepHistory = 1_000
	// MaxRecords bounds the booking records of one customer, tombstones not
	// counted, so that one customer cannot exhaust the members' memory.
	MaxRecords = 100_000
	// maxRefused bounds the attempts of one key that are remembered after they
	// were answered STARTED.
	maxRefused = 64
	// maxConflicts and maxTouched bound the summary of a conflict.
	maxConflicts = 20
	maxTouched   = 20
)

// Result is the answer of one command; only the field that fits the command is set.
type Result struct {
	Change     *controlv1.ChangeResult
	Booking    *controlv1.BookingResponse
	Assignment *controlv1.Assignment
	// Routing is the routing table in force afterwards.
	Routing *controlv1.RoutingTable
	// Expired is the number of records that became tombstones or were dropped.
	Expired int
}

// accepted is one accepted change of the history.
type accepted struct {
	version    uint64
	changeID   string
	actor      string
	operations []*controlv1.Operation
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	index   uint64
	version uint64
	tree    *settings.Tree
	// history holds the latest accepted changes, oldest first, without gaps.
	history []accepted
	results results

	bookings bookings
	groups   map[string]*controlv1.Assignment
	// assignedAt holds the index at which a group was assigned, and restored the
	// index of the snapshot that the state began with. They are not a part of
	// snapshots.
	assignedAt map[string]uint64
	restored   uint64
	members    map[uint64]*controlv1.MemberAddress
	// routing is the routing table in force, or nil; see applyRouting.
	routing *controlv1.RoutingTable
}

// New returns the empty state.
func New() *State {
	return &State{
		tree:       settings.New(),
		results:    newResults(),
		bookings:   newBookings(),
		groups:     make(map[string]*controlv1.Assignment),
		assignedAt: make(map[string]uint64),
		members:    make(map[uint64]*controlv1.MemberAddress),
	}
}

// Apply carries out the committed command at index. A nil command, which
// stands for an entry without effect, only moves the index.
func (s *State) Apply(index uint64, cmd *controlv1.Command) Result {
	s.index = index
	switch c := cmd.GetCommand().(type) {
	case *controlv1.Command_Change:
		return Result{Change: s.applyChange(c.Change)}
	case *controlv1.Command_Begin:
		return Result{Booking: s.bookings.begin(c.Begin)}
	case *controlv1.Command_Finish:
		return Result{Booking: s.bookings.finish(c.Finish)}
	case *controlv1.Command_Release:
		return Result{Booking: s.bookings.release(c.Release)}
	case *controlv1.Command_Expire:
		return Result{Expired: s.bookings.expire(c.Expire.GetBeforeMs(), int(c.Expire.GetLimit()))}
	case *controlv1.Command_Assign:
		return Result{Assignment: s.assign(c.Assign)}
	case *controlv1.Command_Member:
		s.setMember(c.Member)
	case *controlv1.Command_Routing:
		s.applyRouting(c.Routing)
		return Result{Routing: s.routing}
	}
	return Result{}
}

// Index returns the index of the last applied entry.
func (s *State) Index() uint64 { return s.index }

// Version returns the version of the settings; 0 before the first change.
func (s *State) Version() uint64 { return s.version }

// Tree returns the present settings.
func (s *State) Tree() *settings.Tree { return s.tree }

// ChangesSince returns the accepted changes after a version in order. It
// reports false where the history does not reach back so far.
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

// assign gives a group to an instance under the next epoch. Epochs never fall,
// also not for a group that was unassigned in between.
func (s *State) assign(a *controlv1.AssignGroup) *controlv1.Assignment {
	next := &controlv1.Assignment{
		Group: a.GetGroup(), Instance: a.GetInstance(), Address: a.GetAddress(),
		Epoch: s.groups[a.GetGroup()].GetEpoch() + 1,
	}
	s.groups[a.GetGroup()] = next
	s.assignedAt[a.GetGroup()] = s.index
	return next
}

// Assignment returns the assignment of a group, or nil. It must not be changed.
func (s *State) Assignment(group string) *controlv1.Assignment { return s.groups[group] }

// Assignments returns all assignments by group, without groups that are held
// by nobody. The elements must not be changed.
func (s *State) Assignments() []*controlv1.Assignment {
	out := make([]*controlv1.Assignment, 0, len(s.groups))
	for _, group := range sortedKeys(s.groups) {
		if a := s.groups[group]; a.Instance != "" {
			out = append(out, a)
		}
	}
	return out
}

// AssignedBy returns the assignments that were made up to an index and stand,
// in the order and with the promises of Assignments. It reports false where a
// later snapshot hides when groups were assigned.
func (s *State) AssignedBy(index uint64) ([]*controlv1.Assignment, bool) {
	if s.restored > index {
		return nil, false
	}
	return slices.DeleteFunc(s.Assignments(), func(a *controlv1.Assignment) bool { return s.assignedAt[a.Group] > index }), true
}

func (s *State) setMember(m *controlv1.MemberAddress) {
	if m.GetRemoved() {
		delete(s.members, m.GetId())
		return
	}
	s.members[m.GetId()] = proto.Clone(m).(*controlv1.MemberAddress)
}

// Members returns the addresses of the members by ID. The elements must not be
// changed.
func (s *State) Members() []*controlv1.MemberAddress {
	out := make([]*controlv1.MemberAddress, 0, len(s.members))
	for _, id := range sortedKeys(s.members) {
		out = append(out, s.members[id])
	}
	return out
}

// Member returns the address of a member, or nil.
func (s *State) Member(id uint64) *controlv1.MemberAddress { return s.members[id] }
