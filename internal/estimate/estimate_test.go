package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func near(c *qt.C, got, want, tolerance float64) {
	c.Helper()
	c.Assert(math.Abs(got-want) <= tolerance*want, qt.IsTrue, qt.Commentf("got %g, want %g", got, want))
}

// addValues adds n log-normal values with the given median at intervals of 1 s.
func addValues(e *Estimator, r *rand.Rand, now *time.Time, customer, class string, median float64, n int) {
	for range n {
		*now = now.Add(time.Second)
		e.Add(*now, customer, class, median*math.Exp(0.3*r.NormFloat64()))
	}
}

// TestFallback guards against estimates that ignore a more specific sketch. The order
// is customer and class, then class, then service, then prior.
func TestFallback(t *testing.T) {
	c := qt.New(t)
	e, r, now := New(1, 200), rand.New(rand.NewPCG(1, 1)), start
	c.Assert(e.Mean("k", "note"), qt.Equals, 200.0)
	addValues(e, r, &now, "other", "chat", 50, 40)
	near(c, e.Quantile("k", "note", 0.5), 50, 0.2)
	addValues(e, r, &now, "third", "note", 800, 20)
	near(c, e.Quantile("k", "note", 0.5), 800, 0.2)
	addValues(e, r, &now, "k", "note", 1600, 20)
	near(c, e.Quantile("k", "note", 0.5), 1600, 0.2)
	near(c, e.Mean("k", "note"), 1600*math.Exp(0.045), 0.2)
	near(c, e.Quantile("k", "note", 0.9)/e.Quantile("k", "note", 0.5), math.Exp(0.3*1.28), 0.25)
}

// TestRecoversAfterShift guards against estimates that stay at the old value after a
// shift.
func TestRecoversAfterShift(t *testing.T) {
	for _, test := range []struct{ from, to float64 }{{100, 1000}, {1000, 100}} {
		t.Run(fmt.Sprint(test.from, " to ", test.to), func(t *testing.T) {
			c := qt.New(t)
			e, r, now := New(1, 200), rand.New(rand.NewPCG(2, 2)), start
			addValues(e, r, &now, "k", "note", test.from, 1000)
			near(c, e.Quantile("k", "note", 0.5), test.from, 0.2)
			addValues(e, r, &now, "k", "note", test.to, 2*decaySamples)
			near(c, e.Quantile("k", "note", 0.5), test.to, 0.2)
		})
	}
}

// TestFloodIsContained guards against a flood of values from one customer that
// changes the estimates of other customers.
func TestFloodIsContained(t *testing.T) {
	c := qt.New(t)
	e, r, now := New(1, 200), rand.New(rand.NewPCG(3, 3)), start
	for i := range 6 {
		addValues(e, r, &now, fmt.Sprint("k", i), "note", 300, 20)
	}
	own := e.Quantile("k1", "note", 0.5)
	fresh := e.Quantile("unknown", "note", 0.5)
	addValues(e, r, &now, "flood", "note", 5000, 20_000)
	c.Assert(e.Quantile("k1", "note", 0.5), qt.Equals, own)
	c.Assert(e.Quantile("unknown", "note", 0.5) < 1.5*fresh, qt.IsTrue)
	near(c, e.Quantile("flood", "note", 0.5), 5000, 0.2)
}

// TestCustomersAreBounded guards against memory use that grows with the number of
// customers ever seen.
func TestCustomersAreBounded(t *testing.T) {
	c := qt.New(t)
	e := New(1, 200)
	e.customerLimit = 10
	for i := range 100 {
		e.Add(start, fmt.Sprint(i), "note", 100)
	}
	c.Assert(e.Customers(), qt.Equals, 10)
}

// TestPace guards against a slow endpoint that is not detected, and against one that
// counts as slow forever.
func TestPace(t *testing.T) {
	c := qt.New(t)
	var p Pace
	now := start
	c.Assert(p.Slowness(now), qt.Equals, 1.0)
	for range 20 {
		now = now.Add(time.Second)
		p.Add(now, 0.02, 0.02)
	}
	near(c, p.Slowness(now), 1, 0.01)
	for range 4 {
		now = now.Add(time.Second)
		p.Add(now, 0.1, 0.02)
	}
	c.Assert(p.Slowness(now) > 2.5, qt.IsTrue)
	near(c, p.Slowness(now.Add(3*time.Minute)), 1, 0.05)
}
