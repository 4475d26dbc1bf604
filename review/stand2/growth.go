package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["growth"] = growth }

// growth sends hundreds of changes of a desired state with many routes, and reads it back.
func growth(s *stand) (bool, error) {
	const (
		usualRoutes, moreRoutes = 44, 3 * 1580 // big_config, three times
		changes                 = 300
		gap                     = 100 * time.Millisecond
		memoryMB, diskMB        = 280, 128
		recover                 = 12 * time.Second
	)
	routes := usualRoutes
	if s.trouble {
		routes += moreRoutes
	}
	var seeds, control []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.1.%d:%d", s.network, i+1, controlPort))
	}
	control = seeds
	stop := make(chan struct{})
	var members []*process
	for i := range 3 {
		p := s.addProcess(fmt.Sprint("core-", i+1), true, fmt.Sprintf("%s.1.%d", s.network, i+1), seeds, memoryMB)
		members = append(members, p)
		if err := p.start(); err != nil {
			return false, err
		}
	}
	for _, p := range members {
		go p.supervise(stop)
	}
	defer close(stop)
	var list []any
	for i := range routes {
		list = append(list, route(fmt.Sprintf("r-%06d", i), fmt.Sprintf("/pufi%d/", i), "safe", "huvo11a", 1, nil))
	}
	o := newOperator(control)
	if status := o.put(table(1, list, "huvo11a"), 20*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the first desired state was not acknowledged: %d", status)
	}
	s.note("a desired state has %d routes and %d bytes", routes, len(table(1, list, "huvo11a")))
	acked, version, lastAck := uint64(1), uint64(1), time.Now()
	begin := time.Now()
	for n := range changes {
		if time.Since(begin) > 85*time.Second || time.Since(lastAck) > recover {
			break
		}
		version++
		list[0].(map[string]any)["timeoutMs"] = 10000 + n
		status := o.put(table(version, list, "huvo11a"), 4*time.Second)
		if status == http.StatusOK {
			acked, lastAck = version, time.Now()
		}
		if status != http.StatusOK || n%20 == 0 {
			s.note("change %d: status %d; memory %d, %d, %d MB; disk %d, %d, %d MB", version, status, members[0].memoryKB()>>10, members[1].memoryKB()>>10,
				members[2].memoryKB()>>10, members[0].diskKB()>>10, members[1].diskKB()>>10, members[2].diskKB()>>10)
		}
		time.Sleep(gap)
	}
	// The operator reads back what was acknowledged.
	var got uint64
	answers := make(map[string]int)
	for end := time.Now().Add(recover); time.Now().Before(end) && got < acked; time.Sleep(200 * time.Millisecond) {
		for _, address := range control {
			v, status := o.read(address)
			got = max(got, v)
			answers[fmt.Sprintf("status %d, version %d", status, v)]++
		}
	}
	s.note("reads within %v: %v", recover, answers)
	ended := 0
	for _, p := range members {
		p.mu.Lock()
		kills, peak := p.kills, p.peakKB
		p.mu.Unlock()
		if kills >= 3 {
			ended++
		}
		s.note("%s: killed %d times for memory, peak %d MB, disk %d MB of %d MB", p.name, kills, peak>>10, p.diskKB()>>10, diskMB)
	}
	s.note("sent %d, acknowledged %d, read back %d", version, acked, got)
	return ended >= 2 || got < acked, nil
}
