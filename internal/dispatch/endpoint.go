package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// assumedCacheTTL is the time after its last use for which a prompt part is
	// assumed to stay in an engine's cache.
	assumedCacheTTL = 15 * time.Second
	// maxCachedParts bounds the prompt parts recorded for one endpoint, at about
	// 64 bytes each.
	maxCachedParts = 1024
	// remoteLoadTTL is the age at which load reported by other entries is
	// discarded.
	remoteLoadTTL = 2 * time.Second
	// reportTTL is the time for which the load reported in an endpoint's response
	// is used.
	reportTTL = 300 * time.Millisecond
	// failureDecay is the time in which a failure loses half of its weight.
	failureDecay = 3 * time.Second
	// ejectThreshold is the decayed number of failures without a success at which
	// an endpoint is ejected.
	ejectThreshold = 2.5
	// initialEjection is the duration of the first ejection; each further one
	// doubles it, up to maxEjection. Endpoints that crash return after 2 to 5 s.
	initialEjection = time.Second
	maxEjection     = 4 * time.Second
	// slowdownGain is the weight of a new observation in the slowdown factor of an
	// endpoint.
	slowdownGain = 0.2
	// maxSlowdown bounds the slowdown factor, so that a slow endpoint is tried
	// again once its load is gone. Without observations, the factor loses half of
	// its distance to 1 within slowdownDecay.
	maxSlowdown   = 16
	slowdownDecay = 3 * time.Second
	// warmingSlowdown is the minimum slowdown factor assumed for an endpoint that
	// reports that it is warming up.
	warmingSlowdown = 1.6
)

// endpointState is an entry's knowledge of one endpoint.
type endpointState struct {
	Endpoint
	seed       uint64
	ownLoad    Load
	remoteLoad Load
	// lastReport is the last load that the endpoint reported, and ownAtReport the
	// number of this entry's requests at that time.
	lastReport   Report
	ownAtReport  int
	lastReportAt time.Time

	// cachedParts maps the IDs of prompt parts to the times of their last use.
	cachedParts map[string]time.Time

	// founding is set for the endpoints of the first list. joinedAt is when a later one was first
	// chosen, or zero before.
	founding bool
	joinedAt time.Time

	// inShortPool is set while the endpoint is in the short-prompt pool, and
	// shortPoolSince is the time at which it moved there from the long-prompt pool.
	// poolAssigned is false until the endpoint is first assigned to a pool.
	inShortPool, poolAssigned bool
	shortPoolSince            time.Time

	// failures is the decayed number of failures as of failuresAt.
	failures     float64
	failuresAt   time.Time
	ejectedUntil time.Time
	ejections    int
	lastSuccess  time.Time
	// replaced is set once a different endpoint responds at the address.
	replaced bool
	// leaving is set once the endpoint has said that it is leaving.
	leaving bool
	// pausedUntil is the end of the pause that the endpoint has asked for.
	pausedUntil time.Time

	// limit is the endpoint's limit of requests. blockedUntil is when it allows the next one.
	limit        Limit
	blockedUntil time.Time
	// capacityShare is the part of the long-prompt requests of an endpoint without a limit
	// that the endpoint gets, at most 1.
	capacityShare float64

	// slowdown is the smoothed ratio of observed to predicted time as of
	// slowdownAt.
	slowdown   float64
	slowdownAt time.Time
	// relativeSlowdown is the shared slowdown factor, 1 while speeds are not shared.
	relativeSlowdown float64
	speedFadedAt     time.Time
	// reportedPace is the pace that the endpoint reported at paceAt.
	reportedPace float64
	paceAt       time.Time
}

func newEndpointState(e Endpoint) *endpointState {
	return &endpointState{Endpoint: e, seed: xxhash.Sum64String(e.ID), cachedParts: make(map[string]time.Time), slowdown: 1, relativeSlowdown: 1, capacityShare: 1}
}

// requests estimates the number of requests at the endpoint: those of this entry
// and of the other entries, or the number derived from a recent report of the
// endpoint if that is larger.
func (s *endpointState) requests(now time.Time) int {
	n := s.ownLoad.Requests + s.remoteLoad.Requests
	if now.Sub(s.lastReportAt) < reportTTL {
		n = max(n, s.lastReport.Running+s.lastReport.Waiting+s.ownLoad.Requests-s.ownAtReport)
	}
	return n
}

// currentSlowdown returns the slowdown factor, which decays towards 1.
func (s *endpointState) currentSlowdown(now time.Time) float64 {
	decay := float64(now.Sub(s.slowdownAt)) / float64(slowdownDecay)
	slowdown := (1 + (s.slowdown-1)/(1+decay)) * s.relativeSlowdown
	if s.Warming {
		return max(slowdown, warmingSlowdown)
	}
	return slowdown
}

// observeSlowdown updates the slowdown factor from the predicted and the actual
// time of a request.
func (s *endpointState) observeSlowdown(now time.Time, predicted, actual time.Duration) {
	ratio := float64(actual+slowdownNoise) / float64(predicted+slowdownNoise)
	s.slowdown = s.currentSlowdown(now)
	ratio *= s.slowdown // The prediction included the current factor.
	s.slowdown = min(maxSlowdown, max(0.5, s.slowdown+slowdownGain*(ratio-s.slowdown)))
	s.slowdownAt = now
}

// slowdownNoise is added to both times, so that the ratio of two short times stays
// bounded: differences of some 20 ms are noise of the network and of scheduling.
const slowdownNoise = 20 * time.Millisecond

// recentFailures returns the decayed number of failures.
func (s *endpointState) recentFailures(now time.Time) float64 {
	age := float64(now.Sub(s.failuresAt)) / float64(failureDecay)
	return s.failures / (1 + age*age)
}

// recordFailure adds a failure of the given weight and ejects the endpoint if the
// failures reach ejectThreshold.
func (s *endpointState) recordFailure(now time.Time, weight float64) {
	s.failures = s.recentFailures(now) + weight
	s.failuresAt = now
	if s.failures >= ejectThreshold && !now.Before(s.ejectedUntil) {
		s.ejectedUntil = now.Add(min(maxEjection, initialEjection<<min(s.ejections, 4)))
		s.ejections++
		s.failures = ejectThreshold / 2 // One more failure after the return ejects it again.
	}
}

func (s *endpointState) recordSuccess(now time.Time) {
	s.failures = s.recentFailures(now) / 2
	s.failuresAt = now
	s.lastSuccess = now
	s.ejections = 0
}

// expectsCached reports whether a prompt part is expected in the endpoint's cache.
func (s *endpointState) expectsCached(now time.Time, id string) bool {
	at, ok := s.cachedParts[id]
	return ok && now.Sub(at) < assumedCacheTTL
}

// recordCached records that the endpoint has prompt parts cached as of now. It removes
// recorded parts if there are more than maxCachedParts.
func (s *endpointState) recordCached(now time.Time, parts []Part) {
	if len(s.cachedParts) > maxCachedParts {
		for id, at := range s.cachedParts {
			if now.Sub(at) >= assumedCacheTTL || len(s.cachedParts) > 2*maxCachedParts {
				delete(s.cachedParts, id)
			}
		}
	}
	for _, p := range parts {
		s.cachedParts[p.ID] = now
	}
}

// preference returns the weight of the endpoint for a key in rendezvous hashing, such that
// it is the preferred one of a part of the keys that corresponds to its capacityShare.
func (s *endpointState) preference(key uint64) float64 {
	const keys = 1 << 64
	return -s.capacityShare / math.Log((float64(s.rendezvousWeight(key))+0.5)/keys)
}

// rendezvousWeight returns the weight of the endpoint for a key in rendezvous
// hashing.
func (s *endpointState) rendezvousWeight(key uint64) uint64 {
	x := s.seed ^ key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
