// Package policy measures the scheduling core against baselines: it drives the
// real scheduler.Core and simple routers with a fake clock over modelled
// endpoints and seeded workloads. Times are in seconds.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// class is one request class: its tier, its share of the service's requests, the
// tokens of its prompts, the median and sigma of its log-normal output lengths,
// the targets for the first token and the mean between tokens, the time after
// which callers leave, and whether it may not be repeated.
type class struct {
	name                      string
	tier                      int
	share                     float64
	prompt                    int
	median, sigma             float64
	target, between, deadline float64
	once                      bool
	index                     int
}

// service is one service of a deployment; a full batch takes 1+batchSlow times
// as long per token as a single stream. Plain services have tokens of 1 ms.
type service struct {
	name                              string
	plain                             bool
	replicas, slots                   int
	tokenTime, batchSlow, prefillTime float64
	classes                           []*class
}

func (s *service) pace(batch int) float64 {
	return s.tokenTime * (1 + s.batchSlow*float64(max(0, batch-1))/float64(s.slots-1))
}

// capacity returns the requests per second at which all slots are busy if the
// cachable part of every prompt is cached.
func (s *service) capacity() float64 {
	busy := 0.0
	for _, c := range s.classes {
		tokens := c.median * math.Exp(c.sigma*c.sigma/2)
		busy += c.share * (float64(c.prompt)*s.prefillTime*(1-cachedPart) + tokens*s.pace(s.slots))
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

// scenario is one situation that all routers meet: a load in times capacity, a
// burst of one class from 40 s to 70 s, an engine that runs 5 times slower from
// 30 s to 90 s or is down from 30 s to 50 s, and a scheduler that is lost at 40 s
// and replaced at 43 s.
type scenario struct {
	name                      string
	load, burst               float64
	burstClass                int
	slowed, crashed, takeover bool
	reportLag                 float64
	// flood is the rate, in times capacity, at which the large customer sends
	// requests of floodClass in addition from 40 s to 70 s. limited bounds what it
	// has in flight to largeLimit of the slots.
	flood      float64
	floodClass int
	limited    bool
}

const (
	largeCustomer = "customer0" // sends 23% of the requests
	smallCustomer = "customer9" // sends 4%
	largeLimit    = 0.3
)

var scenarios = []scenario{
	{name: "0.7 times capacity", load: 0.7},
	{name: "1.0 times capacity", load: 1},
	{name: "1.5 times capacity", load: 1.5},
	{name: "3.0 times capacity", load: 3},
	{name: "burst of the first class", load: 0.7, burst: 4, burstClass: 0},
	{name: "burst of the second class", load: 0.7, burst: 8, burstClass: 1},
	{name: "one engine 5 times slower", load: 0.8, slowed: true},
	{name: "one engine 5 times slower at 1.1 times capacity", load: 1.1, slowed: true},
	{name: "one engine crashed", load: 0.8, crashed: true},
	{name: "load reports 2 s late", load: 0.9, reportLag: 2},
	{name: "scheduler lost", load: 0.8, takeover: true},
}

const (
	arrivalsUntil = 120.0
	countedFrom   = 20.0 // estimates are learned before
	drainUntil    = 200.0
	entries       = 8
	cachedPart    = 0.5 // of a prompt is the file; each customer has 20 files
)

// request is one request of a workload and its fate.
type request struct {
	id       string
	class    *class
	customer string
	tokens   int
	prefix   uint64
	arrive   float64
	entry    int

	engine, last      *engine // now (nil if none), and the latest
	running, decoding bool
	attempt           int
	ends              float64 // engine.tokens at which the response is whole
	done              int     // tokens delivered
	first, end        float64 // first token, end of the response
	delivered, over   bool
	granted           float64
	grant             string
	avoid             []string
}

// inTime reports whether the targets for the first token and the pace were met.
func (r *request) inTime() bool {
	return r.delivered && r.first-r.arrive <= r.class.target && r.end-r.first <= r.class.between*float64(r.tokens)
}

// generate returns the arrivals of a scenario in order of time.
func generate(s *service, sc scenario, seed uint64) (all []*request) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	for _, c := range s.classes {
		base := s.capacity() * c.share * sc.load
		most := base
		if sc.burst > 0 && sc.burstClass == c.index {
			most *= sc.burst
		}
		for t := rnd.ExpFloat64() / most; t < arrivalsUntil; t += rnd.ExpFloat64() / most {
			if inBurst := t >= 40 && t < 70; !inBurst && rnd.Float64()*most > base {
				continue
			}
			k := rnd.IntN(3) // three of ten customers send most requests
			if rnd.Float64() > 0.7 {
				k = 3 + rnd.IntN(7)
			}
			all = append(all, &request{
				class: c, customer: fmt.Sprint("customer", k), arrive: t, entry: rnd.IntN(entries),
				tokens: max(1, int(c.median*math.Exp(c.sigma*rnd.NormFloat64()))),
				prefix: uint64(1 + c.index + 2*(k*20+rnd.IntN(20))),
			})
		}
	}
	all = append(all, generateFlood(s, sc, seed)...)
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.arrive, b.arrive) })
	for i, r := range all {
		r.id = fmt.Sprint("r", i)
	}
	return all
}

// generateFlood returns the additional requests of the large customer. They are
// drawn apart, so that all others are the same with and without them.
func generateFlood(s *service, sc scenario, seed uint64) (all []*request) {
	if sc.flood == 0 {
		return nil
	}
	rnd := rand.New(rand.NewPCG(seed, 13))
	c := s.classes[sc.floodClass]
	for t := 40 + rnd.ExpFloat64()/(s.capacity()*sc.flood); t < 70; t += rnd.ExpFloat64() / (s.capacity() * sc.flood) {
		all = append(all, &request{
			class: c, customer: largeCustomer, arrive: t, entry: rnd.IntN(entries),
			tokens: max(1, int(c.median*math.Exp(c.sigma*rnd.NormFloat64()))),
			prefix: uint64(1 + c.index + 2*rnd.IntN(20)),
		})
	}
	return all
}
