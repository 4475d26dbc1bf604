package directory

import (
	"context"
	"encoding/binary"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

const (
	reportsFile = "crash-reports"
	// newSuffix marks a file that is being written.
	newSuffix = ".new"
	// saveInterval is the time between checks for changed reports.
	saveInterval = 250 * time.Millisecond
	// checksumBytes is the length of the XXH64 checksum at the beginning of the file.
	checksumBytes = 8
)

var (
	eventReportsNotSaved  = event.Define(7106, "crash-reports-not-saved", event.Warn, "crash reports cannot be written to the data directory; saving is tried again")
	eventReportsNotLoaded = event.Define(7107, "crash-reports-not-loaded", event.Warn, "the stored crash reports cannot be read; entries will send theirs")
)

// StoredFiles lists the names of the files that a Service keeps in its data directory.
var StoredFiles = []string{reportsFile, departuresFile}

// reportStore keeps the crash reports of a member in its data directory, so that a
// quarantine outlives the loss of all processes. The reports need no quorum: those that
// are lost with a disk come back from the other members by way of the entries.
type reportStore struct {
	dir     string
	crashes *Crashes
	events  *event.Recorder
	// saved is the revision of crashes that is stored.
	saved uint64
}

// load merges the stored reports.
func (s *reportStore) load(now time.Time) {
	err := s.tryLoad(now)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.events.Emit(eventReportsNotLoaded, event.F("error", err))
	}
}

func (s *reportStore) tryLoad(now time.Time) error {
	var stored directoryv1.StoredCrashReports
	if err := loadFile(s.dir, reportsFile, &stored); err != nil {
		return err
	}
	// A clock that has been set back must not make the reports younger.
	savedAt := now.Add(-max(0, now.Sub(time.UnixMilli(stored.SavedAtMs))))
	reports, err := unpackCrashReports(savedAt, stored.Reports)
	s.crashes.Merge(now, reports)
	return err
}

// run saves the reports after each change until ctx ends. It is the only one that waits
// for the disk.
func (s *reportStore) run(ctx context.Context) {
	failed := false
	for kernel.Sleep(ctx, saveInterval) == nil {
		reports, revision := s.crashes.Since(0)
		if revision == s.saved {
			continue
		}
		now := time.Now()
		err := saveFile(s.dir, reportsFile, &directoryv1.StoredCrashReports{SavedAtMs: now.UnixMilli(), Reports: packCrashReports(now, reports)})
		if err == nil {
			s.saved = revision
		} else if !failed {
			s.events.Emit(eventReportsNotSaved, event.F("error", err))
		}
		failed = err != nil
	}
}

// loadFile reads a file that saveFile has written.
func loadFile(dir, name string, into proto.Message) error {
	b, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return err
	}
	if len(b) < checksumBytes || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[checksumBytes:]) {
		return Error.New("the checksum of %s is wrong", name)
	}
	return Error.Wrap(proto.Unmarshal(b[checksumBytes:], into))
}

// saveFile replaces a file atomically and durably.
func saveFile(dir, name string, content proto.Message) error {
	body, err := proto.Marshal(content)
	if err != nil {
		return Error.Wrap(err)
	}
	bytes := append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...)
	path := filepath.Join(dir, name)
	if err := errors.Join(os.MkdirAll(dir, 0o700), writeSynced(path+newSuffix, bytes)); err != nil {
		return Error.Wrap(err)
	}
	if err := os.Rename(path+newSuffix, path); err != nil {
		return Error.Wrap(err)
	}
	folder, err := os.Open(dir)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(errors.Join(folder.Sync(), folder.Close()))
}

func writeSynced(path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	return errors.Join(err, f.Sync(), f.Close())
}
