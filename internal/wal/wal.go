// Package wal stores the durable state of a consensus member: a segmented log
// of hard states and entries, the latest snapshot, and the member's identity.
//
// Save returns once its data is durable, and costs one fsync unless it starts a
// new segment. After a failed write or fsync, every later Save and SaveSnapshot
// fails: an fsync that is repeated after a failure may succeed although the data
// is lost. For the same reason Open rewrites the last segment to a new file
// instead of trusting pages that a failed fsync may have left in the page cache.
//
// Open removes a record that a crash left incomplete at the end of the last
// segment, and reports it in Restored.Torn. Damage to the very last record cannot
// be distinguished from a torn write. For damage anywhere else Open returns
// ErrCorrupt.
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

// Errors of Open and of the methods of Log; compare them with errors.Is.
var (
	// ErrCorrupt means that stored data is damaged or missing. CorruptError
	// gives the file and the offset.
	ErrCorrupt = Error.New("stored data is corrupt")
	// ErrStopped means that a write or fsync failed, after which the member must
	// stop, or that the log is closed.
	ErrStopped = Error.New("log is closed or stopped after a failed write or fsync")
	// ErrLocked means that the lock of the data directory was not acquired,
	// usually because another process holds it.
	ErrLocked = Error.New("data directory is in use by another process")
	// ErrClusterMismatch means that the data directory belongs to another cluster.
	ErrClusterMismatch = Error.New("data directory belongs to another cluster")
	// ErrInvalid means that the entries do not continue the log, that they exceed
	// the size limit of a record, or that the snapshot is not newer than the
	// latest one. None of the data was stored.
	ErrInvalid = Error.New("entries or snapshot do not fit the log")
)

// CorruptError reports where stored data is damaged. It matches ErrCorrupt.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }

// DefaultSegmentBytes is the default segment size from which on Save starts a
// new segment. Open rewrites one segment, so this size bounds the cost of a start.
const DefaultSegmentBytes = 4 << 20

// Options configures a Log.
type Options struct {
	// Cluster is the name of the cluster that the data directory must belong to.
	Cluster string
	// SegmentBytes is the segment size from which on Save starts a new segment;
	// 0 means DefaultSegmentBytes.
	SegmentBytes int64
	// FS is the file system; nil means OS.
	FS FS
	// NewMemberID generates the member ID for an empty data directory; nil means a
	// random ID.
	NewMemberID func() (uint64, error)
}

// TornTail describes an incomplete last record that Open has removed.
type TornTail struct {
	File   string
	Offset int64
	Bytes  int64
}

// Restored is the stored state that Open loads.
type Restored struct {
	consensus.Restored
	Identity Identity
	// Empty is set if nothing was saved before: the member is new.
	Empty bool
	// Torn is nil if the log ended with a complete record.
	Torn *TornTail
}

// segment is a closed segment: its sequence number and the highest index of the
// entries in it, 0 if no entry needs the segment.
type segment struct {
	seq, maxIndex uint64
}

// Log is the durable state of one member. It must be used by one goroutine at a
// time.
type Log struct {
	dir             string
	fs              FS
	maxSegmentBytes int64
	lock            io.Closer
	identity        Identity

	file           File
	seq            uint64    // sequence number of the open segment
	segmentBytes   int64     // size of the open segment
	maxIndex       uint64    // highest entry index in the open segment, 0 for none
	closedSegments []segment // in ascending order

	hardState    consensus.HardState
	base         marker   // latest snapshot
	terms        []uint64 // terms of the entries after base
	recordBuffer []byte
	stopErr      error
}

// Identity returns the identity stored in the data directory.
func (l *Log) Identity() Identity { return l.identity }

// Save appends the entries and the hard state and returns once they are durable.
// The entries replace all stored entries of the same or a higher index. A change
// of the commit index alone stays in memory until the next record is written: it
// need not be durable, because a leader sends the commit index again.
func (l *Log) Save(hs *consensus.HardState, entries []consensus.Entry) error {
	if l.stopErr != nil {
		return l.stopErr
	}
	if err := l.checkEntries(entries); err != nil {
		return err
	}
	ballotChanged := hs != nil && (hs.Term != l.hardState.Term || hs.Vote != l.hardState.Vote)
	needsRecord := len(entries) > 0 || ballotChanged
	if needsRecord && l.segmentBytes >= l.maxSegmentBytes {
		// The new segment begins with the previous hard state, because the new
		// one may refer to entries that are stored only with the next record.
		if err := l.rotate(nil); err != nil {
			return err
		}
	}
	if hs != nil {
		l.hardState = *hs
	}
	if !needsRecord {
		return nil
	}
	return l.writeRecord(record{hardState: &l.hardState, entries: entries})
}

// checkEntries returns ErrInvalid unless the entries have consecutive indexes and
// start after the base and no later than directly after the last entry.
func (l *Log) checkEntries(entries []consensus.Entry) error {
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

// writeRecord appends a record to the open segment and syncs the segment.
func (l *Log) writeRecord(r record) error {
	l.recordBuffer = appendRecord(l.recordBuffer[:0], l.seq, l.segmentBytes, r)
	if len(l.recordBuffer) > maxRecordBytes {
		return ErrInvalid
	}
	if _, err := l.file.Write(l.recordBuffer); err != nil {
		return l.stop(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.stop(err)
	}
	l.segmentBytes += int64(len(l.recordBuffer))
	l.recordTerms(r.entries)
	return nil
}

// recordTerms updates terms and maxIndex with entries that were written.
func (l *Log) recordTerms(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	l.terms = l.terms[:entries[0].Index-l.base.index-1]
	for _, e := range entries {
		l.terms = append(l.terms, e.Term)
	}
	l.maxIndex = max(l.maxIndex, entries[len(entries)-1].Index)
}

// stop makes every later Save and SaveSnapshot fail with the error that it returns.
func (l *Log) stop(cause error) error {
	l.stopErr = Error.Wrap(errors.Join(ErrStopped, cause))
	return l.stopErr
}

// rotate starts a new segment with a record of the hard state and the marker, and
// closes the old one. A nil marker stands for that of the base.
func (l *Log) rotate(m *marker) error {
	if m == nil {
		m = &marker{index: l.base.index, term: l.base.term}
	}
	seq := l.seq + 1
	b := segmentHeader(seq)
	b = appendRecord(b, seq, int64(len(b)), record{hardState: &l.hardState, marker: m})
	f, err := l.createDurable(segmentName(seq), b)
	if err != nil {
		return l.stop(err)
	}
	old := l.file
	l.closedSegments = append(l.closedSegments, segment{l.seq, l.maxIndex})
	l.file, l.seq, l.segmentBytes, l.maxIndex = f, seq, int64(len(b)), 0
	// The contents of the old segment are durable already, so an error of Close
	// has no effect.
	_ = old.Close()
	return nil
}

// createDurable creates a file with the contents, makes it durable and returns it
// open for appending. The name never refers to a file with partial contents.
func (l *Log) createDurable(name string, contents []byte) (File, error) {
	path := filepath.Join(l.dir, name)
	f, err := l.fs.Create(path + tempSuffix)
	if err != nil {
		return nil, err
	}
	if err := l.writeAndRename(f, path, contents); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// writeAndRename writes the contents to the temporary file f, syncs it and renames
// it to path.
func (l *Log) writeAndRename(f File, path string, contents []byte) error {
	if _, err := f.Write(contents); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := l.fs.Rename(path+tempSuffix, path); err != nil {
		return err
	}
	return l.fs.SyncDir(l.dir)
}

// Close releases the files and the lock. It does not save a commit index that is
// only in memory.
func (l *Log) Close() error {
	if l.stopErr == nil {
		l.stopErr = ErrStopped
	}
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	return Error.Wrap(errors.Join(err, l.lock.Close()))
}
