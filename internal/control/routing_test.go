package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// routingTable returns a table with a single route, whose name shows which table
// it is.
func routingTable(t testing.TB, version uint64, name string) *controlv1.RoutingTable {
	table := &routing.Table{
		Version: version, Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{{Name: name, Host: "h", Prefix: "/", Kind: routing.Stream, TimeoutMs: 1, Targets: []routing.Target{{Service: "s", Weight: 1}}}},
	}
	document, err := table.Encode()
	qt.Assert(t, err, qt.IsNil)
	return &controlv1.RoutingTable{Version: version, Document: document}
}

// putRouting sends a table to the members in turn until one acknowledges it, and
// returns the version in force.
func (c *cluster) putRouting(table *controlv1.RoutingTable) (version uint64) {
	c.waitFor("the table to be accepted", func() bool {
		for _, name := range c.names {
			m := c.member(name)
			if m == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			v, err := m.AcceptRouting(ctx, table)
			cancel()
			if err == nil {
				version = v
				return true
			}
		}
		return false
	})
	return version
}

// readRouting reads the table in force from any member and returns its version
// and the name of its route.
func (c *cluster) readRouting() (version uint64, name string) {
	c.waitFor("a member that knows the table", func() bool {
		for _, member := range c.names {
			m := c.member(member)
			if m == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			t, err := m.CurrentRouting(ctx)
			cancel()
			if err != nil || t == nil {
				continue
			}
			table, err := routing.Decode(t.Document)
			qt.Assert(c.t, err, qt.IsNil)
			version, name = table.Version, table.Routes[0].Name
			return true
		}
		return false
	})
	return version, name
}

// TestHighestRoutingVersionIsInForce guards against a table that is replaced by
// one of a lower version or by other content under the same version, whichever
// member is called.
func TestHighestRoutingVersionIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 21, 3)
		defer c.stop()
		c.leader()
		for _, step := range []struct {
			version uint64
			name    string
			inForce uint64
			want    string
		}{
			{3, "first", 3, "first"}, {3, "first", 3, "first"}, {3, "other", 3, "first"}, {2, "older", 3, "first"}, {9, "newer", 9, "newer"},
		} {
			qt.Assert(t, c.putRouting(routingTable(t, step.version, step.name)), qt.Equals, step.inForce)
			version, name := c.readRouting()
			qt.Assert(t, version, qt.Equals, step.inForce)
			qt.Assert(t, name, qt.Equals, step.want)
		}
	})
}

// TestInvalidRoutingTableIsRefused guards against invalid tables in the log.
func TestInvalidRoutingTableIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 22, 3)
		defer c.stop()
		m := c.member(c.leader())
		for _, table := range []*controlv1.RoutingTable{
			{Version: 1, Document: []byte("{")}, {Version: 1}, {Version: 5, Document: routingTable(t, 4, "x").Document},
		} {
			_, err := m.AcceptRouting(context.Background(), table)
			qt.Assert(t, err, qt.IsNotNil)
		}
		qt.Assert(t, m.routingVersion(), qt.Equals, uint64(0))
	})
}

// TestRoutingTableSurvivesRestartAndDiskLoss guards against the loss of an
// acknowledged table if all members are killed right after the acknowledgement,
// if a disk is lost, and over snapshots.
func TestRoutingTableSurvivesRestartAndDiskLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 23, 3)
		defer c.stop()
		c.leader()
		for v := uint64(1); v <= 120; v++ { // more than two snapshots
			c.putRouting(routingTable(t, v, "r"))
		}
		c.putRouting(routingTable(t, 500, "kept"))
		for _, name := range c.names {
			c.kill(name)
		}
		for _, name := range c.names {
			c.start(name)
		}
		version, name := c.readRouting()
		qt.Assert(t, version, qt.Equals, uint64(500))
		qt.Assert(t, name, qt.Equals, "kept")
		c.putRouting(routingTable(t, 501, "later"))
		c.wipe(c.leader())
		version, name = c.readRouting()
		qt.Assert(t, version, qt.Equals, uint64(501))
		qt.Assert(t, name, qt.Equals, "later")
	})
}

// TestIsolatedMemberRefusesRoutingRead guards against a member that returns an
// older table while it is cut off.
func TestIsolatedMemberRefusesRoutingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 24, 3)
		defer c.stop()
		old := c.leader()
		c.putRouting(routingTable(t, 1, "before"))
		m := c.member(old)
		c.isolate(old, true)
		c.waitFor("another leader", func() bool {
			for _, name := range c.names {
				if name != old {
					if _, ok := c.member(name).lease(); ok {
						return true
					}
				}
			}
			return false
		})
		for _, name := range c.names {
			if name == old {
				continue
			}
			if _, err := c.member(name).AcceptRouting(context.Background(), routingTable(t, 2, "after")); err == nil {
				break
			}
		}
		_, err := m.CurrentRouting(context.Background())
		qt.Assert(t, err, qt.IsNotNil)
	})
}

// TestMembersWithoutLeaderWithholdRoutingTable guards against an instance that waits for an
// election although a member that it polls has applied a newer table.
func TestMembersWithoutLeaderWithholdRoutingTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 23, 3)
		defer c.stop()
		c.putRouting(routingTable(t, 7, "seven"))
		c.waitFor("all members to apply the table", func() bool {
			for _, name := range c.names {
				if c.member(name).routingVersion() != 7 {
					return false
				}
			}
			return true
		})
		follower := c.names[0]
		if c.leader() == follower {
			follower = c.names[1]
		}
		c.isolate(follower, true)
		time.Sleep(2 * time.Second)
		poll := func(version uint64) (*controlv1.FeedResponse, error) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return c.member(follower).Feed(ctx, &controlv1.FeedRequest{Self: &controlv1.EntryInfo{Instance: "e0"}, RoutingVersion: version})
		}
		r, err := poll(6)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.GetRouting().GetVersion(), qt.Equals, uint64(7))
		qt.Assert(t, r.GetFreshForMs(), qt.Equals, uint32(0))
		_, err = poll(7)
		qt.Assert(t, err, qt.IsNotNil)
	})
}
