package wal

import (
	"errors"
	"path/filepath"
	"strconv"
	"strings"

	"auburnstep.example/auburnstep/internal/consensus"
)

// contents lists the files of a folder by kind.
type contents struct {
	identity  bool
	segments  []uint64
	snapshots []string
	temporary []string
}

// Open opens or creates the log in dir. It returns ErrLocked, ErrCluster or
// ErrCorrupt if the folder must not be used.
func Open(dir string, o Options) (*Log, Restored, error) {
	l := &Log{dir: dir, fs: o.FS, limit: o.SegmentBytes}
	if l.fs == nil {
		l.fs = OS{}
	}
	if l.limit <= 0 {
		l.limit = DefaultSegmentBytes
	}
	if err := l.fs.MkdirAll(dir); err != nil {
		return nil, Restored{}, Error.Wrap(err)
	}
	lock, err := l.fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, Restored{}, Error.Wrap(errors.Join(ErrLocked, err))
	}
	l.lock = lock
	r, err := l.open(o)
	if err != nil {
		_ = l.Close()
		return nil, Restored{}, err
	}
	return l, r, nil
}

func (l *Log) open(o Options) (Restored, error) {
	c, err := l.list()
	if err != nil {
		return Restored{}, err
	}
	if !c.identity {
		if err := l.initialize(o, c); err != nil {
			return Restored{}, err
		}
		return Restored{Identity: l.identity, Empty: true}, nil
	}
	if err := l.readIdentity(o.Cluster); err != nil {
		return Restored{}, err
	}
	return l.recover(c)
}

func (l *Log) list() (contents, error) {
	var c contents
	names, err := l.fs.List(l.dir)
	if err != nil {
		return c, Error.Wrap(err)
	}
	for _, name := range names {
		switch {
		case name == identityName:
			c.identity = true
		case strings.HasSuffix(name, temporarySuffix):
			c.temporary = append(c.temporary, name)
		case strings.HasSuffix(name, snapshotSuffix):
			c.snapshots = append(c.snapshots, name)
		case strings.HasSuffix(name, segmentSuffix):
			seq, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64)
			if err != nil {
				return c, l.corrupt(name, 0, "unknown file name")
			}
			c.segments = append(c.segments, seq)
		}
	}
	return c, nil
}

func (l *Log) corrupt(name string, offset int64, reason string) error {
	return &CorruptError{File: filepath.Join(l.dir, name), Offset: offset, Reason: reason}
}

// initialize creates the first segment and then the identity. A crash in
// between leaves an empty first segment, which is replaced. Without an
// identity, other files mean that it was lost: the member must not start anew
// on them.
func (l *Log) initialize(o Options, c contents) error {
	if len(c.snapshots) > 0 || len(c.segments) > 1 || len(c.segments) == 1 && c.segments[0] != 1 {
		return l.corrupt(identityName, 0, "missing, but the folder holds a log")
	}
	first := segmentHeader(1)
	if len(c.segments) == 1 {
		b, err := l.fs.ReadFile(filepath.Join(l.dir, segmentName(1)))
		if err != nil {
			return Error.Wrap(err)
		}
		if len(b) > len(first) {
			return l.corrupt(identityName, 0, "missing, but the folder holds a log")
		}
	}
	draw := o.NewID
	if draw == nil {
		draw = randomID
	}
	member, err := draw()
	if err != nil {
		return Error.Wrap(err)
	}
	l.identity = Identity{Cluster: o.Cluster, Member: member}
	if l.file, err = l.create(segmentName(1), first); err != nil {
		return l.stop(err)
	}
	l.seq, l.size = 1, int64(len(first))
	f, err := l.create(identityName, encodeIdentity(l.identity))
	if err != nil {
		return l.stop(err)
	}
	return Error.Wrap(f.Close())
}

// recover replays the segments on the latest snapshot and writes the last
// segment anew.
func (l *Log) recover(c contents) (Restored, error) {
	r := Restored{Identity: l.identity}
	for _, name := range c.temporary {
		if err := l.remove(name); err != nil {
			return r, Error.Wrap(err)
		}
	}
	snapshot, err := l.readSnapshot(c.snapshots)
	if err != nil {
		return r, err
	}
	p := replay{log: l}
	if err := p.segments(c.segments); err != nil {
		return r, err
	}
	if err := p.finish(snapshot); err != nil {
		return r, err
	}
	if err := l.reopen(&p); err != nil {
		return r, err
	}
	r.HardState, r.Snapshot, r.Entries, r.Torn = l.hard, snapshot, p.entries, p.torn
	r.Empty = l.hard == consensus.HardState{} && snapshot.Index == 0 && len(p.entries) == 0
	return r, l.clean()
}

// readSnapshot loads the latest snapshot. Snapshots get their names only when
// they are durable, so a damaged one is no remnant of a crash.
func (l *Log) readSnapshot(names []string) (consensus.Snapshot, error) {
	if len(names) == 0 {
		return consensus.Snapshot{}, nil
	}
	name := names[len(names)-1]
	b, err := l.fs.ReadFile(filepath.Join(l.dir, name))
	if err != nil {
		return consensus.Snapshot{}, Error.Wrap(err)
	}
	s, ok := decodeSnapshot(b)
	if !ok || snapshotName(s.Index) != name {
		return s, l.corrupt(name, 0, "bad checksum")
	}
	return s, nil
}

// reopen writes the valid part of the last segment to a new file in its place
// and continues it with a record of the whole state.
func (l *Log) reopen(p *replay) error {
	b := appendRecord(p.tail, l.seq, int64(len(p.tail)), record{hard: &l.hard, marker: &p.marker})
	f, err := l.create(segmentName(l.seq), b)
	if err != nil {
		return l.stop(err)
	}
	l.file, l.size = f, int64(len(b))
	return nil
}
