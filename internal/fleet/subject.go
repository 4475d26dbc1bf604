package fleet

import (
	"slices"
	"time"
)

// key names what an order sets.
type key struct {
	service, domain string
	spot            bool
}

// count is the number of announced endpoints of one kind of a service in a domain.
type count struct {
	// present endpoints have not left and are not draining. serving ones also take requests
	// at full speed.
	present, serving int
}

// subject is what is known of the orders for one key.
type subject struct {
	count
	// recent holds the endpoints that were present lately.
	recent []int
	// ordered is the number in force, as far as known: the last one that was answered, or the
	// endpoints present lately.
	ordered int
	known   bool
	// met is set once as many endpoints were present as ordered. Fewer later have been lost.
	met bool

	// inFlight is set while an order has no answer yet. uncertain is set if the last one got
	// none; number is its number.
	inFlight, uncertain bool
	number              int
	// repeats counts the orders in a row with the same number.
	repeats          int
	sentAt, repeatAt time.Time
	repeatAfter      time.Duration
	// fixedUntil is the time until which an order without an answer may come into force. Only
	// the same number may be ordered until then.
	fixedUntil time.Time

	// unavailable counts the orders in a row for which no endpoints were available, and
	// unavailableUntil is when the next one may be placed.
	unavailable      int
	unavailableUntil time.Time
	// superseded is set once an order was refused because of a later holder. Nothing is
	// ordered until this instance is the holder again.
	superseded bool
}

// recentSeconds is the time over which the highest number of present endpoints counts as
// ordered. Endpoints that crash return within 5 s.
const recentSeconds = 10

// countSeconds is how long endpoints must have been observed before any are ordered: four
// times the time between two announcements, when all members have restarted at once.
const countSeconds = 5

// observe updates the endpoints that are present.
func (s *subject) observe(c count, settle time.Duration, now time.Time) {
	s.count = c
	s.recent = append(s.recent, c.present)
	s.recent = s.recent[max(0, len(s.recent)-recentSeconds):]
	if !s.known {
		s.ordered = slices.Max(s.recent)
		return
	}
	if s.uncertain && c.present == s.number {
		s.uncertain, s.ordered = false, s.number // The announcements show the outcome.
	}
	if c.present >= s.target() {
		s.met = true
	}
	if c.present > s.target() && s.settled(now, settle) && !s.fixed(now) {
		s.ordered = c.present // An order of an earlier holder came into force later.
	}
}

// forget forgets the orders, but not the endpoints.
func (s *subject) forget() {
	*s = subject{count: s.count, recent: s.recent, ordered: slices.Max(s.recent)}
}

// target returns the number that is or will be in force.
func (s *subject) target() int {
	if s.inFlight || s.uncertain {
		return s.number
	}
	return s.ordered
}

// settled reports whether the last order has had time to be carried out.
func (s *subject) settled(now time.Time, settle time.Duration) bool {
	return !s.known || now.Sub(s.sentAt) > settle
}

// expected returns the endpoints that are present or on their way.
func (s *subject) expected(now time.Time, settle time.Duration) int {
	if s.known && !s.settled(now, settle) && !s.lost() {
		return s.target()
	}
	return min(s.present, s.target())
}

// guaranteed returns the endpoints that serve whatever becomes of the orders on their way.
func (s *subject) guaranteed() int { return min(s.serving, s.target()) }

// lost reports whether endpoints that were there are missing.
func (s *subject) lost() bool { return s.met && s.present < s.target() }

// isCounted reports whether the endpoints have been observed for long enough to order a
// number of them. A number below that of the endpoints that exist removes some.
func (s *subject) isCounted() bool { return len(s.recent) >= countSeconds }

// fixed reports whether only the same number may be ordered.
func (s *subject) fixed(now time.Time) bool { return s.inFlight || now.Before(s.fixedUntil) }

// available reports whether endpoints of this kind may be ordered now.
func (s *subject) available(now time.Time) bool { return !now.Before(s.unavailableUntil) }

// send records that an order leaves.
func (s *subject) send(now time.Time, number int) {
	if !s.uncertain {
		s.repeatAfter = repeatMin
	}
	s.repeats++
	if !s.known || s.number != number {
		s.repeats = 0
	}
	s.known = true
	if s.number != number || !s.uncertain {
		s.met = false
	}
	s.inFlight, s.number, s.sentAt = true, number, now
}

// record records the result of the order that was sent last.
func (s *subject) record(now time.Time, r Result) {
	s.inFlight = false
	switch r {
	case Accepted:
		s.uncertain, s.ordered = false, s.number
		s.unavailable = 0
	case Unavailable:
		s.uncertain = false
		s.ordered = min(s.ordered, s.present)
		s.unavailable++
		s.unavailableUntil = now.Add(min(unavailableMax, unavailableRetry<<max(0, min(s.unavailable-2, 8))))
	case Superseded:
		s.uncertain, s.superseded = false, true
	case Unknown:
		s.uncertain, s.fixedUntil = true, now.Add(lateOrder)
		s.repeatAt, s.repeatAfter = now.Add(s.repeatAfter), min(repeatMax, 2*s.repeatAfter)
	}
}
