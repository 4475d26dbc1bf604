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

// Guards against late announcements that bring back a state that has passed.
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
		{"former start", func(r *Registry) { r.Announce(start, endpoint("a", 5, 1)) }, endpoint("a", 4, 9), Stale},
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

// Guards against polls that miss a change, and against a cursor of a member that
// has restarted.
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

// Guards the list of entries and the load that an entry is told of the others.
func TestEntriesAndLoads(t *testing.T) {
	r := NewRegistry(7)
	views := make(map[string]*view)
	// poll returns the load of the others that an entry knows of after a poll.
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
		others, err := v.others(got, own)
		qt.Assert(t, err, qt.IsNil)
		v.apply(got)
		loads, out := &Loads{byKey: others}, make(map[string]dispatch.Load)
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
		qt.Commentf("a poll that names another start of the member gets all sums"))
}

// Guards the sums of loads under any order of polls, lapses and lost answers: an
// entry that counts the load of another one twice or for ever avoids an endpoint
// that is idle.
func TestLoadSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sums := loadSums{sums: make(map[uint32]*loadSum)}
		told := make([]map[uint32]dispatch.Load, 3)
		known, cursor := make(map[uint32]dispatch.Load), uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			entry := rapid.IntRange(0, len(told)-1).Draw(t, "entry")
			present := make(map[uint32]dispatch.Load)
			for key := range uint32(4) {
				if n := rapid.IntRange(0, 2).Draw(t, "requests"); n > 0 {
					present[key] = dispatch.Load{Requests: n, MemoryTokens: 100 * n}
				}
			}
			sums.replace(told[entry], present)
			told[entry] = present
			if rapid.Bool().Draw(t, "the answer is lost") {
				continue
			}
			changed, whole := sums.since(cursor)
			if whole {
				clear(known)
			}
			maps.Copy(known, changed)
			cursor = sums.revision
			for key := range uint32(4) {
				want := told[0][key].Plus(told[1][key]).Plus(told[2][key])
				if known[key] != want {
					t.Fatalf("load of %d is %v, want %v", key, known[key], want)
				}
			}
		}
	})
}

// Guards against a malformed message that stops a member or an entry.
func TestMalformedLoads(t *testing.T) {
	bad := &directoryv1.Loads{Endpoints: []uint32{1, 2}, Requests: []uint32{1}}
	_, err := NewRegistry(7).Sync(start, &directoryv1.SyncRequest{Self: &directoryv1.Entry{Instance: "a"}, Loads: bad})
	qt.Check(t, err, qt.ErrorMatches, ".*loads of 2 endpoints have a column of 1")
	_, err = new(view).others(&directoryv1.SyncResponse{Loads: bad}, nil)
	qt.Check(t, err, qt.IsNotNil)
}

// Guards the merge of what several members have heard.
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
		{"left at a member that had not heard of it", []*view{member(endpoint("a", 1, 9)), member(&directoryv1.Endpoint{Id: "a", Gone: true})}, func(c *qt.C, s *Snapshot) {
			c.Assert(s.Endpoints, qt.HasLen, 0)
		}},
		{"restarted after it left", []*view{member(endpoint("a", 2, 1)), member(with(endpoint("a", 1, 2), gone))}, func(c *qt.C, s *Snapshot) {
			c.Assert(s.Endpoints, qt.HasLen, 1)
		}},
		{"draining is later", []*view{member(endpoint("a", 1, 4)), member(with(endpoint("a", 1, 5), draining))}, func(c *qt.C, s *Snapshot) {
			c.Assert(s.Endpoints["a"].Draining, qt.IsTrue)
		}},
		{"silent at one member only", []*view{member(with(endpoint("a", 1, 9), silent)), member(endpoint("a", 1, 4))}, func(c *qt.C, s *Snapshot) {
			c.Assert(s.Endpoints["a"].Silent, qt.IsFalse)
		}},
		{"address used again", []*view{member(endpoint("a", 1, 9), endpoint("b", 5, 1))}, func(c *qt.C, s *Snapshot) {
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
