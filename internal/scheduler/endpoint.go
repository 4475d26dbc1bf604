package scheduler

import (
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/estimate"
)

const (
	// DefaultLease is how long an announcement that names no lease stays valid.
	DefaultLease = 3 * time.Second
	// slownessThreshold is the slowness relative to the group above which an
	// engine gets fewer slots. Below it, preferring faster endpoints is enough.
	slownessThreshold = 2.0
)

// endpoint is the core's state of one endpoint.
type endpoint struct {
	spec         Endpoint
	announced    bool // an announcement was received; false if only named by adopted grants
	leaseUntil   time.Time
	inFlight     int
	loadReported bool // a successor has a load report measured after the takeover
	unadopted    int  // requests in that report whose grants have not been adopted
	pace         estimate.Pace
	health       health
	prefixCache  prefixCache
	matchLength  int    // longest prefix match of the request being placed, in prefixes
	matchStamp   uint64 // Core.matchStamp of that request
	// withheld maps each model that gets no new requests on this endpoint to
	// the time when that ends.
	withheld map[string]time.Time
}

// Announce renews the lease of an endpoint and applies its load report and
// cache events.
func (c *Core) Announce(now time.Time, e Endpoint) []Decision {
	ep := c.endpoints[e.ID]
	if ep == nil {
		ep = &endpoint{}
		c.endpoints[e.ID] = ep
		c.endpointOrder = append(c.endpointOrder, ep)
	}
	if ep.announced && e.Incarnation < ep.spec.Incarnation {
		return nil // a later incarnation has announced itself already
	}
	if !ep.announced || e.Incarnation > ep.spec.Incarnation {
		c.clearCache(ep)
		ep.health.onRestart()
		ep.pace = estimate.Pace{}
	}
	if e.Load == nil || ep.spec.Load != nil && e.Load.MeasuredAt.Before(ep.spec.Load.MeasuredAt) {
		e.Load = ep.spec.Load
	}
	events := e.CacheEvents
	e.CacheEvents = nil
	lease := e.Lease
	if lease <= 0 {
		lease = DefaultLease
	}
	loadIsNew := ep.spec.Load == nil || e.Load != nil && e.Load.MeasuredAt.After(ep.spec.Load.MeasuredAt)
	ep.spec, ep.announced, ep.leaseUntil = e, true, now.Add(lease)
	if loadIsNew {
		c.applyLoadReport(now, ep)
	}
	out := c.applyCacheEvents(now, ep, events, nil)
	return c.dispatch(now, out)
}

// live reports whether the endpoint has a lease and is not leaving.
func (ep *endpoint) live(now time.Time) bool {
	return ep.announced && !ep.spec.Leaving && now.Before(ep.leaseUntil)
}

// expireEndpoints removes endpoints that have neither a lease nor grants.
func (c *Core) expireEndpoints(now time.Time) {
	c.endpointOrder = slices.DeleteFunc(c.endpointOrder, func(ep *endpoint) bool {
		ep.expireWithheld(now)
		if ep.inFlight > 0 || ep.announced && now.Before(ep.leaseUntil) {
			return false
		}
		c.clearCache(ep)
		delete(c.endpoints, ep.spec.ID)
		return true
	})
}

// capacity returns how many grants the endpoint may have at a time. A slow
// engine gets few, since most of its responses are late. If it is slow because
// of load from elsewhere, the smaller batch also restores its speed. At least
// one slot remains, so that a recovery is noticed. The number of slots falls
// with the third power of the slowness, which was the best of the exponents 0,
// 1 and 3 in docs/policy.md.
func (c *Core) capacity(now time.Time, ep *endpoint) int {
	if !ep.live(now) {
		return 0
	}
	slots := ep.spec.Slots
	if slow := ep.pace.Slowness(now); slow > slownessThreshold && c.config.Kind == Engine {
		scale := slownessThreshold / slow
		slots = max(1, int(float64(slots)*scale*scale*scale))
	}
	return slots
}

// freeSlots returns how many more grants the endpoint may get now.
func (c *Core) freeSlots(now time.Time, ep *endpoint) int {
	freeSlots := c.capacity(now, ep) - ep.inFlight
	if age := now.Sub(c.started); c.config.Successor && age < grantRenewalTimeout && !c.allAdopted() {
		// Grants of the predecessor that no entry has listed yet may be in
		// flight.
		if !ep.loadReported && age < WarmUp {
			return 0
		}
		freeSlots -= ep.unadopted
	}
	return freeSlots
}

// applyLoadReport counts the requests in a load report whose grants a successor
// has not adopted yet. At other times load reports are not used, because they
// are late and the core's own counts are exact.
func (c *Core) applyLoadReport(now time.Time, ep *endpoint) {
	load := ep.spec.Load
	if !c.config.Successor || load == nil || load.MeasuredAt.Before(c.started) || now.Sub(c.started) >= grantRenewalTimeout {
		return
	}
	ep.loadReported = true
	ep.unadopted = max(0, load.Running+load.Waiting-ep.inFlight)
}

// serves reports whether the endpoint has the model and the adapter of the pool
// and gets new requests for the model. It does not check capacity, lease,
// health or earlier failures of the request.
func (ep *endpoint) serves(p *pool) bool {
	if p.key.model != "" && len(ep.spec.Models) > 0 && !slices.Contains(ep.spec.Models, p.key.model) {
		return false
	}
	if p.key.adapter != "" && !slices.Contains(ep.spec.Adapters, p.key.adapter) {
		return false
	}
	_, withheld := ep.withheld[p.key.model]
	return !withheld
}

// mustAvoid reports whether requests of the pool must not use the endpoint
// because they failed there before. This is the case while another live
// endpoint serves them, even if that one is busy. If none is left, the endpoint
// may be used again, since waiting until the deadline would not help.
func (c *Core) mustAvoid(now time.Time, ep *endpoint, p *pool) bool {
	if len(p.avoid) == 0 || !slices.Contains(p.avoid, ep.spec.ID) {
		return false
	}
	for _, other := range c.endpointOrder {
		if other.live(now) && !other.health.ejected && other.serves(p) && !slices.Contains(p.avoid, other.spec.ID) {
			return true
		}
	}
	return false
}

// admits reports whether a request of the pool may get a slot of the endpoint
// now.
func (c *Core) admits(now time.Time, ep *endpoint, p *pool) bool {
	return ep.health.admits(now, p.key.mayRepeat) && ep.serves(p) && !c.mustAvoid(now, ep, p) && c.freeSlots(now, ep) > 0
}
