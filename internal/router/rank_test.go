package router

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/routing"
)

// Guards against an urgent request that is preempted for a less urgent one: the
// customer's priority comes first, then the route's, and late work never gets
// the rank of a less urgent route.
func TestRank(t *testing.T) {
	priority := func(n int) *routing.Customer { return &routing.Customer{Priority: &n} }
	for _, c := range []struct {
		name           string
		customer       *routing.Customer
		route          int
		timely, late   int
		nextPriorities bool
	}{
		{"chat", priority(1), 0, 3, 3, true},
		{"plan", priority(1), 1, 4, 5, false},
		{"urgent customer", priority(0), 1, 1, 2, false},
		{"customer without priority", &routing.Customer{}, 1, 4, 5, false},
		{"no customer", nil, 0, 3, 3, true},
		{"last priority of a route", priority(1), 2, 5, 5, false},
		{"least urgent", priority(7), 7, 9, 9, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &request{route: &routing.Route{Priority: c.route}, customer: c.customer}
			q.lateRank = !c.nextPriorities && c.route+1 < routePriorities
			q.demand.Rank = q.rank()
			qt.Check(t, q.sendRank(&dispatch.Choice{}), qt.Equals, c.timely)
			qt.Check(t, q.sendRank(&dispatch.Choice{Late: true}), qt.Equals, c.late)
		})
	}
}

// Guards the rank of late work where another route of the service is the next in
// priority.
func TestLateRankIsFree(t *testing.T) {
	table := table()
	table.Routes[3].Priority = 1 // plan; chat has 0
	x := routing.NewIndex(table)
	qt.Check(t, x.UsesPriority("s", 1), qt.IsTrue)
	qt.Check(t, x.UsesPriority("s", 2), qt.IsFalse)
}
