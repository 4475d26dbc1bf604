package scheduler

import "time"

const (
	// cacheEntries bounds the prefixes remembered for one endpoint.
	cacheEntries = 2048
	// ownKept is how long a placement of this core stands against cache events:
	// events are published late, and one that denies the placement may be older
	// than it. Reports lag by some seconds.
	ownKept = 10 * time.Second
)

// cache is the presumed prefix cache of one endpoint, least recently used first.
type cache struct {
	entries  map[uint64]*cached
	order    cached // sentinel
	sequence uint64 // of the last event
	gap      bool   // events are missing; set until a resync
}

type cached struct {
	endpoint   *endpoint
	prefix     uint64
	placed     time.Time // by this core, zero for hints
	prev, next *cached
}

func (e *cached) unlink() {
	e.prev.next, e.next.prev = e.next, e.prev
}

// remember notes a prefix at an endpoint. placed is zero for hints.
func (c *Core) remember(ep *endpoint, prefix uint64, placed time.Time) {
	k := &ep.cache
	if k.entries == nil {
		k.entries = map[uint64]*cached{}
		k.order.prev, k.order.next = &k.order, &k.order
	}
	e := k.entries[prefix]
	switch {
	case e != nil:
		e.unlink()
	default:
		if len(k.entries) >= cacheEntries {
			c.forget(k.order.next)
		}
		e = &cached{endpoint: ep, prefix: prefix}
		k.entries[prefix] = e
		c.prefixes[prefix] = append(c.prefixes[prefix], e)
	}
	if !placed.IsZero() {
		e.placed = placed
	}
	e.prev, e.next = k.order.prev, &k.order
	e.prev.next, k.order.prev = e, e
}

func (c *Core) forget(e *cached) {
	e.unlink()
	delete(e.endpoint.cache.entries, e.prefix)
	holders := c.prefixes[e.prefix]
	for i, h := range holders {
		if h == e {
			holders[i] = holders[len(holders)-1]
			holders[len(holders)-1] = nil
			holders = holders[:len(holders)-1]
			break
		}
	}
	if len(holders) == 0 {
		delete(c.prefixes, e.prefix)
		return
	}
	c.prefixes[e.prefix] = holders
}

func (c *Core) dropCache(ep *endpoint) {
	for _, e := range ep.cache.entries {
		c.forget(e)
	}
	ep.cache = cache{}
}

// dropHints forgets what is not a recent placement of this core.
func (c *Core) dropHints(now time.Time, ep *endpoint) {
	for _, e := range ep.cache.entries {
		if now.Sub(e.placed) > ownKept {
			c.forget(e)
		}
	}
}

// cacheEvents applies an endpoint's events. Events are hints: they never remove
// a recent placement of this core. After a gap all hints are void, and a Resync
// is asked for once.
func (c *Core) cacheEvents(now time.Time, ep *endpoint, events []CacheEvent, out []Decision) []Decision {
	k := &ep.cache
	for _, ev := range events {
		if ev.Cleared {
			c.dropHints(now, ep)
			k.sequence, k.gap = ev.Sequence, false
			continue
		}
		if ev.Sequence <= k.sequence {
			continue // seen
		}
		if ev.Sequence != k.sequence+1 && !k.gap {
			c.dropHints(now, ep)
			k.gap = true
			out = append(out, Resync{Endpoint: ep.spec.ID, After: k.sequence})
		}
		k.sequence = ev.Sequence
		if ev.Stored {
			c.remember(ep, ev.Prefix, time.Time{})
		} else if e := k.entries[ev.Prefix]; e != nil && now.Sub(e.placed) > ownKept {
			c.forget(e)
		}
	}
	return out
}

// matchPrefixes sets endpoint.match to the number of prefixes that each
// endpoint is presumed to hold of a request.
func (c *Core) matchPrefixes(prefixes []uint64) {
	c.matchStamp++
	for i := len(prefixes) - 1; i >= 0; i-- {
		for _, e := range c.prefixes[prefixes[i]] {
			if e.endpoint.matchStamp != c.matchStamp {
				e.endpoint.matchStamp, e.endpoint.match = c.matchStamp, i+1
			}
		}
	}
}

func (c *Core) matched(ep *endpoint) int {
	if ep.matchStamp != c.matchStamp {
		return 0
	}
	return ep.match
}
