package dispatch

import "time"

// RecordSent counts a request that is about to be sent.
func (b *Balancer) RecordSent(now time.Time, c *Choice, d Demand) {
	c.sentAt = now
	s := b.endpointState(c)
	if s == nil {
		return
	}
	s.ownLoad.Requests++
	*s.pendingPrefill(c) += c.Uncached
	if c.Late {
		s.ownLoad.Late++
	}
	c.memory = d.Prompt.Tokens + d.Prompt.Output
	s.ownLoad.MemoryTokens += c.memory
	if c.Light {
		s.ownLoad.Light++
		b.shortInFlight++ // The pool grows immediately; the next load report corrects it.
	}
	if b.memory != nil {
		s.recordCached(now, d.Prompt.Parts)
	}
}

// RecordFirstEvent records the first event of a response and updates the prediction
// lag and the slowdown factor of the endpoint.
func (b *Balancer) RecordFirstEvent(now time.Time, c *Choice) {
	s := b.endpointState(c)
	if s == nil || c.prefilled {
		return
	}
	b.endPrefill(s, c)
	c.firstEventAt = now
	if b.memory != nil {
		took := now.Sub(c.sentAt)
		if c.alone {
			b.pace.observe(float64(c.Uncached), float64(took)/float64(time.Millisecond)/s.currentSlowdown(now))
		}
		if !c.Late {
			predictionLag := b.predictionLag(c.Light)
			*predictionLag = max(0, *predictionLag+predictionLagGain*float64(took-c.Predicted)/float64(time.Millisecond))
		}
		s.observeSlowdown(now, c.Predicted, took)
		s.recordSuccess(now)
	}
}

// endPrefill removes the prompt of a request from the pending prefill of its endpoint.
func (b *Balancer) endPrefill(s *endpointState, c *Choice) {
	if !c.prefilled {
		c.prefilled = true
		*s.pendingPrefill(c) -= c.Uncached
		if c.Late {
			s.ownLoad.Late--
		}
	}
}

// pendingPrefill returns the counter of tokens to prefill that applies to a choice.
func (s *endpointState) pendingPrefill(c *Choice) *int {
	if c.Late {
		return &s.ownLoad.LateTokens
	}
	return &s.ownLoad.PromptTokens
}

// RecordReport stores the load that an endpoint reported.
func (b *Balancer) RecordReport(now time.Time, c *Choice, r Report) {
	if s := b.endpointState(c); s != nil {
		s.lastReport, s.lastReportAt, s.ownAtReport = r, now, s.ownLoad.Requests
	}
}

// RecordOutcome removes a request from the load of its endpoint and updates the
// endpoint's statistics from the outcome.
func (b *Balancer) RecordOutcome(now time.Time, c *Choice, o Outcome) {
	s := b.endpointState(c)
	if s == nil {
		return
	}
	b.endPrefill(s, c)
	s.ownLoad.Requests--
	s.ownLoad.MemoryTokens -= c.memory
	if c.Light {
		s.ownLoad.Light--
	}
	took := now.Sub(c.sentAt)
	switch o {
	case Answered:
		b.learnTimes(now, s, c, took)
	case Errored:
		s.recordFailure(now, 1)
	case Broken:
		s.recordFailure(now, 1.3)
	case Unreachable:
		s.recordFailure(now, ejectThreshold)
	case Rejected:
		s.recordFailure(now, 0.25)
	case Replaced:
		s.replaced = true
	}
}

// learnTimes updates the learned times of the service after a complete response.
func (b *Balancer) learnTimes(now time.Time, s *endpointState, c *Choice, took time.Duration) {
	const gain = 0.02 // weight of a new observation in the learned times
	ms := float64(took) / float64(time.Millisecond)
	s.recordSuccess(now)
	if b.memory != nil {
		if !c.firstEventAt.IsZero() {
			generationMs := b.generationMs(c.Light)
			*generationMs += gain * (float64(now.Sub(c.firstEventAt))/float64(time.Millisecond) - *generationMs)
		}
		return
	}
	s.observeSlowdown(now, c.Predicted, took)
	if !c.queued {
		b.serviceTimeMs += gain * (min(ms, 4*b.serviceTimeMs) - b.serviceTimeMs)
	}
}

// endpointState returns the state of the chosen endpoint, or nil if its incarnation
// is no longer known.
func (b *Balancer) endpointState(c *Choice) *endpointState {
	s := b.states[c.Endpoint.ID]
	if s == nil || s.Incarnation != c.Endpoint.Incarnation {
		return nil
	}
	return s
}
