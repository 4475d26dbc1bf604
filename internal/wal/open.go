package wal

import (
	"errors"
	"path/filepath"
	"strconv"
	"strings"

	"auburnstep.example/auburnstep/internal/consensus"
)

// dirListing lists the files of a data directory by kind.
type dirListing struct {
	identity  bool
	cleared   bool     // Clear has begun and was interrupted
	segments  []uint64 // sequence numbers
	snapshots []string
	temporary []string
}

// Open opens or creates the log in dir. It returns ErrLocked, ErrClusterMismatch
// or ErrCorrupt if the directory must not be used.
func Open(dir string, o Options) (*Log, Restored, error) {
	l := &Log{dir: dir, fs: o.FS, maxSegmentBytes: o.SegmentBytes}
	if l.fs == nil {
		l.fs = OS{}
	}
	if l.maxSegmentBytes <= 0 {
		l.maxSegmentBytes = DefaultSegmentBytes
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
	listing, err := l.listDir()
	if err != nil {
		return Restored{}, err
	}
	if !listing.identity && listing.cleared {
		if err := l.finishClear(listing); err != nil {
			return Restored{}, err
		}
		listing = dirListing{}
	}
	if !listing.identity {
		if err := l.initialize(o, listing); err != nil {
			return Restored{}, err
		}
		return Restored{Identity: l.identity, Empty: true}, nil
	}
	if err := l.readIdentity(o.Cluster); err != nil {
		return Restored{}, err
	}
	return l.recover(listing)
}

func (l *Log) listDir() (dirListing, error) {
	var listing dirListing
	names, err := l.fs.List(l.dir)
	if err != nil {
		return listing, Error.Wrap(err)
	}
	for _, name := range names {
		switch {
		case name == identityName:
			listing.identity = true
		case name == clearedName:
			listing.cleared = true
		case strings.HasSuffix(name, tempSuffix):
			listing.temporary = append(listing.temporary, name)
		case strings.HasSuffix(name, snapshotSuffix):
			listing.snapshots = append(listing.snapshots, name)
		case strings.HasSuffix(name, segmentSuffix):
			seq, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64)
			if err != nil {
				return listing, l.corruptError(name, 0, "segment name is not a hexadecimal sequence number")
			}
			listing.segments = append(listing.segments, seq)
		}
	}
	return listing, nil
}

func (l *Log) corruptError(name string, offset int64, reason string) error {
	return &CorruptError{File: filepath.Join(l.dir, name), Offset: offset, Reason: reason}
}

// initialize creates the first segment and then the identity. A crash in between
// leaves an empty first segment, which initialize replaces. Any other segment or
// snapshot without an identity means that the identity was lost. initialize then
// returns ErrCorrupt, because a member with a new identity must not use them.
func (l *Log) initialize(o Options, listing dirListing) error {
	if len(listing.snapshots) > 0 || len(listing.segments) > 1 || len(listing.segments) == 1 && listing.segments[0] != 1 {
		return l.corruptError(identityName, 0, "missing, but the directory holds a log")
	}
	header := segmentHeader(1)
	if len(listing.segments) == 1 {
		b, err := l.fs.ReadFile(filepath.Join(l.dir, segmentName(1)))
		if err != nil {
			return Error.Wrap(err)
		}
		if len(b) > len(header) {
			return l.corruptError(identityName, 0, "missing, but the directory holds a log")
		}
	}
	newMemberID := o.NewMemberID
	if newMemberID == nil {
		newMemberID = randomMemberID
	}
	member, err := newMemberID()
	if err != nil {
		return Error.Wrap(err)
	}
	l.identity = Identity{Cluster: o.Cluster, Member: member}
	if l.file, err = l.createDurable(segmentName(1), header); err != nil {
		return l.stop(err)
	}
	l.seq, l.segmentBytes = 1, int64(len(header))
	f, err := l.createDurable(identityName, encodeIdentity(l.identity))
	if err != nil {
		return l.stop(err)
	}
	return Error.Wrap(f.Close())
}

// recover loads the latest snapshot, replays the segments and rewrites the last
// segment.
func (l *Log) recover(listing dirListing) (Restored, error) {
	r := Restored{Identity: l.identity}
	for _, name := range listing.temporary {
		if err := l.removeFile(name); err != nil {
			return r, Error.Wrap(err)
		}
	}
	snapshot, err := l.readSnapshot(listing.snapshots)
	if err != nil {
		return r, err
	}
	p := replay{log: l}
	if err := p.segments(listing.segments); err != nil {
		return r, err
	}
	if err := p.applySnapshot(snapshot); err != nil {
		return r, err
	}
	if err := l.rewriteLastSegment(&p); err != nil {
		return r, err
	}
	r.HardState, r.Snapshot, r.Entries, r.Torn = l.hardState, snapshot, p.entries, p.torn
	r.Empty = l.hardState == consensus.HardState{} && snapshot.Index == 0 && len(p.entries) == 0
	return r, l.removeObsolete()
}

// readSnapshot loads the latest snapshot. A snapshot file gets its name only when
// its contents are durable, so a damaged file does not result from a crash and is
// reported as ErrCorrupt.
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
		return s, l.corruptError(name, 0, "invalid format or checksum, or index differs from the file name")
	}
	return s, nil
}

// rewriteLastSegment replaces the last segment by a new file that holds its valid
// records, followed by a record of the current hard state and marker.
func (l *Log) rewriteLastSegment(p *replay) error {
	b := appendRecord(p.validPrefix, l.seq, int64(len(p.validPrefix)), record{hardState: &l.hardState, marker: &p.marker})
	f, err := l.createDurable(segmentName(l.seq), b)
	if err != nil {
		return l.stop(err)
	}
	l.file, l.segmentBytes = f, int64(len(b))
	return nil
}
