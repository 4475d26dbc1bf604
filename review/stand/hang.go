package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["hang"] = runHang }

// runHang: replicas answer a part of the lookups with an error of their own, so that entries
// send these once more. Some entry then answers nothing any more. Rule CONFIG (time limits of
// routes).
func runHang(s *stand) error {
	const (
		replicas  = 8
		engines   = 60
		errors    = 0.14 // error_share of stock-check in the site file
		perSecond = 500
		duration  = 95 * time.Second
		timeout   = 1500 * time.Millisecond // of the routes
		grace     = 500 * time.Millisecond
		enough    = 200 // unanswered requests that end the run
	)
	if err := s.start(3, 8); err != nil {
		return err
	}
	// Both services of the site: lookups go to one, and the replicas of the other one are
	// replaced one after the other, with and without the disruption.
	state := plainState()
	streams := streamState()
	state["routes"] = append(state["routes"].([]any), streams["routes"].([]any)...)
	state["services"] = append(state["services"].([]any), streams["services"].([]any)...)
	if err := s.putConfig(1, state); err != nil {
		return err
	}
	releaseCtx, stopRelease := context.WithCancel(context.Background())
	defer stopRelease()
	go s.release(releaseCtx, engines)
	for i := range replicas {
		r, err := s.startReplica(fmt.Sprintf("i-%d", i+1), "lotes", fmt.Sprintf("%s:%d", s.ip(30, i+1), s.front()), 6, 30*time.Millisecond)
		if err != nil {
			return err
		}
		if s.trouble {
			r.errorShare = errors
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	c := newCallers(s)
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); c.run(ctx, perSecond, 0) }()
	atLimit, unanswered, total, byEntry := 0, 0, 0, make(map[string]int)
	for begin := time.Now(); ; {
		atLimit, unanswered, total = 0, 0, 0
		clear(byEntry)
		c.mu.Lock()
		for _, x := range c.exchanges {
			total++
			if x.entry == "" || x.ended.Sub(x.sent) < timeout {
				continue
			}
			atLimit++
			if x.ended.Sub(x.sent) > timeout+grace {
				unanswered++
				byEntry[x.entry]++
			}
		}
		c.mu.Unlock()
		if unanswered >= enough || ctx.Err() != nil {
			s.say("after %v:", time.Since(begin).Round(time.Second))
			break
		}
		time.Sleep(time.Second)
	}
	cancel()
	<-done
	s.say("%d requests; %d unanswered at the route's time limit, %d of them 0.5 s later; by entry: %v", total, atLimit, unanswered, byEntry)
	for _, p := range s.entries {
		if byEntry[fmt.Sprintf("%s:%d", p.ip, s.front())] > 0 {
			s.say("%s is running, and is ready by its own account: %v", p.name, p.isReady())
		}
	}
	if unanswered >= 8 && 2*unanswered > atLimit {
		return fmt.Errorf("%w: CONFIG", errBroken)
	}
	return nil
}
