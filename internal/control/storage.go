package control

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"auburnstep.example/auburnstep/internal/consensus"
)

// Identity is what a member keeps about itself next to its log.
type Identity struct {
	// ID is drawn at random for an empty data folder, so that a member that
	// lost its disk never votes as its former self.
	ID       uint64 `json:"id"`
	Cluster  string `json:"cluster"`
	Instance string `json:"instance"`
}

func drawID() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1 // not zero
}

// Log is the durable log of a member; see package wal.
type Log interface {
	Save(hs *consensus.HardState, entries []consensus.Entry) error
	SaveSnapshot(s consensus.Snapshot) error
	Close() error
}

// Storage is the data folder of a member.
type Storage interface {
	// LoadIdentity reports false for an empty folder.
	LoadIdentity() (Identity, bool, error)
	SaveIdentity(Identity) error
	OpenLog() (Log, consensus.Restored, error)
}

const identityFile = "identity.json"

func loadIdentity(dir string) (Identity, bool, error) {
	var id Identity
	b, err := os.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return id, false, nil
	}
	if err != nil {
		return id, false, Error.Wrap(err)
	}
	if err := json.Unmarshal(b, &id); err != nil || id.ID == 0 {
		return id, false, Error.New("%s is not readable: %v", filepath.Join(dir, identityFile), err)
	}
	return id, true, nil
}

// saveIdentity writes the file aside, syncs and renames it, so that a crash
// leaves either no identity or a whole one.
func saveIdentity(dir string, id Identity) error {
	b, err := json.Marshal(id)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return Error.Wrap(err)
	}
	path := filepath.Join(dir, identityFile)
	f, err := os.OpenFile(path+".tmp", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(path+".tmp", path)
	}
	if err == nil {
		err = syncDir(dir)
	}
	return Error.Wrap(err)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("open %s: %w", dir, err)
	}
	defer d.Close()
	return d.Sync()
}
