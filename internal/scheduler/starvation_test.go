package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// overloadScenario is a sustained overload by all three tiers.
type overloadScenario struct {
	bound    time.Duration // StarvationBound; zero means the default
	service  [Tiers]time.Duration
	deadline time.Duration
	slots    int
	lasts    time.Duration
	// headStart is the time before lower tiers send their first requests, in
	// which the top tier takes all slots.
	headStart time.Duration
	alone     bool // whether only the top tier sends requests
}

// overloadRun is the state of one run of an overloadScenario.
type overloadRun struct {
	overloadScenario
	*bench
	lastServed  [Tiers]time.Time
	completions map[time.Time][]string
	admitted    map[string]bool // requests of the top tier admitted by prediction
	result      overloadResult
}

// overloadResult is what the callers observed.
type overloadResult struct {
	// longest is the longest time that any class went unserved.
	longest time.Duration
	// top counts grants of the top tier.
	top int
	// lane is the total time of grants of reserved slots until the end of the
	// run, and hold the longest of these grants.
	lane, hold time.Duration
	// lost counts requests of the top tier that were admitted by prediction and
	// refused later. It leaves out refusals within the learningPeriod.
	lost int
}

// learningPeriod is the time after which each starved class has been served once
// by a reserved slot, so that its service time is known.
const learningPeriod = time.Minute

func (s overloadScenario) run() overloadResult {
	policy := Policy{Classes: map[string]ClassPolicy{}}
	r := &overloadRun{overloadScenario: s, completions: map[time.Time][]string{}, admitted: map[string]bool{}}
	for i := range Tiers {
		policy.Classes[fmt.Sprint("class", i)] = ClassPolicy{StarvationBound: s.bound}
		r.lastServed[i] = epoch
	}
	r.bench = newBench(Config{}, policy, engine("a", s.slots))
	const step = 50 * time.Millisecond
	for n := range int(s.lasts / step) {
		r.now = r.now.Add(step)
		r.repeatAndRenew()
		for tier, service := range s.service {
			// Each tier alone requests at least one and a half times the capacity.
			every := max(1, min(10, int(service*2/step)/(3*s.slots)))
			for i := range 1 + s.slots*3*int(step)/int(2*service) {
				if n%every == 0 && (tier == 0 || !s.alone && r.now.Sub(epoch) > s.headStart) {
					r.arrive(tier, fmt.Sprintf("%d-%d-%d", n, tier, i))
				}
			}
		}
		for _, id := range r.completions[r.now] {
			d := r.now.Sub(r.grants[id].granted)
			r.record(r.Release(r.now, id, Outcome{Tokens: int(d / (20 * time.Millisecond)), Duration: d}))
		}
		r.record(r.Tick(r.now))
	}
	for _, last := range r.lastServed {
		r.result.longest = max(r.result.longest, r.now.Sub(last))
	}
	return r.result
}

func (r *overloadRun) arrive(tier int, id string) {
	q := request(id, tier)
	q.Deadline = r.deadline
	out := r.enqueueNow(q)
	if w := r.waiting[id]; w != nil && tier == 0 && !w.protected() {
		r.admitted[id] = true
	}
	r.record(out)
}

func (r *overloadRun) record(out []Decision) {
	for _, d := range out {
		if f, ok := d.(Refused); ok && r.admitted[f.RequestID] && r.now.Sub(epoch) >= learningPeriod {
			r.result.lost++
		}
	}
	for _, g := range grantsOf(out) {
		r.result.longest = max(r.result.longest, r.now.Sub(r.lastServed[g.Priority]))
		r.lastServed[g.Priority] = r.now
		service := r.service[g.Priority]
		r.completions[r.now.Add(service)] = append(r.completions[r.now.Add(service)], g.GrantID)
		if g.Priority == 0 {
			r.result.top++
		}
		if g.Reserved {
			r.result.lane += min(service, epoch.Add(r.lasts).Sub(r.now))
			r.result.hold = max(r.result.hold, service)
		}
	}
}

func sameForAllTiers(d time.Duration) [Tiers]time.Duration { return [Tiers]time.Duration{d, d, d} }

// TestNoClassStarves guards against starvation: under a sustained overload by
// higher tiers every class with waiting requests is served within its bound,
// plus the time until a slot is free, plus the time in which the reserved slot
// serves each other starved class.
func TestNoClassStarves(t *testing.T) {
	for _, s := range []overloadScenario{
		{bound: time.Second, service: sameForAllTiers(100 * time.Millisecond), slots: 8},
		{bound: time.Second, service: sameForAllTiers(2 * time.Second), slots: 8},
		{bound: 3 * time.Second, service: sameForAllTiers(500 * time.Millisecond), slots: 8},
		{bound: 3 * time.Second, service: sameForAllTiers(2 * time.Second), slots: 40},
		{bound: 5 * time.Second, service: sameForAllTiers(time.Second), slots: 20},
	} {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			const tick = 50 * time.Millisecond
			s.deadline, s.lasts = 2*time.Second, 20*time.Second
			got := s.run().longest
			if most := s.bound + (Tiers-1)*s.service[0] + 2*tick; got > most {
				t.Fatalf("a class went unserved for %v, more than %v", got, most)
			}
			if got <= s.bound {
				t.Fatalf("the longest wait of %v does not exceed the bound: the scenario does not overload the group", got)
			}
		})
	}
}

// TestNoClassStarvesInSmallGroups guards against starvation in groups that are
// too small for a permanently reserved slot, and against reserved grants that
// take more slot time from the top tier than their share: no class goes a
// minute without service, reserved grants exceed their share by one grant at
// most, and the top tier loses no more than the reserved grants get.
func TestNoClassStarvesInSmallGroups(t *testing.T) {
	const second = time.Second
	for _, slots := range []int{1, 2, 4, 7} {
		for _, service := range [][Tiers]time.Duration{
			sameForAllTiers(second), sameForAllTiers(5 * second), {second / 5, 5 * second, 5 * second}, {5 * second, second / 5, second},
		} {
			for _, deadline := range []time.Duration{10 * second, 60 * second} {
				s := overloadScenario{service: service, deadline: deadline, slots: slots, lasts: 180 * second, headStart: 5 * second}
				t.Run(fmt.Sprint(slots, service, deadline), func(t *testing.T) { s.check(t) })
			}
		}
	}
}

func (s overloadScenario) check(t *testing.T) {
	got := s.run()
	s.alone = true
	alone := s.run()
	t.Logf("%+v, top tier alone: %d", got, alone.top)
	if got.longest >= time.Minute {
		t.Errorf("a class went unserved for %v", got.longest)
	}
	if got.longest <= DefaultStarvationBound {
		t.Errorf("the longest wait of %v does not exceed the bound: the scenario does not overload the group", got.longest)
	}
	share := max(0.25, 0.05*float64(s.slots))
	if most := time.Duration(share*float64(s.lasts)) + got.hold; got.lane > most {
		t.Errorf("reserved grants took %v, more than %v", got.lane, most)
	}
	if lost := time.Duration(alone.top-got.top) * s.service[0]; lost > got.lane+time.Duration(s.slots)*s.service[0] {
		t.Errorf("the top tier lost %v while reserved grants took %v", lost, got.lane)
	}
}

// TestReservedSlotSparesAdmittedRequests guards against reserved grants that
// make admitted requests of the top tier miss their deadlines: in 2 minutes 6
// reserved grants occupy the only slot for 5 s each. If admission did not count
// the delay by reserved grants, 180 (deadline 2 s) and 198 (deadline 10 s)
// admitted requests would be refused.
func TestReservedSlotSparesAdmittedRequests(t *testing.T) {
	const second = time.Second
	s := overloadScenario{
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

// TestAdmissionCountsReservedSlot guards against a reserved grant that takes
// the only slot while an admitted request of the top tier needs it: admission
// refuses exactly those requests that the reserved grant would make late.
func TestAdmissionCountsReservedSlot(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name     string
		at       time.Duration
		debt     float64
		deadline time.Duration
		want     []string
	}{
		{"long before the class is starved", 10 * second, 0, 2 * second, nil},
		{"just before the class is starved", 19950 * time.Millisecond, 0, 2 * second, []string{"r deadline_unreachable"}},
		{"just before, with a deadline that allows for the reserved grant", 19950 * time.Millisecond, 0, 20 * second, nil},
		{"just before, but reserved grants have used up their share", 19950 * time.Millisecond, 10, 2 * second, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(Config{Kind: Plain}, Policy{}, engine("a", 1))
			onlyGrant(c, b.enqueueNow(request("running", 0)))
			b.enqueueNow(request("head", 0))
			b.enqueueNow(request("low", 2))
			b.classes["class2"].lastReservedSeconds = 5
			b.runFor(test.at)
			b.reservedTime = reservedTime{debt: test.debt, at: b.now}
			r := request("r", 0)
			r.Deadline = test.deadline
			c.Assert(refusalsOf(b.enqueueNow(r)), qt.DeepEquals, test.want)
		})
	}
}
