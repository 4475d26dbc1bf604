package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLeavingEndpointIsRemembered guards against an endpoint that gets requests again after
// it was missing from the list for a while, and against one that gets none after it has
// started again.
func TestLeavingEndpointIsRemembered(t *testing.T) {
	b := NewBalancer("", nil, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	first := []Endpoint{{ID: "e1", Incarnation: 1, Slots: 4}}
	d := Demand{Objective: time.Second, Arrived: now}
	b.SetEndpoints(first, 1)
	c, ok := b.Choose(now, d, nil)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, b.RecordLeaving(now, &c), qt.IsTrue)
	qt.Check(t, b.RecordLeaving(now, &c), qt.IsFalse)
	for _, list := range [][]Endpoint{first, nil, first} {
		b.SetEndpoints(list, 1)
		_, ok = b.Choose(now, d, nil)
		qt.Check(t, ok, qt.IsFalse)
		qt.Check(t, b.Available(now), qt.Equals, 0)
	}
	b.SetEndpoints([]Endpoint{{ID: "e1", Incarnation: 2, Slots: 4}}, 1)
	_, ok = b.Choose(now, d, nil)
	qt.Check(t, ok, qt.IsTrue)
}

// TestNoticesAreBounded guards against memory that grows with each endpoint that ever left,
// and against listed endpoints that are forgotten for others.
func TestNoticesAreBounded(t *testing.T) {
	b := NewBalancer("", nil, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	listed := Endpoint{ID: "listed", Incarnation: 1, Slots: 4}
	b.SetEndpoints([]Endpoint{listed}, 1)
	b.RecordLeaving(now, &Choice{Endpoint: listed})
	for i := range 3 * maxNotices {
		b.RecordLeaving(now, &Choice{Endpoint: Endpoint{ID: fmt.Sprint("gone-", i), Incarnation: 1}})
		qt.Assert(t, len(b.notices) <= maxNotices, qt.IsTrue)
	}
	b.SetEndpoints([]Endpoint{listed}, 1)
	qt.Check(t, b.Available(now), qt.Equals, 0)
}

// TestPausedEndpointIsLeftOut guards against requests, at plain services and at engines, to
// an endpoint that has asked for a pause, against an ejection for it, and against a pause
// that ends early or never.
func TestPausedEndpointIsLeftOut(t *testing.T) {
	for name, memory := range map[string]*Memory{"plain": nil, "engines": {Tokens: testMemory, FetchTokensPerMs: testFetchPerMs}} {
		t.Run(name, func(t *testing.T) {
			b := NewBalancer("", memory, rand.New(rand.NewPCG(1, 1)))
			start := time.Unix(1000, 0)
			both := []Endpoint{{ID: "e1", Incarnation: 1, Slots: 4}, {ID: "e2", Incarnation: 1, Slots: 4}}
			b.SetEndpoints(both, 1)
			demand := func(now time.Time) Demand {
				return Demand{Prompt: Prompt{Tokens: 900, Parts: []Part{{"a", 800}, {"b", 100}}}, Objective: time.Second, Arrived: now, Deadline: now.Add(time.Minute)}
			}
			pause := func(now time.Time, e Endpoint, length time.Duration) {
				c := &Choice{Endpoint: e}
				b.RecordSent(now, c, demand(now))
				b.RecordPause(now, c, length)
				b.RecordOutcome(now, c, Paused)
			}
			for range 20 { // Far more than the failures that eject an endpoint.
				pause(start, both[0], 2*time.Second)
			}
			b.SetEndpoints(both[1:], 1)
			b.SetEndpoints(both, 1) // The list lacked the endpoint for a while.
			for ms := 0; ms < 2000; ms += 50 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				c, ok := b.Choose(now, demand(now), nil)
				qt.Assert(t, ok, qt.IsTrue)
				qt.Assert(t, c.Endpoint.ID, qt.Equals, "e2", qt.Commentf("after %d ms", ms))
			}
			pause(start, both[1], time.Hour)
			c, ok := b.Choose(start, demand(start), nil)
			qt.Check(t, ok, qt.IsFalse)
			qt.Check(t, c.Paused && c.BlockedFor >= 2*time.Second && c.BlockedFor <= 2*time.Second+maxPauseJitter, qt.IsTrue, qt.Commentf("%v", c.BlockedFor))

			ended := start.Add(2*time.Second + maxPauseJitter)
			c, ok = b.Choose(ended, demand(ended), nil)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, c.Endpoint.ID, qt.Equals, "e1")
			ended = start.Add(maxPause + maxPauseJitter)
			_, ok = b.Choose(ended, demand(ended), []string{"e1"})
			qt.Check(t, ok, qt.IsTrue) // The hour is bounded.
		})
	}
}
