package dispatch

import (
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/limit"
)

// maxSendDelay is the time within which a retry usually reaches its endpoint after it was
// allowed. Retries count for this time beyond the window of a budget.
const maxSendDelay = 500 * time.Millisecond

// usableBudgetShare is the part of the budget that is used. The windows of the
// entries start at different times, and a request may reach its entry in a later
// window than the one in which its caller sent it.
const usableBudgetShare = 0.7

// RetryBudget bounds the sends beyond the first of each request to a service, over
// all entries: a ratio of the requests of a window plus a slack. Each entry applies
// the ratio to its own requests and uses its part of the slack, so that entries
// need not coordinate. It is safe for concurrent use.
type RetryBudget struct {
	rules RetryRules

	mu       sync.Mutex
	requests *limit.Window
	retries  *limit.Window
}

// RetryRules are the limits of a RetryBudget.
type RetryRules struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// RetryUsage is the state of a RetryBudget.
type RetryUsage struct {
	// Spent is the number of retries that count, and Allowed the number that may count.
	Spent, Allowed int
	// Entries is the number of entries that the slack is divided by, 0 if it is not used.
	Entries int
}

// Left returns the number of retries that may be sent.
func (u RetryUsage) Left() int { return u.Allowed - u.Spent }

// NewRetryBudget returns an unspent budget.
func NewRetryBudget(r RetryRules) *RetryBudget {
	return &RetryBudget{rules: r, requests: limit.NewWindow(r.Window), retries: limit.NewWindow(r.Window + maxSendDelay)}
}

// CountRequest counts a request of a caller.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.Add(now, 1)
}

// Usage returns the state of the budget if the slack is divided by a number of entries.
// With 0 entries, none of the slack is used; see SlackShare.
func (b *RetryBudget) Usage(now time.Time, entries int) RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(now, entries)
}

func (b *RetryBudget) usage(now time.Time, entries int) RetryUsage {
	allowed := b.rules.Ratio * float64(b.requests.Sum(now))
	if entries > 0 {
		allowed += b.rules.Slack / float64(entries)
	}
	return RetryUsage{Spent: b.retries.Sum(now), Allowed: int(usableBudgetShare * allowed), Entries: entries}
}

// Left returns the number of retries that may be sent; see Usage.
func (b *RetryBudget) Left(now time.Time, entries int) int { return b.Usage(now, entries).Left() }

// Take spends one retry if the budget has one left.
func (b *RetryBudget) Take(now time.Time, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.usage(now, entries).Left() < 1 {
		return false
	}
	b.retries.Add(now, 1)
	return true
}

// RecordSent counts a retry again if it is sent long after it was taken, since it may
// reach its endpoint in a window in which the first count has expired. Only a process that
// is frozen waits longer than a window; it is out of contact then, and has no slack left.
func (b *RetryBudget) RecordSent(now, taken time.Time) {
	if now.Sub(taken) < maxSendDelay {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.Add(now, 1)
}
