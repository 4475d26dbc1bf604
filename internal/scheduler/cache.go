package scheduler

import "time"

const (
	// maxCacheEntries bounds the number of prefixes recorded for one endpoint.
	maxCacheEntries = 2048
	// placementRetention is how long cache events cannot remove a prefix that
	// this core placed. Events arrive some seconds late, so an event that
	// contradicts the placement may be older than the placement.
	placementRetention = 10 * time.Second
)

// prefixCache is the presumed content of the prefix cache of one endpoint.
type prefixCache struct {
	entries  map[uint64]*cacheEntry
	order    cacheEntry // sentinel of the list, least recently used first
	sequence uint64     // of the last cache event
	gap      bool       // events are missing; reset by the Cleared event of a resync
}

// cacheEntry is a prefix that an endpoint presumably holds.
type cacheEntry struct {
	endpoint   *endpoint
	prefix     uint64
	placed     time.Time // when this core placed it, zero for hints from cache events
	prev, next *cacheEntry
}

func (e *cacheEntry) unlink() {
	e.prev.next, e.next.prev = e.next, e.prev
}

// recordPrefix records that an endpoint presumably holds a prefix. placed is
// the time when this core placed it there, or zero for a hint from a cache
// event.
func (c *Core) recordPrefix(ep *endpoint, prefix uint64, placed time.Time) {
	pc := &ep.prefixCache
	if pc.entries == nil {
		pc.entries = map[uint64]*cacheEntry{}
		pc.order.prev, pc.order.next = &pc.order, &pc.order
	}
	e := pc.entries[prefix]
	switch {
	case e != nil:
		e.unlink()
	default:
		if len(pc.entries) >= maxCacheEntries {
			c.removeCacheEntry(pc.order.next)
		}
		e = &cacheEntry{endpoint: ep, prefix: prefix}
		pc.entries[prefix] = e
		c.prefixes[prefix] = append(c.prefixes[prefix], e)
	}
	if !placed.IsZero() {
		e.placed = placed
	}
	e.prev, e.next = pc.order.prev, &pc.order
	e.prev.next, pc.order.prev = e, e
}

func (c *Core) removeCacheEntry(e *cacheEntry) {
	e.unlink()
	delete(e.endpoint.prefixCache.entries, e.prefix)
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

func (c *Core) clearCache(ep *endpoint) {
	for _, e := range ep.prefixCache.entries {
		c.removeCacheEntry(e)
	}
	ep.prefixCache = prefixCache{}
}

// removeHints removes all entries of the endpoint but the recent placements of
// this core.
func (c *Core) removeHints(now time.Time, ep *endpoint) {
	for _, e := range ep.prefixCache.entries {
		if now.Sub(e.placed) > placementRetention {
			c.removeCacheEntry(e)
		}
	}
}

// applyCacheEvents applies an endpoint's cache events. Events are hints: they
// never remove a recent placement of this core. A gap in the sequence numbers
// makes all hints void, and one Resync is requested for it.
func (c *Core) applyCacheEvents(now time.Time, ep *endpoint, events []CacheEvent, out []Decision) []Decision {
	pc := &ep.prefixCache
	for _, ev := range events {
		if ev.Cleared {
			c.removeHints(now, ep)
			pc.sequence, pc.gap = ev.Sequence, false
			continue
		}
		if ev.Sequence <= pc.sequence {
			continue // already applied
		}
		if ev.Sequence != pc.sequence+1 && !pc.gap {
			c.removeHints(now, ep)
			pc.gap = true
			out = append(out, Resync{Endpoint: ep.spec.ID, After: pc.sequence})
		}
		pc.sequence = ev.Sequence
		if ev.Stored {
			c.recordPrefix(ep, ev.Prefix, time.Time{})
		} else if e := pc.entries[ev.Prefix]; e != nil && now.Sub(e.placed) > placementRetention {
			c.removeCacheEntry(e)
		}
	}
	return out
}

// matchPrefixes sets endpoint.matchLength to the number of leading prefixes of
// a request that each endpoint presumably holds.
func (c *Core) matchPrefixes(prefixes []uint64) {
	c.matchStamp++
	for i := len(prefixes) - 1; i >= 0; i-- {
		for _, e := range c.prefixes[prefixes[i]] {
			if e.endpoint.matchStamp != c.matchStamp {
				e.endpoint.matchStamp, e.endpoint.matchLength = c.matchStamp, i+1
			}
		}
	}
}

// matchedPrefixes returns the match length of the endpoint for the request of
// the last call of matchPrefixes.
func (c *Core) matchedPrefixes(ep *endpoint) int {
	if ep.matchStamp != c.matchStamp {
		return 0
	}
	return ep.matchLength
}
