package entryweight

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// callerWindow is the time over which callers are counted. A caller asks every 2 to 6 s,
	// at any member, so that a member hears of most callers within two windows.
	callerWindow = 10 * time.Second
	// maxCallers bounds the callers that are counted in a window, at about 100 bytes each. The
	// shares of the failure domains follow from a sample of them as well.
	maxCallers = 8192
	// shareInterval is the time between two computations of the shares.
	shareInterval = time.Second
	// assumedCallers is the number of callers, spread evenly over the domains, that are added to
	// those seen, so that the first few callers after the start of a member say little.
	assumedCallers = 5
	// minShareChange is the relative change of a share from which on it is used.
	minShareChange = 0.05
)

// Weights chooses the addresses that one member gives to callers. It counts the callers of
// each failure domain and keeps the plan. It is not safe for concurrent use.
type Weights struct {
	entries []Entry
	plan    *Plan
	// shares are the parts of the callers in each domain, as of sharesAt.
	shares   map[string]float64
	sharesAt time.Time
	// callers and formerCallers hold the domains of the callers of the window that began at
	// windowStart and of the one before.
	callers, formerCallers map[string]string
	windowStart            time.Time
}

// Update sets the entries that accept callers, and reports whether lists have become weighted
// or unweighted by it.
func (w *Weights) Update(now time.Time, entries []Entry) (changed bool) {
	sharesChanged := false
	if w.plan != nil && now.Sub(w.sharesAt) >= shareInterval {
		sharesChanged = w.updateShares(now)
	}
	if !sharesChanged && slices.Equal(entries, w.entries) {
		return false
	}
	weighted := w.plan != nil
	w.entries, w.plan = slices.Clone(entries), NewPlan(entries, w.shares)
	return weighted != (w.plan != nil)
}

// Weighted reports whether the entries differ, so that callers get lists by weight.
func (w *Weights) Weighted() bool { return w.plan != nil }

// Own returns the part of the lists of callers in each failure domain that is in that domain.
func (w *Weights) Own() map[string]float64 {
	if w.plan == nil {
		return nil
	}
	return maps.Clone(w.plan.own)
}

// Addresses returns the addresses for a caller in a failure domain. Weighted must be true.
func (w *Weights) Addresses(now time.Time, caller, domain string) []string {
	w.count(now, caller, domain)
	return w.plan.Addresses(caller, domain)
}

// count records that a caller asked for its list.
func (w *Weights) count(now time.Time, caller, domain string) {
	if age := now.Sub(w.windowStart); age >= callerWindow {
		w.formerCallers, w.callers, w.windowStart = w.callers, make(map[string]string), now
		if age >= 2*callerWindow {
			w.formerCallers = nil
		}
	}
	if _, known := w.plan.own[domain]; !known {
		return
	}
	if _, known := w.callers[caller]; known || len(w.callers) < maxCallers {
		w.callers[caller] = domain
	}
}

// updateShares computes the shares and reports whether one has changed enough to be used.
func (w *Weights) updateShares(now time.Time) (changed bool) {
	w.sharesAt = now
	counts, total := make(map[string]float64), 0.0
	for _, domain := range w.callers {
		counts[domain]++
		total++
	}
	for caller, domain := range w.formerCallers {
		if _, counted := w.callers[caller]; !counted {
			counts[domain]++
			total++
		}
	}
	next := make(map[string]float64, len(w.plan.own))
	for domain := range w.plan.own {
		next[domain] = (counts[domain] + assumedCallers/float64(len(w.plan.own))) / (total + assumedCallers)
		former, known := w.shares[domain]
		changed = changed || !known || math.Abs(next[domain]-former) > minShareChange*former
	}
	if changed {
		w.shares = next
	}
	return changed
}
