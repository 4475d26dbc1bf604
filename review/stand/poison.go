package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poison"] = runPoison }

// runPoison: a part of a prompt crashes each replica that begins to write an answer on it. The
// crash cuts the answer inside its head. Rules BUDGET and LOST.
func runPoison(s *stand) error {
	const (
		engines   = 8
		tokens    = "1460,60"
		sound     = 25                     // sound requests a second
		interval  = 400 * time.Millisecond // between requests with the poison part
		allowed   = 3
		learnedAt = 5 // the crash from which the time counts
	)
	point := insideHead
	if os.Getenv("CRASH") == "after-head" {
		point = afterHead
	}
	if err := s.start(3, 4); err != nil {
		return err
	}
	if err := s.putConfig(1, streamState()); err != nil {
		return err
	}
	events := &engineEvents{}
	for i := range engines {
		if _, err := s.startEngine(i+1, point, events); err != nil {
			return err
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	c := newCallers(s)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var sent, served atomic.Int64
	every := func(d time.Duration, f func()) {
		wg.Go(func() {
			tick := time.NewTicker(d)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
					wg.Go(f)
				}
			}
		})
	}
	defer func() { cancel(); wg.Wait() }()
	own := func() string { return fmt.Sprintf("%08x:250", rand.Uint32()) }
	every(time.Second/sound, func() {
		sent.Add(1)
		if c.sendStream(context.Background(), tokens, fmt.Sprintf("5c1e07a2:800,%08x:410,%s", 0x91bd0000+rand.IntN(20), own())) {
			served.Add(1)
		}
	})
	time.Sleep(6 * time.Second)
	sentBefore, servedBefore := sent.Load(), served.Load()
	begin := time.Now()
	if s.trouble {
		every(interval, func() {
			c.sendStream(context.Background(), tokens, fmt.Sprintf("5c1e07a2:800,%s:300,%s", poisonPart, own()))
		})
	}
	time.Sleep(24 * time.Second)
	events.mu.Lock()
	crashes, late := len(events.crashes), 0
	if crashes >= learnedAt {
		judgeFrom := events.crashes[learnedAt-1].Add(contactWindow)
		s.say("the fifth crash was at %.1f s of the poison; requests are judged from %.1f s on", events.crashes[learnedAt-1].Sub(begin).Seconds(), judgeFrom.Sub(begin).Seconds())
		for _, a := range events.poisoned {
			// A request that arrives 100 ms later was sent later too.
			if a.at.After(judgeFrom.Add(100 * time.Millisecond)) {
				late++
			}
		}
	}
	events.mu.Unlock()
	s.say("%d crashes; %d requests with the part reached replicas later than contactWindowMs after the fifth; sound requests served: %d of %d before, %d of %d since",
		crashes, late, servedBefore, sentBefore, served.Load()-servedBefore, sent.Load()-sentBefore)
	if late > allowed {
		return fmt.Errorf("%w: BUDGET, %d requests where %d are allowed", errBroken, late, allowed)
	}
	return nil
}
