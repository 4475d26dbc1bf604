package scheduler

import (
	"time"

	"auburnstep.example/auburnstep/internal/estimate"
)

const (
	// loadLevels is the number of load levels for which the time per token is
	// learned. Generation slows down as the batch grows, and an endpoint must
	// not count as slow only because it is loaded.
	loadLevels = 4
	// priorSecondsPerToken and priorPrefillSecondsPerToken are the times per
	// generated token and per prompt token that are assumed before the first
	// sample.
	priorSecondsPerToken        = 0.02
	priorPrefillSecondsPerToken = 0.0003
	// prefillGain is the weight of a new sample of the prefill time in its
	// moving average.
	prefillGain = 0.05
)

// priorSecondsPerTokenByLoad assumes that a token takes twice as long in a full
// batch as in a small one.
var priorSecondsPerTokenByLoad = [loadLevels]float64{0.6 * priorSecondsPerToken, 0.8 * priorSecondsPerToken, priorSecondsPerToken, 1.2 * priorSecondsPerToken}

// loadLevelNames are the load levels, by share of the slots in use, as classes
// of latencyModel.pace.
var loadLevelNames = [loadLevels]string{"0-25%", "25-50%", "50-75%", "75-100%"}

// latencyModel is what the core has learned about the time per token in its
// group. It is used for engines only.
type latencyModel struct {
	// pace estimates the seconds per token by load level. The customers of this
	// estimator are the endpoints, its classes the load levels.
	pace     *estimate.Estimator
	observed [loadLevels]float64 // median seconds per token, zero if unknown
	byLoad   [loadLevels]float64 // observed, or scaled from the prior
	prefill  float64             // seconds per prompt token
}

// loadLevel returns the load level of an endpoint with the given number of
// requests in flight.
func loadLevel(inFlight, slots int) int {
	if slots <= 0 {
		return loadLevels - 1
	}
	return min(max(0, (inFlight-1)*loadLevels/slots), loadLevels-1)
}

// updatePace updates the slowness of an endpoint relative to its group and, for
// engines, the times per token of the group.
func (c *Core) updatePace(now time.Time, g *grant, o Outcome) {
	ep := g.endpoint
	if c.config.Kind == Plain {
		if expected, ok := c.durations.ClassMean(g.class.name); ok {
			ep.pace.Add(now, o.Duration.Seconds(), expected)
		}
		return
	}
	if o.FirstToken > 0 && g.uncachedTokens > 0 {
		sample := o.FirstToken.Seconds() / float64(g.uncachedTokens) / ep.pace.Slowness(now)
		c.latencyModel.prefill += prefillGain * (sample - c.latencyModel.prefill)
	}
	if o.Tokens < 2 {
		return
	}
	perToken := (o.Duration - o.FirstToken).Seconds() / float64(o.Tokens-1)
	level := loadLevel(g.inFlightAtGrant, ep.spec.Slots)
	if expected, ok := c.latencyModel.pace.ClassQuantile(loadLevelNames[level], 0.5); ok {
		ep.pace.Add(now, perToken, expected)
	}
	c.latencyModel.pace.Add(now, ep.spec.ID, loadLevelNames[level], perToken)
	c.latencyModel.updateByLoad(level)
}

// updateByLoad updates the seconds per token of all load levels after a sample
// at one of them. Levels without samples get their prior, scaled by the mean
// ratio of the observed levels to theirs.
func (s *latencyModel) updateByLoad(level int) {
	pace, ok := s.pace.ClassQuantile(loadLevelNames[level], 0.5)
	if !ok {
		return
	}
	s.observed[level] = pace
	ratio, known := 0.0, 0.0
	for i, v := range s.observed {
		if v > 0 {
			ratio += v / priorSecondsPerTokenByLoad[i]
			known++
		}
	}
	for i, v := range s.observed {
		s.byLoad[i] = v
		if v == 0 {
			s.byLoad[i] = priorSecondsPerTokenByLoad[i] * ratio / known
		}
	}
}

// chooseEndpoint returns the endpoint on which the request is expected to
// finish first, or nil if none is free. Among equals it prefers the less loaded
// endpoint.
func (c *Core) chooseEndpoint(now time.Time, w *waiter, candidates []*endpoint) *endpoint {
	c.matchPrefixes(w.request.Prefixes)
	var best *endpoint
	var bestCost, bestLoad float64
	for _, ep := range candidates {
		if !c.admits(now, ep, w.queue.pool) {
			continue
		}
		load := float64(ep.inFlight+1) / float64(max(1, ep.spec.Slots))
		cost := c.expectedSeconds(now, w, ep, load)
		if best == nil || cost < bestCost || cost == bestCost && load < bestLoad {
			best, bestCost, bestLoad = ep, cost, load
		}
	}
	return best
}

// expectedSeconds returns the time that the request takes on the endpoint at
// the given load.
func (c *Core) expectedSeconds(now time.Time, w *waiter, ep *endpoint, load float64) float64 {
	slow := ep.pace.Slowness(now)
	if c.config.Kind == Plain {
		return w.work * slow * (1 + load)
	}
	prefill := float64(c.uncachedTokens(w, ep)) * c.latencyModel.prefill
	return slow * (prefill + w.cost*c.secondsPerTokenAt(load))
}

// uncachedTokens returns the number of prompt tokens that the endpoint has to
// process because they are not in its prefix cache.
func (c *Core) uncachedTokens(w *waiter, ep *endpoint) int {
	n := len(w.request.Prefixes)
	if n == 0 {
		return w.request.PromptTokens
	}
	return w.request.PromptTokens * (n - c.matchedPrefixes(ep)) / n
}

// secondsPerTokenAt interpolates the seconds per token between load levels. The
// result grows with the load even where nothing was learned, so that equal
// endpoints fill evenly.
func (c *Core) secondsPerTokenAt(load float64) float64 {
	position := min(max(load*loadLevels-0.5, 0), loadLevels-1)
	low := min(int(position), loadLevels-2)
	fraction := position - float64(low)
	interpolated := c.latencyModel.byLoad[low]*(1-fraction) + c.latencyModel.byLoad[low+1]*fraction
	return interpolated * (1 + 0.1*load)
}
