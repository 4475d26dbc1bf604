package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["firststart"] = firstStart }

// firstStart starts the system for the first time and kills one member before the cluster is
// formed. The platform restarts it.
func firstStart(s *stand) (bool, error) {
	const (
		contactWindow = 3 * time.Second
		ack           = 4 * time.Second
		longWait      = 30 * time.Second
	)
	c := &core{s: s, routes: []any{route("r-1", "/pufi791/", "safe", "huvo11a", 1, nil)}}
	for i := range 3 {
		c.seeds = append(c.seeds, fmt.Sprintf("%s.1.%d:%d", s.network, i+1, controlPort))
	}
	for i, delay := range []time.Duration{0, 200 * time.Millisecond, 90 * time.Millisecond} {
		time.Sleep(delay)
		p := c.add(i + 1)
		if err := p.start(); err != nil {
			return false, err
		}
		s.note("%s starts, with bootstrap: true", p.name)
	}
	c.o = newOperator(c.seeds)
	time.Sleep(60 * time.Millisecond)
	if s.trouble {
		c.members[0].kill()
		s.note("%s is killed", c.members[0].name)
		time.Sleep(restartDelay)
		if err := c.members[0].start(); err != nil {
			return false, err
		}
		s.note("%s starts again, with bootstrap: false", c.members[0].name)
	}
	started := time.Now()
	status := c.put(contactWindow + ack)
	s.note("after %v: status %d", time.Since(started).Round(time.Millisecond), status)
	if status == http.StatusOK {
		return false, nil
	}
	status = c.put(longWait)
	s.note("after %v: status %d", time.Since(started).Round(time.Second), status)
	return true, nil
}
