package main

import (
	"context"
	"fmt"
	"time"
)

// runLeave: a replica says with DELETE that it leaves. The member that has acknowledged this
// is killed right after, and starts again. Rule DRAIN.
func runLeave(s *stand) error {
	const (
		// serveAfterLeave is how long the replica goes on serving after the ack.
		serveAfterLeave = 12 * time.Second
		perSecond       = 3
	)
	if err := s.start(3, 8); err != nil {
		return err
	}
	if err := s.putConfig(1, plainState()); err != nil {
		return err
	}
	var replicas []*replica
	for i := range 3 {
		r, err := s.startReplica(fmt.Sprintf("i-%d", i+1), "lotes", fmt.Sprintf("%s:%d", s.ip(30, i+1), s.front()), 6, 30*time.Millisecond)
		if err != nil {
			return err
		}
		replicas = append(replicas, r)
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	c := newCallers(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.run(ctx, perSecond) }()
	defer func() { cancel(); <-done }()
	// All machines are in touch, and each member has had reports of each replica.
	time.Sleep(8 * time.Second)

	// With few requests, entries prefer one replica of several that are idle.
	leaving := replicas[0]
	for _, r := range replicas {
		if len(r.arrivalsAfter(s.record.start)) > len(leaving.arrivalsAfter(s.record.start)) {
			leaving = r
		}
	}
	member, acked, err := leaving.leave()
	if err != nil {
		return err
	}
	judgeFrom := acked.Add(drainBound)
	if s.trouble {
		member.kill()
		s.say("%s acknowledged that %s leaves, and was killed", member.name, leaving.id)
		time.Sleep(restartDelay)
		if err := member.start(); err != nil {
			return err
		}
		// Entries are in touch again contactWindow after the last start of a core machine;
		// the margin covers requests on their way.
		judgeFrom = time.Now().Add(contactWindow + 500*time.Millisecond)
	} else {
		s.say("%s acknowledged that %s leaves", member.name, leaving.id)
	}
	time.Sleep(time.Until(acked.Add(serveAfterLeave)))
	late := leaving.arrivalsAfter(judgeFrom)
	leaving.mu.Lock()
	working := leaving.working
	leaving.mu.Unlock()
	leaving.exit()
	ended := time.Now()
	s.add("replica %s: exits with %d requests at work", leaving.id, working)
	time.Sleep(3 * time.Second)
	failed := 0
	c.mu.Lock()
	for _, x := range c.exchanges {
		if x.sent.Before(ended) && x.ended.After(ended.Add(-50*time.Millisecond)) && (x.status == 0 || x.status >= 500) {
			failed++
		}
	}
	c.mu.Unlock()
	s.say("%d requests reached %s from %.1f s after the ack on; %d requests failed as it exited", len(late), leaving.id, judgeFrom.Sub(acked).Seconds(), failed)
	if len(late) > 0 {
		return fmt.Errorf("%w: DRAIN, the first request reached it %.3f s after the ack", errBroken, late[0].at.Sub(acked).Seconds())
	}
	return nil
}
