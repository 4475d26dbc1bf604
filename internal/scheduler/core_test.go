package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// epoch is the time at which all tests start.
var epoch = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// at returns the time ms milliseconds after the start of a test.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// bench is a core with a clock, for tests.
type bench struct {
	*Core
	now time.Time
}

func newBench(config Config, policy Policy, endpoints ...Endpoint) *bench {
	b := &bench{Core: New(epoch, config, policy), now: epoch}
	for _, e := range endpoints {
		b.Announce(epoch, e)
	}
	return b
}

func engine(id string, slots int) Endpoint {
	return Endpoint{ID: id, Incarnation: 1, Slots: slots, Models: []string{"m"}, Lease: time.Hour}
}

func request(id string, tier int) Request {
	return Request{
		ID: id, Entry: "e1", Customer: "k", Class: fmt.Sprintf("class%d", tier), Tier: tier, Model: "m",
		Target: 10 * time.Second, Deadline: time.Minute, PromptTokens: 100, MayRepeat: true,
	}
}

func (b *bench) enqueueNow(r Request) []Decision { return b.Enqueue(b.now, r) }

// repeatAndRenew repeats all waiting requests and renews all grants, as entries
// do.
func (b *bench) repeatAndRenew() {
	for id := range b.waiting {
		b.Enqueue(b.now, Request{ID: id})
	}
	for id, g := range b.grants {
		b.Renew(b.now, g.entry, []HeldGrant{{GrantID: id}})
	}
}

// runFor moves the clock by d in steps of 50 ms, with a Tick at each step, and
// returns the decisions.
func (b *bench) runFor(d time.Duration) (out []Decision) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(50 * time.Millisecond)
		b.repeatAndRenew()
		out = append(out, b.Tick(b.now)...)
	}
	return out
}

func grantsOf(ds []Decision) (out []Granted) {
	for _, d := range ds {
		if g, ok := d.(Granted); ok {
			out = append(out, g)
		}
	}
	return out
}

func refusalsOf(ds []Decision) (out []string) {
	for _, d := range ds {
		if r, ok := d.(Refused); ok {
			out = append(out, r.RequestID+" "+r.Err.Code)
		}
	}
	return out
}

func requestsOf(ds []Decision) (out []string) {
	for _, g := range grantsOf(ds) {
		out = append(out, g.RequestID)
	}
	return out
}

// onlyGrant returns the grant among the decisions and fails unless there is
// exactly one.
func onlyGrant(c *qt.C, ds []Decision) Granted {
	c.Helper()
	gs := grantsOf(ds)
	c.Assert(gs, qt.HasLen, 1)
	return gs[0]
}

// TestGrantIsIdempotentAndReleased guards against a slot that is granted twice
// or lost: a repeated Enqueue returns the same grant, and the slot is free
// again after the release.
func TestGrantIsIdempotentAndReleased(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{Epoch: 7}, Policy{}, engine("a", 1))
	g := onlyGrant(c, b.enqueueNow(request("r1", 0)))
	c.Assert(g.Epoch, qt.Equals, uint64(7))
	c.Assert(g.ExpiresIn, qt.Equals, time.Second)
	b.now = at(300)
	again := onlyGrant(c, b.enqueueNow(request("r1", 0)))
	c.Assert(again.GrantID, qt.Equals, g.GrantID)
	c.Assert(again.ExpiresIn, qt.Equals, 700*time.Millisecond)
	c.Assert(b.enqueueNow(request("r2", 0)), qt.HasLen, 0)
	out := b.Release(b.now, g.GrantID, Outcome{Tokens: 10, Duration: time.Second})
	c.Assert(requestsOf(out), qt.DeepEquals, []string{"r2"})
	c.Assert(b.Release(b.now, g.GrantID, Outcome{}), qt.HasLen, 0)
}

// TestGrantExpiry guards against slots that stay taken after the entry that
// held them has stopped.
func TestGrantExpiry(t *testing.T) {
	for _, test := range []struct {
		name    string
		renewed bool
		wait    int
		free    bool
	}{
		{"unused grant is kept for less than 1 s", false, 950, false},
		{"unused grant expires after 1 s", false, 1000, true},
		{"used grant is kept for less than 3 s after the last renewal", true, 2950, false},
		{"used grant expires 3 s after the last renewal", true, 3000, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(Config{}, Policy{}, engine("a", 1))
			g := onlyGrant(c, b.enqueueNow(request("r1", 0)))
			if test.renewed {
				b.Renew(b.now, "e1", []HeldGrant{{GrantID: g.GrantID}})
			}
			b.Tick(at(test.wait))
			got := b.Enqueue(at(test.wait), request("r2", 0))
			c.Assert(len(grantsOf(got)) == 1, qt.Equals, test.free)
		})
	}
}

// TestUnrepeatedRequestLeavesQueue guards against grants for callers that no
// longer wait: a request whose entry stops repeating it leaves the queue.
func TestUnrepeatedRequestLeavesQueue(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{}, Policy{}, engine("a", 1))
	g := onlyGrant(c, b.enqueueNow(request("r1", 0)))
	b.Renew(b.now, "e1", []HeldGrant{{GrantID: g.GrantID}})
	b.enqueueNow(request("r2", 0))
	b.Enqueue(at(1500), request("r2", 0))
	b.Renew(at(1500), "e1", []HeldGrant{{GrantID: g.GrantID}})
	c.Assert(b.Tick(at(3400)), qt.HasLen, 0)
	c.Assert(b.Status(at(3400)).Waiting, qt.Equals, 1)
	c.Assert(b.Tick(at(3500)), qt.HasLen, 0)
	c.Assert(b.Status(at(3500)).Waiting, qt.Equals, 0)
}

// TestDispatchOrder guards against grants in an order other than by tier, then
// by due time.
func TestDispatchOrder(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{}, Policy{}, engine("a", 1))
	g := onlyGrant(c, b.enqueueNow(request("first", 2)))
	b.enqueueNow(request("low", 2))
	b.enqueueNow(request("middle", 1))
	relaxed := request("relaxed", 0)
	relaxed.Target = 30 * time.Second
	b.enqueueNow(relaxed)
	b.enqueueNow(request("urgent", 0))
	c.Assert(b.Position("urgent"), qt.Equals, 2) // within its class
	c.Assert(b.Position("unknown"), qt.Equals, 0)
	var order []string
	for range 4 {
		g = onlyGrant(c, b.Release(b.now, g.GrantID, Outcome{Tokens: 10, Duration: time.Second}))
		order = append(order, g.RequestID)
	}
	c.Assert(order, qt.DeepEquals, []string{"urgent", "relaxed", "middle", "low"})
}

// TestFairShares guards against a customer with many requests that takes the
// slots of a customer with few.
func TestFairShares(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{}, Policy{
		Classes: map[string]ClassPolicy{"class1": {QueueWait: time.Hour}},
	}, engine("a", 1))
	g := onlyGrant(c, b.enqueueNow(request("r0", 1)))
	for i := range 100 {
		r := request(fmt.Sprint("flood", i), 1)
		r.Customer, r.Deadline = "flood", time.Hour
		b.enqueueNow(r)
	}
	for i := range 20 {
		r := request(fmt.Sprint("small", i), 1)
		r.Customer, r.Deadline = "small", time.Hour
		b.enqueueNow(r)
	}
	count := map[string]int{}
	for range 60 {
		g = onlyGrant(c, b.Release(b.now, g.GrantID, Outcome{Tokens: 200, Duration: time.Second}))
		count[g.RequestID[:5]]++
	}
	c.Assert(count["small"], qt.Equals, 20)
}
