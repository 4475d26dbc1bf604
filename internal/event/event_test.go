package event

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"auburnstep.example/auburnstep/internal/hlc"
)

var eventTest = Define(1, "test", Debug, "an event of this test")

// TestRecorderKeepsLatest guards against a time line that grows without bound
// or loses the latest events.
func TestRecorderKeepsLatest(t *testing.T) {
	r := NewRecorder("instance-1", hlc.New(nil), io.Discard, logrus.InfoLevel)
	for i := range DefaultKeep + 3 {
		r.Emit(eventTest, F("i", i))
	}
	records := r.Records()
	qt.Assert(t, records, qt.HasLen, DefaultKeep)
	qt.Check(t, records[0].Get("i"), qt.Equals, "3")
	for i := 1; i < len(records); i++ {
		qt.Assert(t, records[i-1].At.Before(records[i].At), qt.IsTrue)
	}
}

// TestDefineTwice guards against two events with one number.
func TestDefineTwice(t *testing.T) {
	qt.Check(t, func() { Define(1, "other", Info, "") }, qt.PanicMatches, ".*number 1 is used by test and other")
}
