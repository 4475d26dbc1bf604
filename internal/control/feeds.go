package control

import (
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// Feed answers the poll of an instance. Only a leader within its lease answers.
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
func (m *Member) Feed(r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	m.metrics.feeds.Inc(1)
	term, ok := m.lease()
	if !ok {
		a, err := m.redirect()
		return &controlv1.FeedResponse{LeaderAddress: a}, err
	}
	now := time.Now()
	revoking := m.live.poll(term, now, r)
	entries, entriesVersion := m.live.entries(now)
	out := &controlv1.FeedResponse{FreshForMs: uint32(feed.FreshFor.Milliseconds()), Entries: entries, Resign: m.live.resign(r.GetSelf().GetInstance())}
	derived := m.derive()
	m.mu.RLock()
	out.SettingsVersion = m.state.Version()
	changes, ok := m.state.ChangesSince(r.GetSettingsVersion())
	assignments := m.state.Assignments()
	members := m.state.Members()
	m.mu.RUnlock()
	if derived.version != out.SettingsVersion {
		derived = m.derive()
	}
	m.fillSettings(out, derived, changes, ok && r.GetSettingsVersion() > 0)
	out.Assignments = slices.DeleteFunc(assignments, func(a *controlv1.Assignment) bool {
		epoch, revoked := revoking[a.Group]
		return !derived.wanted[a.Group] || revoked && epoch == a.Epoch
	})
	out.Groups = m.live.groupReports(out.Assignments)
	for _, a := range members {
		out.Members = append(out.Members, a.Address)
	}
	if r.GetAssignmentsVersion() == feed.DirectoryVersion(out, entriesVersion) {
		out.Assignments, out.Entries, out.Members = nil, nil, nil
	}
	if !m.held(term) {
		return nil, errNoLeader()
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
	out.Snapshot = d.snapshot
	out.SettingsVersion = d.version
}
