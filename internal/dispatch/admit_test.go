package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAdmit guards against starting a request that would be cut at its deadline,
// against refusing a request that would be late but complete while the service is
// not overloaded, and against sending late requests while it is.
func TestAdmit(t *testing.T) {
	d := Demand{Objective: 600 * time.Millisecond, Arrived: at(0), Deadline: at(5000)}
	late := Choice{PredictedTotal: 4 * time.Second, Lateness: time.Second, Late: true}
	overload := late
	overload.Overload = true
	for _, c := range []struct {
		name   string
		at     int
		choice Choice
		want   Decision
	}{
		{"timely", 0, Choice{PredictedTotal: 500 * time.Millisecond}, Send},
		{"late", 0, late, Send},
		{"cut at the deadline", 0, Choice{PredictedTotal: 6 * time.Second}, Refuse},
		{"timely in overload", 0, Choice{PredictedTotal: time.Second, Lateness: -time.Millisecond, Overload: true}, Send},
		{"late in overload", 0, overload, Wait},
		{"late in overload after an eighth of the objective", 75, overload, Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			qt.Assert(t, Admit(at(c.at), d, c.choice), qt.Equals, c.want)
		})
	}
}

// TestRetryAfter guards against callers that are asked to retry all at once or
// after their own deadline, and against retries that come too late although an
// earlier one could be timely.
func TestRetryAfter(t *testing.T) {
	const objective = 600 * time.Millisecond
	for _, lateness := range []time.Duration{-time.Second, 0, time.Second, time.Minute} {
		low, high := RetryAfter(objective, lateness, 0), RetryAfter(objective, lateness, 0.999)
		qt.Check(t, high > low, qt.IsTrue)
		qt.Check(t, low >= minRetryAfter/2 && high <= 2*maxRetryAfter, qt.IsTrue)
	}
	qt.Check(t, RetryAfter(objective, objective/2, 0.999) < objective/2, qt.IsTrue)
}

// TestRetryBudgetHoldsOverAllEntries guards against entries that together exceed
// the retry budget: the ratio of the requests of any window plus the slack.
func TestRetryBudgetHoldsOverAllEntries(t *testing.T) {
	const entries, perSecond = 8, 15
	rules := RetryRules{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}
	var budgets []*RetryBudget
	for range entries {
		budgets = append(budgets, NewRetryBudget(rules))
	}
	var sends, requests []int // per interval of 100 ms
	for tick := range 400 {
		now, s, r := at(tick*100), 0, 0
		for _, b := range budgets {
			if tick%10 < perSecond*10/10 {
				b.CountRequest(now)
				r++
			}
			for b.Take(now, entries) {
				s++
			}
		}
		sends, requests = append(sends, s), append(requests, r)
	}
	for end := 100; end <= len(sends); end++ {
		spent, asked := 0, 0
		for i := end - 100; i < end; i++ {
			spent += sends[i]
			asked += requests[i]
		}
		qt.Assert(t, float64(spent) <= rules.Ratio*float64(asked)+rules.Slack, qt.IsTrue, qt.Commentf("window to %d: %d repeats of %d", end, spent, asked))
	}
}
