package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/directory"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/httpconn"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/routing"
)

const (
	// updateInterval bounds how old the use of a routing table may be that the
	// feed has received.
	updateInterval = 50 * time.Millisecond
	// defaultHeaderTimeout and defaultIdleTimeout hold until a table names limits;
	// a listener's limits are fixed when it starts, so they are generous.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 90 * time.Second
	// maxHeaderBytes bounds headers before a table names a lower bound.
	maxHeaderBytes = 64 << 10
)

// Options configures a Server.
type Options struct {
	Listener net.Listener
	Codec    Codec
	// Domain is the failure domain of this entry.
	Domain string
	// Routing returns the routing table in force, nil before one is known.
	Routing   func() *routing.Index
	Directory interface {
		Snapshot() *directory.Snapshot
		Loads() *directory.Loads
		Changed() <-chan struct{}
		Synced() bool
	}
	Retry dispatch.RetryRules
	// DrainWait is how long the entry goes on taking requests after the order to
	// stop, while callers hear that it leaves. Grace is when it stops at the latest.
	DrainWait, Grace time.Duration
	Events           *event.Recorder
	Scope            tally.Scope
}

// Server takes requests of callers. It is a kernel.Service.
type Server struct {
	kernel.Base
	options  Options
	fleet    *fleet
	pool     *httpconn.Pool
	http     *http.Server
	metrics  *metrics
	inFlight atomic.Int64
	draining atomic.Bool
	// drainingSince is when draining began, as a time since started.
	drainingSince atomic.Int64
	started       time.Time
	seen          *routing.Index // of the update loop
}

// New returns a server that is not started.
func New(o Options) *Server {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	s := &Server{options: o, started: time.Now(), fleet: newFleet(o.Domain, o.Retry), pool: httpconn.NewPool(o.Scope), metrics: newMetrics(o.Scope)}
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return s
}

// Loads returns the work in flight for polls of the directory.
func (s *Server) Loads() map[string]dispatch.Load { return s.fleet.loads() }

// Busy reports whether requests are placed while endpoints are behind.
func (s *Server) Busy() bool { return s.fleet.busy(time.Now()) }

// Draining reports whether the entry is leaving.
func (s *Server) Draining() bool { return s.draining.Load() }

// drainingFor returns for how long the entry has been leaving, 0 if it is not.
func (s *Server) drainingFor() time.Duration {
	if !s.draining.Load() {
		return 0
	}
	return time.Since(s.started) - time.Duration(s.drainingSince.Load())
}

// Ready reports whether the entry can serve: it knows a routing table and the
// endpoints, and is not leaving.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.options.Routing() != nil && s.options.Directory.Synced()
}

// Start implements kernel.Service.
func (s *Server) Start(ctx context.Context) error {
	go s.follow(ctx)
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.options.Listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// follow hands changes of the table, the endpoints and their load to the fleet.
func (s *Server) follow(ctx context.Context) {
	tick := time.NewTicker(updateInterval)
	defer tick.Stop()
	for {
		index := s.options.Routing()
		if index != s.seen {
			s.seen = index
			s.update(index)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.options.Directory.Changed():
			s.update(index)
		case <-tick.C:
		}
	}
}

func (s *Server) update(index *routing.Index) {
	s.fleet.update(index, s.options.Directory.Snapshot(), s.options.Directory.Loads())
}

// Stop implements kernel.Service. The entry goes on taking requests for
// DrainWait, since callers keep its address for a while, and then ends once
// nothing is in flight.
func (s *Server) Stop(ctx context.Context) error {
	s.drainingSince.Store(int64(time.Since(s.started)))
	s.draining.Store(true)
	s.http.SetKeepAlivesEnabled(false)
	s.options.Events.Emit(eventDraining, event.F("in_flight", s.inFlight.Load()))
	began := time.Now()
	for time.Since(began) < s.options.Grace {
		if time.Since(began) >= s.options.DrainWait && s.inFlight.Load() == 0 {
			break
		}
		if kernel.Sleep(ctx, updateInterval) != nil {
			break
		}
	}
	s.options.Events.Emit(eventDrained, event.F("in_flight", s.inFlight.Load()), event.F("took", time.Since(began)))
	return s.http.Close()
}
