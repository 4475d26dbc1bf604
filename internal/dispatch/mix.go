package dispatch

import (
	"math"
	"time"
)

const (
	// mixMemory is the time over which the mix of requests is compared: long enough for
	// some tens of requests of an entry, shorter than a burst.
	mixMemory = 3 * time.Second
	// maxRefusedShare is the part of the work of the less urgent ranks up to which refusals may
	// rise before a rank is refused as well. The rest keeps the less urgent from starving.
	maxRefusedShare = 0.85
)

// requestMix holds the work that callers asked for within the last seconds and the part of
// it that was refused, by rank. It answers the load pattern of a burst in which kinds of
// requests of different urgency compete: the less urgent are refused first, however long
// their objective is. Work is in tokens to prefill, or in requests for plain services.
type requestMix struct {
	offered, refused [MaxRank + 1]float64
	// offeredShort is the part of the offered work with short prompts.
	offeredShort float64
	at           time.Time
}

func (m *requestMix) decay(now time.Time) {
	elapsed := now.Sub(m.at)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(mixMemory))
	for i := range m.offered {
		m.offered[i] *= keep
		m.refused[i] *= keep
	}
	m.offeredShort *= keep
	m.at = now
}

// recordOffered counts a new request.
func (m *requestMix) recordOffered(now time.Time, rank int, work float64, shortPrompt bool) {
	m.decay(now)
	m.offered[clampRank(rank)] += work
	if shortPrompt {
		m.offeredShort += work
	}
}

// recordRefused counts a request that was refused for lack of capacity.
func (m *requestMix) recordRefused(now time.Time, rank int, work float64) {
	m.decay(now)
	m.refused[clampRank(rank)] += work
}

// longShare returns the part of the offered work with long prompts.
func (m *requestMix) longShare() float64 {
	total := 0.0
	for _, work := range m.offered {
		total += work
	}
	if total == 0 {
		return 0
	}
	return 1 - m.offeredShort/total
}

// isProtected reports whether requests of a rank are sent although they would be late,
// because less urgent work can still be refused in their place. Refusals of the rank itself
// do not count, so that it is protected again as soon as the less urgent are served.
func (m *requestMix) isProtected(rank int) bool {
	var offered, refused float64
	for i := clampRank(rank) + 1; i <= MaxRank; i++ {
		offered += m.offered[i]
		refused += m.refused[i]
	}
	return offered > 0 && refused < maxRefusedShare*offered
}

// clampRank returns the nearest rank that the mix counts.
func clampRank(rank int) int { return min(MaxRank, max(0, rank)) }
