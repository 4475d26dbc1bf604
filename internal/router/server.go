package router

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/bytebudget"
	"auburnstep.example/auburnstep/internal/directory"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/fairshare"
	"auburnstep.example/auburnstep/internal/httpconn"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
	"auburnstep.example/auburnstep/internal/usage"
)

const (
	// updateInterval bounds the delay between receiving a routing table from the feed
	// and applying it if no request needs it.
	updateInterval = 50 * time.Millisecond
	// defaultHeaderTimeout and defaultIdleTimeout apply to the listener. Its limits
	// are fixed at start, before any routing table is known, so they are generous.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 90 * time.Second
	// maxHeaderBytes bounds request headers. It is fixed at start as well; the lower
	// bound that a routing table may name is not applied to the listener.
	maxHeaderBytes = 64 << 10
	// headGrace is how long an entry that stops listening waits for requests whose head is
	// arriving.
	headGrace = 300 * time.Millisecond
	// finalAnswerTime is the time before the end of the grace in which requests that are still
	// in flight get their final answers.
	finalAnswerTime = 200 * time.Millisecond
	// defaultBodyMemory replaces a BodyMemory of 0.
	defaultBodyMemory = 64 << 20
)

// Options configures a Server.
type Options struct {
	Listener net.Listener
	Codec    Codec
	// Domain is the failure domain of this entry.
	Domain string
	// Routing returns the latest routing table.
	Routing func() Table
	// CurrentTable returns the routing table by which to handle a request. It may wait for
	// a confirmation until ctx ends.
	CurrentTable func(ctx context.Context) Table
	Directory    interface {
		Snapshot() *directory.Snapshot
		Loads() *directory.Loads
		Changed() <-chan struct{}
		Synced() bool
	}
	// Crashes holds the crash reports that entries share.
	Crashes *directory.Crashes
	// Limits holds the limits of endpoints and acquires permits.
	Limits *directory.Limits
	Retry  dispatch.RetryRules
	// Usage counts requests that endpoints began to run at readings of internal/clock. It is
	// nil unless usage is reported.
	Usage *usage.Counter
	// Customers measures what customers ask for and holds those that exceed their usual load.
	// It is nil if services are not divided among customers.
	Customers *fairshare.Entry
	// BodyMemory bounds the bytes of all bodies that are buffered at the same time, 0 for
	// defaultBodyMemory.
	BodyMemory int64
	// Account is charged for these bodies as well, nil for none.
	Account *bytebudget.Budget
	// MakeRoom is called where request bodies have no room, with the context of the request. It
	// may free some and reports whether take has succeeded. It may be nil.
	MakeRoom func(ctx context.Context, take func() bool) bool
	// Configure may change the HTTP server before it starts, nil for no change.
	Configure func(*http.Server)
	// DrainWait is how long the entry keeps accepting requests after Stop is
	// called, while callers are notified that it is leaving. Grace is the time after
	// which it stops even if requests are in flight.
	DrainWait, Grace time.Duration
	Events           *event.Recorder
	Scope            tally.Scope
}

// Server serves requests from callers. It implements kernel.Service.
type Server struct {
	kernel.Base
	options  Options
	registry *registry
	pool     *httpconn.Pool
	// requestBodies and responseBodies bound the buffered bodies. They are separate, so
	// that endpoints that send bytes without end leave room for new requests.
	requestBodies, responseBodies *bytebudget.Budget
	http                          *http.Server
	metrics                       *metrics
	inFlight                      atomic.Int64
	draining                      atomic.Bool
	// drainingSince is when draining began, in nanoseconds since started.
	drainingSince atomic.Int64
	started       time.Time
	// stopping ends with errStopping shortly before the end of the grace time.
	stopping    context.Context
	endRequests context.CancelCauseFunc
	crashChecks *crashChecks
	attempts    *attemptSet
	// applied is the last table that runUpdates has applied. appliedChanged is closed at its
	// next change, and tableWaiting has a value if a request waits for one.
	applied        atomic.Pointer[routing.Index]
	appliedChanged atomic.Pointer[chan struct{}]
	tableWaiting   chan struct{}
}

// New returns a server that has not been started.
func New(o Options) *Server {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Crashes == nil {
		o.Crashes = directory.NewCrashes(o.Events, o.Scope)
	}
	if o.Limits == nil {
		o.Limits = directory.NewLimits(o.Scope)
	}
	s := &Server{options: o, started: time.Now(), crashChecks: newCrashChecks(), attempts: newAttemptSet(), registry: newRegistry(o.Domain, o.Retry), pool: httpconn.NewPool(o.Scope),
		metrics: newMetrics(o.Scope), tableWaiting: make(chan struct{}, 1)}
	changed := make(chan struct{})
	s.appliedChanged.Store(&changed)
	s.stopping, s.endRequests = context.WithCancelCause(context.Background())
	half := cmp.Or(o.BodyMemory, defaultBodyMemory) / 2
	s.requestBodies, s.responseBodies = bytebudget.NewPart(o.Account, half), bytebudget.NewPart(o.Account, half)
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	if o.Configure != nil {
		o.Configure(s.http)
	}
	return s
}

// Loads returns this entry's work in flight by endpoint. The entry reports it when
// it polls the directory.
func (s *Server) Loads() map[string]dispatch.Load { return s.registry.loads() }

// Demand returns the demand for each service at this entry since the process started. The
// entry reports it when it polls the directory.
func (s *Server) Demand() []*directoryv1.ServiceDemand { return s.registry.demand() }

// Busy reports whether requests were placed recently while endpoints were expected
// to miss their objectives.
func (s *Server) Busy() bool { return s.registry.busy(time.Now()) }

// Draining reports whether the entry is shutting down.
func (s *Server) Draining() bool { return s.draining.Load() }

// drainingFor returns how long the entry has been draining, 0 if it is not.
func (s *Server) drainingFor() time.Duration {
	if !s.draining.Load() {
		return 0
	}
	return time.Since(s.started) - time.Duration(s.drainingSince.Load())
}

// Ready reports whether the entry can serve requests: it has a routing table, has
// synchronized the endpoints with the directory, and is not draining.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.options.Routing().Index != nil && s.options.Directory.Synced()
}

// Start implements kernel.Service.
func (s *Server) Start(ctx context.Context) error {
	go s.runUpdates(ctx)
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.options.Listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// runUpdates applies changes of the routing table, the endpoints and their load
// until ctx ends.
func (s *Server) runUpdates(ctx context.Context) {
	tick := time.NewTicker(updateInterval)
	defer tick.Stop()
	for {
		index := s.options.Routing().Index
		if index != s.applied.Load() {
			s.applyTable(index)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.options.Directory.Changed():
			s.update(index)
		case <-s.options.Crashes.Changed():
			s.attempts.cancelQuarantined(s.options.Crashes)
		case <-s.tableWaiting:
		case <-tick.C:
		}
	}
}

func (s *Server) update(index *routing.Index) {
	s.registry.update(index, s.options.Directory.Snapshot(), s.options.Directory.Loads(), s.options.Limits)
}

// Stop implements kernel.Service. The entry keeps accepting requests for
// DrainWait, since callers keep using its address for a while, and stops once no
// request is in flight or Grace has passed. Requests that are in flight shortly before
// that are ended with an answer.
func (s *Server) Stop(ctx context.Context) error {
	s.drainingSince.Store(int64(time.Since(s.started)))
	// Idle connections stay open, since a request may already be on its way on them; its
	// response asks the caller to close the connection.
	s.draining.Store(true)
	s.options.Events.Emit(eventDraining, event.F("in_flight", s.inFlight.Load()))
	began := time.Now()
	endRequests := time.AfterFunc(s.options.Grace-min(finalAnswerTime, s.options.Grace/4), func() { s.endRequests(errStopping) })
	defer endRequests.Stop()
	for time.Since(began) < s.options.Grace {
		if time.Since(began) >= s.options.DrainWait && s.inFlight.Load() == 0 {
			break
		}
		if kernel.Sleep(ctx, updateInterval) != nil {
			break
		}
	}
	// Requests whose head is being read are not in flight yet. Shutdown waits for them, and
	// for new connections without a request.
	shutdownCtx, cancel := context.WithTimeout(ctx, min(headGrace, s.options.Grace-time.Since(began)))
	defer cancel()
	err := s.http.Shutdown(shutdownCtx)
	for s.inFlight.Load() > 0 && time.Since(began) < s.options.Grace && kernel.Sleep(ctx, updateInterval) == nil {
	}
	s.options.Events.Emit(eventDrained, event.F("in_flight", s.inFlight.Load()), event.F("took", time.Since(began)))
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return s.http.Close()
	}
	return err
}
