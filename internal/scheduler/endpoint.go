package scheduler

import (
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/estimate"
)

const (
	// DefaultLease is how long an announcement counts.
	DefaultLease = 3 * time.Second
	// slowFrom is the slowness from which an endpoint gets fewer slots. Below
	// it the choice among endpoints is enough.
	slowFrom = 2.0
)

// endpoint is what the core knows of one endpoint.
type endpoint struct {
	spec       Endpoint
	known      bool // false: only known from adopted grants
	leaseUntil time.Time
	inFlight   int
	reported   bool // a successor has a load report from after the takeover
	foreign    int  // requests in that report that the successor did not know of
	pace       estimate.Pace
	health     health
	cache      cache
	match      int    // longest prefix match of the request being placed
	matchStamp uint64 // request that match belongs to
	// withheld holds the models that get no new requests here, and until when.
	withheld map[string]time.Time
}

// Announce renews the lease of an endpoint and takes over its load report and
// cache events.
func (c *Core) Announce(now time.Time, e Endpoint) []Decision {
	ep := c.endpoints[e.ID]
	if ep == nil {
		ep = &endpoint{}
		c.endpoints[e.ID] = ep
		c.endpointOrder = append(c.endpointOrder, ep)
	}
	if ep.known && e.Incarnation < ep.spec.Incarnation {
		return nil // overtaken by the announcement of a later start
	}
	if !ep.known || e.Incarnation > ep.spec.Incarnation {
		c.dropCache(ep)
		ep.health.restarted()
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
	fresh := ep.spec.Load == nil || e.Load != nil && e.Load.MeasuredAt.After(ep.spec.Load.MeasuredAt)
	ep.spec, ep.known, ep.leaseUntil = e, true, now.Add(lease)
	if fresh {
		c.report(now, ep)
	}
	out := c.cacheEvents(now, ep, events, nil)
	return c.dispatch(now, out)
}

// live reports whether the endpoint has a lease and is not leaving.
func (ep *endpoint) live(now time.Time) bool {
	return ep.known && !ep.spec.Leaving && now.Before(ep.leaseUntil)
}

// expireEndpoints forgets endpoints without lease and grants.
func (c *Core) expireEndpoints(now time.Time) {
	c.endpointOrder = slices.DeleteFunc(c.endpointOrder, func(ep *endpoint) bool {
		ep.endWithheld(now)
		if ep.inFlight > 0 || ep.known && now.Before(ep.leaseUntil) {
			return false
		}
		c.dropCache(ep)
		delete(c.endpoints, ep.spec.ID)
		return true
	})
}

// capacity returns how many grants the endpoint may hold now. A slow engine
// gets few: its responses are mostly late, and the smaller batch brings it back
// to speed if it is overloaded by others. One slot remains to notice a recovery.
// The third power was the best of 0, 1 and 3 in docs/policy.md.
func (c *Core) capacity(now time.Time, ep *endpoint) int {
	if !ep.live(now) {
		return 0
	}
	slots := ep.spec.Slots
	if slow := ep.pace.Slowness(now); slow > slowFrom && c.config.Kind == Engine {
		part := slowFrom / slow
		slots = max(1, int(float64(slots)*part*part*part))
	}
	return slots
}

// free returns how many more grants the endpoint may get now.
func (c *Core) free(now time.Time, ep *endpoint) int {
	free := c.capacity(now, ep) - ep.inFlight
	if age := now.Sub(c.started); c.config.Successor && age < grantLapse && !c.allAdopted() {
		// Grants of the predecessor may be in flight that nobody told of yet.
		if !ep.reported && age < WarmUp {
			return 0
		}
		free -= ep.foreign
	}
	return free
}

// report takes over what a load report tells a successor about grants that have
// not been adopted. Otherwise own counts are exact and reports are late.
func (c *Core) report(now time.Time, ep *endpoint) {
	load := ep.spec.Load
	if !c.config.Successor || load == nil || load.MeasuredAt.Before(c.started) || now.Sub(c.started) >= grantLapse {
		return
	}
	ep.reported = true
	ep.foreign = max(0, load.Running+load.Waiting-ep.inFlight)
}

// serves reports whether requests with the key may run on the endpoint, apart
// from capacity, lease, health and earlier failures of the request.
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

// avoided reports whether requests of the pool must not use the endpoint because
// it failed them before. That holds while another endpoint serves them, busy or
// not; where all have failed, waiting for the deadline would help nobody.
func (c *Core) avoided(now time.Time, ep *endpoint, p *pool) bool {
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

// admits reports whether a request of the pool may be granted the endpoint now.
func (c *Core) admits(now time.Time, ep *endpoint, p *pool) bool {
	return ep.health.admits(now, p.key.mayRepeat) && ep.serves(p) && !c.avoided(now, ep, p) && c.free(now, ep) > 0
}
