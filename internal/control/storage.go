package control

import (
	"errors"
	"os"
	"path/filepath"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/wal"
)

// Log is the durable log of a member; see package wal. It is used by one
// goroutine at a time.
type Log interface {
	Save(hs *consensus.HardState, entries []consensus.Entry) error
	SaveSnapshot(s consensus.Snapshot) error
	Close() error
}

// Opened is what a data folder holds.
type Opened struct {
	// ID was drawn when the folder was first used. A member that lost its
	// folder has another one and never votes as its former self.
	ID uint64
	// New is set for a folder that was empty.
	New      bool
	Restored consensus.Restored
	// TornBytes is the length of an unfinished record that was cut off.
	TornBytes int64
}

// Storage opens the data folder of a member.
type Storage interface {
	Open(cluster string) (Log, Opened, error)
	// Clear removes what the folder holds, as a lost disk would. Nothing may be open.
	Clear() error
}

// NewDirStorage returns the storage in a folder of the file system.
func NewDirStorage(dir string) Storage { return dirStorage(dir) }

type dirStorage string

// Open implements Storage.
func (d dirStorage) Open(cluster string) (Log, Opened, error) {
	log, r, err := wal.Open(string(d), wal.Options{Cluster: cluster})
	if err != nil {
		return nil, Opened{}, err
	}
	o := Opened{ID: r.Identity.Member, New: r.Empty, Restored: r.Restored}
	if r.Torn != nil {
		o.TornBytes = r.Torn.Bytes
	}
	return log, o, nil
}

// Clear implements Storage.
func (d dirStorage) Clear() error {
	files, err := os.ReadDir(string(d))
	for _, f := range files {
		err = errors.Join(err, os.RemoveAll(filepath.Join(string(d), f.Name())))
	}
	if err != nil {
		return Error.Wrap(err)
	}
	// The removal must be durable before a new identity is drawn, so that a power
	// loss does not mix two identities.
	dir, err := os.Open(string(d))
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(errors.Join(dir.Sync(), dir.Close()))
}
