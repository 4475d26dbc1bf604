// Package fakeengine implements fake endpoints for tests, load runs and the
// fakeengine command: a model engine with continuous batching, a prefix cache and
// orders, or a plain service with a ledger. Faults can be injected into both.
package fakeengine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/openai"
	"auburnstep.example/auburnstep/internal/verdict"
)

// Server is a fake endpoint: an engine or a plain service.
type Server struct {
	cfg         Config
	faults      *faults
	batch       *batch
	cache       *prefixCache
	ledger      *ledger
	orders      *orderExecutor
	loadReports *delayedLoads
	http        *http.Server
	listener    *faultListener

	stop     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup
	announce *announcer

	received, completed, cancelled, rejected, resumed atomic.Int64
	tokensCompleted, announced, inFlight              atomic.Int64
	leavingSince, lateArrival                         atomic.Int64
}

// Start listens on cfg.Listen and serves in the background.
func Start(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return StartWithListener(l, cfg)
}

// StartWithListener serves on l in the background.
func StartWithListener(l net.Listener, cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if cfg.Advertise == "" {
		cfg.Advertise = l.Addr().String()
	}
	if cfg.ID == "" {
		cfg.ID = cfg.Advertise
	}
	s := &Server{cfg: cfg, faults: newFaults(cfg.Seed), listener: newFaultListener(l), stop: make(chan struct{})}
	s.batch = newBatch(cfg, s.faults, s.stop)
	s.cache = newPrefixCache(cfg)
	s.ledger = newLedger()
	s.orders = newOrderExecutor(cfg)
	s.loadReports = newDelayedLoads(cfg.LoadLag)
	s.announce = newAnnouncer(s)
	s.orders.onLoaded = s.announce.renewSoon
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	s.runInBackground(s.batch.run)
	s.runInBackground(func() { _ = s.http.Serve(s.listener) })
	s.runInBackground(s.announce.run)
	for _, f := range cfg.Faults {
		s.Inject(f)
	}
	return s, nil
}

func (s *Server) runInBackground(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Inject activates a fault, after f.After if that is set.
func (s *Server) Inject(f Fault) {
	if f.After <= 0 {
		s.inject(f)
		return
	}
	s.runInBackground(func() {
		select {
		case <-time.After(f.After):
			s.inject(f)
		case <-s.stop:
		}
	})
}

func (s *Server) inject(f Fault) {
	switch f.Kind {
	case FaultSilent:
		s.listener.silence()
	case FaultCrash:
		if s.cfg.Exit != nil {
			s.cfg.Exit()
			return
		}
		s.stopNow()
	default:
		s.faults.set(f)
	}
}

// crashInBackground crashes the endpoint and returns the error of the requests that end
// with it. A handler cannot wait for the crash, which waits for the handlers.
func (s *Server) crashInBackground() error {
	s.runInBackground(func() { s.inject(Fault{Kind: FaultCrash}) })
	return errStopped
}

// stopNow stops the server and resets all connections, as a crash does.
func (s *Server) stopNow() {
	s.stopOnce.Do(func() { close(s.stop) })
	_ = s.listener.Close()
	s.listener.reset()
	_ = s.http.Close()
}

// Stopped reports whether the server has stopped or crashed.
func (s *Server) Stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// Close stops the server without waiting for requests in flight, then waits for
// its goroutines.
func (s *Server) Close() {
	s.stopNow()
	s.wg.Wait()
}

// Leave announces that the endpoint is leaving, waits for at least LeaveGrace and
// until the requests in flight are complete, and closes the server. The end of ctx
// cuts both waits short.
func (s *Server) Leave(ctx context.Context) error {
	s.leavingSince.CompareAndSwap(0, time.Now().UnixNano())
	s.announce.announceOnce()
	grace := time.NewTimer(s.cfg.LeaveGrace)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-ctx.Done():
	}
	// Shutdown waits for the requests in flight and closes idle connections.
	err := s.http.Shutdown(ctx)
	s.Close()
	return Error.Wrap(err)
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	return Stats{
		Received:        s.received.Load(),
		Completed:       s.completed.Load(),
		Cancelled:       s.cancelled.Load(),
		Refused:         s.rejected.Load(),
		Resumed:         s.resumed.Load(),
		TokensGenerated: s.batch.generated.Load(),
		TokensCompleted: s.tokensCompleted.Load(),
		LateArrivalMS:   s.lateArrival.Load() / int64(time.Millisecond),
		Announced:       s.announced.Load(),
		Connections:     s.listener.acceptedCount(),
	}
}

// Ledger returns the bookings that a plain service executed, in order.
func (s *Server) Ledger() []Booking { return s.ledger.list() }

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
	apiMux := http.NewServeMux()
	apiMux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.publishedLoad()) })
	if s.cfg.Kind == endpointapi.KindEngine {
		s.registerEngineRoutes(apiMux)
	} else {
		s.registerPlainRoutes(apiMux)
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if s.faults.waitThawed(s.stop) {
			apiMux.ServeHTTP(w, r)
			// If the freeze began while the handler ran, hold the end of the response
			// back too: a frozen process sends nothing.
			s.faults.waitThawed(s.stop)
		}
	})
	return mux
}

func (s *Server) registerEngineRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("DELETE /v1/requests/{id}", s.serveCancel)
	mux.HandleFunc("GET /v1/cache/events", s.serveCacheEvents)
	mux.HandleFunc("POST /v1/kv/export", s.serveExport)
	mux.HandleFunc("POST /v1/kv/import", s.serveImport)
	mux.HandleFunc("POST /v1/orders", s.serveOrder)
}

// serveFault activates the fault in the request body, which has the form of the
// --fault flag.
func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlainBody))
	if err == nil {
		err = f.UnmarshalText(text)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_fault", err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
	if f.Kind == FaultSilent || f.Kind == FaultCrash {
		// Send the response now: these faults break the connection that carries it.
		_ = http.NewResponseController(w).Flush()
	}
	s.Inject(f)
}

// countRequest counts a received request. If the endpoint is leaving, it also
// records how long after the start of leaving the request arrived.
func (s *Server) countRequest() {
	s.received.Add(1)
	if leavingStart := s.leavingSince.Load(); leavingStart != 0 {
		s.lateArrival.Store(time.Now().UnixNano() - leavingStart)
	}
}

// reject rejects a request that has not run.
func (s *Server) reject(w http.ResponseWriter, status int, code, message string) {
	s.rejected.Add(1)
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeError(w, status, code, message)
}

// applyLateFault waits for the delay of FaultLate if the fault applies. It returns
// false if the request or the server ended first.
func (s *Server) applyLateFault(ctx context.Context) bool {
	f, ok := s.faults.trigger(FaultLate)
	if !ok {
		return true
	}
	select {
	case <-time.After(f.Delay):
		return true
	case <-ctx.Done():
		return false
	case <-s.stop:
		return false
	}
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	kind := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	writeJSON(w, status, openai.ErrorBody{Error: openai.ErrorDetail{Message: message, Type: kind, Code: code}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

var errStopped = errors.New("fake endpoint stopped")
