package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

func init() { cases["firststart"] = runFirstStart }

// runFirstStart: one control member is killed while the whole system starts for the first
// time, and is started again by the platform. The first desired state is never accepted.
func runFirstStart(s *stand) error {
	delay := 200 * time.Millisecond
	if v := os.Getenv("KILL_MS"); v != "" {
		ms, _ := strconv.Atoi(v)
		delay = time.Duration(ms) * time.Millisecond
	}
	victim, _ := strconv.Atoi(os.Getenv("VICTIM"))
	s.prepare(3, 2)
	begin := time.Now()
	order := []*process{s.members[0], s.members[1], s.members[2], s.entries[0], s.entries[1]}
	for _, p := range order {
		if err := p.start(); err != nil {
			return err
		}
		time.Sleep(60 * time.Millisecond)
	}
	if s.trouble {
		time.Sleep(time.Until(begin.Add(delay)))
		s.members[victim].kill()
		s.say("%s killed %v after its start", s.members[victim].name, time.Since(begin))
		time.Sleep(restartDelay)
		if err := s.members[victim].start(); err != nil {
			return err
		}
	}
	if err := s.putConfig(1, plainState()); err != nil {
		return fmt.Errorf("%w: %v", errBroken, err)
	}
	s.say("accepted after %v", time.Since(begin))
	return nil
}
