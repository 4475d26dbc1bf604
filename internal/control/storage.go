package control

import (
	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/wal"
)

// Log is the durable log of a member; see package wal. Its methods must not be
// called concurrently.
type Log interface {
	Save(hs *consensus.HardState, entries []consensus.Entry) error
	SaveSnapshot(s consensus.Snapshot) error
	Close() error
}

// OpenResult describes what Storage.Open found in a data directory.
type OpenResult struct {
	// ID is the member ID, which is generated at random when the directory is first
	// used. A member that lost its directory gets a new ID, so it can never vote a
	// second time under the former one.
	ID uint64
	// New is set if the directory was empty.
	New      bool
	Restored consensus.Restored
	// TornBytes is the length of the incomplete record that was removed from the
	// end of the log, or 0 if there was none.
	TornBytes int64
}

// Storage opens the data directory of a member.
type Storage interface {
	Open(cluster string) (Log, OpenResult, error)
	// Clear removes the log and the identity of the member, with the effect of a lost disk.
	// No log may be open.
	Clear() error
}

// NewDirStorage returns a Storage for a directory of the file system. keep lists the names of
// files in it that belong to others.
func NewDirStorage(dir string, keep ...string) Storage {
	return dirStorage{dir: dir, keep: keep, fs: wal.OS{}}
}

type dirStorage struct {
	dir  string
	keep []string
	fs   wal.FS
}

// Open implements Storage.
func (d dirStorage) Open(cluster string) (Log, OpenResult, error) {
	log, r, err := wal.Open(d.dir, wal.Options{Cluster: cluster, FS: d.fs})
	if err != nil {
		return nil, OpenResult{}, err
	}
	o := OpenResult{ID: r.Identity.Member, New: r.Empty, Restored: r.Restored}
	if r.Torn != nil {
		o.TornBytes = r.Torn.Bytes
	}
	return log, o, nil
}

// Clear implements Storage.
func (d dirStorage) Clear() error { return wal.Clear(d.dir, d.fs, d.keep...) }
