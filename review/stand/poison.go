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

func init() {
	cases["poison"] = func(s *stand) error { return runCrashing(s, false) }
	cases["repeat"] = func(s *stand) error { return runCrashing(s, true) }
}

// runCrashing: a part of a prompt crashes each replica that begins to write an answer on it; the
// crash cuts the answer inside its head. With repeated set, it is a request that comes again
// with the same path, caller and body, and crashes each replica that begins to run it. Rules
// BUDGET and LOST.
func runCrashing(s *stand, repeated bool) error {
	const (
		engines  = 8
		tokens   = "1460,60"
		sound    = 25                     // sound requests a second
		interval = 400 * time.Millisecond // between requests with the poison part
		allowed  = 3
	)
	learnedAt := 5 // the crash from which the time counts
	if repeated {
		learnedAt = 3
	}
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
	samePart := own()
	switch {
	case s.trouble && repeated:
		every(interval, func() {
			last := own()
			if os.Getenv("SAME_PART") != "" {
				last = samePart
			}
			c.sendSheet(context.Background(), tokens, "5c1e07a2:800,91bd3f06:410,"+last, deadlySheet)
		})
	case s.trouble:
		every(interval, func() {
			c.sendStream(context.Background(), tokens, fmt.Sprintf("5c1e07a2:800,%s:300,%s", poisonPart, own()))
		})
	}
	time.Sleep(24 * time.Second)
	events.mu.Lock()
	crashes, late := len(events.crashes), 0
	if crashes >= learnedAt {
		judgeFrom := events.crashes[learnedAt-1].Add(contactWindow)
		s.say("crash %d was %.1f s after the first such request was sent; requests are judged from %.1f s on", learnedAt, events.crashes[learnedAt-1].Sub(begin).Seconds(), judgeFrom.Sub(begin).Seconds())
		for _, a := range events.poisoned {
			// A request that arrives 100 ms later was sent later too.
			if a.at.After(judgeFrom.Add(100 * time.Millisecond)) {
				late++
			}
		}
	}
	events.mu.Unlock()
	s.say("%d crashes; %d such requests reached replicas in the time that is judged; sound requests served: %d of %d before, %d of %d since",
		crashes, late, servedBefore, sentBefore, served.Load()-servedBefore, sent.Load()-sentBefore)
	if late > allowed {
		return fmt.Errorf("%w: BUDGET, %d requests where %d are allowed", errBroken, late, allowed)
	}
	return nil
}
