package policy

import (
	"cmp"
	"math"
	"slices"
)

// Routers lists what is measured, the core first.
var Routers = []string{"core", "random", "round robin", "least outstanding", "two choices", "oracle"}

// reportEvery is the interval of load reports, reportLag their usual age.
const reportEvery, reportLag = 1.0, 0.25

func newRouter(s *sim, name string) router {
	switch name {
	case "core":
		return newCoreRouter(s)
	case "oracle":
		return &oracle{sim: s}
	}
	b := &baseline{sim: s, name: name, reports: map[*engine]int{}}
	for i := range entries {
		b.counts[i] = map[*engine]int{}
		b.next[i] = s.rnd.IntN(len(s.engines))
	}
	b.report()
	return b
}

// baseline is a router without a scheduler: each entry picks an engine at once,
// and requests wait there. Engines honour tiers.
type baseline struct {
	sim     *sim
	name    string
	next    [entries]int
	counts  [entries]map[*engine]int
	reports map[*engine]int
}

func (b *baseline) submit(r *request) {
	e := b.choose(r)
	if !e.submit(r) {
		b.sim.retry(r, e)
		return
	}
	b.counts[r.entry][e]++
}

func (b *baseline) ended(r *request, e *engine, _ bool) { b.counts[r.entry][e]-- }
func (b *baseline) left(*request)                       {}

func (b *baseline) waits(tier int) bool {
	return slices.ContainsFunc(b.sim.engines, func(e *engine) bool {
		return len(e.queue) > 0 && e.queue[0].class.tier < tier
	})
}

func (b *baseline) choose(r *request) *engine {
	able := slices.DeleteFunc(slices.Clone(b.sim.engines), func(e *engine) bool { return slices.Contains(r.avoid, e.id) })
	x, y := able[b.sim.rnd.IntN(len(able))], able[b.sim.rnd.IntN(len(able))]
	switch b.name {
	case "round robin":
		b.next[r.entry]++
		return able[b.next[r.entry]%len(able)]
	case "least outstanding":
		counts := b.counts[r.entry]
		for _, e := range able {
			if counts[e] < counts[x] {
				x = e
			}
		}
	case "two choices":
		if b.reports[y] < b.reports[x] {
			return y
		}
	}
	return x
}

// report delivers the engines' load, late.
func (b *baseline) report() {
	for _, e := range b.sim.engines {
		load := len(e.running) + len(e.queue)
		b.sim.after(max(reportLag, b.sim.scenario.reportLag), func() { b.reports[e] = load })
	}
	b.sim.after(reportEvery, b.report)
}

// oracle knows the lengths of responses and the state of all engines without
// delay. It has one queue per tier, ordered by the latest start that meets the
// target, and serves requests that can not meet it after those that can.
type oracle struct {
	sim          *sim
	onTime, late [3][]*request
}

func (o *oracle) submit(r *request) {
	q := &o.onTime[r.class.tier]
	i, _ := slices.BinarySearchFunc(*q, r, func(a, b *request) int {
		return cmp.Compare(o.due(a), o.due(b))
	})
	*q = slices.Insert(*q, i, r)
	o.dispatch()
}

// due is the latest start that meets the target on an engine of usual speed. The
// response of a plain service comes whole.
func (o *oracle) due(r *request) float64 {
	if o.sim.service.plain {
		return r.arrive + r.class.target - float64(r.tokens)*o.sim.service.tokenTime
	}
	return r.arrive + r.class.target
}

func (o *oracle) ended(*request, *engine, bool) { o.dispatch() }

func (o *oracle) left(r *request) {
	t := r.class.tier
	o.onTime[t], o.late[t] = without(o.onTime[t], r), without(o.late[t], r)
}

func (o *oracle) waits(tier int) bool {
	for t := range tier {
		if len(o.onTime[t])+len(o.late[t]) > 0 {
			return true
		}
	}
	return false
}

// best returns the free engine on which the request ends first, and whether it
// is in time there.
func (o *oracle) best(r *request) (best *engine, inTime bool) {
	bestEnd := math.Inf(1)
	for _, e := range o.sim.engines {
		if e.down || len(e.running) >= o.sim.service.slots {
			continue
		}
		prefill := o.sim.service.prefillTime * float64(r.class.prompt)
		if slices.Contains(e.cached, r.prefix) {
			prefill *= 1 - cachedPart
		}
		pace := e.pace(len(e.running) + 1)
		first := o.sim.now + e.slow*prefill + pace
		end := first + pace*float64(r.tokens-r.done)
		if o.sim.service.plain {
			first = end
		}
		if end < bestEnd {
			best, bestEnd = e, end
			inTime = first <= r.arrive+r.class.target && pace <= r.class.between
		}
	}
	return best, inTime
}

func (o *oracle) dispatch() {
	for t := range o.onTime {
		for len(o.onTime[t]) > 0 {
			r := o.onTime[t][0]
			e, inTime := o.best(r)
			if e == nil || !inTime && o.sim.now < o.due(r)-1 {
				return // no engine is free, or only a slow one
			}
			o.onTime[t] = o.onTime[t][1:]
			if inTime {
				e.submit(r)
			} else {
				o.late[t] = append(o.late[t], r)
			}
		}
		for len(o.late[t]) > 0 {
			e, _ := o.best(o.late[t][0])
			if e == nil {
				return
			}
			r := o.late[t][0]
			o.late[t] = o.late[t][1:]
			e.submit(r)
		}
	}
}
