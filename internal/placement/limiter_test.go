package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// storeLoad is a load from the point of view of the weight store.
type storeLoad struct {
	key     loadKey
	sent    time.Time
	started time.Time // zero until the order arrives at the engine
	ended   bool
}

// TestLimiterModel guards against more loads at the weight store than the limits
// allow, at once or within any minute, when orders arrive late, responses are
// lost, loads fail and tasks are cancelled.
func TestLimiterModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits{rapid.IntRange(1, 4).Draw(t, "at once"), rapid.IntRange(1, 6).Draw(t, "per minute")}
		lim := newLimiter(time.Time{})
		now := start
		var all, open []*storeLoad
		check := func() {
			running, recent := 0, 0
			for _, s := range all {
				if !s.started.IsZero() && !s.ended {
					running++
				}
				if !s.started.IsZero() && now.Sub(s.started) < rateWindow {
					recent++
				}
			}
			if running > l.atOnce || recent > l.perMinute {
				t.Fatalf("%d loads at once and %d within a minute exceed the limits %+v", running, recent, l)
			}
		}
		for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			key := loadKey{"pool", "e", string(rune('a' + n))}
			if rapid.Bool().Draw(t, "new") && lim.reserve(now, key, l) {
				s := &storeLoad{key: key, sent: now}
				all, open = append(all, s), append(open, s)
				lim.markSending(key)
			}
			if len(open) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "load")
			s := open[i]
			switch {
			case s.started.IsZero():
				s.started = now // The order arrives late, at this time.
				if rapid.Bool().Draw(t, "answer") {
					lim.confirmStart(now, s.key)
				} else if rapid.Bool().Draw(t, "given up") {
					lim.detach(s.key)
				}
			case rapid.Bool().Draw(t, "over"):
				s.ended = true
				open = append(open[:i], open[i+1:]...)
				lim.end(now, s.key)
			default:
				lim.observeLoads(now, map[loadKey]bool{s.key: true}, func(string) bool { return false })
			}
			check()
		}
	})
}

// TestLimiterFormerHolder guards against a new holder that does not count loads
// which it did not order itself.
func TestLimiterFormerHolder(t *testing.T) {
	c := qt.New(t)
	lim := newLimiter(start.Add(formerLoadsWait))
	l := limits{1, 10}
	key := func(model string) loadKey { return loadKey{"pool", "e", model} }
	c.Check(lim.reserve(start.Add(formerLoadsWait-1), key("a"), l), qt.IsFalse)
	complete, partial := func(string) bool { return true }, func(string) bool { return false }
	now := start.Add(formerLoadsWait)
	lim.observeLoads(now, map[loadKey]bool{key("b"): true}, complete)
	c.Check(lim.reserve(now, key("a"), l), qt.IsFalse)
	lim.observeLoads(now, nil, partial)
	c.Check(lim.reserve(now, key("a"), l), qt.IsFalse, qt.Commentf("a load does not end because the state is partial"))
	lim.observeLoads(now, nil, complete)
	c.Check(lim.reserve(now, key("a"), l), qt.IsTrue)
	c.Check(lim.reserve(now, key("a"), limits{9, 9}), qt.IsFalse, qt.Commentf("a load that is counted already cannot be reserved again"))
}
