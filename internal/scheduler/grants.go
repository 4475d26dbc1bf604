package scheduler

import (
	"slices"
	"strconv"
	"time"
)

const (
	// grantUseTimeout is how long a grant may stay unused. The entry counts
	// this time from its call, which is earlier than the grant, so it never
	// uses a grant that has already expired here.
	grantUseTimeout = time.Second
	// grantRenewalTimeout is how long a grant in use stays valid after its last
	// renewal.
	grantRenewalTimeout = 3 * time.Second
	// endedGrantRetention is how long the records of ended grants are kept, so that a
	// late Renew does not adopt them again.
	endedGrantRetention = 5 * time.Second
)

// grant is a slot given to a request.
type grant struct {
	id              string
	requestID       string
	entry           string
	endpoint        *endpoint
	class           *class
	customer        *customer
	model           string   // empty if not known
	suspects        []string // of the request; see suspects
	tier            int
	epoch           uint64
	granted         time.Time
	used            bool
	validUntil      time.Time // renewals extend it
	expiry          int       // index in Core.grantExpiry
	work            float64   // expected seconds of one slot
	cost            float64   // charged to the customer: expected tokens, or 1 for plain services
	uncachedTokens  int       // prompt tokens that the endpoint has to process
	inFlightAtGrant int       // requests in flight at the endpoint when it was given, this one included
	reserved        bool      // given from the reserved slots
	probe           bool      // tests whether an ejected endpoint has recovered
	adopted         bool      // listed by its holder, not given by this core
	// inAvoidList is true if the request listed the endpoint in Avoid when the
	// grant was given.
	inAvoidList bool
}

// ended is the record of a grant that has ended.
type ended struct {
	at       time.Time
	endpoint string
	// outcomeRecorded is true if the outcome was reported and has been applied.
	outcomeRecorded bool
	// timedOut is true if the grant expired because it was not used or renewed
	// in time. Such a grant is adopted again if its holder still lists it.
	timedOut bool
}

func grantByExpiry(a, b *grant) bool { return a.validUntil.Before(b.validUntil) }

// grant gives a waiting request a slot.
func (c *Core) grant(now time.Time, w *waiter, ep *endpoint, reserved bool) Granted {
	c.remove(w)
	c.sequence++
	id := strconv.FormatUint(c.config.Epoch, 36) + "-" + strconv.FormatUint(c.sequence, 36)
	g := &grant{
		id: id, requestID: w.request.ID, entry: w.request.Entry, endpoint: ep, class: w.class,
		customer: w.customer, model: w.request.Model, suspects: w.suspects, tier: w.request.Tier, epoch: c.config.Epoch, granted: now,
		validUntil: now.Add(grantUseTimeout), work: w.work, cost: w.cost,
		uncachedTokens: c.uncachedTokens(w, ep), inFlightAtGrant: ep.inFlight + 1, reserved: reserved,
		inAvoidList: slices.Contains(w.request.Avoid, ep.spec.ID),
	}
	if ep.health.ejected {
		g.probe, ep.health.probing = true, true
	}
	t := &c.tiers[g.tier]
	t.fair.Activate(&w.customer.flows[g.tier], w.customer.limits.Weight)
	t.fair.Charge(&w.customer.flows[g.tier], w.cost)
	if w.customer.waiting[g.tier] == 0 {
		t.fair.Deactivate(&w.customer.flows[g.tier])
	}
	t.offeredLoad.add(now, w.work)
	w.class.recordGrant(now)
	c.addGrant(g)
	for _, p := range w.request.Prefixes {
		c.recordPrefix(ep, p, now)
	}
	return c.granted(now, g)
}

// granted returns the decision that tells an entry about its grant.
func (c *Core) granted(now time.Time, g *grant) Granted {
	return Granted{
		RequestID: g.requestID, Entry: g.entry, GrantID: g.id, Epoch: g.epoch,
		Endpoint: g.endpoint.spec.ID, Incarnation: g.endpoint.spec.Incarnation, Address: g.endpoint.spec.Address,
		ExpiresIn: max(0, g.granted.Add(grantUseTimeout).Sub(now)), Priority: g.tier, Reserved: g.reserved,
	}
}

// addGrant adds a grant to the indexes and to the counts of requests in flight.
func (c *Core) addGrant(g *grant) {
	c.grants[g.id] = g
	c.byRequest[g.requestID] = g
	c.grantExpiry.push(g)
	g.endpoint.inFlight++
	c.inFlight++
	if g.reserved {
		c.reservedTime.current = g
		c.reservedInFlight++
	}
	g.customer.inFlight++
	c.reorderQueues(g.customer)
}

// removeGrant reverts addGrant and records the grant as ended.
func (c *Core) removeGrant(now time.Time, g *grant, end ended) {
	delete(c.grants, g.id)
	if c.byRequest[g.requestID] == g {
		delete(c.byRequest, g.requestID)
	}
	c.grantExpiry.remove(g.expiry)
	g.endpoint.inFlight--
	c.inFlight--
	if g.reserved {
		c.chargeReserved(now, g)
		c.reservedInFlight--
	}
	if g.probe {
		g.endpoint.health.probing = false
	}
	g.class.inFlight--
	g.customer.inFlight--
	g.customer.used = now
	c.reorderQueues(g.customer)
	end.at, end.endpoint = now, g.endpoint.spec.ID
	c.ended[g.id] = end
	c.endedOrder = append(c.endedOrder, g.id)
}

// Release ends a grant and updates the estimates and the endpoint's health from
// its outcome.
func (c *Core) Release(now time.Time, grantID string, o Outcome) []Decision {
	g := c.grants[grantID]
	if g == nil {
		// The grant has already ended, by a timeout or because its request made
		// another attempt. A fault of the endpoint still counts.
		if e, ok := c.ended[grantID]; ok && !e.outcomeRecorded && (o.EndpointFault || o.ConnectRefused) {
			e.outcomeRecorded = true
			c.ended[grantID] = e
			if ep := c.endpoints[e.endpoint]; ep != nil {
				c.updateHealth(now, ep, o, false)
			}
		}
		return c.dispatch(now, nil)
	}
	probe := g.probe
	c.recordOutcome(now, g, o)
	c.removeGrant(now, g, ended{outcomeRecorded: true})
	c.updateHealth(now, g.endpoint, o, probe)
	return c.dispatch(now, c.trackCrashes(now, g, o))
}

// recordOutcome replaces the estimated cost that was charged for a grant by the
// actual cost and adds the outcome to the estimators.
func (c *Core) recordOutcome(now time.Time, g *grant, o Outcome) {
	cu := g.customer
	actual := float64(o.Tokens)
	if c.config.Kind == Plain {
		actual = 1
	}
	if o.Unused {
		actual = 0
	}
	c.tiers[g.tier].fair.Correct(&cu.flows[g.tier], g.cost, actual)
	cu.rate.Charge(now, cu.tokensPerSecond(), actual-g.cost)
	c.reorderQueues(cu)
	c.countTokens(now, g, o.Tokens)
	if o.Unused || o.Failed {
		return
	}
	cu.retry.Success(cu.limits.RetryBudget)
	c.retry.Success(c.policy.RetryBudget)
	if !g.adopted { // inFlightAtGrant is unknown for adopted grants
		c.updatePace(now, g, o)
	}
	c.durations.Add(now, cu.name, g.class.name, o.Duration.Seconds())
	if c.config.Kind == Engine && o.Tokens > 0 {
		c.tokens.Add(now, cu.name, g.class.name, actual)
		c.firstTokenTimes.Add(now, "", g.class.name, o.FirstToken.Seconds())
	}
}

// Renew extends the grants that an entry holds. Grants that the core does not
// know, such as those of an earlier epoch, are adopted.
func (c *Core) Renew(now time.Time, entry string, held []HeldGrant) []Decision {
	return c.Adopt(now, entry, held)
}

// Adopt renews the grants that an entry holds and adds those that the core does
// not know. The list has all grants of the entry and may be empty. A successor
// warms up until every entry has sent such a list, or for WarmUp at most.
func (c *Core) Adopt(now time.Time, entry string, held []HeldGrant) []Decision {
	delete(c.awaitedEntries, entry)
	for _, h := range held {
		g := c.grants[h.GrantID]
		if g == nil {
			if e, isEnded := c.ended[h.GrantID]; isEnded && !e.timedOut {
				continue
			}
			delete(c.ended, h.GrantID)
			g = c.adopt(now, entry, h)
		}
		c.extend(now, g)
	}
	return c.dispatch(now, nil)
}

// Extend renews grants by their ids alone. It returns the ids that the core
// does not know; the entry has to send these grants in full.
func (c *Core) Extend(now time.Time, ids []string) (unknown []string) {
	for _, id := range ids {
		g := c.grants[id]
		if g != nil {
			c.extend(now, g)
			continue
		}
		if e, isEnded := c.ended[id]; !isEnded || e.timedOut {
			unknown = append(unknown, id)
		}
	}
	return unknown
}

// extend renews a grant, which counts as used from then on.
func (c *Core) extend(now time.Time, g *grant) {
	g.used = true
	g.validUntil = now.Add(grantRenewalTimeout)
	c.grantExpiry.fix(g.expiry)
	g.customer.used = now
}

// adopt adds a grant that an entry holds and the core does not know.
func (c *Core) adopt(now time.Time, entry string, h HeldGrant) *grant {
	ep := c.endpoints[h.Endpoint]
	if ep == nil {
		ep = &endpoint{spec: Endpoint{ID: h.Endpoint}}
		c.endpoints[h.Endpoint] = ep
		c.endpointOrder = append(c.endpointOrder, ep)
	}
	if w := c.waiting[h.RequestID]; w != nil {
		c.remove(w)
	}
	cl := c.classOf(h.Class)
	cl.inFlight++
	g := &grant{
		id: h.GrantID, requestID: h.RequestID, entry: entry, endpoint: ep, class: cl,
		customer: c.customerOf(now, h.Customer), tier: cl.tier, epoch: h.Epoch, granted: now, adopted: true,
	}
	g.validUntil = now.Add(grantRenewalTimeout)
	ep.unadopted = max(0, ep.unadopted-1)
	c.addGrant(g)
	return g
}

// allAdopted reports whether every entry has listed the grants that it holds.
func (c *Core) allAdopted() bool { return len(c.config.Entries) > 0 && len(c.awaitedEntries) == 0 }

// expireGrants frees the slots of grants that were not used or renewed in time.
func (c *Core) expireGrants(now time.Time) {
	for c.grantExpiry.len() > 0 {
		g := c.grantExpiry.top()
		if now.Before(g.validUntil) {
			return
		}
		c.removeGrant(now, g, ended{timedOut: true})
	}
}

// expireEnded removes the records of grants that ended more than
// endedGrantRetention ago.
func (c *Core) expireEnded(now time.Time) {
	n := 0
	for n < len(c.endedOrder) && now.Sub(c.ended[c.endedOrder[n]].at) > endedGrantRetention {
		delete(c.ended, c.endedOrder[n])
		n++
	}
	c.endedOrder = c.endedOrder[n:]
}
