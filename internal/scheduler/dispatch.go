package scheduler

import "time"

const (
	// fairSlackRequests is how many average requests a customer may be ahead of
	// its fair share. On-time requests of a customer further ahead rank after
	// those of the other customers in the tier and are no longer ordered by due
	// time. Smaller values give more even shares over short times, but more
	// missed targets.
	fairSlackRequests = 8
	// maxStarvedScan bounds how many waiting requests of a class are examined
	// to find one that can run now.
	maxStarvedScan = 32
)

// fairSlack returns how far a customer may be ahead of its fair share, in
// virtual time.
func (c *Core) fairSlack() float64 {
	if c.config.Kind == Plain {
		return fairSlackRequests
	}
	return fairSlackRequests * c.tokens.Mean("", "")
}

// tokensPerSlot returns the tokens per second that one slot of a full endpoint
// generates, or 1 for plain services.
func (c *Core) tokensPerSlot() float64 {
	if c.config.Kind == Plain {
		return 1
	}
	return 1 / c.latencyModel.byLoad[loadLevels-1]
}

// slots returns the number of slots that the pool may use on live endpoints, or
// the slots of all live endpoints if p is nil. Ejected endpoints do not count.
func (c *Core) slots(now time.Time, p *pool) int {
	n := 0
	for _, ep := range c.endpointOrder {
		if !ep.health.ejected && (p == nil || ep.serves(p) && !c.mustAvoid(now, ep, p)) {
			n += c.capacity(now, ep)
		}
	}
	return n
}

// dispatch grants slots until none is free or no waiting request can use one.
// It grants the reserved slots to starved classes first, then all free slots in
// order of tier.
func (c *Core) dispatch(now time.Time, out []Decision) []Decision {
	if len(c.waiting) == 0 || !c.collectCandidates(now) {
		return out
	}
	out = c.dispatchReserved(now, out)
	for t := range c.tiers {
		for c.tiers[t].waiting.count > 0 {
			w, ep := c.nextRunnable(now, t)
			if w == nil {
				break
			}
			out = append(out, c.grant(now, w, ep, false))
			if !c.collectCandidates(now) {
				return out
			}
		}
	}
	return out
}

// collectCandidates sets c.candidates to the endpoints with a free slot and
// reports whether there are any.
func (c *Core) collectCandidates(now time.Time) bool {
	c.candidates = c.candidates[:0]
	for _, ep := range c.endpointOrder {
		if ep.inFlight < ep.spec.Slots && c.freeSlots(now, ep) > 0 && ep.health.admits(now, true) {
			c.candidates = append(c.candidates, ep)
		}
	}
	return len(c.candidates) > 0
}

// anyCandidateAdmits reports whether a request of the pool can run now.
func (c *Core) anyCandidateAdmits(now time.Time, p *pool) bool {
	for _, ep := range c.candidates {
		if c.admits(now, ep, p) {
			return true
		}
	}
	return false
}

// nextRunnable returns the first request of a tier that can run now and the
// endpoint chosen for it.
func (c *Core) nextRunnable(now time.Time, tier int) (*waiter, *endpoint) {
	var best *waiter
	var bestRank shareRank
	if w := c.belowMinShare(now, tier); w != nil {
		return w, c.chooseEndpoint(now, w, c.candidates)
	}
	for _, p := range c.poolOrder {
		if p.tiers[tier].waiting == 0 || !c.anyCandidateAdmits(now, p) {
			continue
		}
		w, rank := c.head(now, p, tier)
		if w != nil && (best == nil || c.precedes(w, rank, best, bestRank)) {
			best, bestRank = w, rank
		}
	}
	if best == nil {
		return nil, nil
	}
	return best, c.chooseEndpoint(now, best, c.candidates)
}

// belowMinShare returns the oldest runnable request of a class of the tier that
// gets less than its minimum share (setting share.min) of the tier's grants.
func (c *Core) belowMinShare(now time.Time, tier int) *waiter {
	if len(c.policy.Classes) == 0 {
		return nil
	}
	total := 0.0
	for _, cl := range c.classOrder {
		if cl.tier == tier {
			total += cl.grants.perSecond(now)
		}
	}
	for _, cl := range c.classOrder {
		share := c.policy.Classes[cl.name].ShareMin
		if cl.tier != tier || cl.waiting.count == 0 || share <= 0 || cl.grants.perSecond(now) >= share*total {
			continue
		}
		if w := c.oldestRunnable(now, cl); w != nil && w.request.Tier == tier {
			return w
		}
	}
	return nil
}

// oldestRunnable returns the oldest request of the class that can run now,
// among the first maxStarvedScan.
func (c *Core) oldestRunnable(now time.Time, cl *class) *waiter {
	w := cl.waiting.head
	for range maxStarvedScan {
		if w == nil {
			break
		}
		if !w.customer.full() && c.anyCandidateAdmits(now, w.queue.pool) {
			return w
		}
		w = w.classLinks.next
	}
	return nil
}

// dispatchReserved grants reserved slots to starved classes, the longest
// unserved class first.
func (c *Core) dispatchReserved(now time.Time, out []Decision) []Decision {
	var skip map[*class]bool
	for cl := c.longestStarved(now, nil); cl != nil; cl = c.longestStarved(now, skip) {
		if !c.reservedAvailable(now) {
			return out
		}
		w := c.oldestRunnable(now, cl)
		if w == nil {
			if skip == nil {
				skip = map[*class]bool{}
			}
			skip[cl] = true
			continue
		}
		out = append(out, c.grant(now, w, c.chooseEndpoint(now, w, c.candidates), true))
		if !c.collectCandidates(now) {
			return out
		}
	}
	return out
}
