package scheduler

import (
	"cmp"
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/verdict"
)

// MaxWithhold bounds the effect of one call of Withhold, so that requests are
// not kept away from an endpoint for long after the process that withheld them
// has ended.
const MaxWithhold = 30 * time.Second

// minRetainedRate is the rate per second below which the rates of a model are
// dropped.
const minRetainedRate = 0.01

// ModelDemand is the demand for one model in one tier.
type ModelDemand struct {
	Model    string
	Tier     int
	Waiting  int
	InFlight int
	// TokensPerSecond and RefusedPerSecond are exponentially decayed rates.
	// RefusedPerSecond counts requests refused for lack of capacity.
	TokensPerSecond  float64
	RefusedPerSecond float64
}

// Demand is the demand of a group, as the planner of model placement queries it.
type Demand struct {
	// Age is the time since the core took over the group.
	Age    time.Duration
	Models []ModelDemand
	// InFlight counts grants by endpoint and model. The empty model name counts
	// grants whose model is not known, such as adopted grants.
	InFlight map[string]map[string]int
}

type modelTier struct {
	model string
	tier  int
}

type modelRates struct{ tokens, refused rate }

func (c *Core) ratesOf(model string, tier int) *modelRates {
	key := modelTier{model, tier}
	r := c.models[key]
	if r == nil {
		r = &modelRates{}
		c.models[key] = r
	}
	return r
}

// countTokens adds the tokens of an ended grant to the rate of its model.
func (c *Core) countTokens(now time.Time, g *grant, tokens int) {
	if tokens > 0 && g.model != "" {
		c.ratesOf(g.model, g.tier).tokens.add(now, float64(tokens))
	}
}

// recordCapacityRefusal counts a request that was refused for lack of capacity.
// It ignores refusals for other reasons: the limits of the customer, for
// example, indicate nothing about capacity.
func (c *Core) recordCapacityRefusal(now time.Time, w *waiter, err *verdict.Error) {
	switch err.Code {
	case "no_endpoint", "queue_full", "deadline_unreachable":
		if w.request.Model != "" {
			c.ratesOf(w.request.Model, w.request.Tier).refused.add(now, 1)
		}
	}
}

// Demand returns the demand by model and tier. Its running time grows with the
// number of grants and of pools.
func (c *Core) Demand(now time.Time) Demand {
	sums := make(map[modelTier]*ModelDemand)
	sum := func(model string, tier int) *ModelDemand {
		key := modelTier{model, tier}
		if sums[key] == nil {
			sums[key] = &ModelDemand{Model: model, Tier: tier}
		}
		return sums[key]
	}
	out := Demand{Age: now.Sub(c.started), InFlight: make(map[string]map[string]int)}
	for _, p := range c.poolOrder {
		for t := range p.tiers {
			if n := p.tiers[t].waiting; n > 0 {
				sum(p.key.model, t).Waiting += n
			}
		}
	}
	for _, g := range c.grants {
		sum(g.model, g.tier).InFlight++
		id := g.endpoint.spec.ID
		if out.InFlight[id] == nil {
			out.InFlight[id] = make(map[string]int)
		}
		out.InFlight[id][g.model]++
	}
	for key, r := range c.models {
		tokens, refused := r.tokens.perSecond(now), r.refused.perSecond(now)
		if tokens < minRetainedRate && refused < minRetainedRate {
			delete(c.models, key)
			continue
		}
		s := sum(key.model, key.tier)
		s.TokensPerSecond, s.RefusedPerSecond = tokens, refused
	}
	for _, s := range sums {
		out.Models = append(out.Models, *s)
	}
	slices.SortFunc(out.Models, func(a, b ModelDemand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Tier, b.Tier))
	})
	return out
}

// Withhold keeps new requests for a model away from an endpoint for d, but for
// MaxWithhold at most. Existing grants stay valid.
func (c *Core) Withhold(now time.Time, endpoint, model string, d time.Duration) {
	ep := c.endpoints[endpoint]
	if ep == nil || model == "" {
		return
	}
	if ep.withheld == nil {
		ep.withheld = make(map[string]time.Time)
	}
	ep.withheld[model] = now.Add(min(d, MaxWithhold))
}

// expireWithheld lets requests reach the endpoint again for models whose
// Withhold has ended.
func (ep *endpoint) expireWithheld(now time.Time) {
	for model, until := range ep.withheld {
		if !now.Before(until) {
			delete(ep.withheld, model)
		}
	}
}
