package scheduler

import (
	"cmp"
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/verdict"
)

// MaxWithhold bounds one call of Withhold, so that a caller that is gone does
// not keep requests away from an endpoint for long.
const MaxWithhold = 30 * time.Second

// leastRate is the rate per second below which the rates of a model are forgotten.
const leastRate = 0.01

// ModelDemand is the demand for one model in one tier.
type ModelDemand struct {
	Model    string
	Tier     int
	Waiting  int
	InFlight int
	// TokensPerSecond and RefusedPerSecond are decayed rates; the latter counts
	// requests that were refused for lack of capacity.
	TokensPerSecond  float64
	RefusedPerSecond float64
}

// Demand is what the planner of model placement asks of a group.
type Demand struct {
	// Age is the time since the core took over the group.
	Age    time.Duration
	Models []ModelDemand
	// InFlight counts grants by endpoint and model. The empty model stands for
	// grants whose model is not known, such as adopted ones.
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

// generated counts the tokens of an ended grant.
func (c *Core) generated(now time.Time, g *grant, tokens int) {
	if tokens > 0 && g.model != "" {
		c.ratesOf(g.model, g.tier).tokens.add(now, float64(tokens))
	}
}

// unserved counts a request that was refused because capacity was missing.
// Limits of the customer say nothing about capacity.
func (c *Core) unserved(now time.Time, w *waiter, err *verdict.Error) {
	switch err.Code {
	case "no_endpoint", "queue_full", "deadline_unreachable":
		if w.request.Model != "" {
			c.ratesOf(w.request.Model, w.request.Tier).refused.add(now, 1)
		}
	}
}

// Demand returns the demand by model and tier. Its cost grows with the number
// of grants and of pools.
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
		if tokens < leastRate && refused < leastRate {
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

// Withhold keeps new requests for a model away from an endpoint for a while.
// Grants that exist stay valid.
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

func (ep *endpoint) endWithheld(now time.Time) {
	for model, until := range ep.withheld {
		if !now.Before(until) {
			delete(ep.withheld, model)
		}
	}
}
