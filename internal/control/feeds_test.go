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

func withService(c *cluster) {
	accept(c, "service", 0, put("/services", "group"), put("/services/lotes", "service"),
		set("/services/lotes", "kind", "plain"), set("/services/lotes", "scheduler.groups", "2"))
}

type feeds map[string]*feed.Client

// holder returns the instance that holds a group, and fails if there are two.
func (f feeds) holder(t testing.TB, group string) (string, uint64) {
	name, epoch := "", uint64(0)
	for n, c := range f {
		if e, _ := c.Holds(group); e != 0 {
			if name != "" {
				t.Errorf("%s is held by %s under %d and by %s under %d", group, name, epoch, n, e)
			}
			name, epoch = n, e
		}
	}
	return name, epoch
}

// Guards single holders and growing epochs of groups while a holder is cut off,
// comes back, resigns and restarts, and while the leader is lost.
func TestGroupsHaveOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 11, 3)
		defer c.stop()
		all := feeds{}
		ends := map[string]func(){}
		for _, name := range []string{"e0", "e1", "e2"} {
			all[name], ends[name] = c.feed(name, nil)
		}
		defer func() {
			for _, end := range ends {
				end()
			}
		}()
		withService(c)
		const group = "lotes/1"
		last := uint64(0)
		held := func(what string, by func(name string) bool) (string, time.Duration) {
			t.Helper()
			start := time.Now()
			var name string
			var epoch uint64
			c.waitFor(what, func() bool {
				name, epoch = all.holder(t, group)
				return name != "" && by(name) && epoch > last
			})
			last = epoch
			return name, time.Since(start)
		}
		first, _ := held("the first holder", func(string) bool { return true })

		c.isolate(first, true)
		second, took := held("a second holder", func(n string) bool { return n != first })
		qt.Assert(t, took >= feed.GroupLease, qt.IsTrue, qt.Commentf("%v", took))
		qt.Assert(t, took < 4*time.Second, qt.IsTrue, qt.Commentf("%v", took))
		c.isolate(first, false)
		time.Sleep(time.Second)
		now, _ := all.holder(t, group)
		qt.Assert(t, now, qt.Equals, second)

		c.kill(c.leader())
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			all.holder(t, group)
			for name, f := range all {
				qt.Assert(t, f.View().Fresh(time.Now()), qt.IsTrue, qt.Commentf(name))
			}
		}
		now, _ = all.holder(t, group)
		qt.Assert(t, now, qt.Equals, second)

		all[second].Resign(context.Background())
		third, took := held("a holder after the resignation", func(n string) bool { return n != second })
		qt.Assert(t, took < time.Second, qt.IsTrue, qt.Commentf("%v", took))

		ends[third]()
		all[third], ends[third] = c.feed(third, nil)
		_, took = held("a holder after the restart", func(string) bool { return true })
		qt.Assert(t, took < 4*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// Guards against groups that all stay on one instance after the others were
// restarted, against a hand-over that costs a lease or leaves two holders, and
// against moves that never end.
func TestGroupsAreHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 16, 3)
		defer c.stop()
		all := feeds{}
		var ends []func()
		defer func() { // before the cluster stops
			for _, end := range ends {
				end()
			}
		}()
		join := func(name string) {
			f, end := c.feed(name, nil)
			all[name], ends = f, append(ends, end)
		}
		join("e0")
		withService(c)
		accept(c, "more", 1, set("/services/lotes", "scheduler.groups", "6"))
		groups := []string{"lotes/0", "lotes/1", "lotes/2", "lotes/3", "lotes/4", "lotes/5"}
		c.waitFor("one holder of all", func() bool { return len(all["e0"].Held()) == len(groups) })
		joined := time.Now()
		join("e1")
		join("e2")
		first := time.Duration(0)
		var longest time.Duration
		moves, free := map[string]uint64{}, map[string]time.Time{}
		for time.Since(joined) < 30*time.Second {
			time.Sleep(10 * time.Millisecond)
			for _, g := range groups {
				_, epoch := all.holder(t, g)
				switch at, ok := free[g]; {
				case epoch == 0 && !ok:
					free[g] = time.Now()
				case epoch != 0 && ok:
					longest = max(longest, time.Since(at))
					delete(free, g)
				}
				if first == 0 && len(free) > 0 {
					first = time.Since(joined)
				}
				if epoch != 0 {
					moves[g] = epoch
				}
			}
		}
		total := uint64(0)
		for _, epoch := range moves {
			total += epoch - 1
		}
		t.Logf("%d moves, the first after %v; a group had no holder for %v at most", total, first, longest)
		qt.Assert(t, total, qt.Equals, uint64(4))
		qt.Assert(t, first >= moveSettle, qt.IsTrue, qt.Commentf("%v", first))
		qt.Assert(t, longest < time.Second, qt.IsTrue, qt.Commentf("%v", longest))
		for name, f := range all {
			qt.Assert(t, f.Held(), qt.HasLen, 2, qt.Commentf(name))
		}
	})
}

// Guards against settings in force that miss an accepted change for longer than
// FreshFor, or that go back, while members are cut off, killed and silent.
func TestAcceptedChangeIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12, 3)
		defer c.stop()
		all := feeds{}
		for _, name := range []string{"e0", "e1", "e2"} {
			f, end := c.feed(name, nil)
			defer end()
			all[name] = f
		}
		withService(c)
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

// Guards against a booking that stays held because the answer to its begin was
// lost, and against one that runs twice.
func TestBookingWithLostAnswerIsReleased(t *testing.T) {
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
		qt.Assert(t, err, qt.ErrorIs, feed.ErrUnknown)
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

// Guards against booking records that fill the members for ever, and against
// expired ones that run again.
func TestBookingsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 14, 3)
		defer c.stop()
		accept(c, "c1", 0, set("/", "booking.retention", "1m"))
		send := func(in call) string {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			r, err := c.link("client").Booking(ctx, c.leader(), bookingRequest(in))
			qt.Assert(t, err, qt.IsNil)
			return r.State.String()
		}
		qt.Assert(t, send(call{kind: "begin", key: "k", attempt: "a"}), qt.Equals, "BEGUN")
		qt.Assert(t, send(call{kind: "finish", key: "k", attempt: "a", value: "x"}), qt.Equals, "FINISHED")
		time.Sleep(55 * time.Second)
		qt.Assert(t, send(call{kind: "begin", key: "k", attempt: "b"}), qt.Equals, "FINISHED")
		time.Sleep(20 * time.Second)
		qt.Assert(t, send(call{kind: "begin", key: "k", attempt: "c"}), qt.Equals, "EXPIRED")
	})
}

// Guards a cluster that starts with one member and grows by members that join
// by the address of another, and a member that returns at a new address.
func TestJoinByPeers(t *testing.T) {
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
		c.repaired()
		c.kill("m2")
		c.disks["m3"] = c.disks["m2"]
		c.names = []string{"m0", "m1", "m3"}
		c.start("m3")
		c.repaired()
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
