package daemon

import (
	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/control"
)

// memoryStorage keeps nothing on disk. It stands in until the log package is
// merged; a member that restarts with it joins as a new one.
type memoryStorage struct{ identity control.Identity }

// LoadIdentity implements control.Storage.
func (s *memoryStorage) LoadIdentity() (control.Identity, bool, error) {
	return s.identity, s.identity.ID != 0, nil
}

// SaveIdentity implements control.Storage.
func (s *memoryStorage) SaveIdentity(i control.Identity) error { s.identity = i; return nil }

// OpenLog implements control.Storage.
func (s *memoryStorage) OpenLog() (control.Log, consensus.Restored, error) {
	return s, consensus.Restored{}, nil
}

// Save implements control.Log.
func (s *memoryStorage) Save(*consensus.HardState, []consensus.Entry) error { return nil }

// SaveSnapshot implements control.Log.
func (s *memoryStorage) SaveSnapshot(consensus.Snapshot) error { return nil }

// Close implements control.Log.
func (s *memoryStorage) Close() error { return nil }
