package policy

import (
	"fmt"
	"math/rand/v2"

	"github.com/google/btree"
)

// hop is the one-way latency between an entry and the scheduler or an engine, in
// seconds.
const hop = 0.001

// router decides on which engine a request runs.
type router interface {
	submit(r *request)                                 // called for a new request and for each retry
	requestEnded(r *request, e *engine, complete bool) // the request has left its engine
	callerDisconnected(r *request)                     // the caller of a waiting request has disconnected
	higherTierWaits(tier int) bool                     // reports whether a request of a higher tier waits for an engine
}

// event is a function call at a simulated time. seq orders events at the same time.
type event struct {
	at  float64
	seq int
	run func()
}

// sim is the simulation of one run.
type sim struct {
	now            float64
	events         *btree.BTreeG[event]
	seq            int
	service        *service
	scenario       scenario
	rng            *rand.Rand
	engines        []*engine
	router         router
	result         Result
	waitingByClass []int
	unservedSince  []float64 // by class: when the current wait without a started request began
}

// after schedules a call of run in d seconds.
func (s *sim) after(d float64, run func()) {
	s.seq++
	s.events.ReplaceOrInsert(event{s.now + d, s.seq, run})
}

// run simulates one router in one scenario and returns its measurements.
func run(svc *service, sc scenario, routerName string, seed uint64) Result {
	s := &sim{service: svc, scenario: sc, rng: rand.New(rand.NewPCG(seed, 11))}
	s.events = btree.NewG(32, func(a, b event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq })
	s.waitingByClass, s.unservedSince = make([]int, len(svc.classes)), make([]float64, len(svc.classes))
	s.result = Result{Service: svc.name, Scenario: sc.name, Router: routerName}
	for _, c := range svc.classes {
		s.result.Classes = append(s.result.Classes, ClassResult{Name: c.name})
	}
	for i := range svc.replicas {
		s.engines = append(s.engines, &engine{id: fmt.Sprint("n", i), sim: s, slowdown: 1, incarnation: 1})
	}
	s.router = newRouter(s, routerName)
	requests := generateArrivals(svc, sc, seed)
	for _, r := range requests {
		s.after(r.arrived, func() { s.arrived(r) })
	}
	s.scheduleFaults()
	for e, ok := s.events.DeleteMin(); ok && e.at < simulationEnd; e, ok = s.events.DeleteMin() {
		s.now = e.at
		e.run()
	}
	s.result.aggregate(requests)
	return s.result
}

// scheduleFaults schedules the faults of the scenario, all on the first engine.
func (s *sim) scheduleFaults() {
	e := s.engines[0]
	slowdown := func(factor float64) {
		e.advanceProgress()
		e.slowdown = factor
		e.startQueued()
	}
	if s.scenario.slowEngine {
		s.after(30, func() { slowdown(5) })
		s.after(90, func() { slowdown(1) })
	}
	if s.scenario.engineCrash {
		s.after(30, e.crash)
		s.after(50, func() { e.down = false })
	}
}

// arrived is called when a request arrives at its entry.
func (s *sim) arrived(r *request) {
	s.startWaiting(r)
	s.router.submit(r)
	s.after(r.class.callerTimeout, func() { s.expireRequest(r) })
}

// expireRequest ends a request whose first token has not arrived when its caller
// timeout elapses.
func (s *sim) expireRequest(r *request) {
	if r.ended || r.firstTokenAt > 0 && r.firstTokenAt <= s.now {
		return
	}
	if !r.running {
		s.waitingByClass[r.class.index]--
	}
	r.ended = true
	e := r.engine
	if e == nil {
		s.router.callerDisconnected(r)
		return
	}
	e.advanceProgress()
	e.remove(r)
	e.startQueued()
	s.router.requestEnded(r, e, false)
}

// refused ends a request that the core refused.
func (s *sim) refused(r *request) {
	if !r.ended {
		r.ended = true
		s.waitingByClass[r.class.index]--
		s.result.refused++
	}
}

func (s *sim) startWaiting(r *request) {
	c := r.class.index
	if s.waitingByClass[c]++; s.waitingByClass[c] == 1 {
		s.unservedSince[c] = s.now
	}
}

// requestStarted is called by an engine when it starts a request.
func (s *sim) requestStarted(r *request) {
	c := r.class.index
	s.waitingByClass[c]--
	if s.unservedSince[c] >= measurementStart {
		s.result.Classes[c].Unserved = max(s.result.Classes[c].Unserved, s.now-s.unservedSince[c])
	}
	s.unservedSince[c] = s.now
	if s.router.higherTierWaits(r.class.tier) {
		s.result.tierViolations++
	}
}

// requestFinished is called by an engine when a request has completed or failed there.
func (s *sim) requestFinished(r *request, complete bool) {
	s.router.requestEnded(r, r.lastEngine, complete)
	if complete || r.class.atMostOnce && r.attempt > 0 { // an incomplete at-most-once request may have run
		r.delivered, r.ended, r.endedAt = complete, true, s.now
		return
	}
	s.startWaiting(r)
	s.retry(r, r.lastEngine)
}

// retry submits a request again after one hop, to an engine other than failed.
func (s *sim) retry(r *request, failed *engine) {
	r.avoidEndpoints = []string{failed.id}
	s.after(hop, func() {
		if !r.ended {
			s.router.submit(r)
		}
	})
}
