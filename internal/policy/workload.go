// Package policy compares the scheduling core with baselines. It drives the real
// scheduler.Core and simple routers with a fake clock, simulated endpoints and seeded
// workloads. All times and durations of type float64 are in seconds.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// class is one request class. share is its fraction of the requests of the service.
// Response lengths have a log-normal distribution with medianTokens and sigma.
// betweenTokensTarget bounds the mean time between tokens. Callers disconnect if they
// have no token after callerTimeout. Requests of an atMostOnce class must not be
// repeated once they may have run.
type class struct {
	name                                                 string
	tier                                                 int
	share                                                float64
	promptTokens                                         int
	medianTokens, sigma                                  float64
	firstTokenTarget, betweenTokensTarget, callerTimeout float64
	atMostOnce                                           bool
	index                                                int
}

// service is one service of a deployment. A full batch takes 1+batchSlowdown times as
// long per token as a single stream. A token of a plain service stands for 1 ms of
// work.
type service struct {
	name                                                      string
	plain                                                     bool
	replicas, slots                                           int
	singleStreamTokenTime, batchSlowdown, prefillTimePerToken float64
	classes                                                   []*class
}

func (s *service) secondsPerToken(batch int) float64 {
	return s.singleStreamTokenTime * (1 + s.batchSlowdown*float64(max(0, batch-1))/float64(s.slots-1))
}

// capacity returns the requests per second at which all slots are busy, provided that
// the cacheable part of every prompt is cached.
func (s *service) capacity() float64 {
	busy := 0.0
	for _, c := range s.classes {
		tokens := c.medianTokens * math.Exp(c.sigma*c.sigma/2)
		busy += c.share * (float64(c.promptTokens)*s.prefillTimePerToken*(1-cacheableFraction) + tokens*s.secondsPerToken(s.slots))
	}
	return float64(s.replicas*s.slots) / busy
}

var services = []*service{
	{"auburn-pool", false, 20, 16, 0.015, 1, 0.0002, []*class{
		{"schedule", 1, 0.5, 4000, 600, 0.5, 3, 0.071, 30, false, 0},
		{"crew-chat", 2, 0.5, 400, 80, 0.7, 2, 0.071, 15, false, 1},
	}},
	{"rota-app", true, 3, 4, 0.001, 0, 0, []*class{
		{"booking", 0, 0.3, 0, 120, 0.4, 1, 1, 5, true, 0},
		{"lookup", 1, 0.7, 0, 40, 0.5, 0.5, 1, 3, false, 1},
	}},
	{"auburnstep-sort", false, 10, 16, 0.012, 1.5, 0.0002, []*class{
		{"note", 1, 0.8, 2500, 300, 0.4, 2, 0.071, 20, false, 0},
		{"chat", 2, 0.2, 300, 60, 0.7, 2, 0.071, 15, false, 1},
	}},
	{"lotes", true, 3, 4, 0.001, 0, 0, []*class{
		{"reservation", 0, 0.4, 0, 100, 0.4, 1, 1, 5, true, 0},
		{"stock", 1, 0.6, 0, 30, 0.5, 0.5, 1, 3, false, 1},
	}},
}

// scenario is one situation in which all routers run. loadFactor is the load as a
// multiple of the capacity. burstFactor multiplies the rate of burstClass from 40 s to
// 70 s. slowEngine makes an engine 5 times slower from 30 s to 90 s, and engineCrash
// takes it down from 30 s to 50 s. schedulerLoss stops the scheduler at 40 s and
// replaces it at 43 s. reportDelay delays load reports.
type scenario struct {
	name                                   string
	loadFactor, burstFactor                float64
	burstClass                             int
	slowEngine, engineCrash, schedulerLoss bool
	reportDelay                            float64
	// floodFactor is the rate, as a multiple of the capacity, at which the large
	// customer sends additional requests of floodClass from 40 s to 70 s.
	// limited bounds the requests that this customer has in flight to
	// largeCustomerSlotShare of the slots.
	floodFactor float64
	floodClass  int
	limited     bool
}

const (
	largeCustomer          = "customer0" // sends 23% of the requests
	smallCustomer          = "customer9" // sends 4%
	largeCustomerSlotShare = 0.3
)

var scenarios = []scenario{
	{name: "0.7 times capacity", loadFactor: 0.7},
	{name: "1.0 times capacity", loadFactor: 1},
	{name: "1.5 times capacity", loadFactor: 1.5},
	{name: "3.0 times capacity", loadFactor: 3},
	{name: "burst of the first class", loadFactor: 0.7, burstFactor: 4, burstClass: 0},
	{name: "burst of the second class", loadFactor: 0.7, burstFactor: 8, burstClass: 1},
	{name: "one engine 5 times slower", loadFactor: 0.8, slowEngine: true},
	{name: "one engine 5 times slower at 1.1 times capacity", loadFactor: 1.1, slowEngine: true},
	{name: "one engine crashed", loadFactor: 0.8, engineCrash: true},
	{name: "load reports 2 s late", loadFactor: 0.9, reportDelay: 2},
	{name: "scheduler lost", loadFactor: 0.8, schedulerLoss: true},
}

const (
	arrivalsEnd       = 120.0 // seconds, like the next two
	measurementStart  = 20.0  // by this time the core has learned its estimates
	simulationEnd     = 200.0
	entryCount        = 8
	cacheableFraction = 0.5 // fraction of a prompt that is the shared file; each customer has 20 files
)

// request is one request of a workload with its progress and result.
type request struct {
	id       string
	class    *class
	customer string
	tokens   int
	prefix   uint64
	arrived  float64
	entry    int

	engine, lastEngine    *engine // engine is nil while the request is on no engine
	running, decoding     bool
	attempt               int
	endsAtTokens          float64 // engine.tokens at which the response is complete
	done                  int     // tokens generated so far, kept when the request is retried
	firstTokenAt, endedAt float64 // firstTokenAt is 0 until the first token
	delivered, ended      bool
	grantedAt             float64
	grantID               string
	avoidEndpoints        []string
}

// inTime reports whether the request was completed within the targets for the first
// token and for the time between tokens.
func (r *request) inTime() bool {
	return r.delivered && r.firstTokenAt-r.arrived <= r.class.firstTokenTarget && r.endedAt-r.firstTokenAt <= r.class.betweenTokensTarget*float64(r.tokens)
}

// generateArrivals returns the requests of a scenario in order of arrival.
func generateArrivals(s *service, sc scenario, seed uint64) (requests []*request) {
	rng := rand.New(rand.NewPCG(seed, 7))
	for _, c := range s.classes {
		baseRate := s.capacity() * c.share * sc.loadFactor
		peakRate := baseRate
		if sc.burstFactor > 0 && sc.burstClass == c.index {
			peakRate *= sc.burstFactor
		}
		for t := rng.ExpFloat64() / peakRate; t < arrivalsEnd; t += rng.ExpFloat64() / peakRate {
			if inBurst := t >= 40 && t < 70; !inBurst && rng.Float64()*peakRate > baseRate {
				continue
			}
			customerIndex := rng.IntN(3) // three of ten customers send 70% of the requests
			if rng.Float64() > 0.7 {
				customerIndex = 3 + rng.IntN(7)
			}
			requests = append(requests, &request{
				class: c, customer: fmt.Sprint("customer", customerIndex), arrived: t, entry: rng.IntN(entryCount),
				tokens: max(1, int(c.medianTokens*math.Exp(c.sigma*rng.NormFloat64()))),
				prefix: uint64(1 + c.index + 2*(customerIndex*20+rng.IntN(20))),
			})
		}
	}
	requests = append(requests, generateFlood(s, sc, seed)...)
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
	for i, r := range requests {
		r.id = fmt.Sprint("r", i)
	}
	return requests
}

// generateFlood returns the additional requests of the large customer. They have a
// random generator of their own, so that all other requests are the same with and
// without a flood.
func generateFlood(s *service, sc scenario, seed uint64) (requests []*request) {
	if sc.floodFactor == 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 13))
	c := s.classes[sc.floodClass]
	for t := 40 + rng.ExpFloat64()/(s.capacity()*sc.floodFactor); t < 70; t += rng.ExpFloat64() / (s.capacity() * sc.floodFactor) {
		requests = append(requests, &request{
			class: c, customer: largeCustomer, arrived: t, entry: rng.IntN(entryCount),
			tokens: max(1, int(c.medianTokens*math.Exp(c.sigma*rng.NormFloat64()))),
			prefix: uint64(1 + c.index + 2*rng.IntN(20)),
		})
	}
	return requests
}
