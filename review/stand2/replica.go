package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is heartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// arrival is a request that a replica ran.
type arrival struct {
	id, path, body string
	at             time.Time
}

// replica serves requests and reports its state as PROTOCOL.md says.
type replica struct {
	s                    *stand
	id, address, service string
	control              []string
	work                 time.Duration
	born                 int64
	client               *http.Client
	server               *http.Server
	stop                 context.CancelFunc

	mu       sync.Mutex
	seq      int
	next     int
	leaving  bool
	arrivals []arrival
}

// startReplica starts a replica and its reports.
func (s *stand) startReplica(id, address, service string, control []string, work time.Duration) (*replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{
		s: s, id: id, address: address, service: service, control: control, work: work, born: time.Now().UnixMilli(),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	r.server = &http.Server{Handler: r}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { _ = r.server.Serve(l) }()
	go func() {
		for {
			r.report("ready")
			select {
			case <-ctx.Done():
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return r, nil
}

// call sends a call to the control members, one after the other, until one acknowledges it.
func (r *replica) call(method string, body []byte) bool {
	for range r.control {
		r.mu.Lock()
		address := r.control[r.next%len(r.control)]
		r.mu.Unlock()
		req, err := http.NewRequest(method, "http://"+address+"/auburnstep/replicas/"+r.id, bytes.NewReader(body))
		if err != nil {
			return false
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := r.client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				return true
			}
		}
		r.mu.Lock()
		r.next++
		r.mu.Unlock()
	}
	return false
}

// report sends a status report.
func (r *replica) report(state string) bool {
	r.mu.Lock()
	r.seq++
	body, err := json.Marshal(map[string]any{
		"service": r.service, "addr": r.address, "zone": "nord-a", "version": "v1", "slots": 6, "state": state, "coldLeftMs": 0, "seq": r.seq, "born": r.born,
	})
	r.mu.Unlock()
	return err == nil && r.call(http.MethodPut, body)
}

// leave reports that the replica drains until that is acknowledged, and returns when it was.
func (r *replica) leave(limit time.Duration) (ackedAt time.Time, err error) {
	r.stop()
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if r.report("draining") {
			return time.Now(), nil
		}
	}
	return time.Time{}, fmt.Errorf("no member acknowledged that %s drains", r.id)
}

// exit unregisters the replica and ends it, with the requests that it works on.
func (r *replica) exit() {
	body, err := json.Marshal(map[string]any{"born": r.born})
	r.s.note("%s: DELETE acknowledged: %v", r.id, err == nil && r.call(http.MethodDelete, body))
	_ = r.server.Close()
	r.s.note("%s has ended", r.id)
}

// arrived returns the requests that arrived after a time.
func (r *replica) arrived(after time.Time) (out []arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.at.After(after) {
			out = append(out, a)
		}
	}
	return out
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	at, h, id := time.Now(), w.Header(), req.Header.Get("Request-Id")
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	h.Set("Request-Id", id)
	h.Set("Replica-Load", "1,0,6")
	if leaving {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	if req.URL.Path == "/healthz" {
		h.Set("Replica-Id", r.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.id {
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id: id, path: req.URL.Path, body: string(body), at: at})
	r.mu.Unlock()
	r.s.note("%s runs request %s, path %s, %d bytes", r.id, id, req.URL.Path, len(body))
	time.Sleep(r.work)
	h.Set("Server-Stamp", "stamp."+id)
	_, _ = io.WriteString(w, "answer of "+r.id+" to "+id)
}
