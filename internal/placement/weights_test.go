package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// storeLoad is a load as the weight store of a test sees it.
type storeLoad struct {
	key   loadKey
	sent  time.Time
	begun time.Time // zero while the order is under way
	over  bool
}

// TestWeightsModel guards against more loads at the weight store than the
// limits allow, at once or within any minute, when orders arrive late, answers
// are lost, loads fail and tasks are given up.
func TestWeightsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits{rapid.IntRange(1, 4).Draw(t, "at once"), rapid.IntRange(1, 6).Draw(t, "per minute")}
		w := newWeights(time.Time{})
		now := start
		var all, open []*storeLoad
		check := func() {
			running, recent := 0, 0
			for _, s := range all {
				if !s.begun.IsZero() && !s.over {
					running++
				}
				if !s.begun.IsZero() && now.Sub(s.begun) < minute {
					recent++
				}
			}
			if running > l.atOnce || recent > l.perMinute {
				t.Fatalf("%d loads at once and %d within a minute; allowed are %+v", running, recent, l)
			}
		}
		for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			key := loadKey{"pool", "e", string(rune('a' + n))}
			if rapid.Bool().Draw(t, "new") && w.reserve(now, key, l) {
				s := &storeLoad{key: key, sent: now}
				all, open = append(all, s), append(open, s)
				w.sending(key)
			}
			if len(open) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "load")
			s := open[i]
			switch {
			case s.begun.IsZero():
				s.begun = now // The order arrives only now.
				if rapid.Bool().Draw(t, "answer") {
					w.confirmed(now, s.key)
				} else if rapid.Bool().Draw(t, "given up") {
					w.disown(s.key)
				}
			case rapid.Bool().Draw(t, "over"):
				s.over = true
				open = append(open[:i], open[i+1:]...)
				w.end(now, s.key)
			default:
				w.observe(now, map[loadKey]bool{s.key: true}, func(string) bool { return false })
			}
			check()
		}
	})
}

// TestWeightsOfFormerHolder guards against a new holder that forgets loads it
// did not order itself.
func TestWeightsOfFormerHolder(t *testing.T) {
	c := qt.New(t)
	w := newWeights(start.Add(formerLoads))
	l := limits{1, 10}
	key := func(model string) loadKey { return loadKey{"pool", "e", model} }
	c.Check(w.reserve(start.Add(formerLoads-1), key("a"), l), qt.IsFalse)
	whole, partial := func(string) bool { return true }, func(string) bool { return false }
	now := start.Add(formerLoads)
	w.observe(now, map[loadKey]bool{key("b"): true}, whole)
	c.Check(w.reserve(now, key("a"), l), qt.IsFalse)
	w.observe(now, nil, partial)
	c.Check(w.reserve(now, key("a"), l), qt.IsFalse, qt.Commentf("a missing scheduler does not end a load"))
	w.observe(now, nil, whole)
	c.Check(w.reserve(now, key("a"), l), qt.IsTrue)
	c.Check(w.reserve(now, key("a"), limits{9, 9}), qt.IsFalse, qt.Commentf("one load is counted once"))
}
