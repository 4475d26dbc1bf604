// Package entry serves callers and endpoints over HTTP: the chat API, the API of
// plain services, the list of entries, and the announcements of endpoints.
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

// Error is the error class of this package.
var Error = errs.Class("entry")

const (
	// ListTTLSeconds is the time in seconds for which callers may cache the list of
	// entries.
	ListTTLSeconds = 10

	readHeaderTimeout = 5 * time.Second
	// bodyTimeout bounds the reading of one request body.
	bodyTimeout = 60 * time.Second
	// writeTimeout bounds one write to a caller. A caller that reads too slowly is
	// disconnected.
	writeTimeout   = 15 * time.Second
	idleTimeout    = 120 * time.Second
	maxHeaderBytes = 64 << 10
)

// View provides the state of the control plane as known to the entry.
type View interface {
	// Fresh reports whether the settings are proven to be current.
	Fresh() bool
	Index() *settings.Index
	// Instances returns the live instances.
	Instances() []*controlv1.EntryInfo
	// Reports returns the latest report of each group.
	Reports() []*controlv1.GroupReport
}

// Bookings stores the durable records of requests that must run at most once.
type Bookings interface {
	Begin(ctx context.Context, r *controlv1.BeginBooking) (*controlv1.BookingResponse, error)
	// Finish stores the outcome. If ctx ends first, it keeps trying in the background.
	Finish(ctx context.Context, r *controlv1.FinishBooking) error
	// Release removes a record whose attempt provably did not run. If ctx ends
	// first, it keeps trying in the background.
	Release(ctx context.Context, r *controlv1.ReleaseBooking) error
}

// Options configures a Server.
type Options struct {
	Instance string
	// Listener accepts connections from callers and endpoints.
	Listener net.Listener
	// EndpointTokens are the bearer tokens of endpoints. If there are none,
	// announcements are accepted from loopback addresses only.
	EndpointTokens []string
	View           View
	Grants         *grants.Client
	Directory      grants.Directory
	Dial           grants.Dialer
	Bookings       Bookings
	Upstream       *upstream.Client
	Events         *event.Recorder
	Scope          tally.Scope
	// BodyMemory bounds the bytes of request bodies and buffered responses in
	// memory, MaxRequests the requests in flight. 0 selects the default.
	BodyMemory  int64
	MaxRequests int64
	// Configure may change the HTTP server before it starts, nil for no change.
	Configure func(*http.Server)
	// Draining is set once the instance is no longer in the list of entries.
	Draining *atomic.Bool
	// DrainWait is the time between leaving the list of entries and closing the
	// listener. It should exceed ListTTLSeconds.
	DrainWait time.Duration
}

// Server serves callers and endpoints. It implements kernel.Service.
type Server struct {
	kernel.Base
	opts Options
	http *http.Server
	// bodyTimeout bounds the reading of one request body.
	bodyTimeout time.Duration
	inFlight    atomic.Int64
	// bodyPool bounds the memory, requestPool the number of callers' requests in
	// flight.
	bodyPool, requestPool *tieredPool
	metrics               requestMetrics
	firstTokens           firstTokenHistory
	usage                 usageTable
	// announced holds the models that endpoints have announced.
	announced modelTable
}

// New returns a server that has not been started.
func New(opts Options) *Server {
	if opts.Draining == nil {
		opts.Draining = new(atomic.Bool)
	}
	m := newRequestMetrics(opts.Scope)
	s := &Server{opts: opts, metrics: m, bodyTimeout: bodyTimeout,
		bodyPool:    &tieredPool{total: cmp.Or(opts.BodyMemory, DefaultBodyMemory), gauge: m.scope.Gauge("memory_bytes")},
		requestPool: &tieredPool{total: cmp.Or(opts.MaxRequests, DefaultMaxRequests), gauge: m.scope.Gauge("in_flight")},
	}
	s.http = &http.Server{
		Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	if opts.Configure != nil {
		opts.Configure(s.http)
	}
	return s
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", s.callerHandler(s.handleChat))
	mux.Handle("GET /v1/models", s.callerHandler(s.handleModels))
	mux.Handle("/services/{service}/{rest...}", s.callerHandler(s.handlePlain))
	mux.HandleFunc("GET /v1/entries", s.handleEntries)
	mux.HandleFunc("POST /endpoints/v1/announce", s.handleAnnounce)
	mux.HandleFunc("/", s.handleNotFound)
	return mux
}

// Start implements kernel.Service. It serves until the server is stopped. When ctx
// ends, it closes all connections, including those of requests in flight.
func (s *Server) Start(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		if n := s.inFlight.Load(); n > 0 {
			s.opts.Events.Emit(eventInterrupted, event.F("requests", n))
		}
		_ = s.http.Close()
	}()
	if err := s.http.Serve(s.opts.Listener); err != http.ErrServerClosed {
		return Error.Wrap(err)
	}
	return nil
}

// Stop implements kernel.Service. It removes the instance from the list of entries
// and keeps accepting requests for DrainWait, since callers use the lists that they
// have cached. Then it closes the listener and waits for the requests in flight.
func (s *Server) Stop(ctx context.Context) error {
	s.opts.Draining.Store(true)
	s.opts.Events.Emit(eventDraining, event.F("in_flight", s.inFlight.Load()))
	select {
	case <-time.After(s.opts.DrainWait):
	case <-ctx.Done():
	}
	err := s.http.Shutdown(ctx)
	s.opts.Events.Emit(eventDrained, event.F("in_flight", s.inFlight.Load()))
	return Error.Wrap(err)
}

// InFlight returns the number of callers' requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }
