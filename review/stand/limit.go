package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

func init() { cases["limit"] = runLimit }

// runLimit: all control members are killed at the same moment and are back within a second.
// Replicas that have named a limit long before get more than it allows. Rule LIMIT.
func runLimit(s *stand) error {
	const (
		limit     = 1.0
		window    = 4 * time.Second
		allowed   = 1.5*limit*4 + 5
		perSecond = 120
	)
	if err := s.start(3, 8); err != nil {
		return err
	}
	if err := s.putConfig(1, plainState()); err != nil {
		return err
	}
	var limited []*replica
	for i := range 8 {
		r, err := s.startReplica(fmt.Sprintf("i-%d", i+1), "lotes", fmt.Sprintf("%s:%d", s.ip(30, i+1), s.front()), 6, 150*time.Millisecond)
		if err != nil {
			return err
		}
		if i < 4 {
			r.limit = fmt.Sprint(limit)
			limited = append(limited, r)
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	c := newCallers(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.run(ctx, perSecond) }()
	defer cancel()
	time.Sleep(20 * time.Second) // All entries have passed on answers that name the limits.
	if s.trouble {
		for _, m := range s.members {
			m.kill()
		}
		s.say("all members killed")
		time.Sleep(restartDelay)
		for _, m := range s.members {
			if err := m.start(); err != nil {
				return err
			}
		}
	}
	time.Sleep(8 * time.Second)
	cancel()
	<-done
	worst, all := 0, 0
	for _, r := range limited {
		// An arrival counts if its entry had passed on an answer of the replica half a second
		// before or earlier.
		c.mu.Lock()
		entryOf, first := make(map[string]string), make(map[string]time.Time)
		for _, x := range c.exchanges {
			entryOf[x.id] = x.entry
			if t, ok := first[x.entry]; strings.HasPrefix(x.body, "answer of "+r.id+" ") && (!ok || x.ended.Before(t)) {
				first[x.entry] = x.ended
			}
		}
		c.mu.Unlock()
		r.mu.Lock()
		var counted []time.Time
		for _, a := range r.arrivals {
			if t, ok := first[entryOf[a.id]]; ok && a.at.Sub(t) >= 500*time.Millisecond {
				counted = append(counted, a.at)
			}
		}
		all += len(r.arrivals)
		r.mu.Unlock()
		for i, from := range counted {
			n := 0
			for _, at := range counted[i:] {
				if at.Sub(from) <= window {
					n++
				}
			}
			if n > worst {
				worst = n
				s.add("%s: %d requests in %v from %.3f s on", r.id, n, window, from.Sub(s.record.start).Seconds())
			}
		}
	}
	s.add("%d requests reached limited replicas in all", all)
	s.say("at most %d requests reached a replica with a limit of %v a second in %v; %v are allowed", worst, limit, window, allowed)
	if float64(worst) > allowed {
		return fmt.Errorf("%w: LIMIT", errBroken)
	}
	return nil
}
