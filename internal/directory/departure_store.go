package directory

import (
	"context"
	"errors"
	"io/fs"
	"sync/atomic"
	"time"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/ring"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

const (
	departuresFile = "departures"
	// maxSaveRequests bounds the calls that wait for the departures to be saved.
	maxSaveRequests = 256
	// saveRetryInterval is the time after which a failed save is repeated.
	saveRetryInterval = 500 * time.Millisecond
)

var (
	eventDeparturesNotSaved  = event.Define(7108, "departures-not-saved", event.Warn, "departures cannot be written to the data directory; this member confirms none until they can")
	eventDeparturesSaved     = event.Define(7110, "departures-saved", event.Info, "departures can be written to the data directory again, and were")
	eventDeparturesNotLoaded = event.Define(7109, "departures-not-loaded", event.Warn, "the stored departures cannot be read; the other members have theirs")
)

// departureStore keeps the departures that a member knows in its data directory, so that
// they outlive the loss of all processes.
type departureStore struct {
	dir    string
	events *event.Recorder
	// requests holds the calls that wait for the next save.
	requests *ring.Ring[chan error]
	// saved is the revision of the registry whose departures are stored.
	saved atomic.Uint64
}

func newDepartureStore(dir string, events *event.Recorder) *departureStore {
	return &departureStore{dir: dir, events: events, requests: ring.New[chan error]("directory departures", maxSaveRequests, ring.Reject)}
}

// load returns the stored departures.
func (s *departureStore) load() []*directoryv1.Endpoint {
	var stored directoryv1.StoredDepartures
	if err := loadFile(s.dir, departuresFile, &stored); err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			s.events.Emit(eventDeparturesNotLoaded, event.F("error", err))
		}
		return nil
	}
	return stored.Endpoints
}

// awaitSaved returns once the departures of a revision of the registry are stored.
func (s *departureStore) awaitSaved(ctx context.Context, revision uint64) error {
	if s.saved.Load() >= revision {
		return nil
	}
	done := make(chan error, 1)
	if err := s.requests.Push(ctx, done); err != nil {
		return Error.Wrap(err)
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run saves the departures, once for all calls that wait, until ctx ends. It is the only one
// that waits for the disk. After a failure it tries again by itself: this member knows the
// departures already, so that nobody sends them again.
func (s *departureStore) run(ctx context.Context, current func() ([]*directoryv1.Endpoint, uint64)) {
	failed := false
	for {
		waiting, err := s.nextRequests(ctx, failed)
		if err != nil {
			return
		}
		endpoints, revision := current()
		err = saveFile(s.dir, departuresFile, &directoryv1.StoredDepartures{Endpoints: endpoints})
		switch {
		case err == nil:
			s.saved.Store(revision)
			if failed {
				s.events.Emit(eventDeparturesSaved, event.F("departures", len(endpoints)))
			}
		case !failed:
			s.events.Emit(eventDeparturesNotSaved, event.F("error", err))
		}
		failed = err != nil
		for _, done := range waiting {
			done <- err
		}
	}
}

// nextRequests returns the calls that wait for a save. With retry set, it returns none after
// saveRetryInterval.
func (s *departureStore) nextRequests(ctx context.Context, retry bool) ([]chan error, error) {
	wait := ctx
	if retry {
		var cancel context.CancelFunc
		wait, cancel = context.WithTimeout(ctx, saveRetryInterval)
		defer cancel()
	}
	first, err := s.requests.Pop(wait)
	switch {
	case err == nil:
		return append(s.requests.Drain(maxSaveRequests), first), nil
	case wait.Err() != nil && ctx.Err() == nil:
		return nil, nil
	}
	return nil, err
}
