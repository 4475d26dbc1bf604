package router

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/routing"
)

// TestRank guards against an urgent request being preempted by a less urgent
// one: the customer's priority ranks before the route's, and late work never
// gets the rank of a less urgent route.
func TestRank(t *testing.T) {
	priority := func(n int) *routing.Customer { return &routing.Customer{Priority: &n} }
	for _, c := range []struct {
		name             string
		customer         *routing.Customer
		route            int
		timely, late     int
		nextPriorityUsed bool
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
			q.lateRankFree = !c.nextPriorityUsed && c.route+1 < routePriorityLevels
			q.demand.Rank = q.rank()
			qt.Check(t, q.attemptRank(&dispatch.Choice{}), qt.Equals, c.timely)
			qt.Check(t, q.attemptRank(&dispatch.Choice{Late: true}), qt.Equals, c.late)
		})
	}
}

// TestLateRankAvailability guards Index.UsesPriority, which keeps late work
// from taking the rank of another route of the same service.
func TestLateRankAvailability(t *testing.T) {
	table := table()
	table.Routes[3].Priority = 1 // plan; chat has 0
	index := routing.NewIndex(table)
	qt.Check(t, index.UsesPriority("s", 1), qt.IsTrue)
	qt.Check(t, index.UsesPriority("s", 2), qt.IsFalse)
}
