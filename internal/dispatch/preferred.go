package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// preferredEndpoints returns the preferred endpoints, by rendezvous hashing, of the
// parts that several requests share, which are all parts but the last. Every entry
// sends such requests to the same endpoints while these have capacity, so that the
// shared parts are prefilled only once.
func preferredEndpoints(pool []*endpointState, parts []Part) []*endpointState {
	if len(parts) < 2 {
		return nil
	}
	key := sharedPrefixKey(parts)
	preferred := make([]*endpointState, 0, preferredCount+1)
	for _, s := range pool {
		weight := s.preference(key)
		index := len(preferred)
		for index > 0 && preferred[index-1].preference(key) < weight {
			index--
		}
		if index < preferredCount {
			preferred = slices.Insert(preferred, index, s)
			preferred = preferred[:min(len(preferred), preferredCount)]
		}
	}
	return preferred
}

// fetchSource returns the endpoint that is expected to have the shared parts if the
// chosen endpoint lacks them: the first preferred endpoint, or an endpoint that was
// the preferred one until it recently moved to the short-prompt pool. A burst of
// short-prompt requests enlarges that pool and so changes the preferred endpoint of
// many parts.
func fetchSource(now time.Time, otherPool, preferred []*endpointState, parts []Part) *endpointState {
	if len(preferred) == 0 {
		return nil
	}
	key, best := sharedPrefixKey(parts), preferred[0]
	for _, s := range otherPool {
		if now.Sub(s.shortPoolSince) < assumedCacheTTL && s.preference(key) > best.preference(key) {
			best = s
		}
	}
	return best
}

// fetchForPreferred returns the address of an endpoint from which the preferred one may fetch
// parts of a prompt that it does not have yet, "" for none.
func (b *Balancer) fetchForPreferred(q *query, chosen *endpointState) string {
	if address := b.formerPreferred(q, chosen); address != "" || !b.uneven {
		return address
	}
	return firstPartSource(q, chosen)
}

// formerPreferred returns the address of the endpoint that was preferred until the chosen one
// joined, if that was a short time ago: rendezvous hashing makes it the next one.
func (b *Balancer) formerPreferred(q *query, chosen *endpointState) string {
	parts := q.demand.Prompt.Parts
	if !b.memory.Ordered || chosen.founding || len(parts) < 2 || chosen.expectsCached(q.now, parts[len(parts)-2].ID) {
		return ""
	}
	if chosen.joinedAt.IsZero() {
		chosen.joinedAt = q.now
	}
	preferred := preferredEndpoints(q.pool, parts)
	if q.now.Sub(chosen.joinedAt) >= assumedCacheTTL || len(preferred) < 2 || preferred[0] != chosen {
		return ""
	}
	return preferred[1].Address
}

// firstPartSource returns the address of the endpoint from which the chosen one may fetch the
// first part of a prompt, "" for none. Many prompts begin with the same part, while the parts
// after it are only at their preferred endpoints.
func firstPartSource(q *query, chosen *endpointState) string {
	parts := q.demand.Prompt.Parts
	if len(parts) < 3 || parts[0].Tokens < minFetchTokens || chosen.expectsCached(q.now, parts[0].ID) {
		return ""
	}
	key := xxhash.Sum64String(parts[0].ID)
	best := q.pool[0]
	for _, s := range q.pool {
		if s.preference(key) > best.preference(key) {
			best = s
		}
	}
	if best == chosen {
		return ""
	}
	return best.Address
}

// sharedPrefixKey returns the hash key of the last part that several requests
// share.
func sharedPrefixKey(parts []Part) uint64 { return xxhash.Sum64String(parts[len(parts)-2].ID) }

// uncached estimates the prompt tokens that an endpoint has to prefill, and the
// time in ms to fetch cached ones from another engine, 0 without a fetch. A part
// counts as cached only if all parts before it are cached.
func (b *Balancer) uncached(q *query, s *endpointState) (tokens, fetchMs float64) {
	p, preferred := &q.demand.Prompt, q.preferred
	remaining, sharedUncached := float64(p.Tokens), 0.0
	if remaining == 0 {
		for _, part := range p.Parts {
			remaining += float64(part.Tokens)
		}
	}
	prefixCached := true
	for i, part := range p.Parts {
		prefixCached = prefixCached && s.expectsCached(q.now, part.ID)
		switch {
		case prefixCached:
			remaining -= float64(part.Tokens)
		case i < len(p.Parts)-1:
			sharedUncached += float64(part.Tokens)
		}
	}
	remaining = max(0, remaining)
	if len(preferred) == 0 || sharedUncached == 0 {
		return remaining, 0
	}
	if s != q.source && b.memory.FetchTokensPerMs > 0 && sharedUncached >= minFetchTokens {
		fetchMs = float64(fetchSetup.Milliseconds()) + sharedUncached/b.memory.FetchTokensPerMs
	} else if s != preferred[0] {
		return remaining, 0
	}
	return max(0, remaining-preferredCacheProbability*sharedUncached), fetchMs
}
