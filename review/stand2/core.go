package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// core is the control members of a case.
type core struct {
	s       *stand
	members []*process
	seeds   []string
	o       *operator
	routes  []any
	acked   uint64
}

const coreMemoryMB = 280

// startCore starts three members with empty disks and has the first desired state acknowledged.
func (s *stand) startCore(routes []any) (*core, error) {
	c := &core{s: s, routes: routes}
	for i := range 3 {
		c.seeds = append(c.seeds, fmt.Sprintf("%s.1.%d:%d", s.network, i+1, controlPort))
	}
	for i := range 3 {
		c.add(i + 1)
		if err := c.members[i].start(); err != nil {
			return nil, err
		}
	}
	c.o = newOperator(c.seeds)
	if status := c.put(20 * time.Second); status != http.StatusOK {
		return nil, fmt.Errorf("the first desired state was not acknowledged: status %d", status)
	}
	return c, nil
}

// add adds a member that has not been started.
func (c *core) add(number int) *process {
	p := c.s.addProcess(fmt.Sprint("core-nord-a-", number), true, fmt.Sprintf("%s.1.%d", c.s.network, number), c.seeds, coreMemoryMB)
	c.members = append(c.members, p)
	return p
}

// put sends the next version until it is acknowledged.
func (c *core) put(limit time.Duration) int {
	status := c.o.put(table(c.acked+1, c.routes, "huvo11a"), limit)
	if status == http.StatusOK {
		c.acked++
	}
	c.s.note("desired state %d: status %d", c.acked, status)
	return status
}

// leader returns the member whose log tells that it has become the leader last.
func (c *core) leader() (*process, error) {
	var last *process
	latest := 0.0
	for _, p := range c.members {
		b, err := os.ReadFile(filepath.Join(p.dir, "log"))
		if err != nil {
			return nil, err
		}
		for line := range bytes.Lines(b) {
			var event struct {
				Name  string `json:"name"`
				Clock string `json:"clock"`
			}
			if json.Unmarshal(line, &event) != nil || event.Name != "leader-elected" {
				continue
			}
			if at, err := strconv.ParseFloat(event.Clock, 64); err == nil && at > latest {
				last, latest = p, at
			}
		}
	}
	if last == nil {
		return nil, errors.New("no member has become the leader")
	}
	return last, nil
}

// wipe kills a member and deletes its disk; it starts again with an empty one after down.
func (c *core) wipe(p *process, down time.Duration) error {
	p.kill()
	if err := os.RemoveAll(filepath.Join(p.dir, "data")); err != nil {
		return err
	}
	c.s.note("%s was killed and has lost its disk", p.name)
	time.Sleep(down)
	c.s.note("%s starts again", p.name)
	return p.start()
}

// readBack reads the desired state at the running members for a time, and returns the newest
// version that any of them has returned.
func (c *core) readBack(limit time.Duration) (newest uint64) {
	answers := make(map[string]int)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, p := range c.members {
			if !p.running() {
				continue
			}
			v, status := c.o.read(fmt.Sprintf("%s:%d", p.ip, controlPort))
			answers[p.name+" status "+strconv.Itoa(status)+" version "+strconv.FormatUint(v, 10)]++
			newest = max(newest, v)
		}
		if newest >= c.acked {
			break
		}
	}
	c.s.note("reads within %v: %v", limit, answers)
	return newest
}
