package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestLogCountsItsBytes guards against a log whose size is miscounted after entries are
// replaced, committed, compacted or replaced by a snapshot: it would grow beyond its limit, or
// refuse entries for good.
func TestLogCountsItsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &raftLog{}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				data := make([]byte, rapid.IntRange(0, 9).Draw(t, "size"))
				l.append(Entry{Index: l.last() + 1, Term: 1, Data: data})
			},
			"truncate": func(t *rapid.T) {
				if l.last() > l.commit {
					l.truncate(rapid.Uint64Range(l.commit+1, l.last()).Draw(t, "index"))
				}
			},
			"commit": func(t *rapid.T) { l.commitTo(rapid.Uint64Range(l.offset, l.last()).Draw(t, "index")) },
			"compact": func(t *rapid.T) {
				index := rapid.Uint64Range(max(l.offset, l.snapshot.Index), max(l.commit, l.snapshot.Index)).Draw(t, "index")
				maxEntries, maxBytes := rapid.IntRange(0, 4).Draw(t, "entries"), rapid.IntRange(0, 20).Draw(t, "bytes")
				l.compact(Snapshot{Index: index, Term: 1}, maxEntries, maxBytes)
				retained := l.entriesBetween(l.offset+1, index)
				if len(retained) > maxEntries || DataBytes(retained) > maxBytes {
					t.Fatalf("%d entries with %d bytes are retained, %d with %d may be", len(retained), DataBytes(retained), maxEntries, maxBytes)
				}
			},
			"restore": func(t *rapid.T) {
				l.restore(Snapshot{Index: l.commit + rapid.Uint64Range(1, 5).Draw(t, "ahead"), Term: 1})
			},
			"": func(t *rapid.T) {
				if got, want := l.bytes, DataBytes(l.entries); got != want {
					t.Fatalf("%d bytes are counted, the log has %d", got, want)
				}
				if got, want := l.uncommittedBytes, DataBytes(l.entriesBetween(l.commit+1, l.last())); got != want {
					t.Fatalf("%d uncommitted bytes are counted, the log has %d", got, want)
				}
			},
		})
	})
}

// TestRetainedBytesBelowLogLimit guards against limits under which a full log stays full after
// it was compacted.
func TestRetainedBytesBelowLogLimit(t *testing.T) {
	_, err := New(Config{ID: 1, MaxLogBytes: 100, RetainedBytes: 100}, Restored{})
	qt.Assert(t, err, qt.ErrorIs, ErrInvalidConfig)
}
