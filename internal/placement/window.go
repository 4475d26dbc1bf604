package placement

import "time"

// sample is what was seen of a model at one moment.
type sample struct {
	at   time.Time
	lack int // replicas missing; negative where there are more than needed
	keep int
	tier int
}

// window holds the samples of one model over the hold time.
type window struct {
	samples []sample
	// first is when the model was first seen; until the hold time has passed
	// since then nothing is decided.
	first time.Time
	last  time.Time
}

// add appends a sample and drops those that are older than the hold time but
// for the newest of them, which says how things stood when the hold time began.
// After a gap as long as the hold time, observation starts anew.
func (w *window) add(s sample, hold time.Duration) {
	if w.first.IsZero() || s.at.Sub(w.last) >= hold {
		w.first, w.samples = s.at, nil
	}
	w.last = s.at
	w.samples = append(w.samples, s)
	begin := s.at.Add(-hold)
	drop := 0
	for drop+1 < len(w.samples) && !w.samples[drop+1].at.After(begin) {
		drop++
	}
	w.samples = w.samples[drop:]
}

// full reports whether the model was observed for the hold time.
func (w *window) full(hold time.Duration) bool { return w.last.Sub(w.first) >= hold }

// lack returns the replicas that were missing all the time.
func (w *window) lack() int {
	least := w.samples[0].lack
	for _, s := range w.samples {
		least = min(least, s.lack)
	}
	return least
}

// keep returns the most replicas that demand asked to keep at any time.
func (w *window) keep() int {
	most := 0
	for _, s := range w.samples {
		most = max(most, s.keep)
	}
	return most
}

// tier returns the highest tier with demand at any time.
func (w *window) tier() int {
	highest := noTier
	for _, s := range w.samples {
		highest = min(highest, s.tier)
	}
	return highest
}
