package wal_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/wal"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"auburnstep.example/auburnstep/internal/testkit/properties"
)

const dir = "data"

func open(m *memFS) (*wal.Log, wal.Restored, error) {
	return wal.Open(dir, wal.Options{Cluster: "rota", FS: m, SegmentBytes: 200})
}

func entries(first, last, term uint64) []consensus.Entry {
	var out []consensus.Entry
	for i := first; i <= last; i++ {
		out = append(out, consensus.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return out
}

func snapshot(index, term uint64) consensus.Snapshot {
	return consensus.Snapshot{
		Index: index, Term: term, Data: fmt.Appendf(nil, "state at %d", index),
		Members: consensus.Membership{Voters: []uint64{1, 2}, Learners: []uint64{3}, Removed: []uint64{4}},
	}
}

// checksPerProperty is the number of random operation sequences that a property test
// checks.
const checksPerProperty = 3000

func TestMain(m *testing.M) { os.Exit(properties.Run(m, checksPerProperty)) }

// model is the state that a log is expected to hold.
type model struct {
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
}

func (m model) save(hs consensus.HardState, e []consensus.Entry) model {
	m.hardState = hs
	if len(e) > 0 {
		m.entries = append(slices.Clone(m.entries[:e[0].Index-m.snapshot.Index-1]), e...)
	}
	return m
}

func (m model) applySnapshot(s consensus.Snapshot) model {
	covered := s.Index - m.snapshot.Index
	if covered <= uint64(len(m.entries)) && m.entries[covered-1].Term == s.Term {
		m.entries = m.entries[covered:]
	} else {
		m.entries = nil
	}
	m.snapshot = s
	return m
}

func (m model) last() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

// matches reports whether a restored state equals the model. The restored commit
// index may be lower, because it need not be durable.
func (m model) matches(r wal.Restored) bool {
	return m.hardState.Term == r.HardState.Term && m.hardState.Vote == r.HardState.Vote && r.HardState.Commit <= max(m.hardState.Commit, m.snapshot.Index) &&
		fmt.Sprint(m.snapshot) == fmt.Sprint(r.Snapshot) && fmt.Sprint(m.entries) == fmt.Sprint(r.Entries)
}

// TestCrashProperties guards against a crash, failed write or failed fsync at any
// point that loses or changes acknowledged state or leaves an operation partly
// visible, and against a log that accepts operations after such a failure.
func TestCrashProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemFS()
		log, r, err := open(fs)
		must(t, err)
		member, current, next := r.Identity.Member, model{}, model{}
		for range rapid.IntRange(1, 25).Draw(t, "operations") {
			fail := rapid.IntRange(0, 9).Draw(t, "fault")
			if fail < 3 {
				fs.writesLeft, fs.shortBytes = fail, rapid.IntRange(0, 60).Draw(t, "short write")
			} else if fail < 6 {
				fs.syncsLeft, fs.failedSyncs = fail-3, 0
			}
			next, err = performRandomOperation(t, log, current)
			if err == nil {
				current = next
				fs.writesLeft, fs.syncsLeft = -1, -1
				if rapid.IntRange(0, 3).Draw(t, "crash") > 0 {
					continue
				}
			} else {
				later := log.Save(&consensus.HardState{Term: 99}, nil)
				if !errors.Is(err, wal.ErrStopped) || !errors.Is(later, wal.ErrStopped) {
					t.Fatalf("operation with an injected fault returned %v, the next Save %v", err, later)
				}
			}
			if rapid.Bool().Draw(t, "power loss") {
				fs.crash(func(n int) int { return rapid.IntRange(0, n).Draw(t, "kept") })
			}
			fs.restart()
			log, r, err = open(fs)
			must(t, err)
			switch {
			case r.Identity.Member != member:
				t.Fatalf("member ID changed on reopening")
			case next.matches(r):
				current = next
			case !current.matches(r):
				t.Fatalf("restored %+v, want %+v or %+v", r, current, next)
			}
		}
	})
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

// performRandomOperation performs one random operation on the log. It returns the
// model after the operation and the error of the operation.
func performRandomOperation(t *rapid.T, log *wal.Log, current model) (model, error) {
	term := current.hardState.Term + uint64(rapid.IntRange(0, 1).Draw(t, "term"))
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		index := current.snapshot.Index + uint64(rapid.IntRange(1, 6).Draw(t, "snapshot"))
		s := snapshot(index, term)
		if i := index - current.snapshot.Index; i <= uint64(len(current.entries)) && rapid.Bool().Draw(t, "own") {
			s.Term = current.entries[i-1].Term
		}
		return current.applySnapshot(s), log.SaveSnapshot(s)
	}
	first := current.last() + 1 - uint64(rapid.IntRange(0, len(current.entries)).Draw(t, "truncated"))
	e := entries(first, first+uint64(rapid.IntRange(0, 4).Draw(t, "entries"))-1, term)
	hs := consensus.HardState{Term: term, Vote: uint64(rapid.IntRange(0, 2).Draw(t, "vote")), Commit: current.snapshot.Index}
	return current.save(hs, e), log.Save(&hs, e)
}

// newFilledLog returns a file system with a log of several segments, and the log,
// which is closed.
func newFilledLog(c *qt.C) (*memFS, *wal.Log) {
	fs := newMemFS()
	log, _, err := open(fs)
	c.Assert(err, qt.IsNil)
	for i := uint64(1); i <= 30; i++ {
		c.Assert(log.Save(&consensus.HardState{Term: 1, Vote: 2, Commit: i}, entries(i, i, 1)), qt.IsNil)
	}
	c.Assert(log.Close(), qt.IsNil)
	return fs, log
}

// filesWithSuffix returns the names of the files with the suffix in ascending
// order.
func (m *memFS) filesWithSuffix(suffix string) []string {
	names, _ := m.List(dir)
	return slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, suffix) })
}

// TestDamagedFiles guards against opening a log with damaged or missing files as if
// it were complete, and against failing on a torn last record.
func TestDamagedFiles(t *testing.T) {
	tests := []struct {
		name   string
		damage func(m *memFS)
		file   string // the file that the error names; empty if the log opens
		torn   bool
	}{
		{"none", func(*memFS) {}, "", false},
		{"bit flip in a closed segment", func(m *memFS) { m.names[dir+"/"+m.filesWithSuffix(".wal")[1]].data[60] ^= 1 }, "0000000000000002.wal", false},
		{"bit flip in the middle of the last segment", func(m *memFS) { flipBitInLastSegment(m, 25) }, "last", false},
		{"closed segment truncated", func(m *memFS) { truncateSegment(m, 0, 3) }, "0000000000000001.wal", false},
		{"last record truncated", func(m *memFS) { truncateSegment(m, -1, 3) }, "", true},
		{"zeros after the last record", func(m *memFS) { appendZeros(m) }, "", true},
		{"last record duplicated", func(m *memFS) { duplicateLastRecord(m) }, "", true},
		{"segment missing", func(m *memFS) { delete(m.names, dir+"/"+m.filesWithSuffix(".wal")[1]) }, "0000000000000002.wal", false},
		{"first segment missing", func(m *memFS) { delete(m.names, dir+"/"+m.filesWithSuffix(".wal")[0]) }, "0000000000000001.wal", false},
		{"all segments missing", func(m *memFS) {
			for _, n := range m.filesWithSuffix(".wal") {
				delete(m.names, dir+"/"+n)
			}
		}, "0000000000000001.wal", false},
		{"identity missing", func(m *memFS) { delete(m.names, dir+"/identity") }, "identity", false},
		{"identity damaged", func(m *memFS) { m.names[dir+"/identity"].data[9] ^= 1 }, "identity", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fs, _ := newFilledLog(c)
			last := fs.filesWithSuffix(".wal")[len(fs.filesWithSuffix(".wal"))-1]
			test.damage(fs)
			_, r, err := open(fs)
			if test.file == "" {
				c.Assert(err, qt.IsNil)
				c.Assert(r.Torn != nil, qt.Equals, test.torn)
				return
			}
			var damage *wal.CorruptError
			c.Assert(errors.As(err, &damage), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(errors.Is(err, wal.ErrCorrupt), qt.IsTrue)
			c.Assert(damage.File, qt.Equals, dir+"/"+strings.Replace(test.file, "last", last, 1))
		})
	}
}

func flipBitInLastSegment(m *memFS, at int) {
	names := m.filesWithSuffix(".wal")
	m.names[dir+"/"+names[len(names)-1]].data[at] ^= 1
}

func truncateSegment(m *memFS, file, n int) {
	names := m.filesWithSuffix(".wal")
	f := m.names[dir+"/"+names[(file+len(names))%len(names)]]
	f.data = f.data[:len(f.data)-n]
}

func duplicateLastRecord(m *memFS) {
	names := m.filesWithSuffix(".wal")
	f := m.names[dir+"/"+names[len(names)-1]]
	f.data = append(f.data, f.data[bytes.LastIndex(f.data, []byte("rec1")):]...)
}

func appendZeros(m *memFS) {
	names := m.filesWithSuffix(".wal")
	f := m.names[dir+"/"+names[len(names)-1]]
	f.data = append(f.data, make([]byte, 100)...)
}

// TestDataDirectory guards against two users of one data directory, against use of
// another cluster's directory, against entries that leave a gap, and against
// obsolete files that remain after a snapshot.
func TestDataDirectory(t *testing.T) {
	c := qt.New(t)
	path := c.TempDir() + "/folder"
	options := wal.Options{Cluster: "rota", SegmentBytes: 500}
	log, r, err := wal.Open(path, options)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Empty, qt.IsTrue)
	_, _, err = wal.Open(path, options)
	c.Assert(errors.Is(err, wal.ErrLocked), qt.IsTrue)
	c.Assert(log.Save(&consensus.HardState{Term: 1}, entries(1, 50, 1)), qt.IsNil)
	c.Assert(errors.Is(log.Save(nil, entries(60, 60, 1)), wal.ErrInvalid), qt.IsTrue)
	c.Assert(log.SaveSnapshot(snapshot(50, 1)), qt.IsNil)
	names, err := wal.OS{}.List(path)
	c.Assert(err, qt.IsNil)
	c.Assert(names, qt.DeepEquals, []string{"0000000000000002.wal", "0000000000000032.snap", "identity", "lock"})
	c.Assert(log.Close(), qt.IsNil)

	_, _, err = wal.Open(path, wal.Options{Cluster: "lotes"})
	c.Assert(errors.Is(err, wal.ErrClusterMismatch), qt.IsTrue)
	_, reopened, err := wal.Open(path, options)
	c.Assert(err, qt.IsNil)
	c.Assert(reopened.Identity, qt.Equals, r.Identity)
	c.Assert(reopened.Snapshot, qt.DeepEquals, snapshot(50, 1))
}

// FuzzReader guards against a panic, or an accepted record, for arbitrary bytes
// after a valid log. The bytes may follow the start of a torn record.
func FuzzReader(f *testing.F) {
	f.Add([]byte("rec1"), 0)
	f.Add(bytes.Repeat([]byte{0xff}, 40), 3)
	f.Fuzz(func(t *testing.T, tail []byte, tornBytes int) {
		c := qt.New(t)
		fs := newMemFS()
		log, _, err := open(fs)
		c.Assert(err, qt.IsNil)
		c.Assert(log.Save(&consensus.HardState{Term: 1}, entries(1, 2, 1)), qt.IsNil)
		segment := fs.names[dir+"/0000000000000001.wal"]
		validBytes := len(segment.data)
		c.Assert(log.Save(nil, entries(3, 3, 1)), qt.IsNil)
		complete := segment.data
		kept := validBytes + max(0, min(tornBytes, len(complete)-validBytes-1))
		segment.data = append(complete[:kept:kept], tail...)
		want := 2
		if bytes.HasPrefix(segment.data, complete) {
			want = 3 // the arbitrary bytes complete the torn record
		}
		c.Assert(log.Close(), qt.IsNil)
		_, r, err := open(fs)
		c.Assert(err, qt.IsNil)
		c.Assert(r.Entries, qt.HasLen, want)
	})
}
