package dispatch

import (
	"sync"
	"time"
)

const (
	// MaxContactAge is the time since its last contact with a control member after which an
	// entry uses no slack. The members count it as a sender for as long.
	MaxContactAge = 5 * time.Second
	// entryLearnTime is the time after which an entry that is in contact with a member
	// knows of an entry that has polled it.
	entryLearnTime = 1500 * time.Millisecond
	// entryCountWindows is the number of windows for which the largest number of entries
	// counts at least. It keeps the parts of the slack small while members have restarted or
	// see a part of the entries.
	entryCountWindows = 6
)

// SlackShare tells by how many entries the slack of retry budgets is divided, and whether
// this entry may use its part. The parts of all entries that use the slack in a window must
// not exceed it, although entries restart with no memory of what they spent:
//
//   - An entry uses its part only after a whole window of unbroken contact with the members.
//     So all that use the slack in a window ran at its start, and at most one process of
//     each restarted entry does.
//   - It waits for MaxContactAge + entryLearnTime more. Within that time before the window
//     the members have counted all of them, and each of them has polled a member.
//   - It divides by the largest number of the last windows, so that a part of the slack does
//     not grow within a window in which more entries have used theirs.
//
// SlackShare is safe for concurrent use. Its times must include the time for which the
// machine was suspended.
type SlackShare struct {
	window time.Duration

	mu sync.Mutex
	// since is the start of the contact with members, and contact the last one.
	since, contact time.Time
	// largest and formerLargest are the largest numbers of entries of the period that began
	// at periodStart and of the one before it.
	largest, formerLargest int
	periodStart            time.Time
}

// NewSlackShare returns a SlackShare for budgets with the given window.
func NewSlackShare(window time.Duration) *SlackShare { return &SlackShare{window: window} }

// Observe records that a control member has answered a poll that was sent at a time, and the
// number of entries that members count. A poll that was sent before the last one counts for
// the number only.
func (s *SlackShare) Observe(polledAt time.Time, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largest = max(s.largest, entries)
	if polledAt.Before(s.contact) {
		return
	}
	if s.since.IsZero() || polledAt.Sub(s.contact) > MaxContactAge {
		s.since = polledAt
	}
	s.contact = polledAt
	if polledAt.Sub(s.periodStart) >= entryCountWindows*s.window {
		s.formerLargest, s.largest, s.periodStart = s.largest, entries, polledAt
	}
}

// Entries returns the number of entries by which the slack is divided, or 0 if this entry
// may not use its part now.
func (s *SlackShare) Entries(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() || now.Sub(s.contact) > MaxContactAge || now.Sub(s.since) <= s.window+MaxContactAge+entryLearnTime {
		return 0
	}
	return max(1, s.largest, s.formerLargest)
}

// Age returns for how long the contact with the members has lasted, 0 if there was none.
func (s *SlackShare) Age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}
