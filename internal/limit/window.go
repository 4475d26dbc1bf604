package limit

import "time"

// windowBuckets is the number of buckets that a Window divides its span into. The
// oldest bucket counts in full, so that a sum covers up to one bucket more than
// the span.
const windowBuckets = 20

// Window counts the events of a sliding time window. The zero value is not usable.
type Window struct {
	bucketSpan time.Duration
	newest     int64 // number of the newest bucket
	counts     [windowBuckets + 1]int
}

// NewWindow returns an empty window over a span.
func NewWindow(span time.Duration) *Window { return &Window{bucketSpan: span / windowBuckets} }

// Add counts n events at now. Successive times must not decrease.
func (w *Window) Add(now time.Time, n int) {
	w.advance(now)
	w.counts[w.newest%int64(len(w.counts))] += n
}

// Sum returns the number of events in the span before now, and in up to one
// bucket before that span.
func (w *Window) Sum(now time.Time) int {
	w.advance(now)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}

func (w *Window) advance(now time.Time) {
	current := now.UnixNano() / int64(w.bucketSpan)
	for steps := 0; w.newest < current && steps <= len(w.counts); steps++ {
		w.newest++
		w.counts[w.newest%int64(len(w.counts))] = 0
	}
	w.newest = max(w.newest, current)
}
