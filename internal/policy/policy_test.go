package policy

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a change of the core that costs attainment, starves a class or
// grants out of tier order, in the situations that are hardest on it. The bounds
// are the goals of section 1.4 of the design.
func TestGoals(t *testing.T) {
	for _, sv := range []*service{services[0], services[2]} {
		for _, at := range []int{2, 4, 7} { // 1.5 times capacity, burst, slow engine
			t.Run(fmt.Sprint(sv.name, " ", scenarios[at].name), func(t *testing.T) {
				c := qt.New(t)
				core, best := run(sv, scenarios[at], "core", 1), run(sv, scenarios[at], "oracle", 1)
				c.Assert(core.violations, qt.Equals, 0)
				c.Assert(core.Goodput >= 0.95*best.Goodput, qt.IsTrue, qt.Commentf("%g of %g", core.Goodput, best.Goodput))
				c.Assert(core.Wasted < 0.01, qt.IsTrue)
				for _, class := range core.Classes {
					c.Assert(class.Unserved < 60, qt.IsTrue, qt.Commentf("%+v", class))
				}
			})
		}
	}
}

// Guards against tables that can not be reproduced.
func TestSameSeedSameResult(t *testing.T) {
	c := qt.New(t)
	for _, sc := range scenarios[len(scenarios)-3:] { // crash, late reports, takeover
		a, b := run(services[1], sc, "core", 3), run(services[1], sc, "core", 3)
		c.Assert(fmt.Sprint(a), qt.Equals, fmt.Sprint(b))
	}
}

// Guards against a large customer whose flood takes the service of a small one:
// within a class the fair order prevents it (to the 95% of section 1.4 of the
// design), and for lower classes the limit of the large customer does.
func TestFloodOfLargeCustomer(t *testing.T) {
	for _, sv := range []*service{services[1], services[2]} {
		for _, flooded := range sv.classes {
			t.Run(sv.name+" "+flooded.name, func(t *testing.T) {
				c := qt.New(t)
				sc := scenario{load: 0.7, floodClass: flooded.index}
				quiet := run(sv, sc, "core", 1).Small
				sc.flood = 2
				unlimited := run(sv, sc, "core", 1).Small
				sc.limited = true
				limited := run(sv, sc, "core", 1).Small
				t.Logf("quiet %v, flood %v, flood of a limited customer %v", quiet, unlimited, limited)
				for i, q := range quiet {
					c.Assert(q.Arrived >= 10, qt.IsTrue)
					c.Assert(limited[i].InTime >= q.InTime, qt.IsTrue, qt.Commentf("%v", limited))
				}
				k := flooded.index
				c.Assert(float64(unlimited[k].InTime) >= 0.95*float64(quiet[k].InTime), qt.IsTrue, qt.Commentf("%v", unlimited))
			})
		}
	}
}
