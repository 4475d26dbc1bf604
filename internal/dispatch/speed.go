package dispatch

import "time"

// Endpoints of one service may differ in speed. With many entries, each of them sees few
// requests of any endpoint, so that what it learns alone fades before it is of use. So
// entries share how long recent requests took at each endpoint, against what was expected.

const (
	// speedMemory is the time after which shared observations lose half of their weight.
	speedMemory = 15 * time.Second
	// speedPriorMs is the weight of the assumption that an endpoint has the usual speed, as
	// expected time: about two requests with long prompts.
	speedPriorMs = 400
	// minRelativeSlowdown and maxRelativeSlowdown bound the slowdown of one endpoint against the
	// mean.
	minRelativeSlowdown = 0.4
	maxRelativeSlowdown = 4.0
	// minEventsForSpeed is the number of events from which on a stream is measured.
	minEventsForSpeed = 4
	// eventGapGain is the weight of a stream in the usual time between two events.
	eventGapGain = 0.02
)

// observeSpeed records the time that a plain request took at an endpoint.
func (b *Balancer) observeSpeed(now time.Time, s *endpointState, predicted, actual time.Duration) {
	if b.uneven {
		b.addObservation(now, s, time.Duration(float64(predicted)/s.relativeSlowdown), actual)
	}
}

// RecordEvents records the number of events of a complete stream and when the last one
// arrived. The times between events show the speed of the endpoint better than the first
// event does, since queues do not add to them.
func (b *Balancer) RecordEvents(c *Choice, last time.Time, events int) {
	s := b.endpointState(c)
	if s == nil || !b.uneven || events < minEventsForSpeed || c.firstEventAt.IsZero() {
		return
	}
	took := last.Sub(c.firstEventAt)
	gap := float64(took) / float64(events-1) / s.relativeSlowdown
	usual := b.eventGap(c.Light)
	if *usual == 0 {
		*usual = gap
	}
	*usual += eventGapGain * (gap - *usual)
	b.addObservation(last, s, time.Duration(*usual*float64(events-1)), took)
}

// eventGap returns a pointer to the usual time between two events in ns, 0 if unknown.
func (b *Balancer) eventGap(shortPrompt bool) *float64 {
	if shortPrompt {
		return &b.shortEventGap
	}
	return &b.longEventGap
}

func (b *Balancer) addObservation(now time.Time, s *endpointState, expected, actual time.Duration) {
	s.fadeSpeed(now)
	s.ownLoad.ExpectedMs += int((expected + slowdownNoise) / time.Millisecond)
	s.ownLoad.ActualMs += int((min(actual, maxPaceRatio*expected) + slowdownNoise) / time.Millisecond)
}

// fadeSpeed halves the entry's observations once in speedMemory. They change in steps, so
// that an endpoint without requests is not reported at each exchange of loads.
func (s *endpointState) fadeSpeed(now time.Time) {
	for now.Sub(s.speedFadedAt) >= speedMemory && s.ownLoad.ExpectedMs > 0 {
		s.ownLoad.ExpectedMs, s.ownLoad.ActualMs = s.ownLoad.ExpectedMs/2, s.ownLoad.ActualMs/2
		s.speedFadedAt = s.speedFadedAt.Add(speedMemory)
	}
	if s.ownLoad.ExpectedMs == 0 {
		s.speedFadedAt = now
	}
}

// compareSpeeds derives how much slower each endpoint is than the endpoints on average.
func (b *Balancer) compareSpeeds(now time.Time) {
	if !b.uneven || len(b.states) == 0 {
		return
	}
	sum := 0.0
	for _, s := range b.states {
		s.fadeSpeed(now)
		sum += s.measuredSlowdown()
	}
	mean := sum / float64(len(b.states))
	for _, s := range b.states {
		s.relativeSlowdown = min(maxRelativeSlowdown, max(minRelativeSlowdown, s.measuredSlowdown()/mean))
	}
}

// measuredSlowdown returns the ratio of actual to expected times over all entries.
func (s *endpointState) measuredSlowdown() float64 {
	expected, actual := s.ownLoad.ExpectedMs+s.remoteLoad.ExpectedMs, s.ownLoad.ActualMs+s.remoteLoad.ActualMs
	return float64(actual+speedPriorMs) / float64(expected+speedPriorMs)
}
