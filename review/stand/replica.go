package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a stand-in for a replica of a plain service.
type replica struct {
	stand   *stand
	id      string
	service string
	address string
	slots   int
	work    time.Duration
	born    int64
	server  *http.Server
	cancel  context.CancelFunc

	mu       sync.Mutex
	sequence int
	arrivals []arrival
	working  int
	// errorShare is the share of requests that it answers with 500 after it has run them.
	errorShare float64
}

// arrival is a request that a replica began to run.
type arrival struct {
	id string
	at time.Time
}

// startReplica starts a replica, which reports its status from then on.
func (s *stand) startReplica(id, service, address string, slots int, work time.Duration) (*replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &replica{stand: s, id: id, service: service, address: address, slots: slots, work: work, born: time.Now().UnixMilli(), cancel: cancel}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	go r.report(ctx)
	s.mu.Lock()
	s.replicas = append(s.replicas, r)
	s.mu.Unlock()
	return r, nil
}

func (r *replica) exit() {
	r.cancel()
	_ = r.server.Close()
}

// report sends a status report to a random member about every heartbeat, and to the next one
// if that does not acknowledge it.
func (r *replica) report(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		r.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "addr": r.address, "zone": "sul-caxias", "version": "v1", "slots": r.slots, "state": "ready",
			"coldLeftMs": 0, "seq": r.sequence, "born": r.born,
		})
		r.mu.Unlock()
		addresses := r.stand.controlAddresses()
		for _, i := range rand.Perm(len(addresses)) {
			status, _, err := r.stand.call(http.MethodPut, addresses[i], "/auburnstep/replicas/"+r.id, body)
			if err == nil && status == http.StatusOK {
				r.stand.add("replica %s: report %d acknowledged by %s", r.id, r.sequence, r.stand.members[i].name)
				break
			}
		}
		pause := time.NewTimer(heartbeat*9/10 + rand.N(heartbeat/5))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
	}
}

// ServeHTTP runs a request, unless it is meant for another replica or all slots are taken.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	r.mu.Lock()
	full := r.working >= 3*r.slots
	if !full {
		r.working++
		r.arrivals = append(r.arrivals, arrival{id, time.Now()})
	}
	r.mu.Unlock()
	if full || id == "" {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.stand.add("replica %s: runs %s", r.id, id)
	time.Sleep(r.work/2 + rand.N(r.work))
	r.mu.Lock()
	r.working--
	r.mu.Unlock()
	status := http.StatusOK
	if rand.Float64() < r.errorShare {
		status = http.StatusInternalServerError
	}
	body := "answer of " + r.id + " to " + id
	w.Header().Set("Server-Stamp", "stamp."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body) // The caller may have left.
}

// arrivalsAfter returns the requests that the replica began to run after a time.
func (r *replica) arrivalsAfter(at time.Time) (out []arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.at.After(at) {
			out = append(out, a)
		}
	}
	return out
}
