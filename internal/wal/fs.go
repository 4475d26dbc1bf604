package wal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is a file that is only appended to.
type File interface {
	io.Writer
	// Sync returns once all written data is durable.
	Sync() error
	Close() error
}

// FS is the part of a file system that a Log needs. Tests replace it to inject
// faults and to simulate the loss of data that was not synced.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names of the files in dir in ascending order.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file, replacing one that exists.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files in dir durable.
	SyncDir(dir string) error
	// Lock acquires an exclusive lock, which is released when the lock is closed
	// or the process ends. It fails without waiting if another process holds the
	// lock.
	Lock(name string) (io.Closer, error)
}

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll creates dir and its parents and makes the directory entry of dir durable.
func (OS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	return OS{}.SyncDir(filepath.Dir(dir))
}

// List returns the names of the files in dir in ascending order.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// ReadFile returns the contents of a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create creates an empty file, replacing one that exists.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename renames a file, replacing one that exists.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the creation, renaming and removal of files in dir durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	if err := d.Sync(); err != nil {
		_ = d.Close()
		return err
	}
	return d.Close()
}

// Lock acquires an exclusive advisory lock (flock) on a file.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}
