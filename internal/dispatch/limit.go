package dispatch

import (
	"math"
	"slices"
	"time"
)

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
func (b *Balancer) RecordLimit(now time.Time, c *Choice, perSecond *float64) (l Limit, changed bool) {
	s := b.endpointState(c)
	if s == nil {
		return Limit{}, false
	}
	if perSecond == nil && (s.limit.PerSecond == 0 || !c.sentAt.After(s.limit.At)) {
		return s.limit, false
	}
	l.At = now
	if perSecond != nil {
		l.PerSecond = max(minLimitPerSecond, *perSecond)
	}
	changed = l.PerSecond != s.limit.PerSecond
	s.limit = l
	if changed {
		b.sortPools()
	}
	return l, changed
}

// MergeLimits applies the limits that other entries have observed, as far as they are
// newer. limit returns the limit of an endpoint, the zero value if none is known.
func (b *Balancer) MergeLimits(limit func(id string, incarnation int64) Limit) {
	for _, s := range b.states {
		if l := limit(s.ID, s.Incarnation); l.At.After(s.limit.At) {
			s.limit = l
		}
	}
	b.sortPools()
}

// shareCapacity sets which part of the shared prompt parts prefers each endpoint of the
// long-prompt pool. An endpoint with a limit is preferred only by as many as it can serve,
// since the rest would be prefilled at other endpoints each time.
func (b *Balancer) shareCapacity(now time.Time, pool []*endpointState) {
	var limits []float64
	for _, s := range pool {
		if s.capacityShare = 1; s.limit.PerSecond > 0 {
			limits = append(limits, s.limit.PerSecond)
		}
	}
	if len(limits) == 0 {
		return
	}
	rate := evenRate(b.longArrivals.perSecond(now)*float64(b.entries), limits, len(pool)-len(limits))
	for _, s := range pool {
		if s.limit.PerSecond > 0 && s.limit.PerSecond < rate {
			s.capacityShare = s.limit.PerSecond / rate
		}
	}
}

// evenRate returns the rate of requests at an endpoint without a limit if the demand is
// spread evenly, except that endpoints with lower limits get what these allow. If all
// endpoints have limits and these are below the demand, it returns the highest of them.
func evenRate(demand float64, limits []float64, unlimited int) float64 {
	slices.Sort(limits)
	endpoints := len(limits) + unlimited
	for i, limit := range limits {
		if rate := demand / float64(endpoints-i); rate <= limit {
			return rate
		}
		demand -= limit
	}
	if unlimited == 0 {
		return limits[len(limits)-1]
	}
	return demand / float64(unlimited)
}

// arrivalMemory is the time over which arrival rates are averaged. With several hundred
// entries, one of them gets some ten requests within it.
const arrivalMemory = 10 * time.Second

// arrivalRate is a decaying average of the arrivals per second.
type arrivalRate struct {
	// weight is the number of recent arrivals, each counted less the older it is.
	weight    float64
	at, since time.Time
}

func (r *arrivalRate) add(now time.Time) {
	if r.since.IsZero() {
		r.at, r.since = now, now
	}
	r.weight = r.weight*decay(now.Sub(r.at), arrivalMemory) + 1
	r.at = now
}

// perSecond returns the rate. Soon after the first arrival, the average covers only the
// time since then.
func (r *arrivalRate) perSecond(now time.Time) float64 {
	covered := 1 - decay(now.Sub(r.since), arrivalMemory)
	if r.weight == 0 || covered <= 0 {
		return 0
	}
	return r.weight * decay(now.Sub(r.at), arrivalMemory) / (arrivalMemory.Seconds() * covered)
}

func decay(elapsed, memory time.Duration) float64 {
	return math.Exp(-float64(max(0, elapsed)) / float64(memory))
}

// RecordBlocked records that an endpoint with a limit may get no request for a time.
func (b *Balancer) RecordBlocked(now time.Time, c *Choice, wait time.Duration) {
	if s := b.endpointState(c); s != nil {
		s.blockedUntil = now.Add(wait)
	}
}

// isOpen reports whether a pause and the limit of the endpoint let a request be sent there.
func (s *endpointState) isOpen(now time.Time, d *Demand) bool {
	if now.Before(s.pausedUntil) {
		return false
	}
	return s.limit.PerSecond == 0 || !d.AvoidLimited && !now.Before(s.blockedUntil)
}

// open returns the endpoints that let a request be sent there; see isOpen.
func open(now time.Time, d *Demand, endpoints []*endpointState) []*endpointState {
	for i, s := range endpoints {
		if s.isOpen(now, d) {
			continue
		}
		out := append(make([]*endpointState, 0, len(endpoints)-1), endpoints[:i]...)
		for _, s := range endpoints[i+1:] {
			if s.isOpen(now, d) {
				out = append(out, s)
			}
		}
		return out
	}
	return endpoints
}

// blockedChoice returns the choice for a request that no endpoint may get at present
// because of their limits or pauses.
func blockedChoice(now time.Time, endpoints []*endpointState) Choice {
	var c Choice
	for _, s := range endpoints {
		if wait := max(WaitStep, s.blockedUntil.Sub(now), s.pausedUntil.Sub(now)); c.BlockedFor == 0 || wait < c.BlockedFor {
			c.BlockedFor = wait
			c.Paused = now.Before(s.pausedUntil)
		}
	}
	c.Lateness = c.BlockedFor
	return c
}
