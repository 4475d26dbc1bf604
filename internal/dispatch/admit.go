package dispatch

import (
	"time"

	"auburnstep.example/auburnstep/internal/limit"
)

const (
	// minReturn and maxReturn bound the time after which a caller is told to come
	// back: sooner is a retry storm, later is past most objectives.
	minReturn = 150 * time.Millisecond
	maxReturn = 1500 * time.Millisecond
	// spreadReturn is the share by which return times are drawn apart, so that
	// requests refused together do not come back together.
	spreadReturn = 0.5
)

// Admit reports whether a request is worth sending. It turns one away only if
// its whole answer cannot be expected before its caller gives up; a late answer
// is worth more to a caller than none. It answers bursts above capacity: work
// that would be cut at its deadline takes the place of work that could end.
func Admit(now time.Time, d Demand, c Choice) bool { return !now.Add(c.Whole).After(d.Deadline) }

// ReturnAfter returns when a caller is to come back, given how far the endpoints
// are behind its objective. random is in [0, 1).
func ReturnAfter(behind time.Duration, random float64) time.Duration {
	base := min(maxReturn, max(minReturn, behind))
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
