package limit

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func near(c *qt.C, got, want, tolerance float64) {
	c.Helper()
	c.Assert(math.Abs(got-want) <= tolerance*want, qt.IsTrue, qt.Commentf("got %g, want %g", got, want))
}

// TestBudgetNeverExceedsLimit guards against a customer exceeding its limit across
// several groups. The sum of the shares that holders may consider valid must stay
// within the limit, also when responses are lost or the owner of the budget is
// replaced.
func TestBudgetNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease = 3 * time.Second
		now := start
		b := NewBudget(now, lease, false)
		p := Policy{Concurrency: rapid.IntRange(1, 20).Draw(t, "concurrency"), TokensPerSecond: 100}
		highest := p.Concurrency
		held := map[string][]Share{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				b = NewBudget(now, lease, true)
			default:
				name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "holder"))
				n := rapid.IntRange(0, 30).Draw(t, "demand")
				s := b.RenewShare(now, name, Demand{Customer: "k", Concurrency: n, TokensPerSecond: float64(n)}, p)
				if rapid.Bool().Draw(t, "answered") {
					held[name] = []Share{s}
				} else {
					held[name] = append(held[name], s)
				}
			}
			slots, rate := 0, 0.0
			for _, shares := range held {
				largest := Share{}
				for _, s := range shares {
					if now.Before(s.ExpiresAt) {
						largest.Concurrency = max(largest.Concurrency, s.Concurrency)
						largest.TokensPerSecond = max(largest.TokensPerSecond, s.TokensPerSecond)
					}
				}
				slots += largest.Concurrency
				rate += largest.TokensPerSecond
			}
			if slots > highest || rate > p.TokensPerSecond+1e-6 {
				t.Fatalf("in force: %d slots of %d, rate %g of %g", slots, highest, rate, p.TokensPerSecond)
			}
		}
	})
}

// TestBudgetSharesFollowDemand guards against shares that do not follow demand.
func TestBudgetSharesFollowDemand(t *testing.T) {
	for _, test := range []struct {
		name    string
		demands []int
		limit   int
		want    []int
	}{
		{"capacity beyond the demand is spread evenly", []int{2, 2}, 10, []int{5, 5}},
		{"a small demand is met, the large one gets the rest", []int{1, 50}, 10, []int{1, 9}},
		{"equal demand above the limit", []int{50, 50}, 10, []int{5, 5}},
		{"no slot is lost to rounding", []int{9, 9, 9}, 10, []int{3, 4, 3}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := NewBudget(start, 3*time.Second, false)
			got := make([]int, len(test.demands))
			for step := range 8 { // shares converge as earlier ones expire
				now := start.Add(time.Duration(step) * time.Second)
				for i, d := range test.demands {
					s := b.RenewShare(now, fmt.Sprint(i), Demand{Customer: "k", Concurrency: d}, Policy{Concurrency: test.limit})
					got[i] = s.Concurrency
				}
			}
			c.Assert(got, qt.DeepEquals, test.want)
			b.ReleaseShare("0", "k")
			b.Expire(start.Add(time.Minute))
			c.Assert(b.customers, qt.HasLen, 0)
		})
	}
}

// TestFairByWeight guards against unfair service: customers with work are served in
// proportion to their weights, also when the cost of one customer's work is
// underestimated.
func TestFairByWeight(t *testing.T) {
	c := qt.New(t)
	var f FairQueueing
	flows := []*Flow{{}, {}, {}}
	weights := []float64{1, 1, 2}
	actual := []float64{10, 30, 10} // each is estimated as 10
	served := make([]float64, 3)
	for i, flow := range flows {
		f.Activate(flow, weights[i])
	}
	for range 4000 {
		next := 0
		for i, flow := range flows {
			if f.FinishTag(flow) < f.FinishTag(flows[next]) {
				next = i
			}
		}
		f.Charge(flows[next], 10)
		f.Correct(flows[next], 10, actual[next])
		served[next] += actual[next]
	}
	near(c, served[1]/served[0], 1, 0.02)
	near(c, served[2]/served[0], 2, 0.02)
}

// TestFairIdleEarnsNoCredit guards against credit for idle time: a customer that
// returns after a pause must not starve the others.
func TestFairIdleEarnsNoCredit(t *testing.T) {
	c := qt.New(t)
	var f FairQueueing
	var busy, idle Flow
	f.Activate(&busy, 1)
	for range 100 {
		f.Charge(&busy, 10)
	}
	f.Activate(&idle, 1)
	c.Assert(f.FinishTag(&busy)-f.FinishTag(&idle) <= 10, qt.IsTrue)
	c.Assert(f.Share(&idle), qt.Equals, 0.5)
	f.Deactivate(&busy)
	c.Assert(f.Share(&idle), qt.Equals, 1.0)
}

// TestRetryBudget guards against retries that multiply the load on a failing group.
func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	var r RetryBucket
	taken := 0
	try := func() {
		if r.Allowed() {
			r.Take()
			taken++
		}
	}
	for range 100 {
		try()
	}
	c.Assert(taken, qt.Equals, retryReserve)
	for range 100 {
		r.Success(0.1)
		try()
	}
	near(c, float64(taken), 13, 0.1)
}

// TestTokenBucketRate guards against a long-term token rate above the limit, and
// against debt that is never paid off.
func TestTokenBucketRate(t *testing.T) {
	c := qt.New(t)
	var r TokenBucket
	now, used := start, 0.0
	for range 10_000 {
		if r.Wait(now, 100) == 0 {
			r.Charge(now, 100, 300)
			r.Charge(now, 100, 200) // the response was longer than estimated
			used += 500
		}
		now = now.Add(100 * time.Millisecond)
	}
	near(c, used/1000, 100, 0.02)
	r.Charge(now, 100, 5000)
	wait := r.Wait(now, 100)
	c.Assert(r.Wait(now.Add(wait), 100), qt.Equals, time.Duration(0))
	c.Assert(r.Wait(now, 0), qt.Equals, time.Duration(0))
}
