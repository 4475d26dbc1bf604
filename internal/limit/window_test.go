package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWindow guards against a window that drops events too early, which would let a
// budget be overspent, or that keeps them for much longer than its span.
func TestWindow(t *testing.T) {
	const span = 10 * time.Second
	w := NewWindow(span)
	random := rand.New(rand.NewPCG(1, 1))
	var events []time.Time
	now := time.Unix(1_700_000_000, 0)
	for range 5000 {
		now = now.Add(time.Duration(random.IntN(int(100 * time.Millisecond))))
		if random.IntN(2) == 0 {
			w.Add(now, 1)
			events = append(events, now)
		}
		lower, upper := 0, 0
		for _, e := range events {
			if now.Sub(e) < span {
				lower++
			}
			if now.Sub(e) <= span+2*span/windowBuckets {
				upper++
			}
		}
		sum := w.Sum(now)
		qt.Assert(t, sum >= lower && sum <= upper, qt.IsTrue, qt.Commentf("%d is not between %d and %d", sum, lower, upper))
	}
	qt.Assert(t, w.Sum(now.Add(time.Hour)), qt.Equals, 0)
}
