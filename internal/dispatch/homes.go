package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// homesOf returns the line of homes of the parts that several requests share,
// which are all but the last: the endpoints to which every entry sends such
// requests while there is room, so that the parts are read once.
func homesOf(pool []*state, parts []Part) []*state {
	if len(parts) < 2 {
		return nil
	}
	key := homeKey(parts)
	line := make([]*state, 0, homes+1)
	for _, s := range pool {
		w := s.weight(key)
		at := len(line)
		for at > 0 && line[at-1].weight(key) < w {
			at--
		}
		if at < homes {
			line = slices.Insert(line, at, s)
			line = line[:min(len(line), homes)]
		}
	}
	return line
}

// fetchSource returns the endpoint that is expected to have the shared parts if
// the chosen one has not: the home, or the one that was home until the pool for
// light requests grew over it a short while ago. It answers bursts of light
// requests, in which many parts change their home.
func fetchSource(now time.Time, pool, line []*state, parts []Part) *state {
	if len(line) == 0 {
		return nil
	}
	key, best := homeKey(parts), line[0]
	for _, s := range pool {
		if now.Sub(s.lightSince) < cacheBelief && s.weight(key) > best.weight(key) {
			best = s
		}
	}
	return best
}

// noteLight records which endpoints serve light requests, the first ones in all.
func noteLight(now time.Time, all []*state, pool int) {
	for i, s := range all {
		if light := i < pool; light != s.light || !s.placed {
			s.light = light
			if light && s.placed {
				s.lightSince = now
			}
			s.placed = true
		}
	}
}

// homeKey identifies the last part that several requests share.
func homeKey(parts []Part) uint64 { return xxhash.Sum64String(parts[len(parts)-2].ID) }

// uncached estimates the prompt tokens that an endpoint has to read, and the
// time in ms to fetch others, 0 for no fetch. A part counts as cached only if
// all parts before it are.
func (b *Balancer) uncached(q *query, s *state) (tokens, fetchMs float64) {
	p, line := &q.demand.Prompt, q.line
	left, shared := float64(p.Tokens), 0.0
	if left == 0 {
		for _, part := range p.Parts {
			left += float64(part.Tokens)
		}
	}
	known := true
	for i, part := range p.Parts {
		known = known && s.believes(q.now, part.ID)
		switch {
		case known:
			left -= float64(part.Tokens)
		case i < len(p.Parts)-1:
			shared += float64(part.Tokens)
		}
	}
	left = max(0, left)
	if len(line) == 0 || shared == 0 {
		return left, 0
	}
	if s != q.source && b.memory.FetchPerMs > 0 && shared >= minFetch {
		fetchMs = float64(fetchSetup.Milliseconds()) + shared/b.memory.FetchPerMs
	} else if s != line[0] {
		return left, 0
	}
	return max(0, left-homeBelief*shared), fetchMs
}
