package placement

import "time"

// sample is the state of one model at one moment.
type sample struct {
	at      time.Time
	missing int // missing replicas; negative if there are more than needed
	keep    int
	tier    int
}

// window holds the samples of one model over the hold time.
type window struct {
	samples []sample
	// firstSeen is when the model was first observed. No decision is made about the
	// model until the hold time has passed since then.
	firstSeen time.Time
	lastSeen  time.Time
}

// add appends a sample and drops the samples from before the start of the hold
// time except for the newest of them, which describes the state at that start.
// After a gap as long as the hold time, it starts a new window.
func (w *window) add(s sample, hold time.Duration) {
	if w.firstSeen.IsZero() || s.at.Sub(w.lastSeen) >= hold {
		w.firstSeen, w.samples = s.at, nil
	}
	w.lastSeen = s.at
	w.samples = append(w.samples, s)
	windowStart := s.at.Add(-hold)
	drop := 0
	for drop+1 < len(w.samples) && !w.samples[drop+1].at.After(windowStart) {
		drop++
	}
	w.samples = w.samples[drop:]
}

// complete reports whether the model was observed for the entire hold time.
func (w *window) complete(hold time.Duration) bool { return w.lastSeen.Sub(w.firstSeen) >= hold }

// missing returns the number of replicas that were missing throughout the window.
func (w *window) missing() int {
	least := w.samples[0].missing
	for _, s := range w.samples {
		least = min(least, s.missing)
	}
	return least
}

// keep returns the highest number of replicas to keep in the window.
func (w *window) keep() int {
	most := 0
	for _, s := range w.samples {
		most = max(most, s.keep)
	}
	return most
}

// tier returns the highest tier that had demand in the window.
func (w *window) tier() int {
	highest := noTier
	for _, s := range w.samples {
		highest = min(highest, s.tier)
	}
	return highest
}
