package control

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/consensus"

	"auburnstep.example/auburnstep/internal/rpc/consensusv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

func request(id string, base uint64, ops ...*controlv1.Operation) *controlv1.ChangeRequest {
	return &controlv1.ChangeRequest{Change: &controlv1.Change{ChangeId: id, BaseVersion: base, Actor: "ana", Operations: ops}}
}

func put(path, kind string) *controlv1.Operation {
	return &controlv1.Operation{Kind: controlv1.Operation_NODE_PUT, Path: path, NodeKind: kind}
}

func set(path, key, value string) *controlv1.Operation {
	return &controlv1.Operation{Kind: controlv1.Operation_KEY_SET, Path: path, Key: key, Value: value}
}

func accept(c *cluster, id string, base uint64, ops ...*controlv1.Operation) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := c.change(ctx, request(id, base, ops...))
	qt.Assert(c.t, err, qt.IsNil)
	qt.Assert(c.t, r.Outcome, qt.Equals, controlv1.ChangeResult_ACCEPTED, qt.Commentf("%v", r))
	qt.Assert(c.t, r.Version, qt.Equals, base+1)
}

// TestChanges guards the results of changes: a repeated change gets its first
// result, an invalid one is refused before it reaches the log, and changes
// without effect, dry runs and conflicts are reported as such.
func TestChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3)
		defer c.stop()
		accept(c, "c1", 0, put("/services", "group"), set("/", "tier", "1"))
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		for _, test := range []struct {
			name    string
			request *controlv1.ChangeRequest
			outcome controlv1.ChangeResult_Outcome
			version uint64
		}{
			{"resend", request("c1", 0, put("/services", "group"), set("/", "tier", "1")), controlv1.ChangeResult_ACCEPTED, 1},
			{"unknown key", request("c2", 1, set("/", "teir", "1")), controlv1.ChangeResult_INVALID, 1},
			{"no effect", request("c3", 1, set("/", "tier", "1")), controlv1.ChangeResult_UNCHANGED, 1},
			{"resend without effect", request("c3", 1, set("/", "tier", "1")), controlv1.ChangeResult_UNCHANGED, 1},
			{"old version", request("c4", 0, set("/", "tier", "2")), controlv1.ChangeResult_CONFLICT, 1},
			{"dry run", &controlv1.ChangeRequest{Change: request("c5", 1, set("/", "tier", "2")).Change, DryRun: true}, controlv1.ChangeResult_ACCEPTED, 1},
			{"after dry run", request("c5", 1, set("/", "tier", "2")), controlv1.ChangeResult_ACCEPTED, 2},
		} {
			r, err := c.change(ctx, test.request)
			qt.Assert(t, err, qt.IsNil, qt.Commentf(test.name))
			qt.Assert(t, r.Outcome, qt.Equals, test.outcome, qt.Commentf("%s: %v", test.name, r))
			qt.Assert(t, r.Version, qt.Equals, test.version, qt.Commentf(test.name))
		}
	})
}

// TestRestartAfterManyChanges guards against the loss of changes by a restart
// of all members, both of changes in a snapshot and of those in the log after
// it.
func TestRestartAfterManyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 3)
		defer c.stop()
		for i := range uint64(120) {
			accept(c, fmt.Sprint("c", i), i, set("/", "tier", fmt.Sprint(i%3)))
		}
		for _, name := range c.names {
			c.kill(name)
		}
		for _, name := range c.names {
			c.start(name)
		}
		accept(c, "last", 120, put("/services", "group"))
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		r, err := c.change(ctx, request("c7", 7, set("/", "tier", "1")))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Outcome, qt.Equals, controlv1.ChangeResult_ACCEPTED)
		qt.Assert(t, r.Version, qt.Equals, uint64(8))
	})
}

// TestIsolatedLeaderStopsResponding guards against an isolated leader that
// keeps responding to reads, feed polls and changes: it must stop when its
// lease ends, before another leader can be elected.
func TestIsolatedLeaderStopsResponding(t *testing.T) {
	for _, fault := range []string{"both ways", "only receives", "only sends", "paused"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3, 3)
				defer c.stop()
				accept(c, "c1", 0, put("/services", "group"))
				old := c.leader()
				m := c.member(old)
				for _, name := range c.names {
					if name == old {
						continue
					}
					c.oneWay(old, name, fault != "only sends" && fault != "paused")
					c.oneWay(name, old, fault != "only receives" && fault != "paused")
				}
				if fault == "paused" {
					// The consensus loop blocks, as in a hanging disk write, while
					// the handlers of calls still run.
					unblock := make(chan struct{})
					defer close(unblock)
					go func() { _ = m.do(context.Background(), func(*consensus.Node) error { <-unblock; return nil }) }()
				}
				time.Sleep(time.Duration(m.options.ElectionTicks) * m.options.Tick)
				_, err := m.Settings(context.Background())
				qt.Check(t, err, qt.IsNotNil)
				r, err := m.Feed(context.Background(), &controlv1.FeedRequest{Self: &controlv1.EntryInfo{Instance: "e0"}})
				qt.Check(t, err != nil || r.FreshForMs == 0, qt.IsTrue)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err = m.Change(ctx, request("c2", 1, put("/customers", "group")))
				qt.Check(t, err, qt.IsNotNil)
				c.waitFor("another leader", func() bool { return c.leader() != old })
			})
		})
	}
}

// TestLostDiskThenLostMember guards against the loss of durable state when one
// member loses its disk and a second member fails right after the first one has
// been restored.
func TestLostDiskThenLostMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 3)
		defer c.stop()
		for i := range uint64(60) {
			accept(c, fmt.Sprint("c", i), i, set("/", "tier", fmt.Sprint(i%3)))
		}
		for round, lost := range c.names {
			c.wipe(lost)
			c.waitFor("the repair", func() bool {
				s := c.member(c.leader()).status.Load()
				return s.Commit == s.Last && len(s.Members.Voters) == 3 && s.Members.IsVoter(c.id(lost))
			})
			second := c.names[(round+1)%3]
			c.kill(second)
			version := uint64(60 + round)
			accept(c, fmt.Sprint("after", round), version, set("/", "tier", fmt.Sprint(version%3)))
			c.start(second)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		r, err := c.change(ctx, request("c0", 0, set("/", "tier", "0")))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Outcome, qt.Equals, controlv1.ChangeResult_ACCEPTED)
	})
}

// TestBootstrapMemberWithLostDiskRejoins guards against a bootstrap member that
// lost its disk and forms a second cluster while only one other member is
// running.
func TestBootstrapMemberWithLostDiskRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3)
		defer c.stop()
		accept(c, "c1", 0, put("/services", "group"))
		c.kill("m1")
		c.wipe("m0")
		time.Sleep(3 * time.Second)
		qt.Assert(t, c.member("m0").status.Load().Members.Voters, qt.HasLen, 0)
		c.start("m1")
		accept(c, "c2", 1, put("/customers", "group"))
		c.waitFor("the founder to vote again", func() bool {
			s := c.member(c.leader()).status.Load()
			return s.Members.IsVoter(c.id("m0"))
		})
	})
}

// TestFailedDiskSuspendsMember guards against a member that takes part in
// consensus while its disk fails, and against a member that a full disk
// stops permanently: it must restart once it can write again.
func TestFailedDiskSuspendsMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, 3)
		defer c.stop()
		accept(c, "c1", 0, put("/services", "group"))
		old := c.leader()
		m := c.member(old)
		disk := c.disks[old]
		setError := func(err error) {
			disk.mu.Lock()
			defer disk.mu.Unlock()
			disk.err = err
		}
		setError(errors.New("no space left on device"))
		accept(c, "c2", 1, put("/customers", "group"))
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			_, leads := m.lease()
			qt.Assert(t, leads, qt.IsFalse)
			r, err := m.Settings(context.Background())
			qt.Assert(t, err != nil || r.Settings == nil, qt.IsTrue)
		}
		select {
		case err := <-c.startResults[old]:
			t.Fatalf("the member ended: %v", err)
		default:
		}
		setError(nil)
		c.waitFor("the member to catch up", func() bool {
			m.mu.RLock()
			defer m.mu.RUnlock()
			return m.state.Version() == 2
		})
	})
}

// TestAddAndRemoveMembers guards planned membership changes: a new member is
// promoted to a voter, a leader that is to be removed transfers its leadership,
// and a removed member does not join again.
func TestAddAndRemoveMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 7, 4)
		defer c.stop()
		accept(c, "c1", 0, put("/services", "group"))
		c.waitFor("four voters", func() bool { return len(c.member(c.leader()).status.Load().Members.Voters) == 4 })
		old := c.leader()
		id := c.id(old)
		c.waitFor("the removal", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			r, err := c.member(c.leader()).ChangeMember(ctx, &controlv1.MemberRequest{Id: id, Remove: true})
			return err == nil && r.LeaderAddress == ""
		})
		accept(c, "c2", 1, put("/customers", "group"))
		qt.Assert(t, c.member(c.leader()).status.Load().Members.Voters, qt.HasLen, 3)
		time.Sleep(5 * time.Second)
		qt.Assert(t, c.member(c.leader()).status.Load().Members.Has(id), qt.IsFalse)
	})
}

// TestStopTransfersLeadership guards against a planned stop of the leader after
// which the cluster waits for an election timeout.
func TestStopTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8, 3)
		defer c.stop()
		accept(c, "c1", 0, put("/services", "group"))
		old := c.leader()
		m := c.member(old)
		start := time.Now()
		qt.Assert(t, m.Stop(context.Background()), qt.IsNil)
		c.waitFor("the next leader", func() bool { return c.leader() != old })
		qt.Assert(t, time.Since(start) < time.Duration(m.options.ElectionTicks)*m.options.Tick, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		accept(c, "c2", 1, put("/customers", "group"))
	})
}

// TestMessageFromOtherClusterIsRefused guards against messages from another
// cluster that reach the log.
func TestMessageFromOtherClusterIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 9, 3)
		defer c.stop()
		accept(c, "c1", 0, put("/services", "group"))
		err := c.member("m0").HandleStep(context.Background(), "x", &consensusv1.StepRequest{Cluster: "other"})
		qt.Assert(t, err, qt.ErrorIs, ErrClusterMismatch)
	})
}
