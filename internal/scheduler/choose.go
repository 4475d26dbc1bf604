package scheduler

import (
	"time"

	"auburnstep.example/auburnstep/internal/estimate"
)

const (
	// paceBuckets is the number of load levels by which token pace is learned:
	// pace falls with the batch size, and slowness must not be mistaken for
	// load.
	paceBuckets = 4
	// priorPace and priorPrefill are seconds per token before anything is
	// known.
	priorPace    = 0.02
	priorPrefill = 0.0003
	// prefillGain weighs a new sample of the prefill time.
	prefillGain = 0.05
)

// priorByLoad has a full batch run at half the pace of a small one.
var priorByLoad = [paceBuckets]float64{0.6 * priorPace, 0.8 * priorPace, priorPace, 1.2 * priorPace}

var paceNames = [paceBuckets]string{"0-25%", "25-50%", "50-75%", "75-100%"}

// speeds is what the core has learned about time in its group.
type speeds struct {
	// pace holds seconds per token by load level (engines), duration by class
	// (plain services); the estimator's customers are endpoints.
	pace    *estimate.Estimator
	learned [paceBuckets]float64 // zero: unknown
	byLoad  [paceBuckets]float64
	prefill float64
}

func paceBucket(inFlight, slots int) int {
	if slots <= 0 {
		return paceBuckets - 1
	}
	return min(max(0, (inFlight-1)*paceBuckets/slots), paceBuckets-1)
}

// learnPace compares an endpoint with its group.
func (c *Core) learnPace(now time.Time, g *grant, o Outcome) {
	ep := g.endpoint
	if c.config.Kind == Plain {
		if expected, ok := c.durations.ClassMean(g.class.name); ok {
			ep.pace.Add(now, o.Duration.Seconds(), expected)
		}
		return
	}
	if o.FirstToken > 0 && g.uncached > 0 {
		sample := o.FirstToken.Seconds() / float64(g.uncached) / ep.pace.Slowness(now)
		c.speeds.prefill += prefillGain * (sample - c.speeds.prefill)
	}
	if o.Tokens < 2 {
		return
	}
	perToken := (o.Duration - o.FirstToken).Seconds() / float64(o.Tokens-1)
	bucket := paceBucket(g.load, ep.spec.Slots)
	if expected, ok := c.speeds.pace.ClassQuantile(paceNames[bucket], 0.5); ok {
		ep.pace.Add(now, perToken, expected)
	}
	c.speeds.pace.Add(now, ep.spec.ID, paceNames[bucket], perToken)
	c.speeds.learn(bucket)
}

// learn updates the pace by load. Levels without data follow the known ones in
// proportion to the prior.
func (s *speeds) learn(bucket int) {
	pace, ok := s.pace.ClassQuantile(paceNames[bucket], 0.5)
	if !ok {
		return
	}
	s.learned[bucket] = pace
	ratio, known := 0.0, 0.0
	for i, v := range s.learned {
		if v > 0 {
			ratio += v / priorByLoad[i]
			known++
		}
	}
	for i, v := range s.learned {
		s.byLoad[i] = v
		if v == 0 {
			s.byLoad[i] = priorByLoad[i] * ratio / known
		}
	}
}

// choose returns the endpoint on which the request is expected to finish first,
// or nil if none is free. Ties go to the emptier endpoint.
func (c *Core) choose(now time.Time, w *waiter, candidates []*endpoint) *endpoint {
	c.matchPrefixes(w.request.Prefixes)
	var best *endpoint
	var bestCost, bestLoad float64
	for _, ep := range candidates {
		if !c.admits(now, ep, w.account.pool) {
			continue
		}
		load := float64(ep.inFlight+1) / float64(max(1, ep.spec.Slots))
		cost := c.expected(now, w, ep, load)
		if best == nil || cost < bestCost || cost == bestCost && load < bestLoad {
			best, bestCost, bestLoad = ep, cost, load
		}
	}
	return best
}

// expected returns the seconds that the request takes on the endpoint at the
// given load.
func (c *Core) expected(now time.Time, w *waiter, ep *endpoint, load float64) float64 {
	slow := ep.pace.Slowness(now)
	if c.config.Kind == Plain {
		return w.work * slow * (1 + load)
	}
	prefill := float64(c.uncached(w, ep)) * c.speeds.prefill
	return slow * (prefill + w.cost*c.paceAt(load))
}

// uncached returns the number of prompt tokens that the endpoint has to process.
func (c *Core) uncached(w *waiter, ep *endpoint) int {
	n := len(w.request.Prefixes)
	if n == 0 {
		return w.request.PromptTokens
	}
	return w.request.PromptTokens * (n - c.matched(ep)) / n
}

// paceAt interpolates seconds per token between load levels. It grows with the
// load even where nothing was learned, so that equal endpoints fill evenly.
func (c *Core) paceAt(load float64) float64 {
	at := min(max(load*paceBuckets-0.5, 0), paceBuckets-1)
	low := min(int(at), paceBuckets-2)
	part := at - float64(low)
	pace := c.speeds.byLoad[low]*(1-part) + c.speeds.byLoad[low+1]*part
	return pace * (1 + 0.1*load)
}
