package main

import (
	"os"
	"strconv"
	"time"
)

func init() { cases["replace"] = replaceCore }

// replaceCore removes the leading member for good, starts a successor, and takes the disk of
// another member once the successor has had catchupS.
func replaceCore(s *stand) (bool, error) {
	const (
		catchup = 4 * time.Second
		margin  = 50 * time.Millisecond
		recover = 12 * time.Second
	)
	x, _ := strconv.ParseFloat(os.Getenv("X"), 64)
	c, err := s.startCore([]any{route("r-1", "/pufi791/", "safe", "huvo11a", 1, nil)})
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	c.put(4 * time.Second)
	lost, err := c.leader()
	if err != nil {
		return false, err
	}
	if s.trouble {
		lost.kill()
		lost.stopped = true
		s.note("%s, the leader, is removed for good", lost.name)
		time.Sleep(time.Duration(x * float64(time.Second)))
		d := c.add(4)
		d.hasRun = true // bootstrap is false
		if err := d.start(); err != nil {
			return false, err
		}
		startedAt := time.Now()
		s.note("%s starts in its place", d.name)
		time.Sleep(time.Second)
		c.put(3 * time.Second)
		time.Sleep(time.Until(startedAt.Add(catchup + margin)))
	} else {
		time.Sleep(catchup)
	}
	var next *process
	for _, p := range c.members {
		if p != lost && p != c.members[len(c.members)-1] || !s.trouble && p != lost {
			next = p
			break
		}
	}
	if err := c.wipe(next, 500*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(catchup)
	newest := c.readBack(recover)
	s.note("acknowledged %d, read back %d", c.acked, newest)
	return newest < c.acked, nil
}
