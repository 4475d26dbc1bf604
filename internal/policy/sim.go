package policy

import (
	"fmt"
	"math/rand/v2"

	"github.com/google/btree"
)

// hop is the one-way time between an entry and the scheduler or an engine.
const hop = 0.001

// router decides on which engine a request runs.
type router interface {
	submit(r *request)                       // new or failed request
	ended(r *request, e *engine, whole bool) // it has left its engine
	left(r *request)                         // the caller of a waiting request has gone
	waits(tier int) bool                     // a request of a higher tier waits for an engine
}

type event struct {
	at  float64
	seq int
	run func()
}

// sim is one run.
type sim struct {
	now      float64
	events   *btree.BTreeG[event]
	seq      int
	service  *service
	scenario scenario
	rnd      *rand.Rand
	engines  []*engine
	router   router
	result   Result
	waiting  []int     // by class
	unserved []float64 // by class: since when it waits without service
}

func (s *sim) after(d float64, run func()) {
	s.seq++
	s.events.ReplaceOrInsert(event{s.now + d, s.seq, run})
}

// run measures one router.
func run(sv *service, sc scenario, routerName string, seed uint64) Result {
	s := &sim{service: sv, scenario: sc, rnd: rand.New(rand.NewPCG(seed, 11))}
	s.events = btree.NewG(32, func(a, b event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq })
	s.waiting, s.unserved = make([]int, len(sv.classes)), make([]float64, len(sv.classes))
	s.result = Result{Service: sv.name, Scenario: sc.name, Router: routerName}
	for _, c := range sv.classes {
		s.result.Classes = append(s.result.Classes, ClassResult{Name: c.name})
	}
	for i := range sv.replicas {
		s.engines = append(s.engines, &engine{id: fmt.Sprint("n", i), sim: s, slow: 1, incarnation: 1})
	}
	s.router = newRouter(s, routerName)
	requests := generate(sv, sc, seed)
	for _, r := range requests {
		s.after(r.arrive, func() { s.arrive(r) })
	}
	s.planFaults()
	for e, ok := s.events.DeleteMin(); ok && e.at < drainUntil; e, ok = s.events.DeleteMin() {
		s.now = e.at
		e.run()
	}
	s.result.collect(requests)
	return s.result
}

func (s *sim) planFaults() {
	e := s.engines[0]
	slow := func(factor float64) {
		e.advance()
		e.slow = factor
		e.fill()
	}
	if s.scenario.slowed {
		s.after(30, func() { slow(5) })
		s.after(90, func() { slow(1) })
	}
	if s.scenario.crashed {
		s.after(30, e.crash)
		s.after(50, func() { e.down = false })
	}
}

func (s *sim) arrive(r *request) {
	s.wait(r)
	s.router.submit(r)
	s.after(r.class.deadline, func() { s.leave(r) })
}

// leave ends a request whose caller has not seen a token by the deadline.
func (s *sim) leave(r *request) {
	if r.over || r.first > 0 && r.first <= s.now {
		return
	}
	if !r.running {
		s.waiting[r.class.index]--
	}
	r.over = true
	e := r.engine
	if e == nil {
		s.router.left(r)
		return
	}
	e.advance()
	e.take(r)
	e.fill()
	s.router.ended(r, e, false)
}

func (s *sim) refused(r *request) {
	if !r.over {
		r.over = true
		s.waiting[r.class.index]--
		s.result.refused++
	}
}

func (s *sim) wait(r *request) {
	c := r.class.index
	if s.waiting[c]++; s.waiting[c] == 1 {
		s.unserved[c] = s.now
	}
}

// started is told by an engine that it runs a request.
func (s *sim) started(r *request) {
	c := r.class.index
	s.waiting[c]--
	if s.unserved[c] >= countedFrom {
		s.result.Classes[c].Unserved = max(s.result.Classes[c].Unserved, s.now-s.unserved[c])
	}
	s.unserved[c] = s.now
	if s.router.waits(r.class.tier) {
		s.result.violations++
	}
}

// finished is told by an engine that a request has ended there.
func (s *sim) finished(r *request, whole bool) {
	s.router.ended(r, r.last, whole)
	if whole || r.class.once && r.attempt > 0 { // it may have run
		r.delivered, r.over, r.end = whole, true, s.now
		return
	}
	s.wait(r)
	s.retry(r, r.last)
}

// retry sends a request to another endpoint.
func (s *sim) retry(r *request, failed *engine) {
	r.avoid = []string{failed.id}
	s.after(hop, func() {
		if !r.over {
			s.router.submit(r)
		}
	})
}
