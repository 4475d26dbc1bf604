package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// starvation is a lasting overload by all three tiers.
type starvation struct {
	bound    time.Duration // zero: the default
	service  [Tiers]time.Duration
	deadline time.Duration
	slots    int
	lasts    time.Duration
	// headStart lets the top tier take all slots first.
	headStart time.Duration
	alone     bool // only the top tier sends requests
}

// starvationRun is the state of one run.
type starvationRun struct {
	starvation
	*bench
	served   [Tiers]time.Time
	ends     map[time.Time][]string
	admitted map[string]bool // by prediction, top tier
	result   starvationResult
}

// starvationResult is what the callers saw.
type starvationResult struct {
	// longest is the longest time that any class went unserved.
	longest time.Duration
	// top counts grants of the top tier.
	top int
	// lane is the time of grants from the reserved lane, until the end of the
	// run, and hold the longest of them.
	lane, hold time.Duration
	// lost counts requests of the top tier that were admitted by prediction and
	// refused later, after learned.
	lost int
}

// learned is when the lane has served each starved class once.
const learned = time.Minute

func (s starvation) run() starvationResult {
	policy := Policy{Classes: map[string]ClassPolicy{}}
	r := &starvationRun{starvation: s, ends: map[time.Time][]string{}, admitted: map[string]bool{}}
	for i := range Tiers {
		policy.Classes[fmt.Sprint("class", i)] = ClassPolicy{StarvationBound: s.bound}
		r.served[i] = epoch
	}
	r.bench = newBench(Config{}, policy, engine("a", s.slots))
	const step = 50 * time.Millisecond
	for n := range int(s.lasts / step) {
		r.now = r.now.Add(step)
		r.keep()
		for tier, service := range s.service {
			// Each tier alone asks for one and a half times the capacity at least.
			each := max(1, min(10, int(service*2/step)/(3*s.slots)))
			for i := range 1 + s.slots*3*int(step)/int(2*service) {
				if n%each == 0 && (tier == 0 || !s.alone && r.now.Sub(epoch) > s.headStart) {
					r.arrive(tier, fmt.Sprintf("%d-%d-%d", n, tier, i))
				}
			}
		}
		for _, id := range r.ends[r.now] {
			d := r.now.Sub(r.grants[id].granted)
			r.collect(r.Release(r.now, id, Outcome{Tokens: int(d / (20 * time.Millisecond)), Duration: d}))
		}
		r.collect(r.Tick(r.now))
	}
	for _, last := range r.served {
		r.result.longest = max(r.result.longest, r.now.Sub(last))
	}
	return r.result
}

func (r *starvationRun) arrive(tier int, id string) {
	q := request(id, tier)
	q.Deadline = r.deadline
	out := r.ask(q)
	if w := r.waiting[id]; w != nil && tier == 0 && !w.protected() {
		r.admitted[id] = true
	}
	r.collect(out)
}

func (r *starvationRun) collect(out []Decision) {
	for _, d := range out {
		if f, ok := d.(Refused); ok && r.admitted[f.RequestID] && r.now.Sub(epoch) >= learned {
			r.result.lost++
		}
	}
	for _, g := range grantsOf(out) {
		r.result.longest = max(r.result.longest, r.now.Sub(r.served[g.Priority]))
		r.served[g.Priority] = r.now
		service := r.service[g.Priority]
		r.ends[r.now.Add(service)] = append(r.ends[r.now.Add(service)], g.GrantID)
		if g.Priority == 0 {
			r.result.top++
		}
		if g.Reserved {
			r.result.lane += min(service, epoch.Add(r.lasts).Sub(r.now))
			r.result.hold = max(r.result.hold, service)
		}
	}
}

func equal(d time.Duration) [Tiers]time.Duration { return [Tiers]time.Duration{d, d, d} }

// Guards against starvation: under a lasting overload of higher tiers every
// class with waiting requests is served within its bound plus the time until a
// slot is free and the time that the lane serves each other starved class.
func TestNoClassStarves(t *testing.T) {
	for _, s := range []starvation{
		{bound: time.Second, service: equal(100 * time.Millisecond), slots: 8},
		{bound: time.Second, service: equal(2 * time.Second), slots: 8},
		{bound: 3 * time.Second, service: equal(500 * time.Millisecond), slots: 8},
		{bound: 3 * time.Second, service: equal(2 * time.Second), slots: 40},
		{bound: 5 * time.Second, service: equal(time.Second), slots: 20},
	} {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			const tick = 50 * time.Millisecond
			s.deadline, s.lasts = 2*time.Second, 20*time.Second
			got := s.run().longest
			if most := s.bound + (Tiers-1)*s.service[0] + 2*tick; got > most {
				t.Fatalf("a class went unserved for %v, more than %v", got, most)
			}
			if got <= s.bound {
				t.Fatalf("the longest wait of %v does not reach the bound: no overload", got)
			}
		})
	}
}

// Guards against starvation in groups without slots of their own for the lane,
// and against a lane that takes more from the top tier than its share: no class
// goes a minute without service, the lane keeps to its share but for one
// service, and the top tier loses no more than the lane gets.
func TestNoClassStarvesInSmallGroups(t *testing.T) {
	const second = time.Second
	for _, slots := range []int{1, 2, 4, 7} {
		for _, service := range [][Tiers]time.Duration{
			equal(second), equal(5 * second), {second / 5, 5 * second, 5 * second}, {5 * second, second / 5, second},
		} {
			for _, deadline := range []time.Duration{10 * second, 60 * second} {
				s := starvation{service: service, deadline: deadline, slots: slots, lasts: 180 * second, headStart: 5 * second}
				t.Run(fmt.Sprint(slots, service, deadline), func(t *testing.T) { s.check(t) })
			}
		}
	}
}

func (s starvation) check(t *testing.T) {
	got := s.run()
	s.alone = true
	alone := s.run()
	t.Logf("%+v, top tier alone: %d", got, alone.top)
	if got.longest >= time.Minute {
		t.Errorf("a class went unserved for %v", got.longest)
	}
	if got.longest <= DefaultStarvationBound {
		t.Errorf("the longest wait of %v does not reach the bound: no overload", got.longest)
	}
	share := max(0.25, 0.05*float64(s.slots))
	if most := time.Duration(share*float64(s.lasts)) + got.hold; got.lane > most {
		t.Errorf("the lane took %v, more than %v", got.lane, most)
	}
	if lost := time.Duration(alone.top-got.top) * s.service[0]; lost > got.lane+time.Duration(s.slots)*s.service[0] {
		t.Errorf("the top tier lost %v to a lane of %v", lost, got.lane)
	}
}

// Guards against a lane that costs admitted requests of the top tier their
// deadlines: in 2 minutes 6 grants from the lane occupy the only slot for 5 s
// each. Without laneDelay 180 and 198 admitted requests are refused.
func TestLaneSparesAdmittedRequests(t *testing.T) {
	const second = time.Second
	s := starvation{
		service: [Tiers]time.Duration{second / 5, 5 * second, 5 * second},
		slots:   1, lasts: 180 * second, headStart: 5 * second,
	}
	for deadline, most := range map[time.Duration]int{2 * second: 24, 10 * second: 36} {
		s.deadline = deadline
		if got := s.run(); got.lost > most {
			t.Errorf("deadline %v: %d admitted requests were refused, more than %d", deadline, got.lost, most)
		}
	}
}

// Guards against a lane that takes the only slot while an admitted request of the
// top tier needs it: a request that the lane would make late is refused early,
// and only then.
func TestLaneCountsAtAdmission(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name     string
		at       time.Duration
		debt     float64
		deadline time.Duration
		want     []string
	}{
		{"long before the class is starved", 10 * second, 0, 2 * second, nil},
		{"just before", 19950 * time.Millisecond, 0, 2 * second, []string{"r deadline_unreachable"}},
		{"just before, with a deadline that bears it", 19950 * time.Millisecond, 0, 20 * second, nil},
		{"just before, but the lane has used its share", 19950 * time.Millisecond, 10, 2 * second, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(Config{Kind: Plain}, Policy{}, engine("a", 1))
			one(c, b.ask(request("running", 0)))
			b.ask(request("head", 0))
			b.ask(request("low", 2))
			b.classes["class2"].hold = 5
			b.pass(test.at)
			b.lane = lane{debt: test.debt, at: b.now}
			r := request("r", 0)
			r.Deadline = test.deadline
			c.Assert(refusalsOf(b.ask(r)), qt.DeepEquals, test.want)
		})
	}
}
