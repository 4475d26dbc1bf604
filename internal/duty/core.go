package duty

import (
	"maps"
	"time"
)

const (
	// callTimeout bounds the first call for a subject. It doubles with each failure up to
	// maxCallTimeout, so that a platform that takes seconds to respond is waited for.
	callTimeout    = 1500 * time.Millisecond
	maxCallTimeout = 6 * time.Second
	// minBackoff is the pause of a subject after its first failure. It doubles with each
	// further one up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// limitedPause is the pause of all calls after the platform reported too many of them. Its
	// limit is one of calls per second.
	limitedPause = time.Second
	// maxSubjects bounds the subjects with a call in flight or a failure.
	maxSubjects = 1024
	// rateShare is the part of the permitted rate that the holder uses. Calls of a former
	// holder may arrive in the same second.
	rateShare = 0.5
)

// core decides whether a call may be sent, and what its response means. It is pure.
type core struct {
	// settle is how long the lease must have been held without interruption.
	settle time.Duration
	// interval is the time between calls. next is the earliest time of the next one.
	interval time.Duration
	next     time.Time
	// endedTerm is the term in which a report of usage was refused, or 0.
	endedTerm uint64
	subjects  map[string]*subject
}

// subject is the state of a subject with a call in flight or a failure.
type subject struct {
	inFlight bool
	failures int
	// retry is the earliest time of the next call.
	retry time.Time
}

func newCore(settle time.Duration, callsPerS float64) *core {
	return &core{settle: settle, interval: time.Duration(float64(time.Second) / (callsPerS * rateShare)), subjects: make(map[string]*subject)}
}

// fence returns the fence of calls, if this instance holds the duties.
//
// An instance that acted in an earlier term and was followed by another holder waits for
// settle after that holder's last lease has ended, because leases do not overlap and its own
// lease began after that. Holders therefore do not act in the order A, B, A within settle.
func (c *core) fence(now time.Time, l Lease) (uint64, bool) {
	return l.Term, l.Held && l.Term != c.endedTerm && now.Sub(l.Since) >= c.settle
}

// begin starts a call for a subject and returns its fence and timeout.
func (c *core) begin(now time.Time, l Lease, name string) (fence uint64, timeout time.Duration, retry time.Time, err error) {
	fence, ok := c.fence(now, l)
	if !ok {
		return 0, 0, time.Time{}, ErrNotHolder
	}
	s := c.subjects[name]
	if s == nil {
		if len(c.subjects) >= maxSubjects {
			// Only the length of the pause of these subjects is lost.
			maps.DeleteFunc(c.subjects, func(_ string, s *subject) bool { return !s.inFlight && now.After(s.retry) })
		}
		if len(c.subjects) >= maxSubjects {
			return 0, 0, time.Time{}, ErrBusy
		}
		s = &subject{}
		c.subjects[name] = s
	}
	switch {
	case s.inFlight:
		return 0, 0, time.Time{}, ErrInFlight
	case now.Before(s.retry):
		return 0, 0, s.retry, ErrBackoff
	}
	s.inFlight = true
	return fence, min(callTimeout<<min(s.failures, 8), maxCallTimeout), time.Time{}, nil
}

// pace returns 0 and takes the next slot if a call may be sent now. Otherwise it returns how
// long to wait before asking again.
func (c *core) pace(now time.Time) time.Duration {
	if now.Before(c.next) {
		return c.next.Sub(now)
	}
	c.next = now.Add(c.interval)
	return 0
}

// maySend reports whether a call that was begun with the given fence may be sent now.
func (c *core) maySend(now time.Time, l Lease, fence uint64) bool {
	current, ok := c.fence(now, l)
	return ok && current == fence
}

// end ends a call. sent is false if the platform received nothing of it.
func (c *core) end(now time.Time, l Lease, name string, fence uint64, body Body, response Response, sent bool) Answer {
	s := c.subjects[name]
	s.inFlight = false
	switch {
	case response == ResponseAccepted:
		delete(c.subjects, name)
		return Answer{Result: Accepted}
	case response == ResponseRefused:
		delete(c.subjects, name)
		held := l.Held && l.Term == fence
		result := body.refused(held)
		if _, usage := body.(Usage); usage {
			c.endedTerm = fence
		}
		return Answer{Result: result, Refused: true, LeaseHeld: held}
	}
	s.retry = now.Add(min(minBackoff<<min(s.failures, 8), maxBackoff))
	s.failures++
	if response == ResponseLimited {
		c.next = latest(c.next, now.Add(limitedPause))
		s.retry = latest(s.retry, c.next)
		sent = false
	}
	if sent {
		return Answer{Result: Unknown, Retry: s.retry}
	}
	return Answer{Result: NotSent, Retry: s.retry}
}

// cancel ends a call that was not sent because this instance no longer holds the duties or
// the caller gave up.
func (c *core) cancel(name string) {
	if s := c.subjects[name]; s.failures == 0 {
		delete(c.subjects, name)
	} else {
		s.inFlight = false
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
