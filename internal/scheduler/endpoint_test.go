package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/limit"
)

// TestUnusableEndpointsGetNoGrants guards against grants at endpoints that
// cannot or must not serve the request.
func TestUnusableEndpointsGetNoGrants(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*bench, *Endpoint, *Request)
		code   string
	}{
		{"leaving", func(_ *bench, e *Endpoint, _ *Request) { e.Leaving = true }, "no_endpoint"},
		{"other model", func(_ *bench, _ *Endpoint, r *Request) { r.Model = "x" }, "no_endpoint"},
		{"missing adapter", func(_ *bench, _ *Endpoint, r *Request) { r.Adapter = "x" }, "no_endpoint"},
		{"failed this request before while another endpoint serves it", func(b *bench, _ *Endpoint, r *Request) {
			b.Announce(b.now, engine("busy", 1))
			b.enqueueNow(request("running", 0))
			r.Avoid = []string{"a"}
		}, ""},
		{"lease has ended", func(b *bench, e *Endpoint, _ *Request) { e.Lease = time.Second }, "no_endpoint"},
		{"no slots", func(_ *bench, e *Endpoint, _ *Request) { e.Slots = 0 }, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(Config{}, Policy{})
			e, r := engine("a", 4), request("r1", 0)
			test.change(b, &e, &r)
			b.Announce(b.now, e)
			b.runFor(announceGrace + time.Second)
			out := b.enqueueNow(r)
			c.Assert(grantsOf(out), qt.HasLen, 0)
			if test.code != "" {
				c.Assert(refusalsOf(out), qt.DeepEquals, []string{"r1 " + test.code})
			}
		})
	}
}

// TestRetryAvoidsFailedEndpoint guards against a retry at the endpoint that
// failed the request while another endpoint serves it, and against a retry that
// waits until its deadline although no other endpoint serves it.
func TestRetryAvoidsFailedEndpoint(t *testing.T) {
	for _, test := range []struct {
		name  string
		other Endpoint
		avoid []string
		fault bool // the other endpoint is ejected after a refused connection
		want  string
	}{
		{"another endpoint is free", engine("b", 1), []string{"a"}, false, "b"},
		{"another endpoint is busy", engine("b", 0), []string{"a"}, false, ""},
		{"another endpoint is ejected", engine("b", 1), []string{"a"}, true, "a"},
		{"another endpoint is leaving", Endpoint{ID: "b", Slots: 1, Lease: time.Hour, Leaving: true}, []string{"a"}, false, "a"},
		{"the lease of another endpoint has ended", Endpoint{ID: "b", Slots: 1, Lease: time.Millisecond}, []string{"a"}, false, "a"},
		{"another endpoint has other models", Endpoint{ID: "b", Slots: 1, Lease: time.Hour, Models: []string{"x"}}, []string{"a"}, false, "a"},
		{"another endpoint failed the request, too", engine("b", 0), []string{"a", "b"}, false, "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(Config{}, Policy{}, engine("a", 1), test.other)
			if test.fault {
				b.updateHealth(b.now, b.endpoints["b"], Outcome{Failed: true, EndpointFault: true, ConnectRefused: true}, false)
			}
			b.now = at(1)
			r := request("r", 0)
			r.Avoid = test.avoid
			got := ""
			for _, g := range grantsOf(b.enqueueNow(r)) {
				got = g.Endpoint
			}
			c.Assert(got, qt.Equals, test.want)
			if test.want != "" { // a repeated call returns the same grant
				c.Assert(onlyGrant(c, b.enqueueNow(r)).GrantID, qt.Equals, b.byRequest["r"].id)
				c.Assert(b.byRequest["r"].validUntil, qt.Equals, b.now.Add(grantUseTimeout))
				c.Assert(b.ended, qt.HasLen, 0)
			}
		})
	}
}

// TestWaitsForAnnouncementsAfterStart guards against requests that are refused
// after a start before endpoints had time to announce themselves.
func TestWaitsForAnnouncementsAfterStart(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{}, Policy{})
	c.Assert(b.enqueueNow(request("r1", 0)), qt.HasLen, 0)
	c.Assert(requestsOf(b.Announce(at(900), engine("a", 1))), qt.DeepEquals, []string{"r1"})
}

// TestEndpointChoice guards against a wrong choice among free endpoints.
func TestEndpointChoice(t *testing.T) {
	prefixes := []uint64{1, 2, 3, 4}
	for _, test := range []struct {
		name    string
		prepare func(*qt.C, *bench)
		want    string
	}{
		{"the less loaded of equal endpoints", func(c *qt.C, b *bench) { onlyGrant(c, b.enqueueNow(request("x", 0))) }, "b"},
		{"the prefix was placed there by the core", func(c *qt.C, b *bench) {
			r := request("x", 0)
			r.Prefixes = prefixes
			g := onlyGrant(c, b.enqueueNow(r))
			c.Assert(g.Endpoint, qt.Equals, "a")
			b.Release(b.now, g.GrantID, Outcome{Unused: true})
			onlyGrant(c, b.enqueueNow(request("y", 0))) // makes a the more loaded endpoint
		}, "a"},
		{"load outweighs a short cached prefix", func(c *qt.C, b *bench) {
			b.Announce(b.now, withEvents(engine("a", 8), CacheEvent{Sequence: 1, Stored: true, Prefix: 1}))
			r := request("x", 0)
			r.Avoid = []string{"b"}
			for i := range 3 {
				r.ID = fmt.Sprint("x", i)
				onlyGrant(c, b.enqueueNow(r))
			}
		}, "b"},
		{"the prefix is cached according to an event", func(c *qt.C, b *bench) {
			b.Announce(b.now, withEvents(engine("b", 8), CacheEvent{Sequence: 1, Stored: true, Prefix: 4}))
		}, "b"},
		{"the prefix was evicted according to an event", func(c *qt.C, b *bench) {
			b.Announce(b.now, withEvents(engine("b", 8), CacheEvent{Sequence: 1, Stored: true, Prefix: 4}, CacheEvent{Sequence: 2, Prefix: 4}))
		}, "a"},
		{"a late event contradicts a placement of the core", func(c *qt.C, b *bench) {
			r := request("x", 0)
			r.Prefixes, r.Avoid = prefixes, []string{"a"}
			b.Release(b.now, onlyGrant(c, b.enqueueNow(r)).GrantID, Outcome{Unused: true})
			b.Announce(b.now, withEvents(engine("b", 8), CacheEvent{Sequence: 1, Prefix: 4}))
		}, "b"},
		{"the other engine is slow", func(c *qt.C, b *bench) {
			for i := range 8 {
				r := request(fmt.Sprint("x", i), 0)
				o := Outcome{Tokens: 100, FirstToken: 100 * time.Millisecond, Duration: 2 * time.Second}
				if r.Avoid = []string{"a"}; i%2 == 0 {
					r.Avoid, o.Duration = []string{"b"}, 10*time.Second
				}
				b.retry = limit.RetryBucket{}
				b.customers["k"] = nil
				delete(b.customers, "k")
				b.Release(b.now, onlyGrant(c, b.enqueueNow(r)).GrantID, o)
			}
			onlyGrant(c, b.enqueueNow(request("y", 0))) // goes to b and makes it the more loaded endpoint
		}, "b"},
		{"the core's exact counts override a late load report", func(c *qt.C, b *bench) {
			e := engine("a", 8)
			e.Load = &Load{Running: 8, MeasuredAt: b.now}
			b.Announce(b.now, e)
		}, "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(Config{}, Policy{}, engine("a", 8), engine("b", 8))
			test.prepare(c, b)
			r := request("r", 0)
			r.Prefixes, r.PromptTokens = prefixes, 4000
			if test.name == "the other engine is slow" {
				r.Prefixes = nil
			}
			c.Assert(onlyGrant(c, b.enqueueNow(r)).Endpoint, qt.Equals, test.want)
		})
	}
}

func withEvents(e Endpoint, events ...CacheEvent) Endpoint {
	e.CacheEvents = events
	return e
}

// TestCacheEventGap guards against hints that stay although cache events were
// lost: a gap in the sequence numbers removes the hints and requests a resync
// once.
func TestCacheEventGap(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{}, Policy{}, engine("a", 1))
	b.Announce(b.now, withEvents(engine("a", 1), CacheEvent{Sequence: 1, Stored: true, Prefix: 7}))
	c.Assert(b.prefixes, qt.HasLen, 1)
	out := b.Announce(b.now, withEvents(engine("a", 1), CacheEvent{Sequence: 5, Stored: true, Prefix: 8}))
	c.Assert(out, qt.DeepEquals, []Decision{Resync{Endpoint: "a", After: 1}})
	c.Assert(b.prefixes[7], qt.HasLen, 0)
	out = b.Announce(b.now, withEvents(engine("a", 1), CacheEvent{Sequence: 9, Stored: true, Prefix: 9}))
	c.Assert(out, qt.HasLen, 0)
	b.Announce(b.now, withEvents(engine("a", 1), CacheEvent{Sequence: 9, Cleared: true}, CacheEvent{Sequence: 10, Stored: true, Prefix: 7}))
	c.Assert(b.prefixes, qt.HasLen, 1)
	for i := range 3 * maxCacheEntries {
		b.recordPrefix(b.endpoints["a"], uint64(i), b.now)
	}
	c.Assert(b.prefixes, qt.HasLen, maxCacheEntries)
}

// TestEjection guards against grants at broken endpoints, and against ejecting
// so many endpoints that the remaining ones break under the load.
func TestEjection(t *testing.T) {
	fault := Outcome{Failed: true, EndpointFault: true}
	connectRefused := Outcome{Failed: true, EndpointFault: true, ConnectRefused: true}
	success := Outcome{Tokens: 10, Duration: time.Second}
	setup := func(n int) (b *bench) {
		b = newBench(Config{}, Policy{})
		for i := range n {
			b.Announce(b.now, engine(fmt.Sprint("n", i), 8))
		}
		return b
	}
	recordOutcomes := func(c *qt.C, b *bench, id string, o Outcome, n int) {
		for range n {
			b.updateHealth(b.now, b.endpoints[id], o, false)
		}
	}
	ejected := func(b *bench) (n int) {
		for _, e := range b.Status(b.now).Endpoints {
			if e.Ejected {
				n++
			}
		}
		return n
	}
	for _, test := range []struct {
		name  string
		n     int
		apply func(*qt.C, *bench)
		want  int
	}{
		{"two faults are not enough", 6, func(c *qt.C, b *bench) { recordOutcomes(c, b, "n0", fault, 2) }, 0},
		{"a success resets the count of faults", 6, func(c *qt.C, b *bench) {
			recordOutcomes(c, b, "n0", fault, 2)
			recordOutcomes(c, b, "n0", success, 1)
			recordOutcomes(c, b, "n0", fault, 2)
		}, 0},
		{"three consecutive faults", 6, func(c *qt.C, b *bench) { recordOutcomes(c, b, "n0", fault, 3) }, 1},
		{"faults eject a third of the endpoints at most", 6, func(c *qt.C, b *bench) {
			for i := range 6 {
				recordOutcomes(c, b, fmt.Sprint("n", i), fault, 5)
			}
		}, 2},
		{"one of two endpoints is not ejected", 2, func(c *qt.C, b *bench) { recordOutcomes(c, b, "n0", fault, 5) }, 0},
		{"a refused connection ejects at once and may eject all endpoints", 2, func(c *qt.C, b *bench) {
			recordOutcomes(c, b, "n0", connectRefused, 1)
			recordOutcomes(c, b, "n1", connectRefused, 1)
		}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := setup(test.n)
			test.apply(c, b)
			c.Assert(ejected(b), qt.Equals, test.want)
		})
	}
	t.Run("one repeatable probe before the endpoint returns", func(t *testing.T) {
		c := qt.New(t)
		b := setup(1)
		recordOutcomes(c, b, "n0", connectRefused, 1)
		c.Assert(b.enqueueNow(request("early", 0)), qt.HasLen, 0)
		b.runFor(firstEjection - 50*time.Millisecond)
		c.Assert(b.Tick(b.now), qt.HasLen, 0)
		once := request("once", 0)
		once.MayRepeat = false
		b.enqueueNow(once)
		b.enqueueNow(request("second", 0))
		b.now = b.now.Add(50 * time.Millisecond)
		g := onlyGrant(c, b.Tick(b.now))
		c.Assert(g.RequestID, qt.Equals, "early")
		out := b.Release(b.now, g.GrantID, success)
		c.Assert(len(grantsOf(out)), qt.Equals, 2)
		c.Assert(ejected(b), qt.Equals, 0)
	})
	t.Run("a failed probe doubles the ejection time", func(t *testing.T) {
		c := qt.New(t)
		b := setup(1)
		recordOutcomes(c, b, "n0", connectRefused, 1)
		b.enqueueNow(request("probe", 0))
		g := onlyGrant(c, b.runFor(firstEjection))
		b.Release(b.now, g.GrantID, fault)
		b.enqueueNow(request("next", 0))
		c.Assert(b.runFor(2*firstEjection-50*time.Millisecond), qt.HasLen, 0)
		onlyGrant(c, b.runFor(100*time.Millisecond))
	})
}
