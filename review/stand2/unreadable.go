package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["unreadable"] = unreadable }

// unreadable has another writer send a status report whose id cannot be read to each member. Then
// a replica leaves, and its successor comes.
func unreadable(s *stand) (bool, error) {
	const (
		drain     = 2 * time.Second // drainMs
		slack     = 100 * time.Millisecond
		path      = "/lohu930/x"
		perRound  = 6
		work      = 500 * time.Millisecond
		afterWork = time.Second
	)
	c, err := s.startCore([]any{route("r-1", "/lohu930/", "unsafe", "huvo11a", 1, nil)})
	if err != nil {
		return false, err
	}
	var entries []string
	for i := range 3 {
		p := s.addProcess(fmt.Sprint("front-nord-a-", i+1), false, fmt.Sprintf("%s.2.%d", s.network, i+1), c.seeds, 284)
		if err := p.start(); err != nil {
			return false, err
		}
		entries = append(entries, fmt.Sprintf("%s:%d", p.ip, frontPort))
	}
	var replicas []*replica
	for i := range 2 {
		r, err := s.startReplica(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), fmt.Sprintf("%s.3.%d:18080", s.network, i+1), "huvo11a", c.seeds, work)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	for _, e := range entries {
		if err := s.awaitServed(e, path, 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // contactWindowMs, and a heartbeat
	if s.trouble {
		// The writer reports to one member after the other, as a replica does that finds each of
		// them in turn.
		for i, address := range c.seeds {
			body := fmt.Sprintf(`{"service":"huvo11a","addr":"%s.4.1:18080","zone":"nord-a","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seq":%d,"born":%d}`, s.network, i+1, time.Now().UnixMilli())
			req, err := http.NewRequest(http.MethodPut, "http://"+address+"/auburnstep/replicas/i-%ff%fe91c2", strings.NewReader(body))
			if err != nil {
				return false, err
			}
			req.Header.Set("Content-Type", "application/json")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return false, err
			}
			_ = resp.Body.Close()
			s.note("a status report with an id that cannot be read, at %s: status %d", address, resp.StatusCode)
			time.Sleep(heartbeat)
		}
		time.Sleep(time.Second)
	}
	leaving := replicas[0]
	successor, err := s.startReplica("i-successor1", fmt.Sprintf("%s.3.9:18080", s.network), "huvo11a", c.seeds, work)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	ackedAt, err := leaving.leave(5 * time.Second)
	if err != nil {
		return false, err
	}
	s.note("%s: it drains, and this was acknowledged", leaving.id)
	time.Sleep(time.Until(ackedAt.Add(drain + slack)))
	lateFrom := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for _, e := range entries {
		for n := range perRound {
			wg.Go(func() {
				a := s.send(e, path, fmt.Sprintf("late-%s-%d", e, n), 2500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
			})
		}
	}
	time.Sleep(100 * time.Millisecond) // "a little longer" than drainMs
	leaving.exit()
	wg.Wait()
	late := leaving.arrived(lateFrom)
	s.note("answers to the requests sent %v after the ack: %v", drain+slack, statuses)
	s.note("%d requests reached %s later than drainMs after the ack", len(late), leaving.id)
	time.Sleep(afterWork)
	s.note("the successor got %d requests in %v", len(successor.arrived(time.Time{})), time.Since(ackedAt).Round(time.Second))
	return len(late) > 0, nil
}
