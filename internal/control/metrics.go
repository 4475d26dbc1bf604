package control

import "github.com/uber-go/tally/v4"

type memberMetrics struct {
	save       tally.Timer
	snapshot   tally.Timer
	committed  tally.Counter
	stepFailed tally.Counter
	feeds      tally.Counter
	bookings   tally.Counter
	changes    tally.Counter
}

func newMemberMetrics(s tally.Scope) memberMetrics {
	s = s.SubScope("control")
	return memberMetrics{
		save:       s.Timer("log_save"),
		snapshot:   s.Timer("snapshot_encode"),
		committed:  s.Counter("entries_committed"),
		stepFailed: s.Counter("step_failed"),
		feeds:      s.Counter("feed_polls"),
		bookings:   s.Counter("booking_calls"),
		changes:    s.Counter("change_calls"),
	}
}
