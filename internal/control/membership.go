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

// addMember adds a member as a learner or records its new address. It returns
// once the change is committed. A former member of the same instance, whose disk
// was lost, is removed first: it cannot return, and as long as it counts the
// members tolerate one failure less.
func (m *Member) addMember(ctx context.Context, r *controlv1.MemberRequest) (string, error) {
	if r.GetId() == 0 || r.GetAddress() == "" || r.GetInstance() == "" {
		return "", Error.New("a member needs an ID, an address and an instance name")
	}
	for _, old := range m.members() {
		if old.Instance != r.Instance || old.Id == r.Id {
			continue
		}
		if m.answers(old.Id) {
			return "", Error.New("instance %s runs as member %d already", r.Instance, old.Id)
		}
		if _, err := m.removeMember(ctx, old.Id); err != nil {
			return "", err
		}
	}
	// The address comes first, so that every leader can reach the new member.
	_, err := m.propose(ctx, &controlv1.Command{Command: &controlv1.Command_Member{Member: &controlv1.MemberAddress{Id: r.Id, Address: r.Address, Instance: r.Instance}}})
	if err != nil {
		return "", err
	}
	if m.status.Load().Members.Has(r.Id) {
		return "the address of the member was recorded", nil
	}
	err = m.changeMembership(ctx, consensus.MembershipChange{Kind: consensus.AddLearner, ID: r.Id}, func(s consensus.Membership) bool { return s.Has(r.Id) })
	if err != nil {
		return "", err
	}
	return "the member was added as a learner and becomes a voter once it has caught up", nil
}

// removeMember removes a member for good. The leader hands over before it is
// removed, so that the caller must ask the next one.
func (m *Member) removeMember(ctx context.Context, id uint64) (string, error) {
	if id == m.id() {
		m.handOver(ctx)
		return "", fmt.Errorf("%w: the leader has handed over and can be removed by the next one", ErrNotLeader)
	}
	if m.status.Load().Members.Has(id) {
		err := m.changeMembership(ctx, consensus.MembershipChange{Kind: consensus.RemoveMember, ID: id}, func(s consensus.Membership) bool { return !s.Has(id) })
		if err != nil {
			return "", err
		}
	}
	_, err := m.propose(ctx, &controlv1.Command{Command: &controlv1.Command_Member{Member: &controlv1.MemberAddress{Id: id, Removed: true}}})
	return "the member was removed", err
}

// changeMembership proposes a change and waits until it is committed.
func (m *Member) changeMembership(ctx context.Context, c consensus.MembershipChange, done func(consensus.Membership) bool) error {
	ctx, cancel := context.WithTimeout(ctx, membershipWaitTimeout)
	defer cancel()
	proposed := uint64(0)
	for {
		err := m.do(ctx, func(n *consensus.Node) error {
			s := n.Status()
			if proposed != 0 {
				// The change is in force from its entry on, committed or not.
				if s.Role != consensus.Leader || s.Commit < proposed {
					return consensus.ErrChangePending
				}
				return nil
			}
			if err := n.ProposeMembership(c); err != nil {
				return err
			}
			proposed = n.Status().Last
			return consensus.ErrChangePending
		})
		switch {
		case err == nil && done(m.status.Load().Members):
			m.options.Events.Emit(eventMemberChanged, event.F("member", c.ID), event.F("change", changeName(c.Kind)))
			return nil
		case err != nil && !errors.Is(err, consensus.ErrChangePending):
			return err
		}
		if err := kernel.Sleep(ctx, m.options.Tick); err != nil {
			return fmt.Errorf("%w: %w", ErrUnknown, err)
		}
	}
}

func changeName(k consensus.ChangeKind) string {
	return map[consensus.ChangeKind]string{
		consensus.AddLearner: "added", consensus.PromoteLearner: "promoted", consensus.RemoveMember: "removed",
	}[k]
}

// answers reports whether a member answered this leader recently.
func (m *Member) answers(id uint64) bool {
	return slices.ContainsFunc(m.status.Load().Progress, func(p consensus.Progress) bool { return p.ID == id && p.Active })
}

// promote makes voters of learners that have caught up, up to maxVoters.
func (m *Member) promote(ctx context.Context) {
	if len(m.status.Load().Members.Voters) >= maxVoters {
		return
	}
	for _, p := range m.status.Load().Progress {
		if !p.Learner || !p.Active || p.Match == 0 {
			continue
		}
		id, wait := m.lostVoter(p)
		if wait {
			continue
		}
		if id != 0 {
			m.options.Events.Emit(eventLostVoter, event.F("lost", id), event.F("successor", p.ID))
			if _, err := m.removeMember(ctx, id); err != nil {
				return
			}
		}
		err := m.changeMembership(ctx, consensus.MembershipChange{Kind: consensus.PromoteLearner, ID: p.ID}, func(s consensus.Membership) bool { return s.IsVoter(p.ID) })
		if err != nil && !errors.Is(err, consensus.ErrNotCaughtUp) {
			return
		}
	}
}

// lostVoter returns a voter whose place a learner takes, or 0. It asks to wait
// while a voter may just be restarting, and until the learner has caught up, so
// that the cluster never counts on a member without the log.
func (m *Member) lostVoter(successor consensus.Progress) (id uint64, wait bool) {
	if !m.options.Replace {
		return 0, false
	}
	// A new leader takes all voters as active until it has missed their answers.
	m.live.mu.Lock()
	warm := m.live.warm(time.Now())
	m.live.mu.Unlock()
	if len(m.lost) == 0 {
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
	for id, since := range m.lost {
		if time.Since(since) >= lostVoterAfter {
			return id, false
		}
	}
	return 0, true
}

// watchVoters notes since when voters do not answer this leader.
func (m *Member) watchVoters(now time.Time) {
	gone := make(map[uint64]time.Time)
	for _, p := range m.status.Load().Progress {
		if p.Learner || p.Active {
			continue
		}
		gone[p.ID] = now
		if since, ok := m.lost[p.ID]; ok {
			gone[p.ID] = since
		}
	}
	m.lost = gone
}

// handOver makes the voter with the longest log the leader, so that a planned
// stop costs no election timeout.
func (m *Member) handOver(ctx context.Context) {
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
