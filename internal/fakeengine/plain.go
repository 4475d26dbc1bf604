package fakeengine

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/answers"
	"auburnstep.example/auburnstep/internal/endpointapi"
)

// maxPlainBody is the maximum size of the body of a plain call, an order or a fault
// in bytes.
const maxPlainBody = 4 << 20

// Booking records one execution of a call that changes state.
type Booking struct {
	Sequence int    `json:"sequence"`
	Path     string `json:"path"`
	Key      string `json:"key"`
	Request  string `json:"request"`
	Body     string `json:"body"`
}

// ledger records the bookings that a plain service executed.
type ledger struct {
	mu       sync.Mutex
	bookings []Booking
}

func newLedger() *ledger { return &ledger{} }

func (l *ledger) add(b Booking) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.Sequence = len(l.bookings) + 1
	l.bookings = append(l.bookings, b)
	return b.Sequence
}

func (l *ledger) list() []Booking {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Booking{}, l.bookings...)
}

func (s *Server) registerPlainRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.ledger.list()) })
	mux.HandleFunc("GET /", s.servePlain)
	mux.HandleFunc("POST /", s.servePlain)
}

// servePlain responds to a lookup with an echo. It also enters each booking in the
// ledger before PlainDelay and before the faults that affect the response, so that
// the ledger also shows bookings whose caller received no response.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	s.countRequest()
	if _, hit := s.faults.trigger(FaultOverload); hit || s.inFlight.Load() >= int64(s.cfg.Slots+s.cfg.QueueMax) {
		s.reject(w, http.StatusServiceUnavailable, "overloaded", "the service is overloaded")
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlainBody))
	if err != nil {
		s.reject(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	if f, ok := s.faults.trigger(FaultDeadly); ok && strings.Contains(r.URL.RequestURI()+"\n"+string(body), f.Text) {
		_ = s.crashInBackground()
		panic(http.ErrAbortHandler)
	}
	echo := answers.Echo{Path: r.URL.Path, Query: r.URL.RawQuery, Digest: answers.DigestOf(r.URL.RequestURI())}
	if r.Method == http.MethodPost {
		echo.Digest = answers.DigestOf(string(body))
		echo.Sequence = s.ledger.add(Booking{
			Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key"), Request: r.Header.Get(endpointapi.HeaderRequestID), Body: string(body),
		})
	}
	if !s.waitPlainDelay(r) || !s.applyLateFault(r.Context()) {
		s.cancelled.Add(1)
		return
	}
	s.writePlainResponse(w, r, echo)
}

func (s *Server) waitPlainDelay(r *http.Request) bool {
	d := time.Duration(float64(s.cfg.PlainDelay) * s.faults.slowdown())
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	case <-s.stop:
		return false
	}
}

func (s *Server) writePlainResponse(w http.ResponseWriter, r *http.Request, echo answers.Echo) {
	id := r.Header.Get(endpointapi.HeaderRequestID)
	if _, hit := s.faults.trigger(FaultCrossed); hit {
		id, echo.Digest = "other-"+id, answers.DigestOf("other")
	}
	if id != "" {
		w.Header().Set(endpointapi.HeaderRequestID, id)
	}
	_, truncated := s.faults.trigger(FaultTruncated)
	if _, reset := s.faults.trigger(FaultReset); truncated || reset {
		s.cancelled.Add(1)
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"path":`)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	s.completed.Add(1)
	status := http.StatusOK
	if r.Method == http.MethodPost {
		status = http.StatusCreated
	}
	writeJSON(w, status, echo)
}
