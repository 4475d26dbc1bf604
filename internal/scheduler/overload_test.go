package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/limit"
)

// TestAdmission guards against requests of a higher tier that are refused
// because of work of lower tiers, and against requests that are queued though
// they cannot meet their deadline.
func TestAdmission(t *testing.T) {
	setup := func(waiting, tier int) *bench {
		b := newBench(Config{}, Policy{}, engine("a", 2))
		for i := range waiting + 2 {
			r := request(fmt.Sprint("w", i), tier)
			r.Deadline = time.Hour
			b.enqueueNow(r)
		}
		return b
	}
	for _, test := range []struct {
		name     string
		bench    *bench
		tier     int
		deadline time.Duration
		refused  string
	}{
		// 20 waiting requests of 2 s on 2 slots take 20 s.
		{"deadline can not be met", setup(20, 1), 1, 5 * time.Second, "deadline_unreachable"},
		{"deadline can be met", setup(20, 1), 1, 50 * time.Second, ""},
		{"higher tier is served before the queue", setup(20, 1), 0, 5 * time.Second, ""},
		{"lower tier is served after the queue", setup(20, 1), 2, 5 * time.Second, "deadline_unreachable"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := request("r", test.tier)
			r.Class, r.Deadline = "asked", test.deadline
			first := r
			first.ID = "protected" // the only request of its class is not refused
			c.Assert(test.bench.enqueueNow(first), qt.HasLen, 0)
			out := test.bench.enqueueNow(r)
			if test.refused == "" {
				c.Assert(out, qt.HasLen, 0)
				return
			}
			c.Assert(refusalsOf(out), qt.DeepEquals, []string{"r " + test.refused})
			err := out[0].(Refused).Err
			c.Assert(err.RetryAfter >= minRetryAfter && err.RetryAfter <= maxRetryAfter, qt.IsTrue)
			c.Assert(err.Verdict.String(), qt.Equals, "not-run")
		})
	}
}

// TestCustomerLimits guards against a customer that exceeds its limits, and
// against limits that delay other customers.
func TestCustomerLimits(t *testing.T) {
	c := qt.New(t)
	limits := limit.Policy{Concurrency: 1}
	b := newBench(Config{}, Policy{Customer: func(name string) limit.Policy {
		if name == "k" {
			return limits
		}
		return limit.Policy{}
	}}, engine("a", 4))
	g := onlyGrant(c, b.enqueueNow(request("r1", 0)))
	c.Assert(b.enqueueNow(request("r2", 0)), qt.HasLen, 0)
	other := request("r3", 2)
	other.Customer = "other"
	onlyGrant(c, b.enqueueNow(other))
	c.Assert(requestsOf(b.Release(b.now, g.GrantID, Outcome{Tokens: 1})), qt.DeepEquals, []string{"r2"})
	b.enqueueNow(request("r4", 0))
	limits.Concurrency = 2
	c.Assert(requestsOf(b.Configure(b.now, b.policy)), qt.DeepEquals, []string{"r4"})
	limits.TokensPerSecond = 10
	b.Configure(b.now, b.policy)
	c.Assert(b.enqueueNow(request("r5", 0)), qt.HasLen, 0) // spends the whole balance of the rate limit
	out := b.enqueueNow(request("r6", 0))
	c.Assert(refusalsOf(out), qt.DeepEquals, []string{"r6 rate_limit_exceeded"})
	c.Assert(out[0].(Refused).Err.Status, qt.Equals, 429)
	c.Assert(out[0].(Refused).Err.RetryAfter >= 10*time.Second, qt.IsTrue)
}

// TestLimitedCustomerDoesNotDelayOthers guards against refusals because of
// another customer's requests that wait for the concurrency limit of that
// customer: they take no slots from others.
func TestLimitedCustomerDoesNotDelayOthers(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{}, Policy{Customer: func(name string) limit.Policy {
		return limit.Policy{Concurrency: map[string]int{"k": 1}[name]}
	}}, engine("a", 2))
	for i := range 30 {
		b.enqueueNow(request(fmt.Sprint("limited", i), 0))
	}
	for i := range 3 {
		r := request(fmt.Sprint("r", i), 1)
		r.Customer, r.Deadline = "other", 10*time.Second
		out := b.enqueueNow(r)
		c.Assert(refusalsOf(out), qt.HasLen, 0)
		c.Assert(len(grantsOf(out)) == 1, qt.Equals, i == 0)
	}
}

// TestShareMin guards against a class that gets less than its share.min because
// another class of its tier has more urgent requests.
func TestShareMin(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{}, Policy{Classes: map[string]ClassPolicy{
		"class1": {QueueWait: time.Hour}, "rare": {ShareMin: 0.25, QueueWait: time.Hour},
	}}, engine("a", 1))
	g := onlyGrant(c, b.enqueueNow(request("first", 1)))
	for i := range 40 {
		r := request(fmt.Sprint("many", i), 1)
		r.Target, r.Deadline = time.Second*5, time.Hour
		b.enqueueNow(r)
		r.ID, r.Class, r.Target = fmt.Sprint("rare", i), "rare", time.Hour
		b.enqueueNow(r)
	}
	count := map[string]int{}
	for range 20 {
		g = onlyGrant(c, b.Release(b.now, g.GrantID, Outcome{Tokens: 200, Duration: time.Second}))
		count[g.RequestID[:4]]++
	}
	c.Assert(count["rare"] >= 5 && count["rare"] <= 7, qt.IsTrue, qt.Commentf("%v", count))
}

// TestClassQueueMax guards against a class that fills the whole queue, and
// against refusing the oldest request of a class, which must stay.
func TestClassQueueMax(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{}, Policy{Classes: map[string]ClassPolicy{"class2": {QueueMax: 2}}}, engine("a", 1))
	b.enqueueNow(request("running", 0))
	var refused []string
	for i := range 5 {
		refused = append(refused, refusalsOf(b.enqueueNow(request(fmt.Sprint("r", i), 2)))...)
	}
	c.Assert(refused, qt.DeepEquals, []string{"r3 queue_full", "r4 queue_full"})
	c.Assert(b.enqueueNow(request("other", 1)), qt.HasLen, 0)
}

// TestSharedLimits guards against groups that together exceed a customer's
// limit: a group grants nothing before it has a share, or after the share has
// ended.
func TestSharedLimits(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{SharedLimits: true}, Policy{Customer: func(string) limit.Policy {
		return limit.Policy{Concurrency: 10}
	}}, engine("a", 4))
	c.Assert(b.enqueueNow(request("r1", 0)), qt.HasLen, 0)
	c.Assert(b.CustomerDemands(), qt.HasLen, 1)
	c.Assert(b.CustomerDemands()[0].Concurrency, qt.Equals, 1)
	out := b.SetShares(b.now, []limit.Share{{Customer: "k", Concurrency: 1, ExpiresAt: at(1000)}})
	g := onlyGrant(c, out)
	b.runFor(900 * time.Millisecond)
	b.Release(b.now, g.GrantID, Outcome{Tokens: 1})
	g = onlyGrant(c, b.enqueueNow(request("r2", 0)))
	b.runFor(100 * time.Millisecond)
	b.Release(b.now, g.GrantID, Outcome{Tokens: 1})
	c.Assert(b.enqueueNow(request("r3", 0)), qt.HasLen, 0)
}

// TestRetryBudgetRefuses guards against retries that multiply the load while
// all attempts fail.
func TestRetryBudgetRefuses(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{}, Policy{}, engine("a", 8), engine("b", 8))
	var refused []string
	for i := range 6 {
		r := request(fmt.Sprint("r", i), 0)
		r.Avoid = []string{"a"}
		refused = append(refused, refusalsOf(b.enqueueNow(r))...)
	}
	c.Assert(refused, qt.DeepEquals, []string{
		"r3 retry_budget_exhausted", "r4 retry_budget_exhausted", "r5 retry_budget_exhausted",
	})
}

// TestSuccessorRestoresRetryReserve guards against retries that each takeover of a group
// allows again while all attempts fail.
func TestSuccessorRestoresRetryReserve(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{Epoch: 2, Successor: true, Entries: []string{"e1"}}, Policy{}, engine("a", 8), engine("b", 8))
	b.Adopt(b.now, "e1", nil)
	b.runFor(time.Second)
	retry := request("r0", 0)
	retry.Avoid = []string{"a"}
	c.Assert(refusalsOf(b.enqueueNow(retry)), qt.DeepEquals, []string{"r0 retry_budget_exhausted"})
	for i := range 10 {
		g := onlyGrant(c, b.enqueueNow(request(fmt.Sprint("served", i), 0)))
		b.Release(b.now, g.GrantID, Outcome{Tokens: 1})
	}
	retry.ID = "r1"
	c.Assert(refusalsOf(b.enqueueNow(retry)), qt.HasLen, 0)
}

// TestRetryBeforeRelease guards against a second attempt that is sent to the
// endpoint where the first attempt failed, in the case that the second attempt
// arrives before the release of the first.
func TestRetryBeforeRelease(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{}, Policy{}, engine("a", 1), engine("b", 1))
	r := request("r", 0)
	g := onlyGrant(c, b.enqueueNow(r))
	r.Avoid = []string{g.Endpoint}
	second := onlyGrant(c, b.enqueueNow(r))
	c.Assert(second.Endpoint, qt.Not(qt.Equals), g.Endpoint)
	c.Assert(b.Status(b.now).Endpoints[0].InFlight, qt.Equals, 0)
	b.Renew(b.now, "e1", []HeldGrant{{GrantID: g.GrantID}}) // a late renewal of the dropped grant
	c.Assert(b.Status(b.now).Endpoints[0].InFlight, qt.Equals, 0)
	b.Release(b.now, g.GrantID, Outcome{Failed: true, EndpointFault: true, ConnectRefused: true})
	c.Assert(b.Status(b.now).Endpoints[0].Ejected, qt.IsTrue)
}

// TestWarmUp guards against overload of engines by a successor that does not
// know yet which grants are in flight.
func TestWarmUp(t *testing.T) {
	successor := Config{Epoch: 2, Successor: true, Entries: []string{"e1", "e2"}}
	held := []HeldGrant{{GrantID: "1-1", RequestID: "old", Endpoint: "a", Customer: "k", Class: "class0", Epoch: 1}}
	for _, test := range []struct {
		name  string
		steps func(*bench)
		ms    int
		free  int
	}{
		{"no entry has reported", func(*bench) {}, 999, 0},
		{"warm-up over", func(*bench) {}, 1000, 4},
		{"one entry has not reported", func(b *bench) { b.Adopt(b.now, "e1", held) }, 500, 0},
		{"all entries have reported", func(b *bench) {
			b.Adopt(b.now, "e1", held)
			b.Adopt(b.now, "e2", nil)
		}, 500, 3},
		{"a load report from after the takeover shows one free slot", func(b *bench) {
			e := engine("a", 4)
			e.Load = &Load{Running: 2, Waiting: 1, MeasuredAt: b.now}
			b.Announce(b.now, e)
		}, 500, 1},
		{"a load report from before the takeover is ignored", func(b *bench) {
			e := engine("a", 4)
			e.Load = &Load{MeasuredAt: b.now.Add(-time.Second)}
			b.Announce(b.now, e)
		}, 500, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(successor, Policy{}, engine("a", 4))
			test.steps(b)
			for i := range 6 {
				b.enqueueNow(request(fmt.Sprint("r", i), 0))
			}
			b.Tick(at(test.ms))
			inFlight := 0
			for _, g := range b.grants {
				if !g.adopted {
					inFlight++
				}
			}
			c.Assert(inFlight, qt.Equals, test.free)
		})
	}
}
