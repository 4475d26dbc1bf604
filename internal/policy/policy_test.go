package policy

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCoreMeetsGoals guards against a change of the core that reduces goodput, starves
// a class or grants out of tier order. It runs the scenarios that are hardest for the
// core. The bounds are the goals of section 1.4 of the design.
func TestCoreMeetsGoals(t *testing.T) {
	for _, svc := range []*service{services[0], services[2]} {
		for _, index := range []int{2, 4, 7} { // 1.5 times capacity, burst, slow engine
			t.Run(fmt.Sprint(svc.name, " ", scenarios[index].name), func(t *testing.T) {
				c := qt.New(t)
				core, oracleResult := run(svc, scenarios[index], "core", 1), run(svc, scenarios[index], "oracle", 1)
				c.Assert(core.tierViolations, qt.Equals, 0)
				c.Assert(core.Goodput >= 0.95*oracleResult.Goodput, qt.IsTrue, qt.Commentf("%g of %g", core.Goodput, oracleResult.Goodput))
				c.Assert(core.Wasted < 0.01, qt.IsTrue)
				for _, class := range core.Classes {
					c.Assert(class.Unserved < 60, qt.IsTrue, qt.Commentf("%+v", class))
				}
			})
		}
	}
}

// TestSameSeedSameResult guards against results that cannot be reproduced from a seed.
func TestSameSeedSameResult(t *testing.T) {
	c := qt.New(t)
	for _, sc := range scenarios[len(scenarios)-3:] { // engine crash, late load reports, scheduler loss
		a, b := run(services[1], sc, "core", 3), run(services[1], sc, "core", 3)
		c.Assert(fmt.Sprint(a), qt.Equals, fmt.Sprint(b))
	}
}

// TestFloodOfLargeCustomer guards against a flood of a large customer that reduces the
// requests of a small customer that are served in time. Fair queueing prevents this
// within a class (the small customer keeps 95%, see section 1.4 of the design). For
// lower classes the limit of the large customer prevents it.
func TestFloodOfLargeCustomer(t *testing.T) {
	for _, svc := range []*service{services[1], services[2]} {
		for _, flooded := range svc.classes {
			t.Run(svc.name+" "+flooded.name, func(t *testing.T) {
				c := qt.New(t)
				sc := scenario{loadFactor: 0.7, floodClass: flooded.index}
				quiet := run(svc, sc, "core", 1).SmallCustomer
				sc.floodFactor = 2
				unlimited := run(svc, sc, "core", 1).SmallCustomer
				sc.limited = true
				limited := run(svc, sc, "core", 1).SmallCustomer
				t.Logf("quiet %v, flood %v, flood of a limited customer %v", quiet, unlimited, limited)
				for i, quietResult := range quiet {
					c.Assert(quietResult.Arrived >= 10, qt.IsTrue)
					c.Assert(limited[i].InTime >= quietResult.InTime, qt.IsTrue, qt.Commentf("%v", limited))
				}
				classIndex := flooded.index
				c.Assert(float64(unlimited[classIndex].InTime) >= 0.95*float64(quiet[classIndex].InTime), qt.IsTrue, qt.Commentf("%v", unlimited))
			})
		}
	}
}
