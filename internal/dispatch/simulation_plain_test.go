package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// plainSimCase is a load on a plain service. Its endpoints serve a number of
// requests at once, queue a further number and reject the rest.
type plainSimCase struct {
	endpoints, slots, queue, entries             int
	serviceTimeMs, serviceTimeSigma              float64
	ratePerS                                     float64
	objective, callerTimeout                     time.Duration
	lateValue                                    float64
	lengthMs, loadIntervalMs, busyLoadIntervalMs float64
	seed                                         uint64
}

type plainSimRequest struct {
	demand         Demand
	firstArrivalMs float64
	tries          int
	entry          int
	choice         Choice
}

type plainSimEndpoint struct {
	id      string
	running int
	queue   []*plainSimRequest
}

// simulatePlain runs a case and returns the share of the possible value that was
// earned and the share of the requests without a response.
func simulatePlain(c plainSimCase) (valueShare, unanswered float64) {
	p := &simulation{random: rand.New(rand.NewPCG(c.seed, 77)), arrivals: rand.New(rand.NewPCG(c.seed, 78))}
	p.c = simCase{entries: c.entries, loadIntervalMs: c.loadIntervalMs, busyLoadIntervalMs: c.busyLoadIntervalMs, lengthMs: c.lengthMs, oneWayMs: 1, domains: 3}
	endpoints := make(map[string]*plainSimEndpoint)
	var list []Endpoint
	for i := range c.endpoints {
		e := &plainSimEndpoint{id: fmt.Sprint("plain-", i)}
		endpoints[e.id] = e
		list = append(list, Endpoint{ID: e.id, Incarnation: 1, Address: e.id, Domain: fmt.Sprint(i % 3), Slots: c.slots})
	}
	for i := range c.entries {
		b := NewBalancer(fmt.Sprint(i%3), nil, rand.New(rand.NewPCG(c.seed, uint64(i))))
		b.SetEndpoints(list, c.entries)
		p.balancers = append(p.balancers, b)
		p.published = append(p.published, make(map[string]Load))
		p.schedule(p.random.Float64()*c.loadIntervalMs, func() { p.exchangeLoads(i) })
	}
	possible, earnedValue, answered := 0, 0.0, 0
	var serve func(r *plainSimRequest, avoid []string)
	var begin func(e *plainSimEndpoint, r *plainSimRequest)
	refuse := func(r *plainSimRequest) {
		if r.tries++; r.tries > 1 {
			return
		}
		wait := RetryAfter(c.objective, r.choice.Lateness, p.random.Float64())
		p.schedule(float64(wait)/float64(time.Millisecond), func() {
			r.entry, r.demand.Arrived = p.random.IntN(c.entries), p.time()
			serve(r, nil)
		})
	}
	begin = func(e *plainSimEndpoint, r *plainSimRequest) {
		e.running++
		work := c.serviceTimeMs * math.Exp(c.serviceTimeSigma*p.arrivals.NormFloat64()-c.serviceTimeSigma*c.serviceTimeSigma/2)
		p.schedule(work, func() {
			e.running--
			report := Report{Running: e.running, Waiting: len(e.queue), Slots: c.slots}
			p.schedule(p.c.oneWayMs, func() {
				b := p.balancers[r.entry]
				b.RecordReport(p.time(), &r.choice, report)
				b.RecordOutcome(p.time(), &r.choice, Answered)
				if r.demand.Deadline.Before(p.time()) {
					return
				}
				answered++
				if p.now-r.firstArrivalMs <= float64(c.objective.Milliseconds()) {
					earnedValue++
				} else {
					earnedValue += c.lateValue
				}
			})
			if len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				begin(e, next)
			}
		})
	}
	serve = func(r *plainSimRequest, avoid []string) {
		b := p.balancers[r.entry]
		choice, ok := b.Choose(p.time(), r.demand, avoid)
		decision := Refuse
		if ok {
			r.choice = choice
			if decision = Send; len(avoid) == 0 {
				decision = Admit(p.time(), r.demand, choice)
			}
		}
		switch decision {
		case Wait:
			p.schedule(float64(WaitStep.Milliseconds()), func() { serve(r, nil) })
			return
		case Refuse:
			refuse(r)
			return
		}
		b.RecordSent(p.time(), &r.choice, r.demand)
		e := endpoints[choice.Endpoint.ID]
		p.schedule(p.c.oneWayMs, func() {
			switch {
			case e.running < c.slots:
				begin(e, r)
			case len(e.queue) < c.queue:
				e.queue = append(e.queue, r)
			default:
				p.schedule(p.c.oneWayMs, func() {
					b.RecordReport(p.time(), &r.choice, Report{Running: c.slots, Waiting: c.queue, Slots: c.slots})
					b.RecordOutcome(p.time(), &r.choice, Rejected)
					serve(r, append(avoid, e.id))
				})
			}
		})
	}
	var arrive func()
	arrive = func() {
		if p.now >= c.lengthMs {
			return
		}
		p.schedule(p.arrivals.ExpFloat64()*1000/c.ratePerS, arrive)
		possible++
		now := p.time()
		serve(&plainSimRequest{
			demand:         Demand{Objective: c.objective, Arrived: now, Deadline: now.Add(c.callerTimeout)},
			firstArrivalMs: p.now, entry: p.arrivals.IntN(c.entries),
		}, nil)
	}
	arrive()
	p.runEvents()
	return earnedValue / float64(possible), 1 - float64(answered)/float64(possible)
}

// TestSimulatedPlainServicePeakLoad guards against queues at plain endpoints that
// make every request late as soon as the load slightly exceeds the capacity, as
// after the loss of two of three endpoints.
func TestSimulatedPlainServicePeakLoad(t *testing.T) {
	for _, c := range []struct {
		name      string
		endpoints int
		ratePerS  float64
	}{{"three endpoints", 3, 170}, {"the last endpoint", 1, 165}, {"the last endpoint at 1.15 times capacity", 1, 205}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				valueShare, unanswered := simulatePlain(plainSimCase{
					endpoints: c.endpoints, slots: 6, queue: 24, entries: 72, serviceTimeMs: 34, serviceTimeSigma: 0.6, ratePerS: c.ratePerS, objective: 150 * time.Millisecond,
					callerTimeout: 1200 * time.Millisecond, lateValue: 0.3, lengthMs: 20_000, loadIntervalMs: 360, busyLoadIntervalMs: 100, seed: seed + 1,
				})
				t.Logf("value share %.3f, unanswered %.3f", valueShare, unanswered)
				qt.Check(t, valueShare >= targetValueShare, qt.IsTrue)
			}
		})
	}
}
