package dispatch

import (
	"time"

	"auburnstep.example/auburnstep/internal/limit"
)

// Decision is what becomes of a request that was placed.
type Decision int

// Decisions of Admit.
const (
	// Send means that the request goes to the chosen endpoint.
	Send Decision = iota
	// Wait means that it stays at the entry and is placed again after WaitStep.
	Wait
	// Refuse means that it is turned away.
	Refuse
)

const (
	// WaitStep is the time after which a waiting request is placed again: several
	// requests of an entry end in it during a burst.
	WaitStep = 25 * time.Millisecond
	// waitShare is the part of its objective for which a request waits at its
	// entry. A caller that is told no after that can still come back in time.
	waitShare = 0.125
	// minReturn and maxReturn bound the time after which a caller is told to come
	// back: sooner is a retry storm, later is past most objectives.
	minReturn = 100 * time.Millisecond
	maxReturn = 1500 * time.Millisecond
	// returnShare is the part of its objective after which a caller comes back at
	// the latest, as long as it can be served in time then.
	returnShare = 1.0 / 3
	// spreadReturn is the share by which return times are drawn apart, so that
	// requests refused together do not come back together.
	spreadReturn = 0.5
)

// Admit decides whether a placed request is sent. It answers bursts above
// capacity: while the endpoints as a whole are behind, work that would be late is
// not queued, since it would make the work after it late as well. A request whose
// whole answer cannot be expected before its caller gives up is never sent.
func Admit(now time.Time, d Demand, c Choice) Decision {
	switch {
	case now.Add(c.Whole).After(d.Deadline):
		return Refuse
	case !c.Overload || c.Urgent || c.Behind <= 0:
		return Send
	case now.Sub(d.Arrived) < time.Duration(waitShare*float64(d.Objective)):
		return Wait
	}
	return Refuse
}

// ReturnAfter returns when a caller is to come back, given how far the endpoints
// are behind its objective: while its answer can still be timely, or else once
// they have caught up. random is in [0, 1).
func ReturnAfter(objective, behind time.Duration, random float64) time.Duration {
	latest := maxReturn
	if behind < objective {
		latest = time.Duration(returnShare * float64(objective))
	}
	base := max(minReturn, min(latest, behind))
	return time.Duration(float64(base) * (1 - spreadReturn/2 + spreadReturn*random))
}

// RetryBudget bounds the sends beyond the first of each request to a service
// over all entries: ratio of the requests of a window plus slack. Each entry
// keeps to its own requests and its part of the slack, so that no entry needs
// to ask another one.
type RetryBudget struct {
	rules    RetryRules
	requests *limit.Window
	repeats  *limit.Window
}

// RetryRules are the bounds of a RetryBudget.
type RetryRules struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// budgetShare is the part of the budget that is used: entries count their
// windows from other moments, and a request may reach its entry in another
// window than the one in which its caller sent it.
const budgetShare = 0.7

// NewRetryBudget returns a budget that nothing was spent of.
func NewRetryBudget(r RetryRules) *RetryBudget {
	return &RetryBudget{rules: r, requests: limit.NewWindow(r.Window), repeats: limit.NewWindow(r.Window)}
}

// Request counts a request of a caller.
func (b *RetryBudget) Request(now time.Time) { b.requests.Add(now, 1) }

// Left returns how many repeats may be sent, given the number of entries.
func (b *RetryBudget) Left(now time.Time, entries int) int {
	allowed := budgetShare * (b.rules.Ratio*float64(b.requests.Sum(now)) + b.rules.Slack/float64(max(1, entries)))
	return int(allowed) - b.repeats.Sum(now)
}

// Take spends one repeat if the budget has one left.
func (b *RetryBudget) Take(now time.Time, entries int) bool {
	if b.Left(now, entries) < 1 {
		return false
	}
	b.repeats.Add(now, 1)
	return true
}
