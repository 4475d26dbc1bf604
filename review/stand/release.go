package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// idle is a replica of a model service that gets no requests. It only reports its status.
type idle struct {
	stand    *stand
	id       string
	address  string
	born     time.Time
	sequence int
	stop     chan struct{}
}

const (
	// coldTime is how long a replica says that it is slow after its start.
	coldTime = 1500 * time.Millisecond
	// releaseGap is the time between two replacements; release has gap_s 0.7 in the site file.
	releaseGap = 700 * time.Millisecond
)

func (s *stand) startIdle(n, start int) *idle {
	r := &idle{stand: s, id: fmt.Sprintf("i-sort-%d-%d", n, start), address: fmt.Sprintf("%s:%d", s.ip(40+start%100, n), s.front()), born: time.Now(), stop: make(chan struct{})}
	go r.report()
	return r
}

func (r *idle) report() {
	for {
		r.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": "sort", "addr": r.address, "zone": "sul-caxias", "version": "v1", "slots": 128, "state": "ready",
			"coldLeftMs": max(0, (coldTime - time.Since(r.born)).Milliseconds()), "stage": "both",
			"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": r.sequence, "born": r.born.UnixMilli(),
		})
		r.call(http.MethodPut, body)
		select {
		case <-r.stop:
			r.call(http.MethodDelete, nil)
			return
		case <-time.After(heartbeat*9/10 + rand.N(heartbeat/5)):
		}
	}
}

// call calls random members until one acknowledges.
func (r *idle) call(method string, body []byte) {
	addresses := r.stand.controlAddresses()
	for _, i := range rand.Perm(len(addresses)) {
		status, _, err := r.stand.call(method, addresses[i], "/auburnstep/replicas/"+r.id, body)
		if err == nil && status == http.StatusOK {
			return
		}
	}
}

// release replaces the replicas of the model service one after the other until ctx ends: the
// new one starts first, then the old one leaves.
func (s *stand) release(ctx context.Context, count int) {
	running := make([]*idle, count)
	for i := range running {
		running[i] = s.startIdle(i+1, 0)
	}
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			for _, r := range running {
				close(r.stop)
			}
			return
		case <-time.After(releaseGap):
		}
		i := n % count
		next := s.startIdle(i+1, 1+n/count)
		close(running[i].stop)
		running[i] = next
	}
}
