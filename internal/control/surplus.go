package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"

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
	// pairLossFactor makes the removal of one of two lost voters wait longer than two restarts at
	// the same time take.
	pairLossFactor = 3
	// leaveTimeout bounds how long a member that stops asks the leader to be removed.
	leaveTimeout = 2 * time.Second
)

// errVoterNeeded means that the cluster has no voter to spare.
var errVoterNeeded = errors.New("the cluster has no voter to spare")

// hasSurplus returns errVoterNeeded if the removal of a voter would leave fewer than
// minVoters.
func hasSurplus(s consensus.Status) error {
	if len(s.Members.Voters) <= minVoters {
		return errVoterNeeded
	}
	return nil
}

// mayLeave returns errVoterNeeded unless a voter that stops should leave. With an even number
// of voters one fewer needs a smaller majority. With an odd number that takes two, so that
// it stays unless another voter is lost: the restart of a single one changes nothing.
func mayLeave(s consensus.Status, id uint64) error {
	otherLost := slices.ContainsFunc(s.Progress, func(p consensus.Progress) bool { return p.ID != id && !p.Learner && !p.Active })
	if len(s.Members.Voters)%2 != 0 && !otherLost {
		return errVoterNeeded
	}
	return hasSurplus(s)
}

// surplusVoter returns a voter that is lost and whose removal makes the cluster tolerate
// more further losses: with an even number of voters, or as the first of two that are lost
// with an odd number. A voter is lost after it has been unresponsive for the given time, one of
// a pair after pairLossFactor times as long. surplusVoter returns 0 if there is none.
func surplusVoter(s consensus.Status, unresponsiveSince map[uint64]time.Time, now time.Time, timeout time.Duration) uint64 {
	needed := 1
	if len(s.Members.Voters)%2 != 0 {
		needed, timeout = 2, pairLossFactor*timeout
	}
	lost, longest, count := uint64(0), time.Duration(0), 0
	for id, since := range unresponsiveSince {
		if age := now.Sub(since); s.Members.IsVoter(id) && age >= timeout {
			count++
			if lost == 0 || age > longest || age == longest && id < lost {
				lost, longest = id, age
			}
		}
	}
	if hasSurplus(s) != nil || count < needed {
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
	s := m.status.Load()
	id := surplusVoter(*s, m.unresponsiveSince, m.now(), m.lostVoterTimeout())
	if id == 0 {
		return
	}
	_, err := m.removeMemberIf(ctx, id, hasSurplus)
	m.options.Events.Emit(eventSurplusRemoved, event.F("lost", id), event.F("voters", len(s.Members.Voters)), event.F("error", err))
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
		if s.Removed || !s.Members.IsVoter(s.ID) || hasSurplus(*s) != nil {
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
			if connect.CodeOf(err) == connect.CodeFailedPrecondition {
				return // The leader knows that the cluster needs this voter.
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
	return m.removeMemberIf(ctx, r.GetId(), func(s consensus.Status) error { return mayLeave(s, r.GetId()) })
}
