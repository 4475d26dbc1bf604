package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// A planned replacement adds the successor first, so that for a while there are more
// voters than the cluster needs. A voter of such a cluster that stops gives up its vote, and
// the leader removes one that is lost without having done so: while it counted towards the
// quorum, the next loss could leave no majority. Unlike voterToReplace, this needs no
// further successor. A member that was removed joins again as a new one when it returns.

const (
	// minVoters is the number of voters below which no voter is given up without a
	// successor: three tolerate the loss of one.
	minVoters = 3
	// surplusVoterTimeout is how long a voter must have been unresponsive before the
	// leader removes it without a successor.
	surplusVoterTimeout = time.Second
	// leaveTimeout bounds how long a member that stops asks the leader to be removed.
	leaveTimeout = 2 * time.Second
)

// errVoterNeeded means that the cluster has no voter to spare.
var errVoterNeeded = errors.New("the cluster has no voter to spare")

// hasSurplus returns errVoterNeeded if the removal of a voter would leave fewer than
// minVoters.
func hasSurplus(s consensus.Membership) error {
	if len(s.Voters) <= minVoters {
		return errVoterNeeded
	}
	return nil
}

// surplusVoter returns a voter that is lost and whose removal makes the cluster tolerate
// more further losses, or prepares it: with an even number of voters one fewer needs a
// smaller majority, and with an odd number two fewer do. It returns 0 if there is none.
func surplusVoter(s consensus.Membership, unresponsiveSince map[uint64]time.Time, now time.Time) uint64 {
	lost, longest := uint64(0), time.Duration(0)
	count := 0
	for id, since := range unresponsiveSince {
		if age := now.Sub(since); s.IsVoter(id) && age >= surplusVoterTimeout {
			count++
			if lost == 0 || age > longest || age == longest && id < lost {
				lost, longest = id, age
			}
		}
	}
	even := len(s.Voters)%2 == 0
	if hasSurplus(s) != nil || !even && count < 2 {
		return 0
	}
	return lost
}

// removeSurplusVoter removes one lost voter that surplusVoter names. Only the leader loop
// calls it.
func (m *Member) removeSurplusVoter(ctx context.Context) {
	if !m.options.ReplaceLostVoters {
		return
	}
	members := m.status.Load().Members
	id := surplusVoter(members, m.unresponsiveSince, m.now())
	if id == 0 {
		return
	}
	_, err := m.removeMemberIf(ctx, id, hasSurplus)
	m.options.Events.Emit(eventSurplusRemoved, event.F("lost", id), event.F("voters", len(members.Voters)), event.F("error", err))
}

// leave asks the leader to remove this member, which is about to stop, if the cluster has
// a voter to spare.
func (m *Member) leave(ctx context.Context) {
	if !m.options.ReplaceLostVoters {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for {
		s := m.status.Load()
		if s.Removed || !s.Members.IsVoter(s.ID) || hasSurplus(s.Members) != nil {
			return
		}
		// This member may have become the leader since Stop transferred its leadership.
		m.transferLeadership(ctx)
		if address := m.leaderAddress(); address != "" {
			r, err := m.options.Network.Member(ctx, address, &controlv1.MemberRequest{Id: s.ID, Address: m.options.Address, Instance: m.options.Instance, Remove: true})
			if err == nil && r.GetLeaderAddress() == "" {
				m.options.Events.Emit(eventLeft, event.F("member", s.ID), event.F("voters", len(s.Members.Voters)))
				return
			}
		}
		if kernel.Sleep(ctx, m.options.Tick) != nil {
			m.options.Events.Emit(eventLeaveFailed, event.F("member", s.ID), event.F("voters", len(s.Members.Voters)))
			return
		}
	}
}

// removeLeaving removes a member that asks for it before it stops. The address tells
// whether the request is the member's own.
func (m *Member) removeLeaving(ctx context.Context, r *controlv1.MemberRequest) (string, error) {
	own := func(known *controlv1.MemberAddress) bool {
		return known.Id == r.GetId() && known.Address == r.GetAddress()
	}
	if !slices.ContainsFunc(m.replicatedMembers(), own) {
		return "", Error.New("no member %d with the address %s is known", r.GetId(), r.GetAddress())
	}
	return m.removeMemberIf(ctx, r.GetId(), hasSurplus)
}
