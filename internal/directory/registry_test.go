package directory

import (
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

var start = time.Unix(1_700_000_000, 0)

func endpoint(id string, incarnation int64, sequence uint64) *directoryv1.Endpoint {
	return &directoryv1.Endpoint{Id: id, Incarnation: incarnation, Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Slots: 4}
}

// TestAnnounceOrder guards against delayed announcements that restore an outdated state.
func TestAnnounceOrder(t *testing.T) {
	for _, c := range []struct {
		name  string
		first func(r *Registry)
		then  *directoryv1.Endpoint
		want  Effect
	}{
		{"new", func(*Registry) {}, endpoint("a", 5, 1), Changed},
		{"renewed", func(r *Registry) { r.Announce(start, endpoint("a", 5, 1)) }, endpoint("a", 5, 2), Renewed},
		{"late", func(r *Registry) { r.Announce(start, endpoint("a", 5, 3)) }, endpoint("a", 5, 2), Stale},
		{"delayed from the former incarnation", func(r *Registry) { r.Announce(start, endpoint("a", 5, 1)) }, endpoint("a", 4, 9), Stale},
		{"restart", func(r *Registry) { r.Announce(start, endpoint("a", 5, 9)) }, endpoint("a", 6, 1), Changed},
		{"after it left", func(r *Registry) { r.Announce(start, endpoint("a", 5, 1)); r.Leave(start, "a", 0) }, endpoint("a", 5, 2), Stale},
		{"restart after it left", func(r *Registry) { r.Announce(start, endpoint("a", 5, 1)); r.Leave(start, "a", 0) }, endpoint("a", 6, 1), Changed},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRegistry(1)
			c.first(r)
			qt.Assert(t, r.Announce(start, c.then), qt.Equals, c.want)
		})
	}
}

// TestSyncCursor guards against polls that miss a change, and against the use of a
// cursor from before a restart of the member.
func TestSyncCursor(t *testing.T) {
	r := NewRegistry(7)
	r.Announce(start, endpoint("a", 1, 1))
	all, err := r.Sync(start, &directoryv1.SyncRequest{Epoch: 3, Cursor: 99})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, all.Endpoints, qt.HasLen, 1)
	none, err := r.Sync(start, &directoryv1.SyncRequest{Epoch: 7, Cursor: all.Cursor})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, none.Endpoints, qt.HasLen, 0)
	draining := endpoint("a", 1, 2)
	draining.Draining = true
	r.Announce(start, draining)
	one, err := r.Sync(start, &directoryv1.SyncRequest{Epoch: 7, Cursor: none.Cursor})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, one.Endpoints, qt.HasLen, 1)
	qt.Assert(t, one.Endpoints[0].Draining, qt.IsTrue)
	silent := r.Expire(start.Add(announceLease + time.Second))
	qt.Assert(t, silent, qt.HasLen, 1)
}

// TestEntryListAndLoads guards against a wrong list of entries, and against wrong loads of
// the other entries in the response to a poll.
func TestEntryListAndLoads(t *testing.T) {
	r := NewRegistry(7)
	views := make(map[string]*view)
	// poll returns the load of the other entries that an entry knows after a poll.
	poll := func(name string, at time.Time, draining bool, requests int) map[string]dispatch.Load {
		v := views[name]
		if v == nil {
			v = &view{}
			views[name] = v
		}
		own := map[uint32]dispatch.Load{loadKey("e"): {Requests: requests, PromptTokens: 10}, loadKey("of " + name): {Requests: 1}}
		got, err := r.Sync(at, &directoryv1.SyncRequest{
			Self: &directoryv1.Entry{Instance: name, Address: name + ":1", Draining: draining}, WantLoads: true,
			Loads: packLoads(own), Epoch: v.epoch, Cursor: v.cursor, LoadsCursor: v.loadsCursor,
		})
		qt.Assert(t, err, qt.IsNil)
		otherLoads, err := v.otherLoads(got, own)
		qt.Assert(t, err, qt.IsNil)
		v.apply(got)
		loads, out := &Loads{byKey: otherLoads}, make(map[string]dispatch.Load)
		for _, id := range []string{"e", "of a", "of b", "of c"} {
			if l := loads.Of(id); l != (dispatch.Load{}) {
				out[id] = l
			}
		}
		return out
	}
	one := dispatch.Load{Requests: 1}
	qt.Assert(t, poll("a", start, false, 1), qt.DeepEquals, map[string]dispatch.Load{})
	poll("b", start, false, 2)
	poll("c", start, true, 4)
	qt.Assert(t, poll("a", start, false, 1), qt.DeepEquals, map[string]dispatch.Load{"e": {Requests: 6, PromptTokens: 20}, "of b": one, "of c": one})
	qt.Assert(t, poll("b", start, false, 3), qt.DeepEquals, map[string]dispatch.Load{"e": {Requests: 5, PromptTokens: 20}, "of a": one, "of c": one})
	qt.Assert(t, poll("a", start, false, 1), qt.DeepEquals, map[string]dispatch.Load{"e": {Requests: 7, PromptTokens: 20}, "of b": one, "of c": one})
	qt.Assert(t, r.Entries(start), qt.HasLen, 2)
	later := start.Add(entryLease + time.Second)
	r.Expire(later)
	qt.Assert(t, poll("a", later, false, 1), qt.DeepEquals, map[string]dispatch.Load{})
	qt.Assert(t, r.Entries(later), qt.HasLen, 1)
	views["a"] = &view{epoch: 6, cursor: 100, loadsCursor: 100}
	poll("b", later, false, 2)
	qt.Assert(t, poll("a", later, false, 1), qt.DeepEquals, map[string]dispatch.Load{"e": {Requests: 2, PromptTokens: 10}, "of b": one},
		qt.Commentf("a poll with the epoch of another start of the member must return all sums"))
}

// TestLoadSums guards against wrong load sums after any order of polls, expired loads and
// lost responses. An entry that counts the load of another entry twice, or never drops
// it, avoids an endpoint that is idle.
func TestLoadSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sums := loadSums{sums: make(map[uint32]*loadSum)}
		reported := make([]map[uint32]dispatch.Load, 3)
		known, cursor := make(map[uint32]dispatch.Load), uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			entry := rapid.IntRange(0, len(reported)-1).Draw(t, "entry")
			present := make(map[uint32]dispatch.Load)
			for key := range uint32(4) {
				if n := rapid.IntRange(0, 2).Draw(t, "requests"); n > 0 {
					present[key] = dispatch.Load{Requests: n, MemoryTokens: 100 * n}
				}
			}
			sums.replace(reported[entry], present)
			reported[entry] = present
			if rapid.Bool().Draw(t, "the response is lost") {
				continue
			}
			changed, whole := sums.since(cursor)
			if whole {
				clear(known)
			}
			maps.Copy(known, changed)
			cursor = sums.revision
			for key := range uint32(4) {
				want := reported[0][key].Plus(reported[1][key]).Plus(reported[2][key])
				if known[key] != want {
					t.Fatalf("load of %d is %v, want %v", key, known[key], want)
				}
			}
		}
	})
}

// TestMalformedLoads guards against a malformed message that crashes a member or an entry.
func TestMalformedLoads(t *testing.T) {
	bad := &directoryv1.Loads{Endpoints: []uint32{1, 2}, Requests: []uint32{1}}
	_, err := NewRegistry(7).Sync(start, &directoryv1.SyncRequest{Self: &directoryv1.Entry{Instance: "a"}, Loads: bad})
	qt.Check(t, err, qt.ErrorMatches, ".*loads of 2 endpoints have a column of 1")
	_, err = new(view).otherLoads(&directoryv1.SyncResponse{Loads: bad}, nil)
	qt.Check(t, err, qt.IsNotNil)
}

// TestMerge guards against a merge that depends on the order of the members or prefers an
// outdated announcement.
func TestMerge(t *testing.T) {
	member := func(list ...*directoryv1.Endpoint) *view {
		v := &view{}
		v.apply(&directoryv1.SyncResponse{Epoch: 1, Endpoints: list})
		return v
	}
	with := func(e *directoryv1.Endpoint, change func(*directoryv1.Endpoint)) *directoryv1.Endpoint {
		change(e)
		return e
	}
	gone := func(e *directoryv1.Endpoint) { e.Gone = true }
	silent := func(e *directoryv1.Endpoint) { e.Silent = true }
	draining := func(e *directoryv1.Endpoint) { e.Draining = true }
	for _, c := range []struct {
		name  string
		views []*view
		check func(c *qt.C, s *Snapshot)
	}{
		{"left at one member", []*view{member(endpoint("a", 1, 9)), member(with(endpoint("a", 1, 2), gone))}, func(c *qt.C, s *Snapshot) {
			c.Assert(s.Endpoints, qt.HasLen, 0)
		}},
		{"left at a member that had received no announcement of it", []*view{member(endpoint("a", 1, 9)), member(&directoryv1.Endpoint{Id: "a", Gone: true})}, func(c *qt.C, s *Snapshot) {
			c.Assert(s.Endpoints, qt.HasLen, 0)
		}},
		{"restarted after it left", []*view{member(endpoint("a", 2, 1)), member(with(endpoint("a", 1, 2), gone))}, func(c *qt.C, s *Snapshot) {
			c.Assert(s.Endpoints, qt.HasLen, 1)
		}},
		{"draining announced later", []*view{member(endpoint("a", 1, 4)), member(with(endpoint("a", 1, 5), draining))}, func(c *qt.C, s *Snapshot) {
			c.Assert(s.Endpoints["a"].Draining, qt.IsTrue)
		}},
		{"silent at one member only", []*view{member(with(endpoint("a", 1, 9), silent)), member(endpoint("a", 1, 4))}, func(c *qt.C, s *Snapshot) {
			c.Assert(s.Endpoints["a"].Silent, qt.IsFalse)
		}},
		{"address reused by another endpoint", []*view{member(endpoint("a", 1, 9), endpoint("b", 5, 1))}, func(c *qt.C, s *Snapshot) {
			c.Assert(s.Endpoints, qt.HasLen, 1)
			c.Assert(s.Endpoints["b"], qt.IsNotNil)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.check(qt.New(t), merge(c.views))
			for i, j := 0, len(c.views)-1; i < j; i, j = i+1, j-1 {
				c.views[i], c.views[j] = c.views[j], c.views[i]
			}
			c.check(qt.New(t), merge(c.views))
		})
	}
}
