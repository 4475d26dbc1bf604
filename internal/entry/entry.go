// Package entry is the side of the system that faces callers and endpoints: the
// chat and plain-service API, the list of entries, and announcements.
package entry

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/grants"
	"auburnstep.example/auburnstep/internal/kernel"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/settings"
	"auburnstep.example/auburnstep/internal/upstream"
)

// Error is the class of errors of this package.
var Error = errs.Class("entry")

const (
	// KeepSeconds is how long callers may keep the list of entries.
	KeepSeconds = 10

	readHeaderTimeout = 5 * time.Second
	// bodyTimeout bounds the reading of one request body.
	bodyTimeout = 60 * time.Second
	// writeTimeout bounds one write to a caller. A caller that reads more slowly is cut.
	writeTimeout   = 15 * time.Second
	idleTimeout    = 120 * time.Second
	maxHeaderBytes = 64 << 10
)

// View is the entry's view of the control plane.
type View interface {
	// Fresh reports whether the settings are proved to be current.
	Fresh() bool
	Index() *settings.Index
	// Instances returns the live instances.
	Instances() []*controlv1.EntryInfo
	// Reports returns the load of all groups.
	Reports() []*controlv1.GroupReport
}

// Bookings keeps the durable records of requests that run at most once.
type Bookings interface {
	Begin(ctx context.Context, r *controlv1.BeginBooking) (*controlv1.BookingResponse, error)
	// Finish stores the outcome. It goes on trying in the background when ctx ends first.
	Finish(ctx context.Context, r *controlv1.FinishBooking) error
	// Release removes a record whose attempt provably did not run. It goes on
	// trying in the background when ctx ends first.
	Release(ctx context.Context, r *controlv1.ReleaseBooking) error
}

// Options configures a Server.
type Options struct {
	Instance string
	// Listener accepts callers and endpoints.
	Listener net.Listener
	// EndpointTokens are the bearer tokens of endpoints; with none, announcements
	// are accepted from loopback addresses only.
	EndpointTokens []string
	View           View
	Grants         *grants.Client
	Directory      grants.Directory
	Dial           grants.Dialer
	Bookings       Bookings
	Upstream       *upstream.Client
	Events         *event.Recorder
	Scope          tally.Scope
	// BodyMemory bounds the bytes of request bodies and collected answers that
	// are held at once, MaxRequests the requests in flight. 0 takes the defaults.
	BodyMemory  int64
	MaxRequests int64
	// Draining is set when the instance leaves the list of entries.
	Draining *atomic.Bool
	// DrainWait is the time between leaving the list of entries and closing the
	// listener. It should exceed KeepSeconds.
	DrainWait time.Duration
}

// Server serves callers. It is a kernel.Service.
type Server struct {
	kernel.Base
	o    Options
	http *http.Server
	// bodyTimeout bounds the reading of one request body.
	bodyTimeout time.Duration
	inFlight    atomic.Int64
	// bodies and requests bound what callers' requests hold at once.
	bodies, requests *pool
	metrics          requestMetrics
	paces            paceTable
	usage            usageTable
	// announced remembers the models that endpoints announce.
	announced modelTable
}

// New returns a server that does not accept yet.
func New(o Options) *Server {
	if o.Draining == nil {
		o.Draining = new(atomic.Bool)
	}
	m := newRequestMetrics(o.Scope)
	s := &Server{o: o, metrics: m, bodyTimeout: bodyTimeout,
		bodies:   &pool{total: cmp.Or(o.BodyMemory, DefaultBodyMemory), gauge: m.scope.Gauge("memory_bytes")},
		requests: &pool{total: cmp.Or(o.MaxRequests, DefaultMaxRequests), gauge: m.scope.Gauge("in_flight")},
	}
	s.http = &http.Server{
		Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return s
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", s.caller(s.chat))
	mux.Handle("GET /v1/models", s.caller(s.models))
	mux.Handle("/services/{service}/{rest...}", s.caller(s.plain))
	mux.HandleFunc("GET /v1/entries", s.entries)
	mux.HandleFunc("POST /endpoints/v1/announce", s.announce)
	mux.HandleFunc("/", s.notFound)
	return mux
}

// Start accepts callers until the server is stopped.
func (s *Server) Start(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		if n := s.inFlight.Load(); n > 0 {
			s.o.Events.Emit(eventCut, event.F("requests", n))
		}
		_ = s.http.Close()
	}()
	if err := s.http.Serve(s.o.Listener); err != http.ErrServerClosed {
		return Error.Wrap(err)
	}
	return nil
}

// Stop drains the server: it leaves the list of entries, accepts until the
// lists that callers keep have run out, then closes the listener and finishes
// the requests in flight.
func (s *Server) Stop(ctx context.Context) error {
	s.o.Draining.Store(true)
	s.o.Events.Emit(eventDraining, event.F("in_flight", s.inFlight.Load()))
	select {
	case <-time.After(s.o.DrainWait):
	case <-ctx.Done():
	}
	err := s.http.Shutdown(ctx)
	s.o.Events.Emit(eventDrained, event.F("in_flight", s.inFlight.Load()))
	return Error.Wrap(err)
}

// InFlight returns the number of callers' requests being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }
