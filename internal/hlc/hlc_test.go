package hlc

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestTimestampsIncrease guards against timestamps that decrease when the wall
// clock is set back, or that sort before the timestamp of a received message.
func TestTimestampsIncrease(t *testing.T) {
	wall := time.UnixMilli(1000)
	c := New(func() time.Time { return wall })
	first := c.Now()
	wall = time.UnixMilli(400)
	second := c.Now()
	qt.Check(t, first.Before(second), qt.IsTrue)
	remote := Timestamp{Wall: 30_000, Counter: 7}
	qt.Check(t, c.Observe(remote), qt.IsTrue)
	qt.Check(t, remote.Before(c.Now()), qt.IsTrue)
}

// TestObserveIgnoresLargeSkew guards against one wrong wall clock that moves the
// clocks of all processes.
func TestObserveIgnoresLargeSkew(t *testing.T) {
	c := New(func() time.Time { return time.UnixMilli(1000) })
	qt.Check(t, c.Observe(Timestamp{Wall: 1000 + 2*maxClockSkew.Milliseconds()}), qt.IsFalse)
	qt.Check(t, c.Now().Wall, qt.Equals, int64(1000))
}

// TestParse guards against malformed headers that are accepted as timestamps.
func TestParse(t *testing.T) {
	for _, test := range []struct {
		name, text string
		ok         bool
	}{
		{"round trip", Timestamp{12, 3}.String(), true}, {"empty", "", false}, {"one part", "12", false},
		{"trailing text", "12.3 x", false}, {"negative", "-1.0", false}, {"counter too large", "1.99999999999", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse(test.text)
			qt.Check(t, err == nil, qt.Equals, test.ok)
		})
	}
}

// FuzzParse guards against a timestamp that changes when it is formatted and
// parsed again.
func FuzzParse(f *testing.F) {
	f.Add("12.3")
	f.Fuzz(func(t *testing.T, s string) {
		if ts, err := Parse(s); err == nil {
			again, err := Parse(ts.String())
			if err != nil || again != ts {
				t.Fatalf("%q: %v, %v", s, again, err)
			}
		}
	})
}
