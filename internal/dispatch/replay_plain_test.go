package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// plainCase is a load on a plain service: endpoints that serve some requests at
// once, queue some more and turn away the rest.
type plainCase struct {
	endpoints, slots, queue, entries int
	workMs, spread                   float64
	rate                             float64
	objective, patience              time.Duration
	late                             float64
	length, loadEvery, busyLoadEvery float64
	seed                             uint64
}

type plainRequest struct {
	d      Demand
	first  float64
	tries  int
	entry  int
	choice Choice
}

type plainEndpoint struct {
	id      string
	running int
	queue   []*plainRequest
}

// runPlain plays a load and returns the share of the owed worth and the share of
// the requests that got no answer.
func runPlain(c plainCase) (worth, unanswered float64) {
	p := &replay{random: rand.New(rand.NewPCG(c.seed, 77)), arrivals: rand.New(rand.NewPCG(c.seed, 78))}
	p.c = replayCase{entries: c.entries, loadEvery: c.loadEvery, busyLoadEvery: c.busyLoadEvery, length: c.length, oneWay: 1, domains: 3}
	endpoints := make(map[string]*plainEndpoint)
	var list []Endpoint
	for i := range c.endpoints {
		e := &plainEndpoint{id: fmt.Sprint("plain-", i)}
		endpoints[e.id] = e
		list = append(list, Endpoint{ID: e.id, Incarnation: 1, Address: e.id, Domain: fmt.Sprint(i % 3), Slots: c.slots})
	}
	for i := range c.entries {
		b := NewBalancer(fmt.Sprint(i%3), nil, rand.New(rand.NewPCG(c.seed, uint64(i))))
		b.SetEndpoints(list, c.entries)
		p.balancers = append(p.balancers, b)
		p.told = append(p.told, make(map[string]Load))
		p.after(p.random.Float64()*c.loadEvery, func() { p.share(i) })
	}
	owed, earned, answered := 0, 0.0, 0
	var serve func(r *plainRequest, avoid []string)
	var begin func(e *plainEndpoint, r *plainRequest)
	refuse := func(r *plainRequest) {
		if r.tries++; r.tries > 1 {
			return
		}
		wait := ReturnAfter(c.objective, r.choice.Behind, p.random.Float64())
		p.after(float64(wait)/float64(time.Millisecond), func() {
			r.entry, r.d.Arrived = p.random.IntN(c.entries), p.time()
			serve(r, nil)
		})
	}
	begin = func(e *plainEndpoint, r *plainRequest) {
		e.running++
		work := c.workMs * math.Exp(c.spread*p.arrivals.NormFloat64()-c.spread*c.spread/2)
		p.after(work, func() {
			e.running--
			report := Report{Running: e.running, Waiting: len(e.queue), Slots: c.slots}
			p.after(p.c.oneWay, func() {
				b := p.balancers[r.entry]
				b.Reported(p.time(), &r.choice, report)
				b.Ended(p.time(), &r.choice, Answered)
				if r.d.Deadline.Before(p.time()) {
					return
				}
				answered++
				if p.now-r.first <= float64(c.objective.Milliseconds()) {
					earned++
				} else {
					earned += c.late
				}
			})
			if len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				begin(e, next)
			}
		})
	}
	serve = func(r *plainRequest, avoid []string) {
		b := p.balancers[r.entry]
		choice, ok := b.Choose(p.time(), r.d, avoid)
		decision := Refuse
		if ok {
			r.choice = choice
			if decision = Send; len(avoid) == 0 {
				decision = Admit(p.time(), r.d, choice)
			}
		}
		switch decision {
		case Wait:
			p.after(float64(WaitStep.Milliseconds()), func() { serve(r, nil) })
			return
		case Refuse:
			refuse(r)
			return
		}
		b.Sent(p.time(), &r.choice, r.d)
		e := endpoints[choice.Endpoint.ID]
		p.after(p.c.oneWay, func() {
			switch {
			case e.running < c.slots:
				begin(e, r)
			case len(e.queue) < c.queue:
				e.queue = append(e.queue, r)
			default:
				p.after(p.c.oneWay, func() {
					b.Reported(p.time(), &r.choice, Report{Running: c.slots, Waiting: c.queue, Slots: c.slots})
					b.Ended(p.time(), &r.choice, Rejected)
					serve(r, append(avoid, e.id))
				})
			}
		})
	}
	var arrive func()
	arrive = func() {
		if p.now >= c.length {
			return
		}
		p.after(p.arrivals.ExpFloat64()*1000/c.rate, arrive)
		owed++
		now := p.time()
		serve(&plainRequest{
			d:     Demand{Objective: c.objective, Arrived: now, Deadline: now.Add(c.patience)},
			first: p.now, entry: p.arrivals.IntN(c.entries),
		}, nil)
	}
	arrive()
	p.play()
	return earned / float64(owed), 1 - float64(answered)/float64(owed)
}

// Guards against plain endpoints whose queues make every request late once they
// get a little more than they can serve, as when two of three have left.
func TestPlainServiceAtWorstLoad(t *testing.T) {
	for _, c := range []struct {
		name      string
		endpoints int
		rate      float64
	}{{"three endpoints", 3, 170}, {"the last endpoint", 1, 165}, {"the last endpoint at 1.15 times capacity", 1, 205}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				worth, unanswered := runPlain(plainCase{
					endpoints: c.endpoints, slots: 6, queue: 24, entries: 72, workMs: 34, spread: 0.6, rate: c.rate, objective: 150 * time.Millisecond,
					patience: 1200 * time.Millisecond, late: 0.3, length: 20_000, loadEvery: 360, busyLoadEvery: 100, seed: seed + 1,
				})
				t.Logf("worth %.3f, unanswered %.3f", worth, unanswered)
				qt.Check(t, worth >= targetWorth, qt.IsTrue)
			}
		})
	}
}
