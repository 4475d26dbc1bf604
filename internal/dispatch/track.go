package dispatch

import "time"

// Sent counts a request that is about to be sent.
func (b *Balancer) Sent(now time.Time, c *Choice, d Demand) {
	c.sent = now
	s := b.state(c)
	if s == nil {
		return
	}
	s.own.Requests++
	*s.tokens(c) += c.Uncached
	if c.Late {
		s.own.Late++
	}
	c.memory = d.Prompt.Tokens + d.Prompt.Output
	s.own.MemoryTokens += c.memory
	if c.Light {
		s.own.Light++
		b.light++ // The pool grows at once; the next load report corrects it.
	}
	if b.memory != nil {
		s.remember(now, d.Prompt.Parts)
	}
}

// Began notes the first event of an answer, and the load told with it.
func (b *Balancer) Began(now time.Time, c *Choice) {
	s := b.state(c)
	if s == nil || c.started {
		return
	}
	b.start(s, c)
	c.began = now
	if b.memory != nil {
		took := now.Sub(c.sent)
		if !c.Late {
			lag := b.lag(c.Light)
			*lag = max(0, *lag+lagGain*float64(took-c.Predicted)/float64(time.Millisecond))
		}
		s.observePace(now, c.Predicted, took)
		s.succeed(now)
	}
}

func (b *Balancer) start(s *state, c *Choice) {
	if !c.started {
		c.started = true
		*s.tokens(c) -= c.Uncached
		if c.Late {
			s.own.Late--
		}
	}
}

// tokens returns the count of prompt tokens to read that a choice belongs to.
func (s *state) tokens(c *Choice) *int {
	if c.Late {
		return &s.own.LateTokens
	}
	return &s.own.PromptTokens
}

// Reported notes the load that an endpoint told.
func (b *Balancer) Reported(now time.Time, c *Choice, r Report) {
	if s := b.state(c); s != nil {
		s.report, s.reportAt, s.ownThen = r, now, s.own.Requests
	}
}

// Ended counts a request out and learns from its outcome.
func (b *Balancer) Ended(now time.Time, c *Choice, o Outcome) {
	s := b.state(c)
	if s == nil {
		return
	}
	b.start(s, c)
	s.own.Requests--
	s.own.MemoryTokens -= c.memory
	if c.Light {
		s.own.Light--
	}
	took := now.Sub(c.sent)
	switch o {
	case Answered:
		b.learn(now, s, c, took)
	case Errored:
		s.fail(now, 1)
	case Broken:
		s.fail(now, 1.3)
	case Unreachable:
		s.fail(now, ejectFailures)
	case Rejected:
		s.fail(now, 0.25)
	case Replaced:
		s.replaced = true
	}
}

// learn updates the times of the service after an answer.
func (b *Balancer) learn(now time.Time, s *state, c *Choice, took time.Duration) {
	const gain = 0.02
	ms := float64(took) / float64(time.Millisecond)
	s.succeed(now)
	if b.memory != nil {
		if !c.began.IsZero() {
			run := b.run(c.Light)
			*run += gain * (float64(now.Sub(c.began))/float64(time.Millisecond) - *run)
		}
		return
	}
	s.observePace(now, c.Predicted, took)
	if !c.waits {
		b.work += gain * (min(ms, 4*b.work) - b.work)
	}
}

// state returns the state of a choice if its incarnation is still known.
func (b *Balancer) state(c *Choice) *state {
	s := b.states[c.Endpoint.ID]
	if s == nil || s.Incarnation != c.Endpoint.Incarnation {
		return nil
	}
	return s
}
