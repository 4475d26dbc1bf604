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
