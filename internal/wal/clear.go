package wal

import (
	"errors"
	"path/filepath"
	"slices"
)

// clearedName is the name that Clear gives to the identity. A directory with this file
// and without an identity holds nothing of value.
const clearedName = identityName + ".cleared"

// Clear removes the log and the identity in dir, and all other files except those named in
// keep. A nil file system means OS. No Log may be open in dir.
//
// The identity is renamed first, which decides the outcome at once: if Clear fails or is
// interrupted, the next Open finds either the whole log or a directory to be emptied. Other
// orders of removal leave a part of the log, which Open refuses as corrupt.
func Clear(dir string, fs FS, keep ...string) (err error) {
	if fs == nil {
		fs = OS{}
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return Error.Wrap(errors.Join(ErrLocked, err))
	}
	l := &Log{dir: dir, fs: fs, lock: lock}
	defer func() { err = errors.Join(err, l.Close()) }()
	listing, err := l.listDir()
	if err != nil {
		return err
	}
	if listing.identity {
		if err := fs.Rename(filepath.Join(dir, identityName), filepath.Join(dir, clearedName)); err != nil {
			return Error.Wrap(err)
		}
		if err := fs.SyncDir(dir); err != nil {
			return Error.Wrap(err)
		}
	}
	if err := l.finishClear(listing); err != nil {
		return err
	}
	names, err := fs.List(dir)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, name := range names {
		if name != lockName && !slices.Contains(keep, name) {
			err = errors.Join(err, fs.Remove(filepath.Join(dir, name)))
		}
	}
	return Error.Wrap(errors.Join(err, fs.SyncDir(dir)))
}

// finishClear removes the files of a log whose identity Clear has renamed. The renamed
// identity goes last and durably, before a new identity can be created.
func (l *Log) finishClear(listing dirListing) error {
	names := append(slices.Clone(listing.temporary), listing.snapshots...)
	for _, seq := range listing.segments {
		names = append(names, segmentName(seq))
	}
	for _, name := range names {
		if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
			return Error.Wrap(err)
		}
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return Error.Wrap(err)
	}
	if !listing.identity && !listing.cleared {
		return nil
	}
	return Error.Wrap(l.removeFile(clearedName))
}
