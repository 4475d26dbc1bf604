package control

import (
	"context"
	"slices"

	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// Feed serves the poll of an instance. Only a leader within its lease responds
// by itself; a follower first requests a proof from the leader, see Prove.
//
// FreshFor bounds the age of the settings in force on an instance, for the
// following reason. The instance counts FreshFor from the time ts at which it
// sent the poll. The leader checks its lease after it has read the response from
// its state, at a time tb >= ts. If the response lacks a change, this leader did
// not acknowledge the change before tb, because a change is applied here before
// it is acknowledged; and no other leader acknowledged it before tb, because none
// is elected within the lease. So the change was accepted after ts, and the
// response expires before FreshFor has passed since the acceptance, however long
// the response was in transit and whichever process was paused. The same holds
// for assignments with GroupLease: see liveness.replaceable.
//
// The response of a follower is the response of the leader at time tb, filled in
// from another copy of the state:
//
//   - The poll reaches the follower before the follower sends its request to the
//     leader, so that ts <= tb holds again. A poll never uses a proof that was
//     requested before the poll arrived. The time that the instance counts from
//     ts covers all waiting, and no clock of the follower is involved.
//   - The proof carries the index that the leader had applied before it checked
//     its lease. The follower has applied the log up to this index when it reads
//     the response, so that the response lacks no change that the response of the
//     leader would contain. It may contain later changes, which is harmless.
//   - The leader records the polls before it reads which groups it is revoking,
//     as it does for its own responses. If a response renews the lease of an
//     instance, the leader thus received the poll of this instance at a time in
//     [ts, tb], from which it counts formerLeaseWait.
//   - Assignments made after the index are left out, although the follower may
//     know them: the leader did not decide at tb that an instance may act on
//     them.
//   - The response may be sent after the term of the proof has ended. The
//     instance counts its leases from ts <= tb, where tb lies within that term,
//     and a later leader waits formerLeaseWait from the start of its own term.
//
// A member that cannot respond in this way still hands out a routing table that is newer than
// that of the instance, with FreshForMs 0. What it has applied is committed, so that the
// instance may use it; only that there is no newer one is not known.
func (m *Member) Feed(ctx context.Context, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	m.metrics.feedPolls.Inc(1)
	out, err := m.provenFeed(ctx, r)
	if err == nil {
		return out, nil
	}
	m.mu.RLock()
	table := m.state.Routing()
	m.mu.RUnlock()
	if table.GetVersion() <= r.GetRoutingVersion() {
		return nil, err
	}
	return &controlv1.FeedResponse{Routing: table}, nil
}

// provenFeed serves a poll with a state that is as new as that of the leader.
func (m *Member) provenFeed(ctx context.Context, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	term, ok := m.lease()
	if !ok {
		return m.feedAsFollower(ctx, r)
	}
	p := m.buildProof(term, []*controlv1.FeedRequest{r}, 0)
	out, err := m.buildFeedResponse(ctx, r, p)
	if err == nil && !m.holdsLease(term) {
		return nil, errNoLeader()
	}
	return out, err
}

// buildFeedResponse builds the response to a poll from a state that is at least
// as new as the proof.
func (m *Member) buildFeedResponse(ctx context.Context, r *controlv1.FeedRequest, p *controlv1.ProveResponse) (*controlv1.FeedResponse, error) {
	if err := m.waitCaughtUp(ctx, p.Index, r.GetSettingsVersion()); err != nil {
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
	derived := m.deriveSettings()
	m.mu.RLock()
	out.SettingsVersion = m.state.Version()
	changes, deltaKnown := m.state.ChangesSince(r.GetSettingsVersion())
	assignments, assignmentsKnown := m.state.AssignmentsUpTo(p.Index)
	members := m.state.Members()
	routing := m.state.Routing()
	m.mu.RUnlock()
	if routing.GetVersion() > r.GetRoutingVersion() {
		out.Routing = routing
	}
	if !assignmentsKnown {
		return nil, errNoLeader()
	}
	if derived.version != out.SettingsVersion {
		derived = m.deriveSettings()
	}
	m.fillSettings(out, derived, changes, deltaKnown && r.GetSettingsVersion() > 0)
	out.Assignments = slices.DeleteFunc(assignments, func(a *controlv1.Assignment) bool {
		epoch, revoked := revoking[a.Group]
		return !derived.configuredGroups[a.Group] || revoked && epoch == a.Epoch
	})
	for _, a := range members {
		out.Members = append(out.Members, a.Address)
	}
	if r.GetAssignmentsVersion() == feed.DirectoryVersion(out, p.EntriesVersion) {
		out.Assignments, out.Entries, out.Members = nil, nil, nil
	}
	return out, nil
}

// maxDeltaChanges bounds the changes in one response. A receiver that lacks more
// of them gets the whole tree, which costs less to apply.
const maxDeltaChanges = 100

// fillSettings adds either the changes since the receiver's version or the whole
// tree.
func (m *Member) fillSettings(out *controlv1.FeedResponse, d *derivedSettings, changes []*controlv1.VersionedChange, delta bool) {
	if delta && len(changes) <= maxDeltaChanges {
		out.Changes = changes
		return
	}
	out.PackedSnapshot = d.packed()
	out.SettingsVersion = d.version
}
