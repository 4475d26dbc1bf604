package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	slackTestWindow = 10 * time.Second
	// slackTestWait is the time of contact after which the slack is used.
	slackTestWait = slackTestWindow + MaxContactAge + entryLearnTime
)

// observe records contact once a second from one time to another, both included.
func observe(s *SlackShare, from, to time.Duration, entries int) {
	for t := from; t <= to; t += time.Second {
		s.Observe(at(int(t.Milliseconds())), entries)
	}
}

func entriesAt(s *SlackShare, t time.Duration) int { return s.Entries(at(int(t.Milliseconds()))) }

// TestRestartedEntryUsesSlack guards against a process that uses slack in a window in which
// its predecessor has used it.
func TestRestartedEntryUsesSlack(t *testing.T) {
	s := NewSlackShare(slackTestWindow)
	qt.Assert(t, entriesAt(s, time.Hour), qt.Equals, 0, qt.Commentf("no member was ever in contact"))
	observe(s, 0, slackTestWait, 8)
	qt.Assert(t, entriesAt(s, slackTestWait), qt.Equals, 0)
	observe(s, slackTestWait+time.Second, slackTestWait+2*time.Second, 8)
	qt.Assert(t, entriesAt(s, slackTestWait+2*time.Second), qt.Equals, 8)
}

// TestEntryOutOfContactUsesSlack guards against an entry that uses slack although the members no
// longer count it, or uses it again at once when it was frozen or cut off.
func TestEntryOutOfContactUsesSlack(t *testing.T) {
	s := NewSlackShare(slackTestWindow)
	last := time.Minute
	observe(s, 0, last, 8)
	qt.Assert(t, entriesAt(s, last+MaxContactAge), qt.Equals, 8)
	qt.Assert(t, entriesAt(s, last+MaxContactAge+time.Millisecond), qt.Equals, 0)
	back := last + MaxContactAge + time.Second
	observe(s, back, back+slackTestWait, 8)
	qt.Assert(t, entriesAt(s, back+slackTestWait), qt.Equals, 0)
	observe(s, back+slackTestWait+time.Second, back+slackTestWait+time.Second, 8)
	qt.Assert(t, entriesAt(s, back+slackTestWait+time.Second), qt.Equals, 8)
}

// TestFewEntriesEnlargeSlack guards against an entry that takes a larger part of the slack
// because the members have just restarted, or see a part of the entries only.
func TestFewEntriesEnlargeSlack(t *testing.T) {
	s := NewSlackShare(slackTestWindow)
	observe(s, 0, 30*time.Second, 2)
	observe(s, 31*time.Second, 31*time.Second, 8)
	kept := 31*time.Second + entryCountWindows*slackTestWindow
	for now := 32 * time.Second; now <= kept; now += time.Second {
		observe(s, now, now, 1)
		qt.Assert(t, entriesAt(s, now), qt.Equals, 8, qt.Commentf("at %v", now))
	}
	dropped := 31*time.Second + 2*entryCountWindows*slackTestWindow
	observe(s, kept, dropped, 1)
	qt.Assert(t, entriesAt(s, dropped), qt.Equals, 1, qt.Commentf("entries that left long ago keep the parts small"))
}
