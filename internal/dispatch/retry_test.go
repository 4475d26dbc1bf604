package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const budgetTestWindow = 10 * time.Second

// TestDelayedRetryReachesLaterWindow guards against retries that wait before they are sent,
// and arrive together with those of the next window.
func TestDelayedRetryReachesLaterWindow(t *testing.T) {
	rules := RetryRules{Window: budgetTestWindow, Slack: 100}
	for _, delay := range []time.Duration{0, maxSendDelay / 2, maxSendDelay, 2 * time.Second, 8 * time.Second, budgetTestWindow} {
		b := NewRetryBudget(rules)
		var arrivals []time.Time
		for b.Take(at(0), 1) {
			arrivals = append(arrivals, at(0).Add(delay))
		}
		qt.Assert(t, arrivals, qt.HasLen, int(usableBudgetShare*rules.Slack))
		for ms := 0; ms < 40_000; ms += 100 {
			if at(ms).Equal(at(0).Add(delay)) {
				for range int(usableBudgetShare * rules.Slack) {
					b.RecordSent(at(ms), at(0))
				}
			}
			for b.Take(at(ms), 1) {
				arrivals = append(arrivals, at(ms))
			}
		}
		for _, from := range arrivals {
			n := 0
			for _, a := range arrivals {
				if !a.Before(from) && a.Before(from.Add(rules.Window)) {
					n++
				}
			}
			qt.Assert(t, float64(n) <= rules.Slack, qt.IsTrue, qt.Commentf("delay %v: %d arrive in a window, %v may", delay, n, rules.Slack))
		}
	}
}
