// Package wal keeps the durable state of a consensus member: a segmented log
// of hard states and entries, the latest snapshot, and the member's identity.
//
// A Save is durable once it has returned, and costs one fsync. After a failed
// write or fsync the log stops for good: an fsync that is repeated after a
// failure may succeed although the data is lost. For the same reason Open
// writes the last segment anew instead of trusting pages that a failed fsync
// may have left in the cache.
//
// Open cuts a record that a crash has torn at the end of the last segment, and
// reports it. Damage to the very last record cannot be told from a torn one;
// damage anywhere else is refused with ErrCorrupt.
package wal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"auburnstep.example/auburnstep/internal/consensus"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("wal")

// Errors of a Log; compare with errors.Is.
var (
	// ErrCorrupt means that stored data is damaged or missing. The error's
	// text names file and offset; see CorruptError.
	ErrCorrupt = Error.New("stored data is corrupt")
	// ErrStopped means that a write or fsync failed; the member must stop.
	ErrStopped = Error.New("log stopped after a failed write")
	// ErrLocked means that another process uses the folder.
	ErrLocked = Error.New("data folder is in use by another process")
	// ErrCluster means that the folder belongs to another cluster.
	ErrCluster = Error.New("data folder belongs to another cluster")
	// ErrInvalid means that entries do not continue the log. Nothing was written.
	ErrInvalid = Error.New("entries do not continue the log")
)

// CorruptError tells where stored data is damaged. It matches ErrCorrupt.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the place and the kind of the damage.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }

// DefaultSegmentBytes is the size from which on a new segment is started. Open
// rewrites one segment, so the size bounds the cost of a start.
const DefaultSegmentBytes = 4 << 20

// Options configures a Log.
type Options struct {
	// Cluster is the name of the cluster that the folder must belong to.
	Cluster string
	// SegmentBytes is the size limit of segments; 0 means the default.
	SegmentBytes int64
	// FS is the file system; nil means OS.
	FS FS
	// NewID draws the member ID of an empty folder; nil means a random one.
	NewID func() (uint64, error)
}

// TornTail describes a record that a crash has torn and that Open has cut off.
type TornTail struct {
	File   string
	Offset int64
	Bytes  int64
}

// Restored is what Open found.
type Restored struct {
	consensus.Restored
	Identity Identity
	// Empty is set if nothing was saved yet: the member is new.
	Empty bool
	// Torn is nil if the log ended cleanly.
	Torn *TornTail
}

// segment is a closed segment with the highest entry index in it.
type segment struct {
	seq, last uint64
}

// Log is the durable state of one member. It is used by one goroutine.
type Log struct {
	dir      string
	fs       FS
	limit    int64
	lock     io.Closer
	identity Identity

	file   File
	seq    uint64
	size   int64
	last   uint64 // highest entry index in the open segment
	closed []segment

	hard    consensus.HardState
	base    marker
	terms   []uint64 // terms of the entries behind base
	buffer  []byte
	stopped error
}

// Identity returns the identity stored in the folder.
func (l *Log) Identity() Identity { return l.identity }

// Save appends entries and the hard state and returns once they are durable.
// Entries replace stored ones of the same or a higher index. A change of the
// commit index alone is kept in memory until the next record: it need not be
// durable, since a leader tells it again.
func (l *Log) Save(hs *consensus.HardState, entries []consensus.Entry) error {
	if l.stopped != nil {
		return l.stopped
	}
	if err := l.check(entries); err != nil {
		return err
	}
	voted := hs != nil && (hs.Term != l.hard.Term || hs.Vote != l.hard.Vote)
	store := len(entries) > 0 || voted
	if store && l.size >= l.limit {
		// The new segment begins with the hard state that the entries stored
		// so far support, not with the one to be saved.
		if err := l.rotate(nil); err != nil {
			return err
		}
	}
	if hs != nil {
		l.hard = *hs
	}
	if !store {
		return nil
	}
	return l.write(record{hard: &l.hard, entries: entries})
}

// check verifies that the entries follow each other and the log.
func (l *Log) check(entries []consensus.Entry) error {
	for i, e := range entries {
		if e.Index != entries[0].Index+uint64(i) {
			return ErrInvalid
		}
	}
	if len(entries) == 0 {
		return nil
	}
	if first := entries[0].Index; first <= l.base.index || first > l.lastIndex()+1 {
		return ErrInvalid
	}
	return nil
}

func (l *Log) lastIndex() uint64 { return l.base.index + uint64(len(l.terms)) }

// write appends one record to the open segment and syncs it.
func (l *Log) write(r record) error {
	l.buffer = appendRecord(l.buffer[:0], l.seq, l.size, r)
	if len(l.buffer) > maxRecordSize {
		return ErrInvalid
	}
	if _, err := l.file.Write(l.buffer); err != nil {
		return l.stop(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.stop(err)
	}
	l.size += int64(len(l.buffer))
	l.note(r.entries)
	return nil
}

// note records the terms of entries that were written.
func (l *Log) note(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	l.terms = l.terms[:entries[0].Index-l.base.index-1]
	for _, e := range entries {
		l.terms = append(l.terms, e.Term)
	}
	l.last = max(l.last, entries[len(entries)-1].Index)
}

// stop makes every later call fail.
func (l *Log) stop(cause error) error {
	l.stopped = Error.Wrap(errors.Join(ErrStopped, cause))
	return l.stopped
}

// rotate starts a new segment that begins with the hard state and a marker.
func (l *Log) rotate(m *marker) error {
	if m == nil {
		m = &marker{index: l.base.index, term: l.base.term}
	}
	seq := l.seq + 1
	b := segmentHeader(seq)
	b = appendRecord(b, seq, int64(len(b)), record{hard: &l.hard, marker: m})
	f, err := l.create(segmentName(seq), b)
	if err != nil {
		return l.stop(err)
	}
	old := l.file
	l.closed = append(l.closed, segment{l.seq, l.last})
	l.file, l.seq, l.size, l.last = f, seq, int64(len(b)), 0
	// Everything in the old segment is durable already.
	_ = old.Close()
	return nil
}

// create makes a file with the contents durable under its name and leaves it
// open for appending. The file never exists with part of the contents.
func (l *Log) create(name string, contents []byte) (File, error) {
	path := filepath.Join(l.dir, name)
	f, err := l.fs.Create(path + temporarySuffix)
	if err != nil {
		return nil, err
	}
	if err := l.install(f, path, contents); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

func (l *Log) install(f File, path string, contents []byte) error {
	if _, err := f.Write(contents); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := l.fs.Rename(path+temporarySuffix, path); err != nil {
		return err
	}
	return l.fs.SyncDir(l.dir)
}

// Close releases the files and the lock. It saves nothing.
func (l *Log) Close() error {
	if l.stopped == nil {
		l.stopped = ErrStopped
	}
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	return Error.Wrap(errors.Join(err, l.lock.Close()))
}
