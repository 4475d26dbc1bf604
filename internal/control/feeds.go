package control

import (
	"context"
	"slices"

	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// Feed answers the poll of an instance. Only a leader within its lease answers by
// itself; a follower asks it first, see Prove.
//
// Why FreshFor bounds the age of settings in force: the instance counts it from
// the moment ts at which it sent the poll. The lease is checked after the
// answer was read from the state, at a time tb >= ts. A change that the answer
// lacks was not acknowledged by this leader before tb, because a change is
// applied here before it is acknowledged; and no other leader acknowledged any
// before tb, because none is elected within the lease. So the change was
// accepted after ts, and the answer ends before FreshFor has passed since then,
// however long the answer was on its way and whichever process paused. The
// same holds for assignments with GroupLease: see liveness.replaceable.
//
// A follower's answer is the leader's answer of that moment tb, filled in from
// another copy of the state:
//
//   - The poll reaches the follower before the request to the leader is sent, so
//     that ts <= tb again. No proof is used for a poll that arrived after it was
//     asked for; the instance's own count from ts covers all waiting, and no
//     clock of the follower takes part.
//   - The proof carries the index applied at the leader before the lease was
//     checked. The follower's state has applied it, so that the answer lacks no
//     change that the leader's would have. Later changes do no harm.
//   - The leader records the polls before it reads what it is revoking, as for
//     its own answers: an instance whose lease is renewed by the answer is one
//     that the leader heard at a time in [ts, tb], from which it counts holdTime.
//   - Assignments made after the index are left out, although the follower may
//     know them: the leader did not decide at tb that they may be acted upon.
//   - The answer may be sent after the term of the proof has ended. Leases are
//     counted from ts <= tb, which lies within that term, and a later leader waits
//     holdTime from the beginning of its own.
func (m *Member) Feed(ctx context.Context, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	m.metrics.feeds.Inc(1)
	term, ok := m.lease()
	if !ok {
		return m.feedByProof(ctx, r)
	}
	p := m.prove(term, []*controlv1.FeedRequest{r}, 0)
	out, err := m.answer(ctx, r, p)
	if err == nil && !m.held(term) {
		return nil, errNoLeader()
	}
	return out, err
}

// answer reads the answer to a poll from a state that is as new as the proof.
func (m *Member) answer(ctx context.Context, r *controlv1.FeedRequest, p *controlv1.ProveResponse) (*controlv1.FeedResponse, error) {
	if err := m.caughtUp(ctx, p.Index, r.GetSettingsVersion()); err != nil {
		return nil, err
	}
	out := &controlv1.FeedResponse{FreshForMs: uint32(feed.FreshFor.Milliseconds()), Entries: p.Entries, Groups: p.Groups}
	for _, a := range p.Resign {
		if a.Instance == r.GetSelf().GetInstance() {
			out.Resign = append(out.Resign, a)
		}
	}
	revoking := make(map[string]uint64, len(p.Revoking))
	for _, a := range p.Revoking {
		revoking[a.Group] = a.Epoch
	}
	derived := m.derive()
	m.mu.RLock()
	out.SettingsVersion = m.state.Version()
	changes, ok := m.state.ChangesSince(r.GetSettingsVersion())
	assignments, known := m.state.AssignedBy(p.Index)
	members := m.state.Members()
	routing := m.state.Routing()
	m.mu.RUnlock()
	if routing.GetVersion() > r.GetRoutingVersion() {
		out.Routing = routing
	}
	if !known {
		return nil, errNoLeader()
	}
	if derived.version != out.SettingsVersion {
		derived = m.derive()
	}
	m.fillSettings(out, derived, changes, ok && r.GetSettingsVersion() > 0)
	out.Assignments = slices.DeleteFunc(assignments, func(a *controlv1.Assignment) bool {
		epoch, revoked := revoking[a.Group]
		return !derived.wanted[a.Group] || revoked && epoch == a.Epoch
	})
	for _, a := range members {
		out.Members = append(out.Members, a.Address)
	}
	if r.GetAssignmentsVersion() == feed.DirectoryVersion(out, p.EntriesVersion) {
		out.Assignments, out.Entries, out.Members = nil, nil, nil
	}
	return out, nil
}

// maxDelta bounds the changes of one answer; a receiver that is further behind
// gets the whole tree, which costs less to apply.
const maxDelta = 100

func (m *Member) fillSettings(out *controlv1.FeedResponse, d *derived, changes []*controlv1.VersionedChange, delta bool) {
	if delta && len(changes) <= maxDelta {
		out.Changes = changes
		return
	}
	out.PackedSnapshot = d.packed()
	out.SettingsVersion = d.version
}
