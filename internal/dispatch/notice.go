package dispatch

import "time"

const (
	// noticeRetention is how long an entry remembers what an endpoint has said about itself
	// after it was last listed. The list of endpoints may lack it for a while.
	noticeRetention = 10 * time.Minute
	// maxNotices bounds what is remembered, at about 100 bytes each.
	maxNotices = 4096
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
	leaving bool
}

// RecordLeaving records that an endpoint has said that it is leaving, and reports whether
// that is new. It gets no further requests from this entry, even if it is the last one of the
// service or its announcements say that it serves: whatever is sent there may be lost.
func (b *Balancer) RecordLeaving(now time.Time, c *Choice) (isNew bool) {
	key := incarnation{c.Endpoint.ID, c.Endpoint.Incarnation}
	if b.notices[key].leaving {
		return false
	}
	b.remember(now, key, notice{at: now, leaving: true})
	if s := b.endpointState(c); s != nil {
		s.leaving = true
	}
	return true
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
