package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// newReplacingCluster returns a cluster of three members with
// Options.ReplaceLostVoters set.
func newReplacingCluster(t *testing.T, seed int64) *cluster {
	c := newCluster(t, seed, 3)
	c.replace = true
	c.leader()
	for _, name := range c.names {
		c.restart(name)
	}
	c.putRouting(routingTable(t, 1, "first"))
	return c
}

// addInstance starts another member with an empty disk.
func (c *cluster) addInstance(name string) {
	c.names = append(c.names, name)
	c.disks[name] = &memDisk{}
	c.start(name)
}

// waitForVoters waits until the voters are exactly the named members in the view of
// each of them. The leader alone is not enough: a membership is in force there as soon
// as it is appended, and the next loss may come before it is committed.
func (c *cluster) waitForVoters(names ...string) {
	c.waitFor("the voters", func() bool {
		for _, at := range names {
			s := c.member(at).status.Load().Members
			for _, name := range names {
				if !s.IsVoter(c.id(name)) {
					return false
				}
			}
			if len(s.Voters) != len(names) {
				return false
			}
		}
		return true
	})
}

// TestSuccessorReplacesLostVoter guards against a lost voter that still counts
// towards the quorum after a successor has joined: the next loss would leave no
// majority.
func TestSuccessorReplacesLostVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReplacingCluster(t, 31)
		defer c.stop()
		c.kill("m1")
		c.addInstance("m3")
		c.waitForVoters("m0", "m2", "m3")
		c.kill("m2")
		c.putRouting(routingTable(t, 2, "second"))
		version, _ := c.readRouting()
		qt.Assert(t, version, qt.Equals, uint64(2))
	})
}

// TestLostVoterStaysWithoutSuccessor guards against the removal of a voter that
// is down for a while, when there is no successor to replace it.
func TestLostVoterStaysWithoutSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReplacingCluster(t, 32)
		defer c.stop()
		c.kill("m1")
		time.Sleep(5 * defaultCatchUp)
		qt.Assert(t, c.member(c.leader()).status.Load().Members.Voters, qt.HasLen, 3)
		c.start("m1")
		c.waitForVoters("m0", "m1", "m2")
	})
}

// TestReplacedMemberRejoins guards against a member that returns after it
// was replaced and never becomes a voter again.
func TestReplacedMemberRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReplacingCluster(t, 33)
		defer c.stop()
		before := c.id("m1")
		c.kill("m1")
		c.addInstance("m3")
		c.waitForVoters("m0", "m2", "m3")
		c.putRouting(routingTable(t, 2, "second"))
		c.start("m1")
		c.waitForVoters("m0", "m1", "m2", "m3")
		qt.Assert(t, c.id("m1"), qt.Not(qt.Equals), before)
		c.waitFor("the table at the member", func() bool { return c.member("m1").routingVersion() == 2 })
	})
}

// TestMemberWithRecordedAddressJoins guards against a member that takes itself for added
// because its address is recorded, although the leader failed before it added the member.
func TestMemberWithRecordedAddressJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 61, 4)
		defer c.stop()
		added := c.names[3]
		c.kill(added)
		leader := c.member(c.leader())
		_, err := leader.propose(context.Background(), &controlv1.Command{Command: &controlv1.Command_Member{
			Member: &controlv1.MemberAddress{Id: c.disks[added].id, Address: added, Instance: added}}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, leader.status.Load().Members.Has(c.disks[added].id), qt.IsFalse)
		c.start(added)
		c.waitFor("the member to become a voter", c.allVote)
	})
}

// TestSuccessorReplacesOneOfSevenVoters guards against a lost voter that keeps its vote
// because the cluster has as many voters as it may have, while its successor waits as a
// learner.
func TestSuccessorReplacesOneOfSevenVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReplacingCluster(t, 34)
		defer c.stop()
		for _, name := range []string{"m3", "m4", "m5", "m6"} {
			c.addInstance(name)
		}
		c.waitForVoters("m0", "m1", "m2", "m3", "m4", "m5", "m6")
		c.addInstance("m7")
		time.Sleep(5 * time.Second)
		qt.Check(t, c.member(c.leader()).status.Load().Members.Voters, qt.HasLen, maxVoters)
		c.kill("m1")
		c.waitForVoters("m0", "m2", "m3", "m4", "m5", "m6", "m7")
		c.start("m1")
		time.Sleep(5 * time.Second)
		s := c.member(c.leader()).status.Load().Members
		qt.Check(t, s.Voters, qt.HasLen, maxVoters)
		qt.Check(t, s.IsLearner(c.id("m1")), qt.IsTrue)
	})
}
