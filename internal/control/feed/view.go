package feed

import (
	"time"

	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/settings"
)

// View is the state that an instance has received from the control members. It is
// immutable.
type View struct {
	Tree    *settings.Tree
	Index   *settings.Index
	Version uint64
	// Assignments lists the holders of all scheduler groups.
	Assignments []*controlv1.Assignment
	// Entries lists the live instances.
	Entries []*controlv1.EntryInfo
	// Groups holds the latest report of each group, sent by its holder.
	Groups []*controlv1.GroupReport
	// Routing is the routing table in force, or nil before the first one is known.
	Routing *routing.Index
	// Members lists the addresses of the control members.
	Members []string
	// FreshUntil is the time at which the view expires unless a poll renews it. It
	// carries a monotonic clock reading, so that adjustments of the wall clock do
	// not affect it.
	FreshUntil time.Time
	// ConfirmedAt is when the poll was sent whose response last confirmed the view, by the
	// clock of FreshUntil. The view holds all that was acknowledged before. It is zero
	// before the first response.
	ConfirmedAt time.Time
}

// Fresh reports whether the view is still valid, so that the instance may act on
// it.
func (v *View) Fresh(now time.Time) bool { return now.Before(v.FreshUntil) }

// Assignment returns the assignment of a group, or nil.
func (v *View) Assignment(group string) *controlv1.Assignment {
	for _, a := range v.Assignments {
		if a.Group == group {
			return a
		}
	}
	return nil
}

// Lease is the right of this instance to act as the holder of a group under Epoch
// until the time Until.
type Lease struct {
	Epoch uint64
	Until time.Time
}

// advance returns the view with the settings and the routing table of a response
// applied. It fails if the response does not continue from the settings version of
// v; the caller then requests the whole settings tree.
func (v *View) advance(r *controlv1.FeedResponse) (*View, error) {
	next := *v
	var s *controlv1.Settings
	if packed := r.GetPackedSnapshot(); len(packed) > 0 {
		var err error
		if s, err = UnpackSettings(packed); err != nil {
			return nil, err
		}
	}
	if s != nil && (s.GetVersion() != v.Version || v.Version == 0) {
		if s.GetVersion() < v.Version {
			return nil, Error.New("received a snapshot of settings version %d, which is older than version %d", s.GetVersion(), v.Version)
		}
		tree, err := settings.FromProto(s)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		next.Tree, next.Version = tree, s.GetVersion()
	}
	for _, c := range r.GetChanges() {
		if c.GetVersion() <= next.Version {
			continue
		}
		if c.GetVersion() != next.Version+1 {
			return nil, Error.New("received settings change %d, which does not follow version %d", c.GetVersion(), next.Version)
		}
		next.Tree, next.Version = next.Tree.Replay(c.GetOperations()), c.GetVersion()
	}
	if next.Version != r.GetSettingsVersion() {
		return nil, Error.New("response declares settings version %d but its content ends at version %d", r.GetSettingsVersion(), next.Version)
	}
	if err := next.advanceRouting(r.GetRouting()); err != nil {
		return nil, err
	}
	if next.Tree != v.Tree {
		next.Index = next.Tree.Index()
	}
	return &next, nil
}

// RoutingVersion returns the version of the routing table, or 0 if there is none.
func (v *View) RoutingVersion() uint64 {
	if v.Routing == nil {
		return 0
	}
	return v.Routing.Table.Version
}

// advanceRouting replaces the routing table if the version of t is higher. The
// version never decreases, so that an instance does not return to an older table.
func (v *View) advanceRouting(t *controlv1.RoutingTable) error {
	if t.GetVersion() <= v.RoutingVersion() {
		return nil
	}
	table, err := routing.Decode(t.GetDocument())
	if err != nil {
		return Error.Wrap(err)
	}
	v.Routing = routing.NewIndex(table)
	return nil
}
