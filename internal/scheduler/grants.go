package scheduler

import (
	"slices"
	"strconv"
	"time"
)

const (
	// grantUnused is how long a grant may stay unused. The entry counts it from
	// its call, which is earlier, so it never uses a grant that has expired here.
	grantUnused = time.Second
	// grantLapse is how long a grant in use counts after its last renewal.
	grantLapse = 3 * time.Second
	// endedKept is how long ended grants are remembered, so that a late Renew
	// does not bring them back.
	endedKept = 5 * time.Second
)

// grant is a slot in use.
type grant struct {
	id        string
	requestID string
	entry     string
	endpoint  *endpoint
	class     *class
	customer  *customer
	model     string // empty if not known
	tier      int
	epoch     uint64
	granted   time.Time
	used      bool
	until     time.Time
	expiry    int
	work      float64
	cost      float64 // charged to the customer
	uncached  int
	load      int // requests in flight at the endpoint, this one included
	reserved  bool
	probe     bool
	adopted   bool
	// again says that the endpoint was in Avoid when the grant was given.
	again bool
}

// ended remembers a grant that is over.
type ended struct {
	at       time.Time
	endpoint string
	// learned says that the outcome was reported.
	learned bool
	// timedOut says that the grant was dropped because of silence. It counts
	// again when its holder turns out to have it in use.
	timedOut bool
}

func grantByUntil(a, b *grant) bool { return a.until.Before(b.until) }

// grant gives a waiting request a slot.
func (c *Core) grant(now time.Time, w *waiter, ep *endpoint, reserved bool) Granted {
	c.remove(w)
	c.sequence++
	id := strconv.FormatUint(c.config.Epoch, 36) + "-" + strconv.FormatUint(c.sequence, 36)
	g := &grant{
		id: id, requestID: w.request.ID, entry: w.request.Entry, endpoint: ep, class: w.class,
		customer: w.customer, model: w.request.Model, tier: w.request.Tier, epoch: c.config.Epoch, granted: now,
		until: now.Add(grantUnused), work: w.work, cost: w.cost,
		uncached: c.uncached(w, ep), load: ep.inFlight + 1, reserved: reserved,
		again: slices.Contains(w.request.Avoid, ep.spec.ID),
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
	t.offered.add(now, w.work)
	w.class.serve(now)
	c.hold(g)
	for _, p := range w.request.Prefixes {
		c.remember(ep, p, now)
	}
	return c.granted(now, g)
}

func (c *Core) granted(now time.Time, g *grant) Granted {
	return Granted{
		RequestID: g.requestID, Entry: g.entry, GrantID: g.id, Epoch: g.epoch,
		Endpoint: g.endpoint.spec.ID, Address: g.endpoint.spec.Address,
		ExpiresIn: max(0, g.granted.Add(grantUnused).Sub(now)), Priority: g.tier, Reserved: g.reserved,
	}
}

// hold counts a grant.
func (c *Core) hold(g *grant) {
	c.grants[g.id] = g
	c.byRequest[g.requestID] = g
	c.grantExpiry.push(g)
	g.endpoint.inFlight++
	c.inFlight++
	if g.reserved {
		c.lane.held = g
		c.reservedInFlight++
	}
	g.customer.inFlight++
	c.touch(g.customer)
}

// drop uncounts a grant.
func (c *Core) drop(now time.Time, g *grant, end ended) {
	delete(c.grants, g.id)
	if c.byRequest[g.requestID] == g {
		delete(c.byRequest, g.requestID)
	}
	c.grantExpiry.remove(g.expiry)
	g.endpoint.inFlight--
	c.inFlight--
	if g.reserved {
		c.endLane(now, g)
		c.reservedInFlight--
	}
	if g.probe {
		g.endpoint.health.probing = false
	}
	g.class.inFlight--
	g.customer.inFlight--
	g.customer.used = now
	c.touch(g.customer)
	end.at, end.endpoint = now, g.endpoint.spec.ID
	c.ended[g.id] = end
	c.endedOrder = append(c.endedOrder, g.id)
}

// Release ends a grant and learns from its outcome.
func (c *Core) Release(now time.Time, grantID string, o Outcome) []Decision {
	g := c.grants[grantID]
	if g == nil {
		// The grant ended here before, by a timeout or by the next attempt of
		// its request. A fault of the endpoint still counts.
		if e, ok := c.ended[grantID]; ok && !e.learned && (o.EndpointFault || o.ConnectRefused) {
			e.learned = true
			c.ended[grantID] = e
			if ep := c.endpoints[e.endpoint]; ep != nil {
				c.observe(now, ep, o, false)
			}
		}
		return c.dispatch(now, nil)
	}
	probe := g.probe
	c.learn(now, g, o)
	c.drop(now, g, ended{learned: true})
	c.observe(now, g.endpoint, o, probe)
	return c.dispatch(now, nil)
}

// learn corrects estimated costs by real ones and feeds the estimates.
func (c *Core) learn(now time.Time, g *grant, o Outcome) {
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
	c.touch(cu)
	c.generated(now, g, o.Tokens)
	if o.Unused || o.Failed {
		return
	}
	cu.retry.Success(cu.limits.RetryBudget)
	c.retry.Success(c.policy.RetryBudget)
	if !g.adopted { // the load at the start of an adopted grant is unknown
		c.learnPace(now, g, o)
	}
	c.durations.Add(now, cu.name, g.class.name, o.Duration.Seconds())
	if c.config.Kind == Engine && o.Tokens > 0 {
		c.tokens.Add(now, cu.name, g.class.name, actual)
		c.firsts.Add(now, "", g.class.name, o.FirstToken.Seconds())
	}
}

// Renew extends the grants that an entry holds. Grants that the core does not
// know, such as those of an earlier epoch, are adopted.
func (c *Core) Renew(now time.Time, entry string, held []HeldGrant) []Decision {
	return c.Adopt(now, entry, held)
}

// Adopt tells a successor all grants that an entry holds; the list may be
// empty.
func (c *Core) Adopt(now time.Time, entry string, held []HeldGrant) []Decision {
	delete(c.silent, entry)
	for _, h := range held {
		g := c.grants[h.GrantID]
		if g == nil {
			if e, over := c.ended[h.GrantID]; over && !e.timedOut {
				continue
			}
			delete(c.ended, h.GrantID)
			g = c.adopt(now, entry, h)
		}
		c.extend(now, g)
	}
	return c.dispatch(now, nil)
}

// Extend renews grants by their ids alone. It returns those that the core does
// not know, which the entry has to send in full.
func (c *Core) Extend(now time.Time, ids []string) (unknown []string) {
	for _, id := range ids {
		g := c.grants[id]
		if g != nil {
			c.extend(now, g)
			continue
		}
		if e, over := c.ended[id]; !over || e.timedOut {
			unknown = append(unknown, id)
		}
	}
	return unknown
}

func (c *Core) extend(now time.Time, g *grant) {
	g.used = true
	g.until = now.Add(grantLapse)
	c.grantExpiry.fix(g.expiry)
	g.customer.used = now
}

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
	g.until = now.Add(grantLapse)
	ep.foreign = max(0, ep.foreign-1)
	c.hold(g)
	return g
}

func (c *Core) allAdopted() bool { return len(c.config.Entries) > 0 && len(c.silent) == 0 }

// expireGrants frees the slots of grants that were not used or not renewed.
func (c *Core) expireGrants(now time.Time) {
	for c.grantExpiry.len() > 0 {
		g := c.grantExpiry.top()
		if now.Before(g.until) {
			return
		}
		c.drop(now, g, ended{timedOut: true})
	}
}

func (c *Core) forgetEnded(now time.Time) {
	n := 0
	for n < len(c.endedOrder) && now.Sub(c.ended[c.endedOrder[n]].at) > endedKept {
		delete(c.ended, c.endedOrder[n])
		n++
	}
	c.endedOrder = c.endedOrder[n:]
}
