package directory

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1/directoryv1connect"
	"auburnstep.example/auburnstep/internal/rpc/transport"
)

// A departure is acknowledged to an endpoint once a majority of the members has stored it:
// the endpoint may say nothing more, and the member that it told may be lost before any
// entry has polled it. Members that miss it learn it from the others.

const (
	// recordTimeout bounds the call that tells another member of a departure.
	recordTimeout = 700 * time.Millisecond
	// reconcileInterval is the time between pulls of the departures that other members know.
	reconcileInterval = time.Second
	// reconcileTimeout bounds one pull.
	reconcileTimeout = 500 * time.Millisecond
)

var (
	eventDepartureUnconfirmed = event.Define(7008, "departure-unconfirmed", event.Warn, "a departure is not acknowledged to the endpoint, because too few members have stored it")
	eventDepartureLearned     = event.Define(7009, "departure-learned", event.Info, "this member learned from another one that an endpoint is draining or has left")
)

// Peers is how a member reaches the other members.
type Peers struct {
	// Self is the address of this member.
	Self string
	// Voters returns the addresses of the voters of the control plane, nil while they are not
	// known. A voter whose address is not known is "".
	Voters func() []string
	Dial   func(address string) directoryv1connect.DirectoryClient
	// RecordTimeout replaces recordTimeout if it is not 0. Tests set it, so that their verdict
	// does not depend on the speed of the machine.
	RecordTimeout time.Duration
}

// SetPeers sets the other members. It must be called before Start. A service without peers
// is the only member.
func (s *Service) SetPeers(p Peers) { s.peers = &p }

// voters returns the addresses of the voters, and "self" alone without peers.
func (s *Service) voters() (voters []string, self string) {
	if s.peers == nil {
		return []string{"self"}, "self"
	}
	return s.peers.Voters(), s.peers.Self
}

// ConfirmDeparture stores what is known of an endpoint's departure on a majority of the
// members, and reports whether that was possible.
func (s *Service) ConfirmDeparture(ctx context.Context, id string) bool {
	s.mu.Lock()
	rec := s.registry.endpoints[id]
	if rec == nil || rec.confirmed {
		s.mu.Unlock()
		return rec != nil
	}
	e, revision := rec.endpoint, rec.revision
	s.mu.Unlock()

	voters, self := s.voters()
	if !s.recordAtMajority(ctx, id, e, voters, self) {
		return false
	}
	s.mu.Lock()
	if rec.revision == revision {
		rec.confirmed = true
	}
	s.mu.Unlock()
	return true
}

// recordAtMajority tells all voters of a departure and reports whether a majority has
// stored it. The calls go on after that, so that the others learn it too.
func (s *Service) recordAtMajority(ctx context.Context, id string, e *directoryv1.Endpoint, voters []string, self string) bool {
	timeout := recordTimeout
	if s.peers != nil && s.peers.RecordTimeout != 0 {
		timeout = s.peers.RecordTimeout
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	stored := make(chan error, len(voters))
	var calls sync.WaitGroup
	for _, address := range voters {
		calls.Go(func() { stored <- s.recordAt(callCtx, address, self, e) })
	}
	go func() { calls.Wait(); cancel() }()
	missing := len(voters)/2 + 1
	var failed error
	for range voters {
		var err error
		select {
		case err = <-stored:
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			failed = err
			continue
		}
		if missing--; missing == 0 {
			return true
		}
	}
	s.events.Emit(eventDepartureUnconfirmed, event.F("endpoint", id), event.F("voters", len(voters)), event.F("missing", missing), event.F("error", failed))
	return false
}

// recordAt stores a departure at one member, which may be this one.
func (s *Service) recordAt(ctx context.Context, address, self string, e *directoryv1.Endpoint) error {
	switch address {
	case self:
		return s.storeDepartures(ctx)
	case "":
		return Error.New("the address of a member is not known")
	}
	_, err := s.peers.Dial(address).RecordDepartures(transport.MarkIdempotent(ctx), connect.NewRequest(&directoryv1.RecordDeparturesRequest{Endpoints: []*directoryv1.Endpoint{e}}))
	return err
}

// storeDepartures returns once the departures that this member knows are stored durably.
func (s *Service) storeDepartures(ctx context.Context) error {
	if s.departures == nil {
		return nil
	}
	s.mu.Lock()
	revision := s.registry.revision
	s.mu.Unlock()
	return s.departures.awaitSaved(ctx, revision)
}

// RecordDepartures implements directoryv1connect.DirectoryHandler.
func (s *Service) RecordDepartures(ctx context.Context, r *connect.Request[directoryv1.RecordDeparturesRequest]) (*connect.Response[directoryv1.RecordDeparturesResponse], error) {
	for _, e := range r.Msg.GetEndpoints() {
		if s.learnDeparture(e) == Full {
			s.emit(eventDirectoryFull, e)
			return nil, connect.NewError(connect.CodeResourceExhausted, Error.New("the directory is full"))
		}
	}
	if err := s.storeDepartures(ctx); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&directoryv1.RecordDeparturesResponse{}), nil
}

// learnDeparture records a departure that another member knows.
func (s *Service) learnDeparture(e *directoryv1.Endpoint) Effect {
	s.mu.Lock()
	effect := s.registry.RecordDeparture(clock.Now(), e)
	s.mu.Unlock()
	switch effect {
	case Changed:
		s.emit(eventDepartureLearned, e)
	case Malformed:
		s.emit(eventEndpointMalformed, e)
	}
	return effect
}

// currentDepartures returns the departures to store, and the revision of the registry.
func (s *Service) currentDepartures() ([]*directoryv1.Endpoint, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Departures(), s.registry.revision
}

// reconcile pulls the departures that the other members know until ctx ends: this member
// may have been down when they were told of one.
func (s *Service) reconcile(ctx context.Context) {
	known := make(map[string]*directoryv1.SyncResponse)
	for {
		voters, self := s.voters()
		for _, address := range voters {
			if address != self && address != "" {
				s.pullDepartures(ctx, address, known)
			}
		}
		if kernel.Sleep(ctx, reconcileInterval) != nil {
			return
		}
	}
}

// pullDepartures pulls what has changed at a member since the last pull, as an entry does,
// but without being listed as one.
func (s *Service) pullDepartures(ctx context.Context, address string, known map[string]*directoryv1.SyncResponse) {
	last := known[address]
	callCtx, cancel := context.WithTimeout(transport.MarkIdempotent(ctx), reconcileTimeout)
	defer cancel()
	res, err := s.peers.Dial(address).Sync(callCtx, connect.NewRequest(&directoryv1.SyncRequest{
		Epoch: last.GetEpoch(), Cursor: last.GetCursor(), CrashCursor: last.GetCrashCursor(), LimitsCursor: last.GetLimitsCursor(),
	}))
	if err != nil {
		return // The member is asked again; entries report that it does not respond.
	}
	learned := false
	for _, e := range res.Msg.Endpoints {
		if e.Gone || e.Draining {
			learned = s.learnDeparture(e) == Changed || learned
		}
	}
	res.Msg.Endpoints, res.Msg.CrashReports, res.Msg.Limits = nil, nil, nil
	known[address] = res.Msg
	if learned {
		// A failure is reported by the store, which tries again.
		_ = s.storeDepartures(callCtx)
	}
}
