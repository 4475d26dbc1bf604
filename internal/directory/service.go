package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/entryweight"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/fairshare"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1/directoryv1connect"
	"auburnstep.example/auburnstep/internal/rpc/transport"
	"auburnstep.example/auburnstep/internal/usage"
)

// expireInterval is the time between calls of Registry.Expire. It adds to
// announceLease before a silent endpoint is detected.
const expireInterval = 250 * time.Millisecond

// entryListDelay is how long after the start of a member its list of entries counts as
// incomplete. By then each entry has polled it twice.
const entryListDelay = 2 * PollInterval

var (
	eventEndpointChanged   = event.Define(7000, "endpoint-announced", event.Info, "an endpoint is new or announced a change")
	eventAnnouncementStale = event.Define(7001, "announcement-stale", event.Debug, "a late announcement was ignored")
	eventEndpointLeft      = event.Define(7002, "endpoint-left", event.Info, "an endpoint has left")
	eventEndpointSilent    = event.Define(7003, "endpoint-silent", event.Warn, "this member received no announcement of an endpoint within its lease; other members may have received one")
	eventDirectoryFull     = event.Define(7004, "directory-full", event.Warn, "the directory is full; an announcement was refused")
	eventEndpointMalformed = event.Define(7014, "endpoint-malformed", event.Warn, "an announcement or departure names something that cannot be sent on; it is ignored")
	eventEntriesChanged    = event.Define(7005, "entries-changed", event.Info, "the list of entries that accept callers has changed")
)

// Service is the directory of one control member. It is a kernel.Service.
type Service struct {
	kernel.Base
	events  *event.Recorder
	started time.Time
	crashes *Crashes
	// store and departures are nil if the member has no data directory.
	store      *reportStore
	departures *departureStore
	peers      *Peers           // nil for the only member
	usage      *usage.Collector // nil unless usage is reported
	scope      tally.Scope      // nil without metrics

	mu            sync.Mutex
	registry      *Registry
	limits        *limitTable
	weights       entryweight.Weights
	demand        *demandTable
	customers     *fairshare.Member
	listedEntries int // number of listed entries at the last check, for the event
}

var _ directoryv1connect.DirectoryHandler = (*Service)(nil)

// NewService returns a directory with the departures stored in a data directory, or an empty
// one if dir is "". It keeps the crash reports of entries in crashes and in that directory.
func NewService(events *event.Recorder, crashes *Crashes, dir string) *Service {
	s := &Service{
		events: events, started: clock.Now(), crashes: crashes, registry: NewRegistry(rand.Uint64() | 1), limits: newLimitTable(),
		demand: newDemandTable(), customers: fairshare.NewMember(),
	}
	if dir != "" {
		s.store = &reportStore{dir: dir, crashes: crashes, events: events}
		s.store.load(time.Now())
		s.departures = newDepartureStore(dir, events)
		for _, e := range s.departures.load() {
			s.registry.RecordDeparture(clock.Now(), e)
		}
	}
	return s
}

// Register adds the handler to a server.
func (s *Service) Register(server *transport.Server) {
	path, h := directoryv1connect.NewDirectoryHandler(s, server.HandlerOptions())
	server.Handle(path, h, transport.PeerRole, nil)
}

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context) error {
	var duties sync.WaitGroup
	defer duties.Wait()
	if s.store != nil {
		duties.Go(func() { s.store.run(ctx) })
		duties.Go(func() { s.departures.run(ctx, s.currentDepartures) })
	}
	if s.peers != nil {
		duties.Go(func() { s.reconcile(ctx) })
	}
	for kernel.Sleep(ctx, expireInterval) == nil {
		s.crashes.Update(time.Now())
		now := clock.Now()
		s.mu.Lock()
		silent := s.registry.Expire(now)
		s.limits.expire(time.Now())
		listed := s.registry.Entries(now)
		s.updateWeights(now, listed)
		entries := len(listed)
		s.customers.Update(now)
		changes := s.customers.Changes()
		changed := entries != s.listedEntries
		s.listedEntries = entries
		s.mu.Unlock()
		s.reportExcess(changes)
		for _, e := range silent {
			s.emit(eventEndpointSilent, e)
		}
		if changed {
			s.events.Emit(eventEntriesChanged, event.F("entries", entries))
		}
	}
	return nil
}

// Sync implements directoryv1connect.DirectoryHandler.
func (s *Service) Sync(_ context.Context, r *connect.Request[directoryv1.SyncRequest]) (*connect.Response[directoryv1.SyncResponse], error) {
	now := time.Now()
	reports, err := unpackCrashReports(now, r.Msg.GetCrashReports())
	if err != nil { // The rest of the poll is still of use.
		s.events.Emit(eventBadReports, event.F("entry", r.Msg.GetSelf().GetInstance()), event.F("error", err))
	}
	s.mu.Lock()
	res, err := s.registry.Sync(clock.Now(), r.Msg)
	if err != nil {
		s.mu.Unlock()
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	s.collectUsage(r.Msg, res)
	s.demand.record(clock.Now(), r.Msg, r.Msg.GetEpoch() == res.Epoch)
	changes := s.collectCustomers(clock.Now(), r.Msg, res)
	crashCursor, limitsCursor := r.Msg.GetCrashCursor(), r.Msg.GetLimitsCursor()
	if r.Msg.GetEpoch() != res.Epoch {
		crashCursor, limitsCursor = 0, 0
	}
	for _, m := range r.Msg.GetLimits() {
		key, limit := unpackLimit(now, m)
		s.limits.observe(now, key, limit)
	}
	res.Limits, res.LimitsCursor = packLimits(now, s.limits.since(limitsCursor)), s.limits.revision
	s.mu.Unlock()
	s.reportExcess(changes)
	s.crashes.Merge(now, reports)
	changed, revision := s.crashes.Since(crashCursor)
	res.CrashReports, res.CrashCursor = packCrashReports(now, changed), revision
	return connect.NewResponse(res), nil
}

// Acquire implements directoryv1connect.DirectoryHandler.
func (s *Service) Acquire(_ context.Context, r *connect.Request[directoryv1.AcquireRequest]) (*connect.Response[directoryv1.AcquireResponse], error) {
	now := time.Now()
	key, limit := unpackLimit(now, r.Msg.GetLimit())
	granted, wait := s.acquire(now, key, limit)
	return connect.NewResponse(&directoryv1.AcquireResponse{Granted: granted, WaitMs: uint32(wait.Milliseconds())}), nil
}

func (s *Service) acquire(now time.Time, key endpointKey, l dispatch.Limit) (granted bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.acquire(now, key, l)
}

// Announce records an announcement. It returns false if the directory is full or the
// announcement is malformed.
func (s *Service) Announce(e *directoryv1.Endpoint) bool {
	s.mu.Lock()
	effect := s.registry.Announce(clock.Now(), e)
	s.mu.Unlock()
	switch effect {
	case Changed:
		s.emit(eventEndpointChanged, e)
	case Stale:
		s.emit(eventAnnouncementStale, e)
	case Full:
		s.emit(eventDirectoryFull, e)
	case Malformed:
		s.emit(eventEndpointMalformed, e)
	}
	return effect != Full && effect != Malformed
}

// Leave records that an endpoint has left; see Registry.Leave.
func (s *Service) Leave(id string, incarnation int64) {
	s.mu.Lock()
	known := s.registry.Leave(clock.Now(), id, incarnation)
	s.mu.Unlock()
	if known {
		s.events.Emit(eventEndpointLeft, event.F("endpoint", id))
	}
}

// Entries returns the live entries that accept new callers. It also returns false until
// all live entries have had time to poll this member.
func (s *Service) Entries() ([]*directoryv1.Entry, bool) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Entries(now), now.Sub(s.started) >= entryListDelay
}

// HasPollingEntries reports whether an entry polls this member. A member that no entry
// polls must not acknowledge that an endpoint is leaving, because no entry would learn
// of it.
func (s *Service) HasPollingEntries() bool {
	entries, _ := s.Entries()
	return len(entries) > 0
}

func (s *Service) emit(e *event.Event, p *directoryv1.Endpoint) {
	s.events.Emit(e, event.F("endpoint", p.Id), event.F("incarnation", p.Incarnation), event.F("sequence", p.Sequence),
		event.F("service", p.Service), event.F("address", p.Address), event.F("slots", p.Slots), event.F("draining", p.Draining))
}
