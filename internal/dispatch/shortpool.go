package dispatch

import (
	"math"
	"time"
)

const (
	// poolUtilization is the share of its capacity that the short-prompt pool is sized
	// to use; the rest absorbs bursts.
	poolUtilization = 0.85
	// longPoolShare is the part of the engines that the other pool keeps, as a multiple of
	// its share of the work. It is below 1 because short prompts generate for longer.
	longPoolShare = 0.4
	// initialShortPerEngine, minShortPerEngine and maxShortPerEngine are the number of
	// short-prompt requests that an engine is expected to serve well, before pauses were
	// observed, and its bounds. However many slots an engine has, each prefill delays the
	// events of the others, and a lost engine must not affect all short-prompt requests.
	initialShortPerEngine = 32.0
	minShortPerEngine     = 24.0
	maxShortPerEngine     = 72.0
	// toleratedStalls is the share of the short-prompt streams that may have a pause over
	// their limit. stallGain is the relative step by which such a stream lowers the number
	// of requests for each engine.
	toleratedStalls = 0.05
	stallGain       = 0.1
)

// RecordPauses records the longest pause between two events of a complete stream, and the
// longest that its route allows, 0 for no limit. It answers streams that falter because too
// many short-prompt requests share an engine: the pool grows until their pauses are short
// enough, and shrinks slowly while they are.
func (b *Balancer) RecordPauses(c *Choice, longest, allowed time.Duration) {
	if !c.Light || c.overflowed || allowed == 0 {
		return
	}
	change := stallGain * toleratedStalls / (1 - toleratedStalls)
	if longest > allowed {
		change = -stallGain
	}
	b.shortPerEngine = min(maxShortPerEngine, max(minShortPerEngine, b.shortPerEngine*(1+change)))
}

// shortCapacity returns the number of short-prompt requests that an engine serves well.
func (b *Balancer) shortCapacity(s *endpointState) float64 {
	capacity := min(float64(s.Slots), b.shortPerEngine)
	if s.limit.PerSecond > 0 {
		capacity = min(capacity, s.limit.PerSecond*b.shortGenerationMs/1000)
	}
	return capacity
}

// shortPoolSize returns the number of endpoints, from the beginning of all, that
// serve short-prompt requests. Long prompts delay the events of all requests beside
// them, so that short and long prompts run on different engines.
func (b *Balancer) shortPoolSize(all []*endpointState) int {
	if len(all) < 2 {
		return len(all)
	}
	needed, size := b.shortInFlight/poolUtilization, 0
	for needed > 0 && size < len(all) {
		needed -= max(1, b.shortCapacity(all[size]))
		size++
	}
	longEngines := max(1, int(math.Round(longPoolShare*b.mix.longShare()*float64(len(all)))))
	return max(1, min(len(all)-longEngines, size))
}

// updatePools records which endpoints belong to the short-prompt pool: the first
// poolSize ones in all.
func updatePools(now time.Time, all []*endpointState, poolSize int) {
	for i, s := range all {
		if inShortPool := i < poolSize; inShortPool != s.inShortPool || !s.poolAssigned {
			s.inShortPool = inShortPool
			if inShortPool && s.poolAssigned {
				s.shortPoolSince = now
			}
			s.poolAssigned = true
		}
	}
}
