package control

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// TestRemovedMemberOfReplacedClusterRejoins guards against a member that is removed while its
// disk is full and does not find the cluster afterwards, because all members that it was
// started with have been replaced since.
func TestRemovedMemberOfReplacedClusterRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReplacingCluster(t, 61)
		defer c.stop()
		c.files = map[string]*diskFS{"m0": newDiskFS(1)}
		c.restart("m0")
		c.waitForVoters("m0", "m1", "m2")
		c.addInstance("m3")
		c.waitForVoters("m0", "m1", "m2", "m3")
		c.retire("m1")
		c.addInstance("m4")
		c.waitForVoters("m0", "m2", "m3", "m4")
		c.retire("m2")
		c.addInstance("m5")
		c.waitForVoters("m0", "m3", "m4", "m5")
		former := c.id("m0")
		c.files["m0"].fill(0, false)
		c.requireNewestTable(2)
		time.Sleep(4 * time.Second)
		c.files["m0"].free()
		c.waitForVoters("m0", "m3", "m4", "m5")
		qt.Check(t, c.id("m0"), qt.Not(qt.Equals), former)
		c.requireNewestTable(3)
	})
}

// TestRestoringMemberIsNotNew guards against a member that reports, while it restores its
// state, that it has never been part of a cluster: an initial member that lost its disk would
// count it as a founder of a second cluster.
func TestRestoringMemberIsNotNew(t *testing.T) {
	for name, restored := range map[string]consensus.Restored{
		"hard state": {HardState: consensus.HardState{Term: 3, Commit: 2}, Snapshot: consensus.Snapshot{Index: 2, Term: 1}},
		"snapshot":   {Snapshot: consensus.Snapshot{Index: 2, Term: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			restored.Snapshot.Data = []byte("not a state") // Restoring ends here.
			m := NewMember(Options{Cluster: "test", Instance: "m0", Address: "m0", Storage: &memDisk{id: 7, restored: restored}})
			qt.Assert(t, m.run(context.Background()), qt.IsNotNil)
			other := NewMember(Options{Instance: "m1", Address: "m1", Network: statusOf{member: m}})
			responded, exists := other.queryInitialMembers(context.Background(), []string{"m0", "m1"})
			qt.Check(t, exists, qt.IsTrue, qt.Commentf("%v", responded))
		})
	}
}

// statusOf is a network on which one member reports its status.
type statusOf struct {
	Network
	member *Member
}

func (n statusOf) Status(context.Context, string) (*controlv1.StatusResponse, error) {
	return n.member.Status(), nil
}

// TestVoterWithFullDiskIsReplacedWhileAnotherStops guards against a replacement that removes a
// voter whose disk is full before its successor votes: if another voter stops for good in
// between, those that are left have no majority, also after the disk has room.
func TestVoterWithFullDiskIsReplacedWhileAnotherStops(t *testing.T) {
	for _, stops := range []string{"leader", "follower"} {
		for _, delay := range []time.Duration{0, 10 * time.Millisecond, 30 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s,%v", stops, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newReplacingCluster(t, 62)
					defer c.stop()
					c.files = map[string]*diskFS{"m0": newDiskFS(1), "m1": newDiskFS(2)}
					for _, name := range []string{"m0", "m1"} {
						c.restart(name)
						c.waitForVoters("m0", "m1", "m2")
					}
					leader := c.leader()
					full := other(leader, "m0", "m1")
					stopped := leader
					if stops == "follower" {
						stopped = other(leader, "m2", other(full, "m0", "m1"))
					}
					c.files[full].fill(0, false)
					c.requireNewestTable(2)
					c.addInstance("m3")
					c.waitFor("the replacement to begin", func() bool {
						s := c.member(leader).status.Load().Members
						return len(s.Voters) != 3 || s.IsVoter(c.id("m3"))
					})
					time.Sleep(delay)
					c.retire(stopped)
					c.files[full].free()
					c.requireNewestTable(3)
				})
			})
		}
	}
}

// TestMemberRemovedAfterPromotionRejoins guards against a learner that is promoted and, before
// it learns of that, is out of reach for so long that it is removed as a lost voter. By its
// own log it is a learner, which does not campaign and so is never told that it was removed.
func TestMemberRemovedAfterPromotionRejoins(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("restart=%v", restart), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newReplacingCluster(t, 63)
				defer c.stop()
				c.addInstance("m3")
				leader := c.member(c.leader())
				c.waitFor("the learner", func() bool {
					s := leader.status.Load()
					caughtUp := slices.ContainsFunc(s.Progress, func(p consensus.Progress) bool { return p.ID == c.id("m3") && p.Match == s.Last })
					return caughtUp && c.member("m3").status.Load().Members.IsLearner(c.id("m3"))
				})
				c.isolate("m3", true)
				former := c.id("m3")
				promoted := leader.changeMembership(context.Background(), consensus.MembershipChange{Kind: consensus.PromoteLearner, ID: former},
					func(s consensus.Membership) bool { return s.IsVoter(former) })
				qt.Assert(t, promoted, qt.IsNil)
				c.waitFor("the removal", func() bool {
					s := c.member(c.leader()).status.Load().Members
					return slices.Contains(s.Removed, former)
				})
				time.Sleep(2 * time.Second) // What the leader had queued for it is gone.
				qt.Assert(t, c.member("m3").status.Load().Members.IsLearner(former), qt.IsTrue)
				if restart {
					c.restart("m3")
				}
				c.isolate("m3", false)
				c.waitForVoters("m0", "m1", "m2", "m3")
				qt.Check(t, c.id("m3"), qt.Not(qt.Equals), former)
			})
		})
	}
}
