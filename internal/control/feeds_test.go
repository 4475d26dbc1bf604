package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// acceptService has a service with two scheduler groups accepted.
func acceptService(c *cluster) {
	accept(c, "service", 0, put("/services", "group"), put("/services/lotes", "service"),
		set("/services/lotes", "kind", "plain"), set("/services/lotes", "scheduler.groups", "2"))
}

// feedClients are the feed clients of a test by instance name.
type feedClients map[string]*feed.Client

// holder returns the instance that holds a group and the epoch. It fails the test
// if two instances hold the group.
func (f feedClients) holder(t testing.TB, group string) (string, uint64) {
	name, epoch := "", uint64(0)
	for n, c := range f {
		if e, _ := c.HeldLease(group); e != 0 {
			if name != "" {
				t.Errorf("%s is held by %s under %d and by %s under %d", group, name, epoch, n, e)
			}
			name, epoch = n, e
		}
	}
	return name, epoch
}

// TestGroupsHaveOneHolder guards against a group with two holders and against
// epochs that do not grow while a holder is cut off, reconnects, resigns and
// restarts, and while the leader is lost.
func TestGroupsHaveOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 11, 3)
		defer c.stop()
		all := feedClients{}
		ends := map[string]func(){}
		for _, name := range []string{"e0", "e1", "e2"} {
			all[name], ends[name] = c.feed(name, nil)
		}
		defer func() {
			for _, end := range ends {
				end()
			}
		}()
		acceptService(c)
		const group = "lotes/1"
		lastEpoch := uint64(0)
		waitHolder := func(what string, by func(name string) bool) (string, time.Duration) {
			t.Helper()
			start := time.Now()
			var name string
			var epoch uint64
			c.waitFor(what, func() bool {
				name, epoch = all.holder(t, group)
				return name != "" && by(name) && epoch > lastEpoch
			})
			lastEpoch = epoch
			return name, time.Since(start)
		}
		first, _ := waitHolder("the first holder", func(string) bool { return true })

		c.isolate(first, true)
		second, took := waitHolder("a second holder", func(n string) bool { return n != first })
		qt.Assert(t, took >= feed.GroupLease, qt.IsTrue, qt.Commentf("%v", took))
		qt.Assert(t, took < 4*time.Second, qt.IsTrue, qt.Commentf("%v", took))
		c.isolate(first, false)
		time.Sleep(time.Second)
		current, _ := all.holder(t, group)
		qt.Assert(t, current, qt.Equals, second)

		c.kill(c.leader())
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			all.holder(t, group)
			for name, f := range all {
				qt.Assert(t, f.View().Fresh(time.Now()), qt.IsTrue, qt.Commentf(name))
			}
		}
		current, _ = all.holder(t, group)
		qt.Assert(t, current, qt.Equals, second)

		all[second].Resign(context.Background())
		third, took := waitHolder("a holder after the resignation", func(n string) bool { return n != second })
		qt.Assert(t, took < time.Second, qt.IsTrue, qt.Commentf("%v", took))

		ends[third]()
		all[third], ends[third] = c.feed(third, nil)
		_, took = waitHolder("a holder after the restart", func(string) bool { return true })
		qt.Assert(t, took < 4*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// TestGroupsAreHandedOver guards against groups that all stay on one instance
// after the others were restarted, against a hand-over that takes as long as a
// lease or leaves two holders, and against hand-overs that never end.
func TestGroupsAreHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 16, 3)
		defer c.stop()
		all := feedClients{}
		var ends []func()
		defer func() { // The feeds end before the cluster does.
			for _, end := range ends {
				end()
			}
		}()
		join := func(name string) {
			f, end := c.feed(name, nil)
			all[name], ends = f, append(ends, end)
		}
		join("e0")
		acceptService(c)
		accept(c, "more", 1, set("/services/lotes", "scheduler.groups", "6"))
		groups := []string{"lotes/0", "lotes/1", "lotes/2", "lotes/3", "lotes/4", "lotes/5"}
		c.waitFor("one instance to hold all groups", func() bool { return len(all["e0"].HeldLeases()) == len(groups) })
		joined := time.Now()
		join("e1")
		join("e2")
		firstMove := time.Duration(0)
		var longestGap time.Duration
		lastEpochs, unheldSince := map[string]uint64{}, map[string]time.Time{}
		for time.Since(joined) < 30*time.Second {
			time.Sleep(10 * time.Millisecond)
			for _, g := range groups {
				_, epoch := all.holder(t, g)
				switch at, ok := unheldSince[g]; {
				case epoch == 0 && !ok:
					unheldSince[g] = time.Now()
				case epoch != 0 && ok:
					longestGap = max(longestGap, time.Since(at))
					delete(unheldSince, g)
				}
				if firstMove == 0 && len(unheldSince) > 0 {
					firstMove = time.Since(joined)
				}
				if epoch != 0 {
					lastEpochs[g] = epoch
				}
			}
		}
		total := uint64(0)
		for _, epoch := range lastEpochs {
			total += epoch - 1
		}
		t.Logf("%d hand-overs, the first after %v; a group had no holder for %v at most", total, firstMove, longestGap)
		qt.Assert(t, total, qt.Equals, uint64(4))
		qt.Assert(t, firstMove >= handOverMinStableTime, qt.IsTrue, qt.Commentf("%v", firstMove))
		qt.Assert(t, longestGap < time.Second, qt.IsTrue, qt.Commentf("%v", longestGap))
		for name, f := range all {
			qt.Assert(t, f.HeldLeases(), qt.HasLen, 2, qt.Commentf(name))
		}
	})
}

// TestAcceptedChangeIsInForceWithinFreshFor guards against settings in force
// that lack a change for longer than FreshFor after its acceptance, and against
// settings that go back to an older version, while members are cut off or
// killed, or their responses to an instance are lost.
func TestAcceptedChangeIsInForceWithinFreshFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12, 3)
		defer c.stop()
		all := feedClients{}
		for _, name := range []string{"e0", "e1", "e2"} {
			f, end := c.feed(name, nil)
			defer end()
			all[name] = f
		}
		acceptService(c)
		version := uint64(1)
		for i, fault := range []func(){
			func() {},
			func() { c.isolate(c.leader(), true) },
			func() { c.oneWay("m0", "e0", true); c.oneWay("m1", "e0", true); c.oneWay("m2", "e0", true) },
			func() { c.kill(c.leader()) },
		} {
			fault()
			accept(c, fmt.Sprint("f", i), version, set("/", "tier", fmt.Sprint(i%3)))
			version++
			accepted := time.Now()
			seen := map[string]uint64{}
			for time.Since(accepted) < 5*time.Second {
				for name, f := range all {
					v := f.View()
					qt.Assert(t, v.Version >= seen[name], qt.IsTrue)
					seen[name] = v.Version
					if v.Fresh(time.Now()) && time.Since(accepted) > feed.FreshFor {
						qt.Assert(t, v.Version >= version, qt.IsTrue, qt.Commentf("%s in step %d", name, i))
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
			for _, name := range c.names {
				c.isolate(name, false)
			}
			if i == 2 {
				qt.Assert(t, all["e0"].View().Fresh(time.Now()), qt.IsFalse)
			}
		}
		c.waitFor("all views", func() bool {
			for _, f := range all {
				if v := f.View(); v.Version != version || !v.Fresh(time.Now()) || len(v.Entries) != 3 {
					return false
				}
			}
			return true
		})
		v, _ := all["e0"].View().Tree.Node("/")
		qt.Assert(t, v.Settings()[0].Value.String(), qt.Equals, "0")
	})
}

// TestBookingWithLostResponseIsReleased guards against a booking record that is
// never released because the response to its begin was lost, and against a
// booking that runs twice.
func TestBookingWithLostResponseIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 13, 3)
		defer c.stop()
		f, end := c.feed("e0", nil)
		defer end()
		c.waitFor("the feed", func() bool { return f.View().Fresh(time.Now()) })
		b := feed.NewBookings(f)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- b.Start(ctx) }()
		defer func() { cancel(); <-done }()
		key := &controlv1.BookingKey{Customer: "torino", Key: "k"}
		begin := func(attempt string) (*controlv1.BookingResponse, error) {
			call, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return b.Begin(call, key, []byte("hash"), attempt)
		}
		for _, name := range c.names {
			c.oneWay(name, "e0", true)
		}
		_, err := begin("a")
		qt.Assert(t, err, qt.ErrorIs, feed.ErrOutcomeUnknown)
		qt.Assert(t, b.Pending(), qt.Equals, 1)
		for _, name := range c.names {
			c.oneWay(name, "e0", false)
		}
		c.waitFor("the release", func() bool { return b.Pending() == 0 })
		r, err := begin("a")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.State, qt.Equals, controlv1.BookingResponse_RELEASED)
		r, err = begin("b")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.State, qt.Equals, controlv1.BookingResponse_BEGUN)
		r, err = b.Finish(context.Background(), key, "b", &controlv1.BookingOutcome{Status: 201})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.State, qt.Equals, controlv1.BookingResponse_FINISHED)
		r, err = begin("c")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Outcome.GetStatus(), qt.Equals, uint32(201))
		qt.Assert(t, b.Stop(context.Background()), qt.IsNil)
	})
}

// TestBookingsExpire guards against booking records that are never removed from
// the members, and against expired bookings that run again.
func TestBookingsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 14, 3)
		defer c.stop()
		accept(c, "c1", 0, set("/", "booking.retention", "1m"))
		send := func(in opInput) string {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			r, err := c.link("client").Booking(ctx, c.leader(), bookingRequest(in))
			qt.Assert(t, err, qt.IsNil)
			return r.State.String()
		}
		qt.Assert(t, send(opInput{kind: "begin", key: "k", attempt: "a"}), qt.Equals, "BEGUN")
		qt.Assert(t, send(opInput{kind: "finish", key: "k", attempt: "a", value: "x"}), qt.Equals, "FINISHED")
		time.Sleep(55 * time.Second)
		qt.Assert(t, send(opInput{kind: "begin", key: "k", attempt: "b"}), qt.Equals, "FINISHED")
		time.Sleep(20 * time.Second)
		qt.Assert(t, send(opInput{kind: "begin", key: "k", attempt: "c"}), qt.Equals, "EXPIRED")
	})
}

// TestJoinThroughPeers guards two cases: members that find a cluster of one
// member by the address of a peer join it, and a member returns at a new
// address.
func TestJoinThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 15, 1)
		defer c.stop()
		accept(c, "c1", 0, put("/services", "group"))
		for i, name := range []string{"m1", "m2"} {
			c.disks[name] = &memDisk{}
			c.start(name)
			c.waitFor("the promotion", func() bool { return len(c.member("m0").status.Load().Members.Voters) == i+2 })
			c.names = append(c.names, name)
		}
		c.waitRepaired()
		c.kill("m2")
		c.disks["m3"] = c.disks["m2"]
		c.names = []string{"m0", "m1", "m3"}
		c.start("m3")
		c.waitRepaired()
		c.waitFor("the new address", func() bool {
			for _, m := range c.member("m0").Status().Members {
				if m.Id == c.id("m3") && m.Address == "m3" && m.Instance == "m3" {
					return true
				}
			}
			return false
		})
		c.kill("m1")
		accept(c, "c2", 1, put("/customers", "group"))
	})
}
