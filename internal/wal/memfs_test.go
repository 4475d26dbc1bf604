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

// inode is a file's contents; durable is what a crash leaves for certain.
type inode struct{ data, durable []byte }

// memFS is a file system in memory that loses what was not synced in a crash
// and fails on demand.
type memFS struct {
	names, durable map[string]*inode
	locked         map[string]bool
	// writesLeft and syncsLeft count the successful calls before a failure;
	// negative means no failure. A failing write writes shortBytes bytes.
	writesLeft, syncsLeft, shortBytes int
	failedSyncs                       int
}

func newMemFS() *memFS {
	return &memFS{names: map[string]*inode{}, durable: map[string]*inode{}, locked: map[string]bool{}, writesLeft: -1, syncsLeft: -1}
}

// crash drops unsynced data. keep decides how much of it survives by chance,
// given the number of bytes; for a name that was not synced, of one byte.
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

// restart ends the process only; unsynced data stays readable and unsynced.
func (m *memFS) restart() {
	m.locked = map[string]bool{}
	m.writesLeft, m.syncsLeft = -1, -1
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
	m.names[name] = &inode{}
	return &memFile{m, m.names[name]}, nil
}

func (m *memFS) Rename(from, to string) error {
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	delete(m.names, name)
	return nil
}

func (m *memFS) SyncDir(string) error {
	m.durable = maps.Clone(m.names)
	return nil
}

func (m *memFS) Lock(name string) (io.Closer, error) {
	if m.locked[name] {
		return nil, errBusy
	}
	m.locked[name] = true
	return unlock{m, name}, nil
}

type unlock struct {
	m    *memFS
	name string
}

func (u unlock) Close() error {
	delete(u.m.locked, u.name)
	return nil
}

type memFile struct {
	m *memFS
	f *inode
}

func (f *memFile) Write(b []byte) (int, error) {
	if f.m.writesLeft == 0 {
		n := min(f.m.shortBytes, len(b))
		f.f.data = append(f.f.data, b[:n]...)
		return n, errNoSpace
	}
	f.m.writesLeft--
	f.f.data = append(f.f.data, b...)
	return len(b), nil
}

// Sync reports a failure once and then succeeds without making data durable,
// as Linux does.
func (f *memFile) Sync() error {
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
