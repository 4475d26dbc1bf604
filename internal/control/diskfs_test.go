package control

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"

	"auburnstep.example/auburnstep/internal/wal"
)

var errFull = errors.New("no space left on device")

// diskFS is a file system in memory that can be full. What was written stays when the
// process ends; the loss of power is not simulated.
type diskFS struct {
	mu     sync.Mutex
	rng    *rand.Rand
	names  map[string][]byte
	locked map[string]bool
	full   bool
	// changesLeft is the number of changes that a full disk still accepts.
	changesLeft int
	// strict makes a full disk refuse renames, removals and syncs as well.
	strict bool
}

func newDiskFS(seed uint64) *diskFS {
	return &diskFS{rng: rand.New(rand.NewPCG(seed, 1)), names: make(map[string][]byte), locked: make(map[string]bool)}
}

// fill makes the disk full after some further changes.
func (d *diskFS) fill(changesLeft int, strict bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full, d.changesLeft, d.strict = true, changesLeft, strict
}

// free gives the disk room again.
func (d *diskFS) free() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = false
}

// change reports errFull if the disk refuses a change. The caller holds mu.
func (d *diskFS) change(needsRoom bool) error {
	if !d.full || !needsRoom && !d.strict {
		return nil
	}
	if d.changesLeft > 0 {
		d.changesLeft--
		return nil
	}
	return errFull
}

func (d *diskFS) MkdirAll(string) error { return nil }

func (d *diskFS) List(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.names {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (d *diskFS) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(b), nil
}

func (d *diskFS) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(true); err != nil {
		return nil, err
	}
	d.names[name] = nil
	return &diskFile{disk: d, name: name}, nil
}

// Rename moves the open file as well: only the newest file of a log is written to.
func (d *diskFS) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(false); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *diskFS) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(false); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

func (d *diskFS) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.change(false)
}

func (d *diskFS) Lock(name string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.names[name]; !ok {
		if err := d.change(true); err != nil {
			return nil, err
		}
		d.names[name] = nil
	}
	if d.locked[name] {
		return nil, errors.New("locked")
	}
	d.locked[name] = true
	return diskLock{d, name}, nil
}

type diskLock struct {
	disk *diskFS
	name string
}

func (l diskLock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	delete(l.disk.locked, l.name)
	return nil
}

// diskFile is a file that is appended to under its present name.
type diskFile struct {
	disk *diskFS
	name string
}

// Write writes a part of the data if the disk is full.
func (f *diskFile) Write(b []byte) (int, error) {
	d := f.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	// A file is written to under its temporary name until it is renamed.
	if _, ok := d.names[f.name]; !ok {
		f.name = f.name[:len(f.name)-len(filepath.Ext(f.name))]
	}
	n, err := len(b), d.change(true)
	if err != nil {
		n = d.rng.IntN(len(b) + 1)
	}
	d.names[f.name] = append(d.names[f.name], b[:n]...)
	return n, err
}

func (f *diskFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return f.disk.change(false)
}

func (f *diskFile) Close() error { return nil }

// size returns the size of all files.
func (d *diskFS) size() (total int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, content := range d.names {
		total += len(content)
	}
	return total
}
