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

// Server is one stand-in endpoint.
type Server struct {
	cfg      Config
	faults   *faults
	batch    *batch
	cache    *prefixCache
	ledger   *ledger
	orders   *orderBook
	loads    *lagged
	http     *http.Server
	listener *faultListener

	stop     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup
	announce *announcer

	received, completed, cancelled, refused, resumed atomic.Int64
	tokensCompleted, announced, inFlight             atomic.Int64
	leavingSince, lateArrival                        atomic.Int64
}

// Start listens and serves in the background.
func Start(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return StartOn(l, cfg)
}

// StartOn serves on l in the background.
func StartOn(l net.Listener, cfg Config) (*Server, error) {
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
	s.orders = newOrderBook(cfg)
	s.loads = newLagged(cfg.LoadLag)
	s.announce = newAnnouncer(s)
	s.orders.loaded = s.announce.soon
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	s.goRun(s.batch.run)
	s.goRun(func() { _ = s.http.Serve(s.listener) })
	s.goRun(s.announce.run)
	for _, f := range cfg.Faults {
		s.Inject(f)
	}
	return s, nil
}

func (s *Server) goRun(f func()) {
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

// Inject puts a fault in force, after its delay if it has one.
func (s *Server) Inject(f Fault) {
	if f.After <= 0 {
		s.inject(f)
		return
	}
	s.goRun(func() {
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
		s.shut()
	default:
		s.faults.set(f)
	}
}

// shut stops everything at once, as a crash does.
func (s *Server) shut() {
	s.stopOnce.Do(func() { close(s.stop) })
	_ = s.listener.Close()
	s.listener.reset()
	_ = s.http.Close()
}

// Close stops the stand-in at once and waits for its goroutines.
func (s *Server) Close() {
	s.shut()
	s.wg.Wait()
}

// Leave announces that the endpoint is leaving, finishes its work and closes.
func (s *Server) Leave(ctx context.Context) error {
	s.leavingSince.CompareAndSwap(0, time.Now().UnixNano())
	s.announce.now()
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
		Refused:         s.refused.Load(),
		Resumed:         s.resumed.Load(),
		TokensGenerated: s.batch.generated.Load(),
		TokensCompleted: s.tokensCompleted.Load(),
		LateArrivalMS:   s.lateArrival.Load() / int64(time.Millisecond),
		Announced:       s.announced.Load(),
		Connections:     s.listener.count(),
	}
}

// Ledger returns the bookings that a plain service ran, in order.
func (s *Server) Ledger() []Booking { return s.ledger.list() }

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
	inner := http.NewServeMux()
	inner.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.load()) })
	if s.cfg.Kind == endpointapi.KindEngine {
		s.routeEngine(inner)
	} else {
		s.routePlain(inner)
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if s.faults.waitThawed(s.stop) {
			inner.ServeHTTP(w, r)
			// A frozen process answers nothing, also where the handler was done.
			s.faults.waitThawed(s.stop)
		}
	})
	return mux
}

func (s *Server) routeEngine(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("DELETE /v1/requests/{id}", s.serveCancel)
	mux.HandleFunc("GET /v1/cache/events", s.serveCacheEvents)
	mux.HandleFunc("POST /v1/kv/export", s.serveExport)
	mux.HandleFunc("POST /v1/kv/import", s.serveImport)
	mux.HandleFunc("POST /v1/orders", s.serveOrder)
}

// serveFault puts the fault in the body in force, in the form of the flag.
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
		// The answer to this call would be lost with the connection.
		_ = http.NewResponseController(w).Flush()
	}
	s.Inject(f)
}

// arrive counts a request and notes one that came after the start of leaving.
func (s *Server) arrive() {
	s.received.Add(1)
	if since := s.leavingSince.Load(); since != 0 {
		s.lateArrival.Store(time.Now().UnixNano() - since)
	}
}

// refuse turns a request down before it ran.
func (s *Server) refuse(w http.ResponseWriter, status int, code, message string) {
	s.refused.Add(1)
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeError(w, status, code, message)
}

// delayLate waits for the delay of FaultLate. It is false when the request ended.
func (s *Server) delayLate(ctx context.Context) bool {
	f, ok := s.faults.draw(FaultLate)
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

var errStopped = errors.New("the stand-in was stopped")
