package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBlockedEndpointGetsNoRequests guards against requests that are sent to an endpoint
// whose limit allows none at present, at engines and at plain endpoints.
func TestBlockedEndpointGetsNoRequests(t *testing.T) {
	limit := 2.0
	plain := NewBalancer("a", nil, rand.New(rand.NewPCG(1, 2)))
	plain.SetEndpoints(engines(4), 1)
	for _, c := range []struct {
		name string
		b    *Balancer
	}{{"engines", newEngines(4, 1)}, {"plain endpoints", plain}} {
		t.Run(c.name, func(t *testing.T) {
			b := c.b
			blocked := make(map[string]bool)
			for i := range 40 {
				choice, ok := b.Choose(at(i), longRequest("hot", at(i)), nil)
				if !ok {
					qt.Check(t, blocked, qt.HasLen, 4)
					qt.Check(t, choice.BlockedFor > 0 && choice.BlockedFor <= time.Second, qt.IsTrue)
					qt.Check(t, AdmitBlocked(at(i), longRequest("hot", at(i))), qt.Equals, Wait)
					break
				}
				qt.Assert(t, blocked[choice.Endpoint.ID], qt.IsFalse)
				b.RecordLimit(at(i), &choice, &limit)
				b.RecordBlocked(at(i), &choice, time.Second)
				blocked[choice.Endpoint.ID] = true
			}
			qt.Check(t, blocked, qt.HasLen, 4)
			_, ok := b.Choose(at(1100), longRequest("hot", at(1100)), nil)
			qt.Check(t, ok, qt.IsTrue)
			avoid := longRequest("hot", at(1100))
			avoid.AvoidLimited = true
			_, ok = b.Choose(at(1100), avoid, nil)
			qt.Check(t, ok, qt.IsFalse)
		})
	}
}

// TestLimitEnds guards against a limit that ends because a response overtook another one,
// and against one that never ends.
func TestLimitEnds(t *testing.T) {
	b, limit := newEngines(1, 1), 2.0
	early, late := chooseAndSend(t, b, at(0), longRequest("a", at(0))), chooseAndSend(t, b, at(200), longRequest("b", at(200)))
	_, changed := b.RecordLimit(at(100), &early, &limit)
	qt.Check(t, changed, qt.IsTrue)
	_, changed = b.RecordLimit(at(150), &early, nil)
	qt.Check(t, changed, qt.IsFalse)
	_, changed = b.RecordLimit(at(300), &late, nil)
	qt.Check(t, changed, qt.IsTrue)
	// A report of others that is older does not bring it back.
	b.MergeLimits(func(string, int64) Limit { return Limit{PerSecond: 2, At: at(250)} })
	c, _ := b.Choose(at(400), longRequest("c", at(400)), nil)
	qt.Check(t, c.Limit.PerSecond, qt.Equals, 0.0)
}

// TestSharedPartsPreferEndpointsByCapacity guards against shared prompt parts that are
// prefilled again and again because the endpoint that they prefer has a limit: endpoints
// with limits are preferred by fewer of them.
func TestSharedPartsPreferEndpointsByCapacity(t *testing.T) {
	const engines, limited, parts = 10, 6, 2000
	b := newEngines(engines, 1)
	id := func(i int) string { return fmt.Sprintf("e%02d", i) }
	b.MergeLimits(func(e string, _ int64) Limit {
		for i := range limited {
			if e == id(i) {
				return Limit{PerSecond: 1, At: at(0)}
			}
		}
		return Limit{}
	})
	for i := range 200 { // 20 requests a second for 10 s.
		b.longArrivals.add(at(50 * i))
	}
	pool := b.poolOrder
	b.shareCapacity(at(10_000), pool)
	preferred := make(map[string]int)
	for i := range parts {
		e := preferredEndpoints(pool, []Part{{ID: fmt.Sprint("p", i)}, {ID: "own"}})
		preferred[e[0].ID]++
	}
	// An endpoint without a limit gets (20 - 6) / 4 = 3.5 requests a second, and those with
	// a limit get one.
	perSecond := float64(parts) / 20
	for i := range engines {
		want := 3.5 * perSecond
		if i < limited {
			want = perSecond
		}
		got := float64(preferred[id(i)])
		qt.Check(t, got > want*0.7 && got < want*1.4, qt.IsTrue, qt.Commentf("%s is preferred by %.0f parts, not about %.0f", id(i), got, want))
	}
	// Short prompts run at the endpoints without limits.
	for _, s := range pool[:engines-limited] {
		qt.Check(t, s.limit.PerSecond, qt.Equals, 0.0)
	}
}

// TestEvenRate shows how a demand is spread over endpoints of which some have limits.
func TestEvenRate(t *testing.T) {
	for _, c := range []struct {
		name      string
		demand    float64
		limits    []float64
		unlimited int
		want      float64
	}{
		{"limits above the even rate", 10, []float64{4, 3}, 3, 2},
		{"some below", 12, []float64{1, 6, 1}, 1, 5},
		{"all below", 20, []float64{1, 2}, 2, 8.5},
		{"no endpoint without a limit", 20, []float64{3, 1, 2}, 0, 3},
		{"no demand", 0, []float64{1}, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			qt.Check(t, evenRate(c.demand, c.limits, c.unlimited), qt.Equals, c.want)
		})
	}
}
