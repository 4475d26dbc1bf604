package limit

import "time"

// windowBuckets is the number of buckets of a Window; the oldest one counts
// whole, so that a sum covers up to one bucket more than the window.
const windowBuckets = 20

// Window counts events of the last span of time. The zero value is not usable.
type Window struct {
	bucket  time.Duration
	started int64 // number of the newest bucket
	counts  [windowBuckets + 1]int
}

// NewWindow returns an empty window over a span.
func NewWindow(span time.Duration) *Window { return &Window{bucket: span / windowBuckets} }

// Add counts n events at a time. Times must not fall.
func (w *Window) Add(now time.Time, n int) {
	w.advance(now)
	w.counts[w.started%int64(len(w.counts))] += n
}

// Sum returns the events of the span before now, and of up to one bucket more.
func (w *Window) Sum(now time.Time) int {
	w.advance(now)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}

func (w *Window) advance(now time.Time) {
	current := now.UnixNano() / int64(w.bucket)
	for steps := 0; w.started < current && steps <= len(w.counts); steps++ {
		w.started++
		w.counts[w.started%int64(len(w.counts))] = 0
	}
	w.started = max(w.started, current)
}
