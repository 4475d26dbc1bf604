package dispatch

import "time"

const (
	// noticeRetention is how long an entry remembers what an endpoint has said about itself
	// after it was last listed. The list of endpoints may lack it for a while.
	noticeRetention = 10 * time.Minute
	// maxNotices bounds what is remembered, at about 100 bytes each.
	maxNotices = 4096
	// maxPause bounds the pause that an endpoint may ask for, so that a wrong number does not
	// take it away for good.
	maxPause = 5 * time.Minute
	// pauseJitter is the largest part of a pause, and maxPauseJitter the longest time, for
	// which an entry waits longer than it was asked to.
	pauseJitter    = 0.25
	maxPauseJitter = time.Second
)

// incarnation identifies one start of an endpoint.
type incarnation struct {
	id     string
	number int64
}

// notice is what an endpoint has said about itself in its answers.
type notice struct {
	at time.Time
	// leaving is set for good: the endpoint ends, and its next start is another incarnation.
	leaving     bool
	pausedUntil time.Time
}

// RecordLeaving records that an endpoint has said that it is leaving, and reports whether
// that is new. It gets no further requests from this entry, even if it is the last one of the
// service or its announcements say that it serves: whatever is sent there may be lost.
func (b *Balancer) RecordLeaving(now time.Time, c *Choice) (isNew bool) {
	key := incarnation{c.Endpoint.ID, c.Endpoint.Incarnation}
	if b.notices[key].leaving {
		return false
	}
	b.remember(now, key, notice{at: now, leaving: true, pausedUntil: b.notices[key].pausedUntil})
	if s := b.endpointState(c); s != nil {
		s.leaving = true
	}
	return true
}

// RecordPause records that an endpoint has turned a request away and wants no further ones
// from this entry for a time. The pause is no failure of the endpoint. After it the entry
// waits up to a further pauseJitter of it, so that the entries do not return together.
func (b *Balancer) RecordPause(now time.Time, c *Choice, pause time.Duration) {
	pause = min(pause, maxPause)
	pause += min(maxPauseJitter, time.Duration(pauseJitter*b.random.Float64()*float64(pause)))
	key := incarnation{c.Endpoint.ID, c.Endpoint.Incarnation}
	n := b.notices[key]
	n.at = now
	if until := now.Add(pause); until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
	b.remember(now, key, n)
	if s := b.endpointState(c); s != nil {
		s.pausedUntil = n.pausedUntil
	}
}

// remember adds a notice. If there are too many, it forgets the old ones of endpoints that
// are not listed any more, and a quarter of all at least, since it visits all of them.
func (b *Balancer) remember(now time.Time, key incarnation, n notice) {
	if len(b.notices) >= maxNotices {
		for k, old := range b.notices {
			s := b.states[k.id]
			listed := s != nil && s.Incarnation == k.number
			if !listed && (now.Sub(old.at) > noticeRetention || len(b.notices) > maxNotices*3/4) {
				delete(b.notices, k)
			}
		}
	}
	b.notices[key] = n
}
