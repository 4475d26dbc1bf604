package main

import (
	"context"
	"fmt"
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
		perSecond = 60
	)
	if err := s.start(3, 4); err != nil {
		return err
	}
	if err := s.putConfig(1, plainState()); err != nil {
		return err
	}
	var limited []*replica
	for i := range 4 {
		r, err := s.startReplica(fmt.Sprintf("i-%d", i+1), "lotes", fmt.Sprintf("%s:%d", s.ip(30, i+1), s.front()), 6, 150*time.Millisecond)
		if err != nil {
			return err
		}
		if i < 2 {
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
	defer func() { cancel(); <-done }()
	time.Sleep(10 * time.Second) // The limits have been named for long.
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
	worst := 0
	for _, r := range limited {
		list := r.arrivalsAfter(s.record.start.Add(6 * time.Second))
		for i := range list {
			n := 0
			for _, a := range list[i:] {
				if a.at.Sub(list[i].at) <= window {
					n++
				}
			}
			worst = max(worst, n)
		}
	}
	s.say("at most %d requests reached a replica with a limit of %v a second in %v; %v are allowed", worst, limit, window, allowed)
	if float64(worst) > allowed {
		return fmt.Errorf("%w: LIMIT", errBroken)
	}
	return nil
}
