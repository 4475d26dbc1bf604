package control

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// replaceable returns a cluster of three members that replace lost voters.
func replaceable(t *testing.T, seed int64) *cluster {
	c := newCluster(t, seed, 3)
	c.replace = true
	c.leader()
	for _, name := range c.names {
		c.restart(name)
	}
	c.putRouting(routingTable(t, 1, "first"))
	return c
}

// add starts a further member with an empty disk.
func (c *cluster) add(name string) {
	c.names = append(c.names, name)
	c.disks[name] = &memDisk{}
	c.start(name)
}

// voters waits until exactly the named members vote.
func (c *cluster) voters(names ...string) {
	c.waitFor("the voters", func() bool {
		s := c.member(c.leader()).status.Load().Members
		for _, name := range names {
			if !s.IsVoter(c.id(name)) {
				return false
			}
		}
		return len(s.Voters) == len(names)
	})
}

// Guards against a replaced member that still counts: the next loss would leave
// no majority.
func TestSuccessorTakesThePlaceOfALostVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := replaceable(t, 31)
		defer c.stop()
		c.kill("m1")
		c.add("m3")
		c.voters("m0", "m2", "m3")
		c.kill("m2")
		c.putRouting(routingTable(t, 2, "second"))
		version, _ := c.routingName()
		qt.Assert(t, version, qt.Equals, uint64(2))
	})
}

// Guards against the loss of a voter that only restarts or is slow to return
// while nobody takes its place.
func TestLostVoterStaysWithoutSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := replaceable(t, 32)
		defer c.stop()
		c.kill("m1")
		time.Sleep(5 * lostVoterAfter)
		qt.Assert(t, c.member(c.leader()).status.Load().Members.Voters, qt.HasLen, 3)
		c.start("m1")
		c.voters("m0", "m1", "m2")
	})
}

// Guards against a member that returns after it was replaced and is of no use.
func TestReplacedMemberJoinsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := replaceable(t, 33)
		defer c.stop()
		before := c.id("m1")
		c.kill("m1")
		c.add("m3")
		c.voters("m0", "m2", "m3")
		c.putRouting(routingTable(t, 2, "second"))
		c.start("m1")
		c.voters("m0", "m1", "m2", "m3")
		qt.Assert(t, c.id("m1"), qt.Not(qt.Equals), before)
		c.waitFor("the table at the member", func() bool { return c.member("m1").routingVersion() == 2 })
	})
}
