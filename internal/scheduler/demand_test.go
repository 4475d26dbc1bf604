package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDemand guards against demand that is missing from the report to model
// placement.
func TestDemand(t *testing.T) {
	c := qt.New(t)
	b := newBench(Config{Group: "g", Epoch: 1}, Policy{}, engine("a", 1))
	b.enqueueNow(request("r1", 0))
	b.enqueueNow(request("r2", 1))
	b.Adopt(b.now, "e2", []HeldGrant{{GrantID: "old", RequestID: "r0", Endpoint: "a", Class: "class0"}})
	d := b.Demand(b.now)
	c.Check(d.Models, qt.DeepEquals, []ModelDemand{
		{Model: "", Tier: 0, InFlight: 1}, {Model: "m", Tier: 0, InFlight: 1}, {Model: "m", Tier: 1, Waiting: 1},
	})
	c.Check(d.InFlight, qt.DeepEquals, map[string]map[string]int{"a": {"m": 1, "": 1}})
	for id := range b.grants {
		b.Release(b.now, id, Outcome{Tokens: 100, Duration: time.Second})
	}
	b.runFor(announceGrace + time.Second)
	missing := request("r3", 2)
	missing.Model = "n"
	b.enqueueNow(missing)
	d = b.Demand(b.now)
	c.Assert(d.Models, qt.HasLen, 3)
	c.Check(d.Models[0].TokensPerSecond > 0, qt.IsTrue)
	c.Check(d.Models[2].Model, qt.Equals, "n")
	c.Check(d.Models[2].RefusedPerSecond > 0, qt.IsTrue)
	b.runFor(10 * time.Minute)
	c.Check(b.models, qt.HasLen, 2, qt.Commentf("decayed rates stay until the next call of Demand"))
	b.Demand(b.now)
	c.Check(b.models, qt.HasLen, 0)
}

// TestWithhold guards against a new request for a model that is about to be
// unloaded, and against an endpoint that gets no requests for the model after
// the last call of Withhold has expired.
func TestWithhold(t *testing.T) {
	c := qt.New(t)
	a := engine("a", 1)
	a.Models = []string{"m", "n"}
	b := newBench(Config{Group: "g", Epoch: 1}, Policy{}, a)
	b.Withhold(b.now, "a", "m", time.Hour)
	b.Withhold(b.now, "unknown", "m", time.Hour)
	c.Check(b.enqueueNow(request("r1", 0)), qt.HasLen, 0)
	other := request("r2", 0)
	other.Model = "n"
	c.Check(b.enqueueNow(other), qt.HasLen, 1)
	for id := range b.grants {
		b.Release(b.now, id, Outcome{Duration: time.Second})
	}
	c.Check(b.grants, qt.HasLen, 0)
	b.runFor(MaxWithhold + time.Second)
	c.Check(b.grants, qt.HasLen, 1)
}
