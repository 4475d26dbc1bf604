package control

import (
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/ring"
)

type memberMetrics struct {
	save         tally.Timer
	snapshot     tally.Timer
	freeze       tally.Timer
	committed    tally.Counter
	stepFailed   tally.Counter
	feedPolls    tally.Counter
	feedProofs   tally.Counter
	bookingCalls tally.Counter
	changeCalls  tally.Counter

	leading         tally.Gauge
	settingsVersion tally.Gauge
	applied         tally.Gauge
	instances       tally.Gauge
	logBytes        tally.Gauge
	bookingBytes    tally.Gauge
	scope           tally.Scope
}

func newMemberMetrics(s tally.Scope) memberMetrics {
	s = s.SubScope("control")
	return memberMetrics{
		save:            s.Timer("log_save"),
		snapshot:        s.Timer("snapshot_encode"),
		freeze:          s.Timer("state_freeze"),
		committed:       s.Counter("entries_committed"),
		stepFailed:      s.Counter("step_failed"),
		feedPolls:       s.Counter("feed_polls"),
		feedProofs:      s.Counter("feed_proofs"),
		bookingCalls:    s.Counter("booking_calls"),
		changeCalls:     s.Counter("change_calls"),
		leading:         s.Gauge("leading"),
		settingsVersion: s.Gauge("settings_version"),
		applied:         s.Gauge("applied_index"),
		instances:       s.Gauge("instances"),
		logBytes:        s.Gauge("log_bytes"),
		bookingBytes:    s.Gauge("booking_bytes"),
		scope:           s,
	}
}

// updateGauges sets all gauges to their current values for the next scrape.
func (m *Member) updateGauges() {
	_, leads := m.lease()
	m.metrics.leading.Update(map[bool]float64{true: 1}[leads])
	m.metrics.applied.Update(float64(m.applied.Load()))
	m.mu.RLock()
	m.metrics.settingsVersion.Update(float64(m.state.Version()))
	bookingBytes := m.state.BookingBytes()
	m.mu.RUnlock()
	m.metrics.bookingBytes.Update(float64(bookingBytes))
	m.metrics.logBytes.Update(float64(m.status.Load().LogBytes))
	if full := bookingBytes >= m.options.Limits.Bookings; full != m.bookingsFull {
		m.bookingsFull = full
		m.options.Events.Emit(eventBookingsFull, event.F("full", full), event.F("bytes", bookingBytes), event.F("limit", m.options.Limits.Bookings))
	}
	m.live.mu.Lock()
	m.metrics.instances.Update(float64(len(m.live.instances)))
	m.live.mu.Unlock()
	for _, s := range []ring.Stats{m.inbox.Stats(), m.proposals.Stats(), m.nodeCalls.Stats(), m.applies.Stats(), m.frozen.Stats(), m.snapshots.Stats()} {
		scope := m.metrics.scope.Tagged(map[string]string{"ring": s.Name})
		scope.Gauge("ring_length").Update(float64(s.Length))
		scope.Gauge("ring_dropped").Update(float64(s.Dropped))
		scope.Gauge("ring_rejected").Update(float64(s.Rejected))
	}
}
