package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// addMember adds a member as a learner, or records its new address if it is a
// member already. It returns once the change is committed. If the instance had
// another member ID before, whose data was lost, that former member is removed
// first: it cannot return, and while it counts towards the quorum the cluster
// tolerates one failure less.
func (m *Member) addMember(ctx context.Context, r *controlv1.MemberRequest) (string, error) {
	if r.GetId() == 0 || r.GetAddress() == "" || r.GetInstance() == "" {
		return "", Error.New("a member needs an ID, an address and an instance name")
	}
	if removed, err := m.isRemoved(ctx, r.Id); err != nil {
		return "", err
	} else if removed {
		return "", consensus.ErrRemovedID
	}
	const recorded = "the address of the member was recorded"
	// A recorded address alone does not make a member: an earlier call may have failed
	// between the two steps.
	for _, known := range m.replicatedMembers() {
		if known.Id == r.Id && known.Address == r.Address && known.Instance == r.Instance && m.status.Load().Members.Has(r.Id) {
			return recorded, nil
		}
	}
	for _, old := range m.replicatedMembers() {
		if old.Instance != r.Instance || old.Id == r.Id {
			continue
		}
		if m.isActive(old.Id) {
			return "", Error.New("instance %s runs as member %d already", r.Instance, old.Id)
		}
		if _, err := m.removeMember(ctx, old.Id); err != nil {
			return "", err
		}
	}
	// The address is replicated before the membership change, so that every later
	// leader can reach the new member.
	_, err := m.propose(ctx, &controlv1.Command{Command: &controlv1.Command_Member{Member: &controlv1.MemberAddress{Id: r.Id, Address: r.Address, Instance: r.Instance}}})
	if err != nil {
		return "", err
	}
	if m.status.Load().Members.Has(r.Id) {
		return recorded, nil
	}
	err = m.changeMembership(ctx, consensus.MembershipChange{Kind: consensus.AddLearner, ID: r.Id}, func(s consensus.Membership) bool { return s.Has(r.Id) })
	if err != nil {
		return "", err
	}
	return "the member was added as a learner and becomes a voter once it has caught up", nil
}

// isRemoved reports whether the removal of a member is committed.
func (m *Member) isRemoved(ctx context.Context, id uint64) (removed bool, err error) {
	err = m.do(ctx, func(n *consensus.Node) error {
		committed, err := n.MakeSnapshot(n.Status().Applied, nil)
		removed = committed.Members.IsRemoved(id)
		return err
	})
	return removed, err
}

// removeMember removes a member permanently. A leader that is to be removed
// transfers its leadership and returns ErrNotLeader, so that the caller repeats
// the request at the next leader.
func (m *Member) removeMember(ctx context.Context, id uint64) (string, error) {
	return m.removeMemberIf(ctx, id, func(consensus.Status) error { return nil })
}

// removeMemberIf is removeMember with a condition on the status of the leader at the moment of
// the change.
func (m *Member) removeMemberIf(ctx context.Context, id uint64, allowed func(consensus.Status) error) (string, error) {
	if id == m.id() {
		m.transferLeadership(ctx)
		return "", fmt.Errorf("%w: the leader has handed over and can be removed by the next one", ErrNotLeader)
	}
	if m.status.Load().Members.Has(id) {
		err := m.changeMembershipIf(ctx, consensus.MembershipChange{Kind: consensus.RemoveMember, ID: id}, allowed, func(s consensus.Membership) bool { return !s.Has(id) })
		if err != nil {
			return "", err
		}
	}
	_, err := m.propose(ctx, &controlv1.Command{Command: &controlv1.Command_Member{Member: &controlv1.MemberAddress{Id: id, Removed: true}}})
	return "the member was removed", err
}

// changeMembership proposes a change and waits until it is committed and done
// reports that the membership contains it.
func (m *Member) changeMembership(ctx context.Context, c consensus.MembershipChange, done func(consensus.Membership) bool) error {
	return m.changeMembershipIf(ctx, c, func(consensus.Status) error { return nil }, done)
}

// changeMembershipIf is changeMembership with a condition on the status of the leader at the
// moment of the change.
func (m *Member) changeMembershipIf(ctx context.Context, c consensus.MembershipChange, allowed func(consensus.Status) error, done func(consensus.Membership) bool) error {
	ctx, cancel := context.WithTimeout(ctx, membershipWaitTimeout)
	defer cancel()
	proposed := uint64(0)
	for {
		err := m.do(ctx, func(n *consensus.Node) error {
			s := n.Status()
			if proposed != 0 {
				// The node uses the new membership as soon as the entry is
				// appended, so the commit index has to be checked separately.
				if s.Role != consensus.Leader || s.Commit < proposed {
					return consensus.ErrChangePending
				}
				return nil
			}
			if err := allowed(s); err != nil {
				return err
			}
			if err := n.ProposeMembership(c); err != nil {
				return err
			}
			proposed = n.Status().Last
			return consensus.ErrChangePending
		})
		switch {
		case err == nil && done(m.status.Load().Members):
			m.options.Events.Emit(eventMemberChanged, event.F("member", c.ID), event.F("change", changeDescription(c.Kind)))
			return nil
		case err != nil && !errors.Is(err, consensus.ErrChangePending):
			return err
		}
		if err := kernel.Sleep(ctx, m.options.Tick); err != nil {
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	}
}

// changeDescription describes the kind of a membership change in an event.
func changeDescription(k consensus.ChangeKind) string {
	return map[consensus.ChangeKind]string{
		consensus.AddLearner: "added", consensus.PromoteLearner: "promoted", consensus.RemoveMember: "removed",
	}[k]
}

// isActive reports whether a member has responded to this leader recently.
func (m *Member) isActive(id uint64) bool {
	return slices.ContainsFunc(m.status.Load().Progress, func(p consensus.Progress) bool { return p.ID == id && p.Active })
}

// promoteLearners promotes learners that have caught up to voters, up to maxVoters.
// With Options.ReplaceLostVoters, a learner may replace a lost voter.
func (m *Member) promoteLearners(ctx context.Context) {
	for _, p := range m.status.Load().Progress {
		if !p.Learner || !p.Active || p.Match == 0 {
			continue
		}
		lost, wait := m.voterToReplace(p)
		if wait {
			continue
		}
		if err := m.promote(ctx, p.ID, lost); err != nil && !errors.Is(err, consensus.ErrNotCaughtUp) {
			return
		}
	}
}

// promote makes a learner a voter, in place of a lost voter unless lost is 0. The successor
// votes before the lost voter is removed: the removal could otherwise leave two voters that
// both have to be up, although the lost one may return, for instance when its disk has room.
// Only a cluster of maxVoters removes the lost one first.
func (m *Member) promote(ctx context.Context, id, lost uint64) error {
	isFull := len(m.status.Load().Members.Voters) >= maxVoters
	if isFull && lost == 0 {
		return nil
	}
	if lost != 0 {
		m.options.Events.Emit(eventVoterReplaced, event.F("lost", lost), event.F("successor", id))
	}
	if isFull {
		if err := m.removeLost(ctx, lost); err != nil {
			return err
		}
	}
	err := m.changeMembership(ctx, consensus.MembershipChange{Kind: consensus.PromoteLearner, ID: id}, func(s consensus.Membership) bool { return s.IsVoter(id) })
	if err != nil || lost == 0 || isFull {
		return err
	}
	if err := m.removeLost(ctx, lost); !errors.Is(err, errVoterNeeded) {
		return err // removeSurplusVoter tries again.
	}
	return nil
}

// removeLost removes a lost voter unless mayRemoveLost forbids it.
func (m *Member) removeLost(ctx context.Context, id uint64) error {
	_, err := m.removeMemberIf(ctx, id, func(s consensus.Status) error { return mayRemoveLost(s, id) })
	return err
}

// mayRemoveLost returns errVoterNeeded if a voter that was lost has returned, or if its
// removal would leave fewer than minVoters.
func mayRemoveLost(s consensus.Status, id uint64) error {
	if slices.ContainsFunc(s.Progress, func(p consensus.Progress) bool { return p.ID == id && p.Active }) {
		return errVoterNeeded
	}
	return hasSurplus(s)
}

// voterToReplace returns the ID of a lost voter that the given learner replaces, or 0
// if the learner can be promoted without a replacement. It reports wait as long
// as an unresponsive voter may only be restarting, and until the learner has
// caught up, so that the quorum never depends on a member without the log.
func (m *Member) voterToReplace(successor consensus.Progress) (id uint64, wait bool) {
	if !m.options.ReplaceLostVoters {
		return 0, false
	}
	// A new leader regards all voters as active until their responses have been
	// missing for some time, so it waits before it promotes.
	m.live.mu.Lock()
	warm := m.live.warm(m.now())
	m.live.mu.Unlock()
	if len(m.unresponsiveSince) == 0 {
		return 0, !warm
	}
	var own uint64
	for _, p := range m.status.Load().Progress {
		if p.ID == m.id() {
			own = p.Match
		}
	}
	if successor.Match+maxLearnerLag < own {
		return 0, true
	}
	for id, since := range m.unresponsiveSince {
		if m.now().Sub(since) >= m.lostVoterTimeout() {
			return id, false
		}
	}
	return 0, true
}

// lostVoterTimeout returns how long a voter must have been unresponsive before a successor
// replaces it. A voter that was only restarted meanwhile joins again as a new member.
func (m *Member) lostVoterTimeout() time.Duration { return m.options.CatchUp / lostVoterParts }

// trackUnresponsiveVoters updates the set of voters that do not respond to this
// leader. Voters that were unresponsive before keep their time. The leader before this one has
// been unresponsive since its last message: its silence has led to the election.
func (m *Member) trackUnresponsiveVoters(now time.Time) {
	unresponsive := make(map[uint64]time.Time)
	for _, p := range m.status.Load().Progress {
		if p.Learner || p.Active {
			continue
		}
		unresponsive[p.ID] = now
		if former := m.formerLeader.Load(); former != nil && former.id == p.ID {
			unresponsive[p.ID] = m.tickZero.Add(former.lastMessage)
		}
		if since, ok := m.unresponsiveSince[p.ID]; ok {
			unresponsive[p.ID] = since
		}
	}
	m.unresponsiveSince = unresponsive
}

// transferLeadership transfers leadership to the active voter with the longest log,
// so that a planned stop of the leader does not cost an election timeout. It waits
// until this member is no longer the leader, for at most the minimum election
// timeout.
func (m *Member) transferLeadership(ctx context.Context) {
	if _, ok := m.lease(); !ok {
		return
	}
	var best consensus.Progress
	for _, p := range m.status.Load().Progress {
		if p.ID != m.id() && !p.Learner && p.Active && p.Match >= best.Match {
			best = p
		}
	}
	if best.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.options.ElectionTicks)*m.options.Tick)
	defer cancel()
	if err := m.do(ctx, func(n *consensus.Node) error { return n.TransferLeadership(best.ID) }); err != nil {
		return
	}
	for m.status.Load().Role == consensus.Leader {
		if kernel.Sleep(ctx, m.options.Tick) != nil {
			return
		}
	}
}
