package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxFailures bounds how often the pause after failed orders is doubled.
const maxFailures = 4

// Planner decides which orders to send. It performs no I/O and is not safe for
// concurrent use. Its state may be lost at any time: a new planner starts without
// observations and plans no orders until the hold time has passed.
type Planner struct {
	services map[string]*history
}

// history is what the planner has observed of one service.
type history struct {
	windows map[string]*window
	changes map[string]*change
}

// change describes the last change at one endpoint.
type change struct {
	incarnation uint64
	models      []string
	at          time.Time // zero if no change is known
	failures    int       // failed orders in a row, at most maxFailures
	seen        time.Time // when the endpoint was last reported
}

// NewPlanner returns a planner without any observations.
func NewPlanner() *Planner { return &Planner{services: make(map[string]*history)} }

// history returns the history of a service and creates it if there is none.
func (p *Planner) history(service string) *history {
	h := p.services[service]
	if h == nil {
		h = &history{windows: make(map[string]*window), changes: make(map[string]*change)}
		p.services[service] = h
	}
	return h
}

// Failed records a failed order. The endpoint gets no further order during a
// pause that doubles with each failure in a row, at most maxFailures times.
func (p *Planner) Failed(now time.Time, service, endpoint string) {
	c := p.history(service).change(endpoint, now)
	c.at = now
	c.failures = min(c.failures+1, maxFailures)
}

// Done records a completed order. It starts the normal pause of the endpoint and
// resets its failure count.
func (p *Planner) Done(now time.Time, service, endpoint string) {
	c := p.history(service).change(endpoint, now)
	c.at, c.failures = now, 0
}

// MayUnload reports whether a model may be unloaded at an endpoint now. Callers
// check again directly before they send the order, because other replicas may
// have been lost while requests were draining.
func (p *Planner) MayUnload(s *Service, pending []Order, endpoint, model string) bool {
	v := newView(s, pending)
	m := v.model(model)
	w := p.history(s.Name).windows[model]
	hasDemand := m.hasDemand() || w != nil && w.tier() < noTier
	have := m.have
	if e := s.endpoint(endpoint); e != nil && e.serving() && e.has(model) && v.pending[endpoint].Unload != model {
		have-- // Without a pending order that unloads it, newView has counted this replica.
	}
	return have >= v.minReplicas(m, hasDemand)
}

// Plan returns the orders to send now, in order of priority. Pending lists the
// orders in progress.
func (p *Planner) Plan(now time.Time, s *Service, pending []Order) []Order {
	h := p.history(s.Name)
	v := newView(s, pending)
	h.observe(now, v)
	plan := &plan{now: now, view: v, history: h, used: make(map[string]bool)}
	for _, m := range plan.modelsToLoad() {
		for range plan.missing(m) {
			if !plan.place(m) {
				break
			}
		}
	}
	return plan.orders
}

// observe takes a sample of each model and detects changes at endpoints.
func (h *history) observe(now time.Time, v *view) {
	hold := v.service.Policy.StabilizationWindow
	for name, model := range v.models {
		w := h.windows[name]
		if w == nil {
			w = &window{}
			h.windows[name] = w
		}
		w.add(sample{at: now, missing: model.need - model.have, keep: model.keep, tier: model.tier}, hold)
	}
	maps.DeleteFunc(h.windows, func(_ string, w *window) bool { return now.Sub(w.lastSeen) > hold })
	for i := range v.service.Endpoints {
		e := &v.service.Endpoints[i]
		c := h.change(e.ID, now)
		models := slices.Sorted(slices.Values(e.Models))
		if c.incarnation != 0 && (c.incarnation != e.Incarnation || !slices.Equal(c.models, models)) {
			c.at = now
		}
		c.incarnation, c.models, c.seen = e.Incarnation, models, now
	}
	maps.DeleteFunc(h.changes, func(_ string, c *change) bool { return now.Sub(c.seen) > changeRetention })
}

// changeRetention is how long the last change of a lost endpoint is kept. With
// usual settings it is longer than the longest pause with all doublings.
const changeRetention = time.Hour

func (h *history) change(endpoint string, now time.Time) *change {
	c := h.changes[endpoint]
	if c == nil {
		c = &change{seen: now}
		h.changes[endpoint] = c
	}
	return c
}

// pauseOver reports whether the pause after the last change at an endpoint has
// ended.
func (h *history) pauseOver(now time.Time, endpoint string, pause time.Duration) bool {
	c := h.changes[endpoint]
	return c == nil || c.at.IsZero() || now.Sub(c.at) >= pause<<c.failures
}

// plan is the state of one call of Planner.Plan.
type plan struct {
	now     time.Time
	view    *view
	history *history
	used    map[string]bool // endpoints that already have an order in this plan
	orders  []Order
}

// modelsToLoad returns the models that lack replicas. Higher tiers come first,
// and within a tier the models that lack the largest part of their need.
func (p *plan) modelsToLoad() []*modelView {
	var out []*modelView
	for _, m := range p.view.models {
		if m.placed && p.missing(m) > 0 {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *modelView) int {
		return cmp.Or(
			cmp.Compare(p.tier(a), p.tier(b)),
			cmp.Compare(p.missing(b)*a.need, p.missing(a)*b.need),
			cmp.Compare(a.name, b.name))
	})
	return out
}

// missing returns how many more replicas to load: those that were missing during
// the entire hold time, less those that are being loaded.
func (p *plan) missing(m *modelView) int {
	w := p.history.windows[m.name]
	if !w.complete(p.view.service.Policy.StabilizationWindow) {
		return 0
	}
	return w.missing() - m.incoming
}

// tier returns the highest tier that had demand for the model in the hold time.
func (p *plan) tier(m *modelView) int { return p.history.windows[m.name].tier() }

// place adds an order for one more replica of the model. It returns false if no
// endpoint can take one.
func (p *plan) place(m *modelView) bool {
	best, unload := p.findRoom(m), ""
	if best == nil {
		best, unload = p.findExchange(m)
	}
	if best == nil {
		return false
	}
	p.used[best.ID] = true
	m.incoming++
	m.domains[best.Domain]++
	if unload != "" {
		evicted := p.view.models[unload]
		evicted.have--
		evicted.domains[best.Domain]--
	}
	p.orders = append(p.orders, Order{
		Service: p.view.service.Name, Endpoint: best.ID, Group: best.Group, Load: m.name, Unload: unload,
	})
	return true
}

// available reports whether an endpoint may get an order to load the model.
func (p *plan) available(e *Endpoint, m *modelView) bool {
	_, busy := p.view.pending[e.ID]
	return e.orderable() && !busy && !p.used[e.ID] && len(e.Loading) == 0 && !e.has(m.name) &&
		p.history.pauseOver(p.now, e.ID, p.view.service.Policy.MinChangeInterval)
}

// findRoom returns the best endpoint with room for the model, or nil. It prefers
// the failure domain with the fewest replicas of the model, and within it the
// endpoints with the fewest models and then with the fewest requests in flight.
func (p *plan) findRoom(m *modelView) *Endpoint {
	var best *Endpoint
	for i := range p.view.service.Endpoints {
		e := &p.view.service.Endpoints[i]
		if !p.available(e, m) || len(e.Models) >= p.view.service.Policy.ModelsPerEndpoint {
			continue
		}
		if best == nil || compareRoom(m, e, best) < 0 {
			best = e
		}
	}
	return best
}

func compareRoom(m *modelView, a, b *Endpoint) int {
	return cmp.Or(
		cmp.Compare(m.domains[a.Domain], m.domains[b.Domain]),
		cmp.Compare(len(a.Models), len(b.Models)),
		cmp.Compare(total(a.InFlight), total(b.InFlight)),
		cmp.Compare(a.ID, b.ID))
}

func total(counts map[string]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// candidate is a replica that may be unloaded in favor of another model.
type candidate struct {
	endpoint *Endpoint
	model    *modelView
	// needed means that demand of a lower tier still needs the replica.
	needed bool
}

// findExchange returns the best endpoint that can unload another model, and that
// model. Replicas without demand come first, then replicas of models that only
// lower tiers use.
func (p *plan) findExchange(m *modelView) (*Endpoint, string) {
	var best *candidate
	for i := range p.view.service.Endpoints {
		e := &p.view.service.Endpoints[i]
		if !p.available(e, m) {
			continue
		}
		for _, name := range e.Models {
			c := p.candidate(m, e, p.view.models[name])
			if c != nil && (best == nil || p.compareCandidates(m, c, best) < 0) {
				best = c
			}
		}
	}
	if best == nil {
		return nil, ""
	}
	return best.endpoint, best.model.name
}

// candidate returns the replica of old at e if it may be unloaded in favor of m,
// else nil.
func (p *plan) candidate(m *modelView, e *Endpoint, old *modelView) *candidate {
	w := p.history.windows[old.name]
	if !w.complete(p.view.service.Policy.StabilizationWindow) {
		return nil
	}
	left := old.have - 1
	if left < p.view.minReplicas(old, w.tier() < noTier) {
		return nil
	}
	if left >= w.keep() {
		return &candidate{endpoint: e, model: old}
	}
	if p.tier(m) < w.tier() {
		return &candidate{endpoint: e, model: old, needed: true}
	}
	return nil
}

// compareCandidates orders candidates by preference for unloading.
func (p *plan) compareCandidates(m *modelView, a, b *candidate) int {
	// Unload replicas of models that are not placed first, then those of placed
	// models, and replicas that are needed last.
	cost := func(c *candidate) int {
		switch {
		case c.needed:
			return 2
		case c.model.placed:
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(cost(a), cost(b)),
		cmp.Compare(p.tier(b.model), p.tier(a.model)),
		cmp.Compare(m.domains[a.endpoint.Domain], m.domains[b.endpoint.Domain]),
		cmp.Compare(b.model.domains[b.endpoint.Domain], a.model.domains[a.endpoint.Domain]),
		cmp.Compare(a.endpoint.InFlight[a.model.name], b.endpoint.InFlight[b.model.name]),
		cmp.Compare(a.endpoint.ID, b.endpoint.ID),
		cmp.Compare(a.model.name, b.model.name))
}
