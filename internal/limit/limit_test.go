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

func near(c *qt.C, got, want, part float64) {
	c.Helper()
	c.Assert(math.Abs(got-want) <= part*want, qt.IsTrue, qt.Commentf("got %g, want %g", got, want))
}

// Guards against a customer using more than its limit over several groups: the
// shares that holders may believe in never exceed the limit, also when answers
// are lost, limits are lowered or the owner is replaced.
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
				s := b.Lease(now, name, Demand{Customer: "k", Concurrency: n, TokensPerSecond: float64(n)}, p)
				if rapid.Bool().Draw(t, "answered") {
					held[name] = []Share{s}
				} else {
					held[name] = append(held[name], s)
				}
			}
			slots, rate := 0, 0.0
			for _, shares := range held {
				most := Share{}
				for _, s := range shares {
					if now.Before(s.Ends) {
						most.Concurrency = max(most.Concurrency, s.Concurrency)
						most.TokensPerSecond = max(most.TokensPerSecond, s.TokensPerSecond)
					}
				}
				slots += most.Concurrency
				rate += most.TokensPerSecond
			}
			if slots > highest || rate > p.TokensPerSecond+1e-6 {
				t.Fatalf("in force: %d slots of %d, rate %g of %g", slots, highest, rate, p.TokensPerSecond)
			}
		}
	})
}

// Guards against shares that follow demand badly.
func TestBudgetShares(t *testing.T) {
	for _, test := range []struct {
		name    string
		demands []int
		limit   int
		want    []int
	}{
		{"demand below the limit leaves a spare part for everybody", []int{2, 2}, 10, []int{5, 5}},
		{"a small demand is met, the rest goes to the large one", []int{1, 50}, 10, []int{1, 9}},
		{"equal demand above the limit", []int{50, 50}, 10, []int{5, 5}},
		{"no slot is lost to rounding", []int{9, 9, 9}, 10, []int{3, 4, 3}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := NewBudget(start, 3*time.Second, false)
			got := make([]int, len(test.demands))
			for step := range 8 { // shares converge while earlier ones run out
				now := start.Add(time.Duration(step) * time.Second)
				for i, d := range test.demands {
					s := b.Lease(now, fmt.Sprint(i), Demand{Customer: "k", Concurrency: d}, Policy{Concurrency: test.limit})
					got[i] = s.Concurrency
				}
			}
			c.Assert(got, qt.DeepEquals, test.want)
			b.Return("0", "k")
			b.Expire(start.Add(time.Minute))
			c.Assert(b.customers, qt.HasLen, 0)
		})
	}
}

// Guards against unfair shares: customers with work are served by weight, and
// an estimate that was too low is made up for.
func TestFairByWeight(t *testing.T) {
	c := qt.New(t)
	var f Fair
	flows := []*Flow{{}, {}, {}}
	weights := []float64{1, 1, 2}
	actual := []float64{10, 30, 10} // estimated as 10
	served := make([]float64, 3)
	for i, w := range flows {
		f.Activate(w, weights[i])
	}
	for range 4000 {
		least := 0
		for i, w := range flows {
			if f.Tag(w) < f.Tag(flows[least]) {
				least = i
			}
		}
		f.Charge(flows[least], 10)
		f.Correct(flows[least], 10, actual[least])
		served[least] += actual[least]
	}
	near(c, served[1]/served[0], 1, 0.02)
	near(c, served[2]/served[0], 2, 0.02)
}

// Guards against idle time that earns credit: a customer that returns after a
// pause does not shut out the others.
func TestFairIdleEarnsNothing(t *testing.T) {
	c := qt.New(t)
	var f Fair
	var busy, idle Flow
	f.Activate(&busy, 1)
	for range 100 {
		f.Charge(&busy, 10)
	}
	f.Activate(&idle, 1)
	c.Assert(f.Tag(&busy)-f.Tag(&idle) <= 10, qt.IsTrue)
	c.Assert(f.Share(&idle), qt.Equals, 0.5)
	f.Deactivate(&busy)
	c.Assert(f.Share(&idle), qt.Equals, 1.0)
}

// Guards against retries that multiply the load of a failing group.
func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	var r Retry
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

// Guards against a token rate above the limit over time, and against debt that
// never ends.
func TestRate(t *testing.T) {
	c := qt.New(t)
	var r Rate
	now, used := start, 0.0
	for range 10_000 {
		if r.Wait(now, 100) == 0 {
			r.Charge(now, 100, 300)
			r.Charge(now, 100, 200) // the answer was longer than estimated
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
