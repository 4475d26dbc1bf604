package dispatch

import "time"

// Limit is the number of requests per second that an endpoint takes from all entries
// together, as it named it with a response.
type Limit struct {
	// PerSecond is 0 if the endpoint names no limit.
	PerSecond float64
	// At is when the response arrived.
	At time.Time
}

// minLimitPerSecond replaces lower limits. At this rate the entries still notice that the
// limit has ended.
const minLimitPerSecond = 0.1

// RecordLimit records whether a response named a limit, and returns whether the limit has
// changed. A response without one ends the limit only if its request was sent after the
// last response that named it, since responses on different connections overtake each
// other.
func (b *Balancer) RecordLimit(now time.Time, c *Choice, perSecond *float64) bool {
	s := b.endpointState(c)
	if s == nil || perSecond == nil && (s.limit.PerSecond == 0 || !c.sentAt.After(s.limit.At)) {
		return false
	}
	next := Limit{At: now}
	if perSecond != nil {
		next.PerSecond = max(minLimitPerSecond, *perSecond)
	}
	changed := next.PerSecond != s.limit.PerSecond
	s.limit = next
	return changed
}
