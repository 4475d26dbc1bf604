package scheduler

import "time"

const (
	// fairRequests is how many average requests a customer may be ahead of its
	// share before due times stop counting for it. Smaller values trade targets
	// for short-term evenness.
	fairRequests = 8
	// starvedScan bounds the search for a request of a starved class that can
	// run now.
	starvedScan = 32
)

// fairSlack returns the virtual time that a customer may be ahead.
func (c *Core) fairSlack() float64 {
	if c.config.Kind == Plain {
		return fairRequests
	}
	return fairRequests * c.tokens.Mean("", "")
}

func (c *Core) tokensPerSlot() float64 {
	if c.config.Kind == Plain {
		return 1
	}
	return 1 / c.speeds.byLoad[paceBuckets-1]
}

// slots returns the slots of live endpoints that serve the pool, or of all if p
// is nil.
func (c *Core) slots(now time.Time, p *pool) int {
	n := 0
	for _, ep := range c.endpointOrder {
		if !ep.health.ejected && (p == nil || ep.serves(p) && !c.avoided(now, ep, p)) {
			n += c.capacity(now, ep)
		}
	}
	return n
}

// dispatch grants free slots until there are none or nobody can use them:
// first the reserved lane to starved classes, then all slots in order.
func (c *Core) dispatch(now time.Time, out []Decision) []Decision {
	if len(c.waiting) == 0 || !c.collectFree(now) {
		return out
	}
	out = c.dispatchReserved(now, out)
	for t := range c.tiers {
		for c.tiers[t].waiting.count > 0 {
			w, ep := c.next(now, t)
			if w == nil {
				break
			}
			out = append(out, c.grant(now, w, ep, false))
			if !c.collectFree(now) {
				return out
			}
		}
	}
	return out
}

// collectFree gathers the endpoints with a free slot.
func (c *Core) collectFree(now time.Time) bool {
	c.candidates = c.candidates[:0]
	for _, ep := range c.endpointOrder {
		if ep.inFlight < ep.spec.Slots && c.free(now, ep) > 0 && ep.health.admits(now, true) {
			c.candidates = append(c.candidates, ep)
		}
	}
	return len(c.candidates) > 0
}

func (c *Core) anyAdmits(now time.Time, p *pool) bool {
	for _, ep := range c.candidates {
		if c.admits(now, ep, p) {
			return true
		}
	}
	return false
}

// next returns the first request of a tier that can run now, and its endpoint.
func (c *Core) next(now time.Time, tier int) (*waiter, *endpoint) {
	var best *waiter
	var bestRank place
	if w := c.belowShare(now, tier); w != nil {
		return w, c.choose(now, w, c.candidates)
	}
	for _, p := range c.poolOrder {
		if p.tiers[tier].waiting == 0 || !c.anyAdmits(now, p) {
			continue
		}
		w, rank := c.head(now, p, tier)
		if w != nil && (best == nil || c.before(w, rank, best, bestRank)) {
			best, bestRank = w, rank
		}
	}
	if best == nil {
		return nil, nil
	}
	return best, c.choose(now, best, c.candidates)
}

// belowShare returns the oldest runnable request of a class of the tier that
// gets less than its share.min of the tier's grants.
func (c *Core) belowShare(now time.Time, tier int) *waiter {
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

// oldestRunnable returns the oldest request of the class that can run now.
func (c *Core) oldestRunnable(now time.Time, cl *class) *waiter {
	w := cl.waiting.head
	for range starvedScan {
		if w == nil {
			break
		}
		if !w.customer.full() && c.anyAdmits(now, w.account.pool) {
			return w
		}
		w = w.classLinks.next
	}
	return nil
}

func (c *Core) dispatchReserved(now time.Time, out []Decision) []Decision {
	var skip map[*class]bool
	for cl := c.starved(now, nil); cl != nil; cl = c.starved(now, skip) {
		if !c.laneOpen(now) {
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
		out = append(out, c.grant(now, w, c.choose(now, w, c.candidates), true))
		if !c.collectFree(now) {
			return out
		}
	}
	return out
}
