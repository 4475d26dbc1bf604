package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// cacheBelief is how long a prompt part is believed to stay in an engine's
	// memory after its last use: at the present load an engine fills its memory
	// in some 15 s.
	cacheBelief = 15 * time.Second
	// maxBeliefs bounds the parts remembered of one endpoint, about 64 bytes each.
	maxBeliefs = 1024
	// remoteAge is how old the load told by other entries may be. After that it
	// counts no more.
	remoteAge = 2 * time.Second
	// reportAge is how long the load in an endpoint's answer counts.
	reportAge = 300 * time.Millisecond
	// failureMemory is the time in which a failure loses most of its weight.
	failureMemory = 3 * time.Second
	// ejectFailures is the decayed number of failures without a success after
	// which an endpoint is left out.
	ejectFailures = 2.5
	// ejectFor is how long an endpoint is left out at first; it doubles up to
	// maxEjectFor. Endpoints that crash return after 2 to 5 s.
	ejectFor    = time.Second
	maxEjectFor = 4 * time.Second
	// slowGain is the weight of a new observation in the pace of an endpoint.
	slowGain = 0.2
	// maxSlow bounds the pace factor, so that a slow endpoint is tried again
	// once its load is gone; slowMemory is how fast it returns to 1 without
	// observations.
	maxSlow    = 16
	slowMemory = 3 * time.Second
	// warmingSlow is the pace assumed of an endpoint that says it is still warming
	// up; the users' sheets name 1.6.
	warmingSlow = 1.6
)

// state is what an entry knows of one endpoint.
type state struct {
	Endpoint
	seed   uint64
	own    Load
	remote Load
	// report is the last load told by the endpoint, and ownThen the own requests
	// at that moment.
	report   Report
	ownThen  int
	reportAt time.Time

	beliefs map[string]time.Time

	// light tells that the endpoint is in the pool for light requests, and
	// lightSince when it joined that from the others; placed is false before either.
	light, placed bool
	lightSince    time.Time

	// failures is a decayed count at failuresAt.
	failures     float64
	failuresAt   time.Time
	ejectedUntil time.Time
	ejections    int
	lastSuccess  time.Time
	// replaced is set once another endpoint answered at the address.
	replaced bool

	// slow is the ratio of observed to predicted time at slowAt.
	slow   float64
	slowAt time.Time
}

func newState(e Endpoint) *state {
	return &state{Endpoint: e, seed: xxhash.Sum64String(e.ID), beliefs: make(map[string]time.Time), slow: 1}
}

// requests estimates all requests at the endpoint: those of this entry and of
// the others, or what the endpoint said just now if that is more.
func (s *state) requests(now time.Time) int {
	n := s.own.Requests + s.remote.Requests
	if now.Sub(s.reportAt) < reportAge {
		n = max(n, s.report.Running+s.report.Waiting+s.own.Requests-s.ownThen)
	}
	return n
}

// slowFactor returns the pace factor, which decays towards 1.
func (s *state) slowFactor(now time.Time) float64 {
	decay := float64(now.Sub(s.slowAt)) / float64(slowMemory)
	slow := 1 + (s.slow-1)/(1+decay)
	if s.Warming {
		return max(slow, warmingSlow)
	}
	return slow
}

// observePace records how long a request took against what was predicted.
func (s *state) observePace(now time.Time, predicted, took time.Duration) {
	ratio := float64(took+paceFloor) / float64(predicted+paceFloor)
	s.slow = s.slowFactor(now)
	ratio *= s.slow // The prediction included the present factor.
	s.slow = min(maxSlow, max(0.5, s.slow+slowGain*(ratio-s.slow)))
	s.slowAt = now
}

// paceFloor keeps the ratio of two short times from running away: differences
// of some 20 ms are noise of the network and of scheduling.
const paceFloor = 20 * time.Millisecond

// recentFailures returns the decayed number of failures.
func (s *state) recentFailures(now time.Time) float64 {
	age := float64(now.Sub(s.failuresAt)) / float64(failureMemory)
	return s.failures / (1 + age*age)
}

func (s *state) fail(now time.Time, weight float64) {
	s.failures = s.recentFailures(now) + weight
	s.failuresAt = now
	if s.failures >= ejectFailures && !now.Before(s.ejectedUntil) {
		s.ejectedUntil = now.Add(min(maxEjectFor, ejectFor<<min(s.ejections, 4)))
		s.ejections++
		s.failures = ejectFailures / 2 // One more failure after the return ejects it again.
	}
}

func (s *state) succeed(now time.Time) {
	s.failures = s.recentFailures(now) / 2
	s.failuresAt = now
	s.lastSuccess = now
	s.ejections = 0
}

// believes reports whether a prompt part is expected in the endpoint's memory.
func (s *state) believes(now time.Time, id string) bool {
	at, ok := s.beliefs[id]
	return ok && now.Sub(at) < cacheBelief
}

func (s *state) remember(now time.Time, parts []Part) {
	if len(s.beliefs) > maxBeliefs {
		for id, at := range s.beliefs {
			if now.Sub(at) >= cacheBelief || len(s.beliefs) > 2*maxBeliefs {
				delete(s.beliefs, id)
			}
		}
	}
	for _, p := range parts {
		s.beliefs[p.ID] = now
	}
}

// weight is the rank of the endpoint for a key in rendezvous hashing.
func (s *state) weight(key uint64) uint64 {
	x := s.seed ^ key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
