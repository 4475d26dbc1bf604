package policy

import (
	"cmp"
	"math"
	"slices"
)

// RouterNames lists the routers to measure. The core is the first one.
var RouterNames = []string{"core", "random", "round robin", "least outstanding", "two choices", "oracle"}

// reportInterval is the interval in seconds between load reports of an engine.
// reportDelay is their delay unless the scenario sets a longer one.
const reportInterval, reportDelay = 1.0, 0.25

func newRouter(s *sim, name string) router {
	switch name {
	case "core":
		return newCoreRouter(s)
	case "oracle":
		return &oracle{sim: s}
	}
	b := &baseline{sim: s, name: name, reportedLoad: map[*engine]int{}}
	for i := range entryCount {
		b.outstanding[i] = map[*engine]int{}
		b.nextIndex[i] = s.rng.IntN(len(s.engines))
	}
	b.publishLoad()
	return b
}

// baseline is a router without a scheduler. Each entry selects an engine immediately,
// and requests wait in the engine, which orders them by tier.
type baseline struct {
	sim          *sim
	name         string
	nextIndex    [entryCount]int
	outstanding  [entryCount]map[*engine]int
	reportedLoad map[*engine]int
}

func (b *baseline) submit(r *request) {
	e := b.choose(r)
	if !e.submit(r) {
		b.sim.retry(r, e)
		return
	}
	b.outstanding[r.entry][e]++
}

func (b *baseline) requestEnded(r *request, e *engine, _ bool) { b.outstanding[r.entry][e]-- }
func (b *baseline) callerDisconnected(*request)                {}

func (b *baseline) higherTierWaits(tier int) bool {
	return slices.ContainsFunc(b.sim.engines, func(e *engine) bool {
		return len(e.queue) > 0 && e.queue[0].class.tier < tier
	})
}

func (b *baseline) choose(r *request) *engine {
	candidates := slices.DeleteFunc(slices.Clone(b.sim.engines), func(e *engine) bool { return slices.Contains(r.avoidEndpoints, e.id) })
	chosen, alternative := candidates[b.sim.rng.IntN(len(candidates))], candidates[b.sim.rng.IntN(len(candidates))]
	switch b.name {
	case "round robin":
		b.nextIndex[r.entry]++
		return candidates[b.nextIndex[r.entry]%len(candidates)]
	case "least outstanding":
		outstanding := b.outstanding[r.entry]
		for _, e := range candidates {
			if outstanding[e] < outstanding[chosen] {
				chosen = e
			}
		}
	case "two choices":
		if b.reportedLoad[alternative] < b.reportedLoad[chosen] {
			return alternative
		}
	}
	return chosen
}

// publishLoad delivers the current load of all engines after the report delay. It
// repeats every reportInterval.
func (b *baseline) publishLoad() {
	for _, e := range b.sim.engines {
		load := len(e.running) + len(e.queue)
		b.sim.after(max(reportDelay, b.sim.scenario.reportDelay), func() { b.reportedLoad[e] = load })
	}
	b.sim.after(reportInterval, b.publishLoad)
}

// oracle is a router that knows the lengths of responses in advance and the state of
// all engines without delay. It has one queue per tier, ordered by the latest start
// that meets the target. Requests that cannot meet their target are served after
// those of the same tier that can.
type oracle struct {
	sim            *sim
	feasible, late [3][]*request
}

func (o *oracle) submit(r *request) {
	q := &o.feasible[r.class.tier]
	i, _ := slices.BinarySearchFunc(*q, r, func(a, b *request) int {
		return cmp.Compare(o.latestStart(a), o.latestStart(b))
	})
	*q = slices.Insert(*q, i, r)
	o.dispatch()
}

// latestStart returns the latest start that meets the target on an engine without
// slowdown. The response of a plain service arrives in one piece, so that its whole
// duration counts.
func (o *oracle) latestStart(r *request) float64 {
	if o.sim.service.plain {
		return r.arrived + r.class.firstTokenTarget - float64(r.tokens)*o.sim.service.singleStreamTokenTime
	}
	return r.arrived + r.class.firstTokenTarget
}

func (o *oracle) requestEnded(*request, *engine, bool) { o.dispatch() }

func (o *oracle) callerDisconnected(r *request) {
	t := r.class.tier
	o.feasible[t], o.late[t] = withoutRequest(o.feasible[t], r), withoutRequest(o.late[t], r)
}

func (o *oracle) higherTierWaits(tier int) bool {
	for t := range tier {
		if len(o.feasible[t])+len(o.late[t]) > 0 {
			return true
		}
	}
	return false
}

// bestEngine returns the free engine on which the request ends first, and whether the
// request meets its targets there. The engine is nil if none is free.
func (o *oracle) bestEngine(r *request) (bestEngine *engine, inTime bool) {
	bestEnd := math.Inf(1)
	for _, e := range o.sim.engines {
		if e.down || len(e.running) >= o.sim.service.slots {
			continue
		}
		prefill := o.sim.service.prefillTimePerToken * float64(r.class.promptTokens)
		if slices.Contains(e.cachedPrefixes, r.prefix) {
			prefill *= 1 - cacheableFraction
		}
		secondsPerToken := e.secondsPerToken(len(e.running) + 1)
		first := o.sim.now + e.slowdown*prefill + secondsPerToken
		end := first + secondsPerToken*float64(r.tokens-r.done)
		if o.sim.service.plain {
			first = end
		}
		if end < bestEnd {
			bestEngine, bestEnd = e, end
			inTime = first <= r.arrived+r.class.firstTokenTarget && secondsPerToken <= r.class.betweenTokensTarget
		}
	}
	return bestEngine, inTime
}

func (o *oracle) dispatch() {
	for t := range o.feasible {
		for len(o.feasible[t]) > 0 {
			r := o.feasible[t][0]
			e, inTime := o.bestEngine(r)
			if e == nil || !inTime && o.sim.now < o.latestStart(r)-1 {
				return // no engine is free, or none meets the targets and a better one may become free
			}
			o.feasible[t] = o.feasible[t][1:]
			if inTime {
				e.submit(r)
			} else {
				o.late[t] = append(o.late[t], r)
			}
		}
		for len(o.late[t]) > 0 {
			e, _ := o.bestEngine(o.late[t][0])
			if e == nil {
				return
			}
			r := o.late[t][0]
			o.late[t] = o.late[t][1:]
			e.submit(r)
		}
	}
}
