package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/routing"
)

// processClock is the steady clock of one process. It runs at a rate, and stands still
// while its machine is suspended.
type processClock struct {
	mu    sync.Mutex
	rate  float64
	at    time.Time // its reading at the time of the last change
	since time.Time // the time of the last change
}

func newProcessClock() *processClock {
	now := time.Now()
	return &processClock{rate: 1, at: now, since: now}
}

func (p *processClock) now() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reading()
}

func (p *processClock) reading() time.Time {
	return p.at.Add(time.Duration(p.rate * float64(time.Since(p.since))))
}

// setRate makes the clock run at a multiple of the speed of time; 0 stops it.
func (p *processClock) setRate(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at, p.since, p.rate = p.reading(), time.Now(), rate
}

// add adds time that passed while the clock stood still.
func (p *processClock) add(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at = p.at.Add(d)
}

// suspend stops or resumes the machine of a member: its steady clock stands still, and no
// message reaches or leaves it.
func (c *cluster) suspend(name string, suspended bool) {
	rate := 1.0
	if suspended {
		rate = 0
	}
	c.clocks[name].setRate(rate)
	c.isolate(name, suspended)
}

// newClusterWithClocks starts a cluster in which each member has a clock of its own.
func newClusterWithClocks(t testing.TB, seed int64, n int) *cluster {
	c := newCluster(t, seed, n)
	c.clocks = make(map[string]*processClock)
	for _, name := range c.names {
		c.clocks[name] = newProcessClock()
		c.restart(name)
	}
	return c
}

// readRoutingAt reads the routing table at one member and returns its version. It reports
// false if the member returned none.
func (c *cluster) readRoutingAt(name string) (version uint64, ok bool) {
	m := c.member(name)
	if m == nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	t, err := m.CurrentRouting(ctx)
	if err != nil || t == nil {
		return 0, false
	}
	table, err := routing.Decode(t.Document)
	qt.Assert(c.t, err, qt.IsNil)
	return table.Version, true
}

// TestResumedLeaderReturnsOlderRoutingTable guards against a leader that, after its
// machine was suspended and another leader was elected, takes its lease for valid and
// returns a routing table older than the one acknowledged.
func TestResumedLeaderReturnsOlderRoutingTable(t *testing.T) {
	for seed := range int64(5) {
		synctest.Test(t, func(t *testing.T) {
			c := newClusterWithClocks(t, 100*seed+31, 3)
			defer c.stop()
			c.putRouting(routingTable(t, 1, "before"))
			old := c.leader()
			time.Sleep(time.Duration(seed) * 17 * time.Millisecond) // another moment of the lease
			c.suspend(old, true)
			c.waitFor("a newer table to be accepted", func() bool {
				for _, name := range c.names {
					if name == old {
						continue
					}
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					_, err := c.member(name).AcceptRouting(ctx, routingTable(t, 2, "after"))
					cancel()
					if err == nil {
						return true
					}
				}
				return false
			})
			time.Sleep(3 * time.Second)
			c.suspend(old, false)
			for range 100 {
				if version, ok := c.readRoutingAt(old); ok {
					qt.Assert(t, version, qt.Equals, uint64(2), qt.Commentf("seed %d", seed))
				}
				time.Sleep(5 * time.Millisecond)
			}
			version, _ := c.readRouting()
			qt.Assert(t, version, qt.Equals, uint64(2))
		})
	}
}

// TestDefaultClockCountsSuspensions guards against leases that outlive a suspension of the
// machine.
func TestDefaultClockCountsSuspensions(t *testing.T) {
	defaultClock := NewMember(Options{}).options.Clock
	qt.Assert(t, reflect.ValueOf(defaultClock).Pointer(), qt.Equals, reflect.ValueOf(clock.Now).Pointer())
}

// TestResumedLeaderConfirmsPolls guards against a leader that, with a clock that counts
// suspended time, confirms the view and the groups of an instance after it was suspended.
func TestResumedLeaderConfirmsPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithClocks(t, 91, 3)
		defer c.stop()
		leader := c.leader()
		m := c.member(leader)
		poll := func() error {
			_, err := m.Feed(context.Background(), pollOf("e0", 1))
			return err
		}
		qt.Assert(t, poll(), qt.IsNil)
		c.suspend(leader, true)
		time.Sleep(3 * time.Second)
		c.clocks[leader].add(3 * time.Second)
		qt.Assert(t, poll(), qt.IsNotNil)
		c.suspend(leader, false)
	})
}

// acknowledgedTable is the highest version that was acknowledged so far.
type acknowledgedTable struct {
	mu      sync.Mutex
	version uint64
}

func (a *acknowledgedTable) raise(version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version = max(a.version, version)
}

func (a *acknowledgedTable) get() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version
}

// TestRoutingReadsUnderDrawnFaults guards against reads that return a table older than
// one acknowledged before the read, under suspensions, clocks that run at different rates,
// cuts, restarts, lost disks, and restarts of members in drawn orders.
func TestRoutingReadsUnderDrawnFaults(t *testing.T) {
	for seed := range drawnFaultSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkRoutingReads(t, seed) })
		})
	}
}

// drawnFaultSeeds is the number of seeds that TestRoutingReadsUnderDrawnFaults plays.
const drawnFaultSeeds = int64(24)

func checkRoutingReads(t *testing.T, seed int64) {
	rng := rand.New(rand.NewPCG(uint64(seed), 7))
	members := 3 + 2*int(seed%2)
	c := newClusterWithClocks(t, 1000+seed*50, members)
	defer c.stop()
	c.leader()
	acknowledged := &acknowledgedTable{}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Add(1)
	go func() { // the operator's changes, each at some member
		defer tasks.Done()
		for version := uint64(1); kernel.Sleep(ctx, 40*time.Millisecond) == nil; version++ {
			m := c.member(c.names[int(version)%members])
			if m == nil {
				continue
			}
			call, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
			if inForce, err := m.AcceptRouting(call, routingTable(t, version, "r")); err == nil {
				acknowledged.raise(inForce)
			}
			cancel()
		}
	}()
	reads := make([]int, members)
	for i, name := range c.names {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			for kernel.Sleep(ctx, 15*time.Millisecond) == nil {
				atLeast := acknowledged.get()
				version, ok := c.readRoutingAt(name)
				if !ok {
					continue
				}
				reads[i]++
				if version < atLeast {
					t.Errorf("seed %d: %s returned version %d, version %d was acknowledged before the read", seed, name, version, atLeast)
					return
				}
			}
		}()
	}
	for range 12 {
		c.drawFault(rng)
	}
	cancel()
	tasks.Wait()
	for i, n := range reads {
		qt.Check(t, n > 0, qt.IsTrue, qt.Commentf("no read of %s got a table", c.names[i]))
	}
	last := acknowledged.get()
	version, _ := c.readRouting()
	qt.Assert(t, version >= last, qt.IsTrue, qt.Commentf("read %d, acknowledged %d", version, last))
}

// drawFault injects a fault at a drawn member, half of the time the leader, for a drawn
// time, and then lets the cluster recover.
func (c *cluster) drawFault(rng *rand.Rand) {
	name := c.names[rng.IntN(len(c.names))]
	if rng.IntN(2) == 0 {
		name = c.leader()
	}
	lasts := time.Duration(rng.IntN(5000)) * time.Millisecond
	switch rng.IntN(6) {
	case 0, 1:
		c.suspend(name, true)
		time.Sleep(lasts)
		c.suspend(name, false)
	case 2:
		rate := []float64{0.1, 0.5, 3}[rng.IntN(3)]
		c.clocks[name].setRate(rate)
		time.Sleep(lasts / 2)
		c.isolate(name, true)
		time.Sleep(lasts / 2)
		c.isolate(name, false)
		c.clocks[name].setRate(1)
	case 3:
		c.isolate(name, true)
		time.Sleep(lasts)
		c.isolate(name, false)
	case 4:
		c.restart(name)
	case 5:
		// A second disk must not be lost before the first one is replaced.
		c.waitFor("all members to be voters", c.allVote)
		c.suspend(name, true)
		time.Sleep(lasts)
		if other := c.names[rng.IntN(len(c.names))]; other != name {
			c.wipe(other)
		}
		c.suspend(name, false)
	}
	time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
}

// allVote reports whether the leader counts all members, with their present disks, as
// voters.
func (c *cluster) allVote() bool {
	status := c.member(c.leader()).status.Load()
	if len(status.Members.Voters) != len(c.names) {
		return false
	}
	for _, name := range c.names {
		if !status.Members.IsVoter(c.id(name)) {
			return false
		}
	}
	return true
}
