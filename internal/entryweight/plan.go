package entryweight

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// listSize is the mean number of addresses in a list, and minListSize the smallest number.
	// Lists are shorter than listSize where the failure domain of the caller has few entries:
	// a list that names all of them gives each the same part of the caller's connections.
	listSize    = 16
	minListSize = 6
	// equalRatio is the largest ratio between the idle rooms of entries that count as equal.
	equalRatio = 1.1
	// maxRoomRatio bounds the idle room of an entry to this multiple or part of the median,
	// so that one wrong report neither attracts all callers nor empties an entry.
	maxRoomRatio = 4
	// ownDomainHeadroom is how far beyond its even share of callers a failure domain keeps
	// its own callers: traffic between domains is expensive, and the shares are estimates.
	ownDomainHeadroom = 1.05
)

// Entry is an entry that accepts callers.
type Entry struct {
	Address, Domain string
	// IdleRoom and Room are 0 if the entry reported none.
	IdleRoom, Room uint32
}

// Plan holds with which probability callers of each failure domain get each entry. It is
// immutable.
type Plan struct {
	entries []Entry
	// inclusion holds a probability for each entry, by the domain of the caller; "" stands for
	// callers without a domain or from one without entries.
	inclusion map[string][]float64
	// own is the part of the callers' lists that is in their own domain.
	own map[string]float64
}

// NewPlan returns a plan for entries, or nil if the entries are equal. callerShares holds the
// part of all callers that is in each failure domain. Without a share, a domain is assumed to
// have as many callers as the others.
func NewPlan(entries []Entry, callerShares map[string]float64) *Plan {
	idle, equal := idleRooms(entries)
	if equal {
		return nil
	}
	p := &Plan{entries: entries, inclusion: make(map[string][]float64), own: make(map[string]float64)}
	rooms := make([]float64, len(entries))
	roomOf, total := make(map[string]float64), 0.0
	for i, e := range entries {
		rooms[i] = idle[i]
		if e.Room > 0 && e.IdleRoom > 0 {
			rooms[i] *= min(1, max(minBusyFactor, float64(e.Room)/float64(e.IdleRoom)))
		}
		roomOf[e.Domain] += rooms[i]
		total += rooms[i]
	}
	spare, allSpare := make(map[string]float64), 0.0
	// The order is fixed, so that all members compute the same sums.
	for _, domain := range slices.Sorted(maps.Keys(roomOf)) {
		room := roomOf[domain]
		share, known := callerShares[domain]
		if !known {
			share = 1 / float64(len(roomOf))
		}
		p.own[domain] = min(1, ownDomainHeadroom*room/max(share*total, 1e-9))
		spare[domain] = max(0, room/total-p.own[domain]*share)
		allSpare += spare[domain]
	}
	for domain := range roomOf {
		p.inclusion[domain] = inclusion(entries, rooms, domain, p.own[domain], func(i int) float64 {
			other := entries[i].Domain
			if allSpare <= 0 {
				return rooms[i]
			}
			return rooms[i] * spare[other] / roomOf[other]
		})
	}
	p.inclusion[""] = inclusion(entries, rooms, "", 0, func(i int) float64 { return rooms[i] })
	return p
}

// idleRooms returns the idle rooms of the entries, the median for those that reported none,
// and whether all are equal.
func idleRooms(entries []Entry) (rooms []float64, equal bool) {
	var known []float64
	for _, e := range entries {
		if e.IdleRoom > 0 {
			known = append(known, float64(e.IdleRoom))
		}
	}
	slices.Sort(known)
	if len(known) < 2 || known[len(known)-1] <= equalRatio*known[0] {
		return nil, true
	}
	median := known[len(known)/2]
	for _, e := range entries {
		room := float64(e.IdleRoom)
		if room == 0 {
			room = median
		}
		rooms = append(rooms, min(median*maxRoomRatio, max(median/maxRoomRatio, room)))
	}
	return rooms, false
}

// inclusion returns the probabilities for callers of a domain, which get the part own of
// their list in the domain and the rest elsewhere, in proportion to a weight.
func inclusion(entries []Entry, rooms []float64, domain string, own float64, weightElsewhere func(i int) float64) []float64 {
	inside, outside := make([]float64, len(entries)), make([]float64, len(entries))
	sum, largest := 0.0, 0.0
	for i, e := range entries {
		if own > 0 && e.Domain == domain {
			inside[i] = rooms[i]
			sum += rooms[i]
			largest = max(largest, rooms[i])
		} else {
			outside[i] = weightElsewhere(i)
		}
	}
	size := float64(listSize)
	if own > 0 {
		size = min(size, max(minListSize, sum/largest))
	}
	left := fill(inside, size*own)
	fill(outside, size*(1-own)+left)
	for i := range inside {
		inside[i] += outside[i]
	}
	return inside
}

// fill replaces weights by probabilities that are in proportion to them, at most 1 each, and
// have the given sum. It returns the part of the sum for which there are too few weights.
func fill(weights []float64, sum float64) (left float64) {
	capped := make([]bool, len(weights))
	rest := sum
	for {
		total := 0.0
		for i, w := range weights {
			if !capped[i] {
				total += w
			}
		}
		if total <= 0 {
			return max(0, rest)
		}
		rest = max(0, rest)
		full := 0
		for i, w := range weights {
			if !capped[i] && w > 0 && w*rest >= total {
				weights[i], capped[i] = 1, true
				full++
			}
		}
		if full == 0 {
			for i := range weights {
				if !capped[i] {
					weights[i] *= rest / total
				}
			}
			return 0
		}
		rest -= float64(full)
	}
}

// Addresses returns the addresses for a caller in a failure domain, by weighted rendezvous
// hashing: the rank of an entry in the list of a caller depends only on a hash of both and on
// the entry's probability. So a list changes little more than the probabilities do, and
// members that know the same agree on it. All lists for a domain have the same length, since
// callers give each address of a list the same part of their connections.
func (p *Plan) Addresses(caller, domain string) []string {
	probabilities, known := p.inclusion[domain]
	if !known {
		probabilities = p.inclusion[""]
	}
	type candidate struct {
		index int
		draw  float64
	}
	candidates, sum := make([]candidate, len(p.entries)), 0.0
	key := xxhash.Sum64String(caller)
	for i, e := range p.entries {
		// With these weights, an entry is in a part of all lists that is close to its
		// probability, although a list has no entry twice.
		weight := -math.Log1p(-min(0.9999, max(1e-6, probabilities[i])))
		candidates[i] = candidate{i, -math.Log1p(-draw(key, e.Address)) / weight}
		sum += probabilities[i]
	}
	size := min(len(candidates), max(minListSize, int(math.Round(sum))))
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.draw, b.draw), cmp.Compare(a.index, b.index)) })
	out := make([]string, size)
	for i, c := range candidates[:size] {
		out[i] = p.entries[c.index].Address
	}
	return out
}

// draw returns a number in [0, 1) that depends on a caller and an entry only.
func draw(caller uint64, address string) float64 {
	x := caller ^ xxhash.Sum64String(address)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
