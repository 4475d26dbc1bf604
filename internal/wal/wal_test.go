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

// drawnRuns is the number of drawn sequences of operations.
const drawnRuns = 3000

func TestMain(m *testing.M) { os.Exit(properties.Run(m, drawnRuns)) }

// model is what a log must hold.
type model struct {
	hard     consensus.HardState
	snapshot consensus.Snapshot
	entries  []consensus.Entry
}

func (m model) save(hs consensus.HardState, e []consensus.Entry) model {
	m.hard = hs
	if len(e) > 0 {
		m.entries = append(slices.Clone(m.entries[:e[0].Index-m.snapshot.Index-1]), e...)
	}
	return m
}

func (m model) take(s consensus.Snapshot) model {
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

// equals compares with a restored state. The commit index may be older.
func (m model) equals(r wal.Restored) bool {
	return m.hard.Term == r.HardState.Term && m.hard.Vote == r.HardState.Vote && r.HardState.Commit <= max(m.hard.Commit, m.snapshot.Index) &&
		fmt.Sprint(m.snapshot) == fmt.Sprint(r.Snapshot) && fmt.Sprint(m.entries) == fmt.Sprint(r.Entries)
}

// TestCrashProperties guards against loss or change of acknowledged state in a
// crash at any place, against half an operation being visible afterwards, and
// against work after a failed write or fsync.
func TestCrashProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemFS()
		log, r, err := open(fs)
		must(t, err)
		member, now, next := r.Identity.Member, model{}, model{}
		for range rapid.IntRange(1, 25).Draw(t, "operations") {
			fail := rapid.IntRange(0, 9).Draw(t, "fault")
			if fail < 3 {
				fs.writesLeft, fs.shortBytes = fail, rapid.IntRange(0, 60).Draw(t, "short write")
			} else if fail < 6 {
				fs.syncsLeft, fs.failedSyncs = fail-3, 0
			}
			next, err = operate(t, log, now)
			if err == nil {
				now = next
				fs.writesLeft, fs.syncsLeft = -1, -1
				if rapid.IntRange(0, 3).Draw(t, "crash") > 0 {
					continue
				}
			} else {
				stopped := log.Save(&consensus.HardState{Term: 99}, nil)
				if !errors.Is(err, wal.ErrStopped) || !errors.Is(stopped, wal.ErrStopped) {
					t.Fatalf("after a fault: %v, then %v", err, stopped)
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
				t.Fatalf("identity changed")
			case next.equals(r):
				now = next
			case !now.equals(r):
				t.Fatalf("restored %+v, want %+v or %+v", r, now, next)
			}
		}
	})
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

// operate performs one operation and returns the model after its success.
func operate(t *rapid.T, log *wal.Log, now model) (model, error) {
	term := now.hard.Term + uint64(rapid.IntRange(0, 1).Draw(t, "term"))
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		index := now.snapshot.Index + uint64(rapid.IntRange(1, 6).Draw(t, "snapshot"))
		s := snapshot(index, term)
		if i := index - now.snapshot.Index; i <= uint64(len(now.entries)) && rapid.Bool().Draw(t, "own") {
			s.Term = now.entries[i-1].Term
		}
		return now.take(s), log.SaveSnapshot(s)
	}
	first := now.last() + 1 - uint64(rapid.IntRange(0, len(now.entries)).Draw(t, "truncated"))
	e := entries(first, first+uint64(rapid.IntRange(0, 4).Draw(t, "entries"))-1, term)
	hs := consensus.HardState{Term: term, Vote: uint64(rapid.IntRange(0, 2).Draw(t, "vote")), Commit: now.snapshot.Index}
	return now.save(hs, e), log.Save(&hs, e)
}

// filled returns a folder with several segments and an open log.
func filled(c *qt.C) (*memFS, *wal.Log) {
	fs := newMemFS()
	log, _, err := open(fs)
	c.Assert(err, qt.IsNil)
	for i := uint64(1); i <= 30; i++ {
		c.Assert(log.Save(&consensus.HardState{Term: 1, Vote: 2, Commit: i}, entries(i, i, 1)), qt.IsNil)
	}
	c.Assert(log.Close(), qt.IsNil)
	return fs, log
}

// files returns the names with the suffix in order.
func (m *memFS) files(suffix string) []string {
	names, _ := m.List(dir)
	return slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, suffix) })
}

// TestDamage guards against reading on over damaged or missing files.
func TestDamage(t *testing.T) {
	tests := []struct {
		name   string
		damage func(m *memFS)
		file   string // named by the error; empty if the log opens
		torn   bool
	}{
		{"none", func(*memFS) {}, "", false},
		{"bit flip in a closed segment", func(m *memFS) { m.names[dir+"/"+m.files(".wal")[1]].data[60] ^= 1 }, "0000000000000002.wal", false},
		{"bit flip in the middle of the last segment", func(m *memFS) { flipLast(m, 25) }, "last", false},
		{"cut in a closed segment", func(m *memFS) { cut(m, 0, 3) }, "0000000000000001.wal", false},
		{"cut in the last record", func(m *memFS) { cut(m, -1, 3) }, "", true},
		{"zeros after the last record", func(m *memFS) { zeros(m) }, "", true},
		{"copy of the last record behind it", func(m *memFS) { repeat(m) }, "", true},
		{"segment missing", func(m *memFS) { delete(m.names, dir+"/"+m.files(".wal")[1]) }, "0000000000000002.wal", false},
		{"first segment missing", func(m *memFS) { delete(m.names, dir+"/"+m.files(".wal")[0]) }, "0000000000000001.wal", false},
		{"all segments missing", func(m *memFS) {
			for _, n := range m.files(".wal") {
				delete(m.names, dir+"/"+n)
			}
		}, "0000000000000001.wal", false},
		{"identity missing", func(m *memFS) { delete(m.names, dir+"/identity") }, "identity", false},
		{"identity damaged", func(m *memFS) { m.names[dir+"/identity"].data[9] ^= 1 }, "identity", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fs, _ := filled(c)
			last := fs.files(".wal")[len(fs.files(".wal"))-1]
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

func flipLast(m *memFS, at int) {
	names := m.files(".wal")
	m.names[dir+"/"+names[len(names)-1]].data[at] ^= 1
}

func cut(m *memFS, file, n int) {
	names := m.files(".wal")
	f := m.names[dir+"/"+names[(file+len(names))%len(names)]]
	f.data = f.data[:len(f.data)-n]
}

func repeat(m *memFS) {
	names := m.files(".wal")
	f := m.names[dir+"/"+names[len(names)-1]]
	f.data = append(f.data, f.data[bytes.LastIndex(f.data, []byte("rec1")):]...)
}

func zeros(m *memFS) {
	names := m.files(".wal")
	f := m.names[dir+"/"+names[len(names)-1]]
	f.data = append(f.data, make([]byte, 100)...)
}

// TestFolder guards against two processes on one folder, use of another
// cluster's folder and a snapshot that leaves old files behind.
func TestFolder(t *testing.T) {
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
	c.Assert(errors.Is(err, wal.ErrCluster), qt.IsTrue)
	_, again, err := wal.Open(path, options)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Identity, qt.Equals, r.Identity)
	c.Assert(again.Snapshot, qt.DeepEquals, snapshot(50, 1))
}

// FuzzReader guards against a crash or an accepted record on arbitrary bytes
// behind a valid log, with or without the start of a torn record.
func FuzzReader(f *testing.F) {
	f.Add([]byte("rec1"), 0)
	f.Add(bytes.Repeat([]byte{0xff}, 40), 3)
	f.Fuzz(func(t *testing.T, tail []byte, cut int) {
		c := qt.New(t)
		fs := newMemFS()
		log, _, err := open(fs)
		c.Assert(err, qt.IsNil)
		c.Assert(log.Save(&consensus.HardState{Term: 1}, entries(1, 2, 1)), qt.IsNil)
		segment := fs.names[dir+"/0000000000000001.wal"]
		sound := len(segment.data)
		c.Assert(log.Save(nil, entries(3, 3, 1)), qt.IsNil)
		whole := segment.data
		keep := sound + max(0, min(cut, len(whole)-sound-1))
		segment.data = append(whole[:keep:keep], tail...)
		want := 2
		if bytes.HasPrefix(segment.data, whole) {
			want = 3 // the fuzzer completed the record
		}
		c.Assert(log.Close(), qt.IsNil)
		_, r, err := open(fs)
		c.Assert(err, qt.IsNil)
		c.Assert(r.Entries, qt.HasLen, want)
	})
}
