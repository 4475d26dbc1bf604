package state

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

func change(id string, base uint64, ops ...*controlv1.Operation) *controlv1.Command {
	return &controlv1.Command{Command: &controlv1.Command_Change{Change: &controlv1.Change{
		ChangeId: id, BaseVersion: base, Actor: "ana", Operations: ops}}}
}

func put(path string) *controlv1.Operation {
	return &controlv1.Operation{Kind: controlv1.Operation_NODE_PUT, Path: path, NodeKind: "group"}
}

func set(path, key, value string) *controlv1.Operation {
	return &controlv1.Operation{Kind: controlv1.Operation_KEY_SET, Path: path, Key: key, Value: value}
}

func key(k string) *controlv1.BookingKey { return &controlv1.BookingKey{Customer: "torino", Key: k} }

func begin(k, hash, attempt string, at int64) *controlv1.Command {
	return &controlv1.Command{Command: &controlv1.Command_Begin{Begin: &controlv1.BeginBooking{
		Key: key(k), BodyHash: []byte(hash), AttemptId: attempt, AtMs: at}}}
}

func finish(k, attempt, body string) *controlv1.Command {
	return &controlv1.Command{Command: &controlv1.Command_Finish{Finish: &controlv1.FinishBooking{
		Key: key(k), AttemptId: attempt, Outcome: &controlv1.BookingOutcome{Status: 200, Body: []byte(body)}}}}
}

func release(k, attempt string) *controlv1.Command {
	return &controlv1.Command{Command: &controlv1.Command_Release{Release: &controlv1.ReleaseBooking{Key: key(k), AttemptId: attempt}}}
}

func expire(before int64) *controlv1.Command {
	return &controlv1.Command{Command: &controlv1.Command_Expire{Expire: &controlv1.ExpireRecords{BeforeMs: before, Limit: 1000}}}
}

// TestBookingResponses guards the response of each rule of the booking records
// against unintended changes.
func TestBookingResponses(t *testing.T) {
	type step struct {
		cmd  *controlv1.Command
		want controlv1.BookingResponse_State
	}
	const (
		begun    = controlv1.BookingResponse_BEGUN
		started  = controlv1.BookingResponse_STARTED
		done     = controlv1.BookingResponse_FINISHED
		mismatch = controlv1.BookingResponse_MISMATCH
		expired  = controlv1.BookingResponse_EXPIRED
		freed    = controlv1.BookingResponse_RELEASED
	)
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"begin repeated by the same attempt", []step{{begin("k", "h", "a", 1), begun}, {begin("k", "h", "a", 2), begun}}},
		{"begin by another attempt", []step{{begin("k", "h", "a", 1), begun}, {begin("k", "h", "b", 1), started}, {finish("k", "a", "x"), done}, {begin("k", "h", "b", 1), done}}},
		{"begin with another body", []step{{begin("k", "h", "a", 1), begun}, {begin("k", "g", "b", 1), mismatch}, {finish("k", "a", "x"), done}, {begin("k", "g", "b", 1), mismatch}}},
		{"only the holder can release", []step{{begin("k", "h", "a", 1), begun}, {release("k", "b"), started}, {begin("k", "h", "c", 1), started}, {release("k", "a"), freed}, {begin("k", "g", "d", 1), begun}}},
		{"released attempt never begins again", []step{{begin("k", "h", "a", 1), begun}, {release("k", "a"), freed}, {begin("k", "h", "a", 1), freed}, {begin("k", "h", "b", 1), begun}, {release("k", "b"), freed}, {begin("k", "h", "a", 1), freed}}},
		{"release arrives before begin", []step{{release("k", "a"), freed}, {begin("k", "h", "a", 1), freed}, {begin("k", "h", "b", 1), begun}}},
		{"refused attempt never begins", []step{{begin("k", "h", "a", 1), begun}, {begin("k", "h", "b", 1), started}, {release("k", "a"), freed}, {begin("k", "h", "b", 1), started}, {begin("k", "h", "c", 1), begun}}},
		{"finish by another attempt", []step{{begin("k", "h", "a", 1), begun}, {finish("k", "b", "x"), started}}},
		{"no release after finish", []step{{begin("k", "h", "a", 1), begun}, {finish("k", "a", "x"), done}, {release("k", "a"), done}, {finish("k", "a", "y"), done}}},
		{"expiry leaves a tombstone", []step{{begin("k", "h", "a", 1), begun}, {finish("k", "a", "x"), done}, {expire(10), 0}, {begin("k", "h", "b", 11), expired}, {release("k", "b"), expired}, {finish("k", "a", "x"), expired}}},
		{"unfinished record expires as well", []step{{begin("k", "h", "a", 1), begun}, {expire(10), 0}, {begin("k", "h", "a", 11), expired}}},
		{"released record survives the first expiry", []step{{release("k", "a"), freed}, {expire(10), 0}, {begin("k", "h", "a", 11), freed}, {expire(20), 0}, {begin("k", "h", "b", 21), begun}}},
		{"leader with a slow clock", []step{{begin("k", "h", "a", 50), begun}, {begin("l", "h", "b", 5), begun}, {expire(20), 0}, {begin("l", "h", "b", 5), begun}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := New()
			for i, st := range test.steps {
				r := s.Apply(uint64(i+1), st.cmd)
				qt.Assert(t, r.Booking.GetState(), qt.Equals, st.want, qt.Commentf("step %d", i))
			}
		})
	}
}

// TestRecordLimit guards against a customer whose booking records exhaust the
// members' memory.
func TestRecordLimit(t *testing.T) {
	s := New()
	s.bookings.recordLimit = 2
	s.Apply(1, begin("a", "h", "1", 1))
	s.Apply(2, begin("b", "h", "2", 1))
	qt.Assert(t, s.Apply(3, begin("c", "h", "3", 1)).Booking.State, qt.Equals, controlv1.BookingResponse_FULL)
	qt.Assert(t, s.Apply(4, release("c", "3")).Booking.State, qt.Equals, controlv1.BookingResponse_FULL)
	s.Apply(5, expire(2))
	qt.Assert(t, s.Apply(6, begin("c", "h", "4", 1)).Booking.State, qt.Equals, controlv1.BookingResponse_BEGUN)
}

// TestBookingBytes guards against booking records whose size is miscounted: the limit of the
// leader would refuse keys for good, or none at all.
func TestBookingBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		for i := range rapid.IntRange(1, 40).Draw(t, "commands") {
			k, attempt := rapid.SampledFrom([]string{"k", "l", "m"}).Draw(t, "key"), rapid.SampledFrom([]string{"a", "bb", "ccc"}).Draw(t, "attempt")
			at := int64(i)
			s.Apply(uint64(i+1), rapid.SampledFrom([]*controlv1.Command{
				begin(k, "h", attempt, at), finish(k, attempt, "outcome"), release(k, attempt), expire(at - 3),
			}).Draw(t, "command"))
		}
		want := int64(0)
		for _, c := range s.bookings.customers {
			want += int64(len(c.tombstones)) * tombstoneBytes
			for _, r := range c.records {
				want += r.size()
			}
		}
		restored, err := Restore(s.Snapshot())
		if err != nil || s.BookingBytes() != want || restored.BookingBytes() != want {
			t.Fatalf("%d bytes are counted, %d after a restore, %d are held: %v", s.BookingBytes(), restored.BookingBytes(), want, err)
		}
	})
}

// TestHistoryBytes guards against a history of large changes that exhausts the members' memory.
func TestHistoryBytes(t *testing.T) {
	s := New()
	for i := range uint64(20) {
		s.Apply(i+1, change(fmt.Sprint("c", i), i, put("/a"), set("/a", "unknown", strings.Repeat("x", MaxHistoryBytes/4))))
	}
	qt.Check(t, s.historyBytes <= MaxHistoryBytes, qt.IsTrue)
	_, known := s.ChangesSince(19)
	qt.Check(t, known, qt.IsTrue)
	_, known = s.ChangesSince(10)
	qt.Check(t, known, qt.IsFalse)
	s.Apply(21, change("large", 20, set("/a", "unknown", strings.Repeat("x", 2*MaxHistoryBytes))))
	changes, known := s.ChangesSince(20)
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, changes, qt.HasLen, 1)
}

// TestChangeResults guards against changes that overwrite a newer version, are
// applied twice or return a different result when they are resent.
func TestChangeResults(t *testing.T) {
	s := New()
	r := s.Apply(1, change("c1", 0, put("/a"))).Change
	qt.Assert(t, r.Outcome, qt.Equals, controlv1.ChangeResult_ACCEPTED)
	qt.Assert(t, r.Version, qt.Equals, uint64(1))
	r = s.Apply(2, change("c2", 0, put("/b"))).Change
	qt.Assert(t, r.Outcome, qt.Equals, controlv1.ChangeResult_CONFLICT)
	qt.Assert(t, r.Conflicts, qt.HasLen, 1)
	qt.Assert(t, r.Conflicts[0].Touched, qt.DeepEquals, []string{"/a"})
	s.Apply(3, change("c3", 1, put("/b")))
	again := s.Apply(4, change("c1", 0, put("/a"))).Change
	qt.Assert(t, again.Outcome, qt.Equals, controlv1.ChangeResult_ACCEPTED)
	qt.Assert(t, again.Version, qt.Equals, uint64(1))
	again = s.Apply(5, change("c2", 0, put("/b"))).Change
	qt.Assert(t, again.Conflicts, qt.HasLen, 1)
	other := s.Apply(6, change("c1", 0, put("/z"))).Change
	qt.Assert(t, other.Outcome, qt.Equals, controlv1.ChangeResult_INVALID)
	qt.Assert(t, s.Version(), qt.Equals, uint64(2))
	qt.Assert(t, s.Apply(7, change("c4", 2)).Change.Outcome, qt.Equals, controlv1.ChangeResult_UNCHANGED)
}

// TestResultsAndHistoryAreBounded guards against results and history that grow
// without bound, and against deltas that skip a change.
func TestResultsAndHistoryAreBounded(t *testing.T) {
	s := New()
	for i := range MaxResults + 5 {
		s.Apply(uint64(i+1), change(fmt.Sprint(i), uint64(i), set("/", "tier", fmt.Sprint(i%3))))
	}
	qt.Assert(t, s.StoredResultByID("4"), qt.IsNil)
	qt.Assert(t, s.StoredResultByID("5").GetVersion(), qt.Equals, uint64(6))
	qt.Assert(t, s.results.byID, qt.HasLen, MaxResults)
	changes, ok := s.ChangesSince(s.Version() - MaxHistory)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, changes, qt.HasLen, MaxHistory)
	_, ok = s.ChangesSince(s.Version() - MaxHistory - 1)
	qt.Assert(t, ok, qt.IsFalse)
	again, err := Restore(s.Snapshot())
	qt.Assert(t, err, qt.IsNil)
	again.Apply(1, change("next", s.Version(), put("/x")))
	qt.Assert(t, again.StoredResultByID("5"), qt.IsNil)
	qt.Assert(t, again.StoredResultByID("6").GetVersion(), qt.Equals, uint64(7))
}

// TestEpochsIncrease guards against epochs of a group that repeat or decrease.
func TestEpochsIncrease(t *testing.T) {
	s := New()
	assign := func(instance string) uint64 {
		return s.Apply(1, &controlv1.Command{Command: &controlv1.Command_Assign{Assign: &controlv1.AssignGroup{Group: "g/0", Instance: instance}}}).Assignment.Epoch
	}
	qt.Assert(t, []uint64{assign("a"), assign(""), assign("a"), assign("b")}, qt.DeepEquals, []uint64{1, 2, 3, 4})
	qt.Assert(t, s.Assignments(), qt.HasLen, 1)
}

func randomCommand(t *rapid.T, version uint64) *controlv1.Command {
	k := rapid.SampledFrom([]string{"k", "l", "m"}).Draw(t, "key")
	a := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "attempt")
	at := rapid.Int64Range(1, 100).Draw(t, "at")
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0:
		return expire(at)
	case 1, 2, 3:
		return begin(k, rapid.SampledFrom([]string{"h", "h", "h", "g"}).Draw(t, "hash"), a, at)
	case 4:
		return finish(k, a, a)
	case 5, 6:
		return release(k, a)
	case 7:
		return &controlv1.Command{Command: &controlv1.Command_Assign{Assign: &controlv1.AssignGroup{Group: k, Instance: a}}}
	case 8:
		return &controlv1.Command{Command: &controlv1.Command_Member{Member: &controlv1.MemberAddress{Id: uint64(at % 4), Address: a, Removed: at%3 == 0}}}
	case 9:
		return usageWindow(at, uint64(version), at-1, at-2)
	}
	base := version - min(version, uint64(rapid.IntRange(0, 1).Draw(t, "behind")))
	return change(fmt.Sprint(rapid.IntRange(0, 50).Draw(t, "id")), base, put("/"+k), set("/"+k, "tier", fmt.Sprint(at%3)))
}

// TestRandomCommands guards the invariants of bookings, settings and usage windows under
// random commands, and against snapshots that omit a part of the state: at any
// point, the restored state must respond to all later commands like the
// original, and a frozen copy must not change.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		holder, done, closed := map[string]string{}, map[string]string{}, map[string]bool{}
		version, accepted := uint64(0), map[string]uint64{}
		final := map[int64]uint64{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			cmd := randomCommand(t, s.Version())
			original := s
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				snapshot, frozen := s.Snapshot(), s.Freeze()
				defer func() {
					if !bytes.Equal(snapshot, frozen.Snapshot()) {
						t.Fatal("the frozen copy changed when later commands were applied")
					}
				}()
				restored, err := Restore(snapshot)
				if err != nil {
					t.Fatal(err)
				}
				if !bytes.Equal(snapshot, restored.Snapshot()) {
					t.Fatal("the snapshot of the restored state differs from the snapshot it was restored from")
				}
				original, s = s, restored
			}
			r := s.Apply(uint64(i+1), cmd)
			if original != s {
				if other := original.Apply(uint64(i+1), cmd); fmt.Sprint(other) != fmt.Sprint(r) || !bytes.Equal(original.Snapshot(), s.Snapshot()) {
					t.Fatalf("the restored state returned %v, the original state returned %v", r, other)
				}
			}
			checkBooking(t, cmd, r.Booking, holder, done, closed)
			checkUsage(t, original.Usage(), final)
			if c := r.Change; c != nil && c.Outcome == controlv1.ChangeResult_ACCEPTED {
				if before, ok := accepted[c.ChangeId]; ok && before != c.Version || !ok && c.Version != version+1 {
					t.Fatalf("change accepted with result %v after version %d", c, version)
				}
				accepted[c.ChangeId] = c.Version
				version = max(version, c.Version)
			}
			if s.Version() != version {
				t.Fatalf("settings version is %d, want %d", s.Version(), version)
			}
		}
	})
}

func checkBooking(t *rapid.T, cmd *controlv1.Command, r *controlv1.BookingResponse, holder, done map[string]string, closed map[string]bool) {
	switch c := cmd.Command.(type) {
	case *controlv1.Command_Begin:
		k, a := c.Begin.Key.Key, c.Begin.AttemptId
		if r.State == controlv1.BookingResponse_BEGUN {
			if h := holder[k]; h != "" && h != a || done[k] != "" || closed[k+a] {
				t.Fatalf("attempt %s began key %s, which is held by %q, finished by %q; attempt closed: %v", a, k, h, done[k], closed[k+a])
			}
			holder[k] = a
		}
		if r.State == controlv1.BookingResponse_FINISHED && string(r.Outcome.Body) != done[k] {
			t.Fatalf("outcome is %q, want %q", r.Outcome.Body, done[k])
		}
	case *controlv1.Command_Finish:
		k, a := c.Finish.Key.Key, c.Finish.AttemptId
		if r.State == controlv1.BookingResponse_FINISHED && done[k] == "" {
			if holder[k] != a {
				t.Fatalf("attempt %s finished key %s, which is held by %q", a, k, holder[k])
			}
			done[k] = a
		}
	case *controlv1.Command_Release:
		k, a := c.Release.Key.Key, c.Release.AttemptId
		if r.State == controlv1.BookingResponse_RELEASED {
			if h := holder[k]; h != "" && h != a || done[k] != "" {
				t.Fatalf("attempt %s released key %s, which is held by %q, finished by %q", a, k, h, done[k])
			}
			holder[k] = ""
			closed[k+a] = true
		}
	case *controlv1.Command_Expire:
		// A released attempt may begin again after two expiries; see bookings.expire.
		clear(closed)
	}
}

// checkUsage checks that the counts of final windows do not change. The map final holds them by
// window.
func checkUsage(t *rapid.T, u Usage, final map[int64]uint64) {
	if len(u.Undelivered) > MaxUsageWindows {
		t.Fatalf("%d windows are held", len(u.Undelivered))
	}
	for _, w := range u.Undelivered {
		if count, ok := final[w.Window]; ok && count != w.Counts["k"] {
			t.Fatalf("window %d changed from %d to %d", w.Window, count, w.Counts["k"])
		}
		final[w.Window] = w.Counts["k"]
	}
}

// FuzzRestore guards against panics on a damaged snapshot, and against a
// damaged snapshot that decodes to a state which cannot be encoded and restored
// again.
func FuzzRestore(f *testing.F) {
	s := New()
	for i, cmd := range []*controlv1.Command{
		change("c1", 0, put("/a"), set("/a", "tier", "1")), begin("k", "h", "a", 1), finish("k", "a", "x"),
		begin("l", "h", "b", 2), expire(2), release("m", "c"), change("c2", 1), usageWindow(3, 4), usageWindow(4, 5, 3),
	} {
		s.Apply(uint64(i+1), cmd)
		snapshot := s.Snapshot()
		f.Add(snapshot[:len(snapshot)-8])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if _, err := Restore(body); err != nil && !errors.Is(err, ErrCorrupt) {
			t.Fatalf("unexpected error %v", err)
		}
		// Restore almost always fails on the checksum of a mutated input, so the decoder
		// is called directly as well.
		s, err := decode(bytes.Clone(body))
		if err != nil {
			return
		}
		first := s.Snapshot()
		again, err := Restore(first)
		if err != nil {
			t.Fatalf("cannot restore the snapshot of a decoded state: %v", err)
		}
		if !bytes.Equal(first, again.Snapshot()) {
			t.Fatal("the snapshot changes when it is restored and encoded again")
		}
		again.Apply(1, begin("k", "h", "z", 5))
		again.Apply(2, expire(1<<40))
	})
}
