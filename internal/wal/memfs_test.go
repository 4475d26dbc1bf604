package wal_test

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"

	"auburnstep.example/auburnstep/internal/wal"
)

var (
	errNoSpace = errors.New("no space left on device")
	errIO      = errors.New("input/output error")
	errBusy    = errors.New("locked")
)

// inode holds the contents of a file. durable is the part that is certain to survive
// a power loss.
type inode struct{ data, durable []byte }

// memFS is an in-memory file system that can lose unsynced data as in a power loss
// and can inject write and sync failures.
type memFS struct {
	// names holds the files by name; durable holds those whose names are
	// certain to survive a power loss.
	names, durable map[string]*inode
	locks          map[string]bool
	// writesLeft and syncsLeft are the numbers of calls that succeed before one
	// fails; a negative number means no failure. A failing write still writes up
	// to shortBytes bytes.
	writesLeft, syncsLeft, shortBytes int
	failedSyncs                       int
	// changesLeft is the number of calls that change the file system, of any kind,
	// which succeed before all later ones fail; a negative number means no failure.
	changesLeft int
}

// change reports the failure of a call that changes the file system.
func (m *memFS) change() error {
	if m.changesLeft == 0 {
		return errNoSpace
	}
	m.changesLeft--
	return nil
}

func newMemFS() *memFS {
	return &memFS{names: map[string]*inode{}, durable: map[string]*inode{}, locks: map[string]bool{}, writesLeft: -1, syncsLeft: -1, changesLeft: -1}
}

// crash simulates a power loss, in which any part of the unsynced changes may
// survive. keep(n) decides how many of n unsynced bytes of a file survive. For a
// name that was created or removed without a directory sync, keep(1) is 1 if the
// name exists afterwards and 0 if not.
func (m *memFS) crash(keep func(int) int) {
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		if m.durable[name] != m.names[name] && keep(1) == 1 {
			m.durable[name] = m.names[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		if m.names[name] == nil && keep(1) == 0 {
			delete(m.durable, name)
		}
	}
	m.names = map[string]*inode{}
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		f := m.durable[name]
		unsynced := len(f.data) - len(f.durable)
		f = &inode{data: slices.Clone(f.data[:len(f.durable)+keep(unsynced)])}
		f.durable = f.data
		m.names[name] = f
	}
	m.durable = maps.Clone(m.names)
	m.restart()
}

// restart simulates a restart of the process without a power loss: unsynced data
// stays readable and unsynced. It also ends the injected failures.
func (m *memFS) restart() {
	m.locks = map[string]bool{}
	m.writesLeft, m.syncsLeft, m.changesLeft = -1, -1, -1
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) List(dir string) ([]string, error) {
	var names []string
	for name := range m.names {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	if f, ok := m.names[name]; ok {
		return slices.Clone(f.data), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) Create(name string) (wal.File, error) {
	if err := m.change(); err != nil {
		return nil, err
	}
	m.names[name] = &inode{}
	return &memFile{m, m.names[name]}, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.change(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.change(); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.change(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.names)
	return nil
}

func (m *memFS) Lock(name string) (io.Closer, error) {
	if m.locks[name] {
		return nil, errBusy
	}
	m.locks[name] = true
	return memLock{m, name}, nil
}

type memLock struct {
	m    *memFS
	name string
}

func (l memLock) Close() error {
	delete(l.m.locks, l.name)
	return nil
}

type memFile struct {
	m *memFS
	f *inode
}

func (f *memFile) Write(b []byte) (int, error) {
	if f.m.changesLeft == 0 {
		n := min(f.m.shortBytes, len(b))
		f.f.data = append(f.f.data, b[:n]...)
		return n, errNoSpace
	}
	f.m.changesLeft--
	if f.m.writesLeft == 0 {
		n := min(f.m.shortBytes, len(b))
		f.f.data = append(f.f.data, b[:n]...)
		return n, errNoSpace
	}
	f.m.writesLeft--
	f.f.data = append(f.f.data, b...)
	return len(b), nil
}

// Sync reports an injected failure only once. As on Linux, later calls succeed
// without making the data durable.
func (f *memFile) Sync() error {
	if err := f.m.change(); err != nil {
		return err
	}
	if f.m.syncsLeft == 0 {
		f.m.failedSyncs++
		if f.m.failedSyncs == 1 {
			return errIO
		}
		return nil
	}
	f.m.syncsLeft--
	f.f.durable = slices.Clone(f.f.data)
	return nil
}

func (f *memFile) Close() error { return nil }
