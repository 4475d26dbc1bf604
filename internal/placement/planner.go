package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxStrikes bounds the doubling of the pause after failed orders.
const maxStrikes = 4

// Planner decides on orders. It performs no I/O and is not safe for concurrent
// use. All it remembers can be lost: a new one waits for the hold time again.
type Planner struct {
	services map[string]*memory
}

// memory is what the planner remembers of one service.
type memory struct {
	windows map[string]*window
	changes map[string]*change
}

// change is the last change at one endpoint.
type change struct {
	incarnation uint64
	models      []string
	at          time.Time
	strikes     int
	seen        time.Time
}

// NewPlanner returns a planner that has seen nothing.
func NewPlanner() *Planner { return &Planner{services: make(map[string]*memory)} }

func (p *Planner) memory(service string) *memory {
	m := p.services[service]
	if m == nil {
		m = &memory{windows: make(map[string]*window), changes: make(map[string]*change)}
		p.services[service] = m
	}
	return m
}

// Failed notes that an order failed at an endpoint, which gets none for a while
// that doubles with each failure.
func (p *Planner) Failed(now time.Time, service, endpoint string) {
	c := p.memory(service).change(endpoint, now)
	c.at = now
	c.strikes = min(c.strikes+1, maxStrikes)
}

// Done notes that an order was carried out or given up at an endpoint.
func (p *Planner) Done(now time.Time, service, endpoint string) {
	c := p.memory(service).change(endpoint, now)
	c.at, c.strikes = now, 0
}

// MayUnload reports whether a model may be unloaded at an endpoint now. It is
// asked again directly before the order, since replicas may have been lost
// while the endpoint drained.
func (p *Planner) MayUnload(s *Service, pending []Order, endpoint, model string) bool {
	v := newView(s, pending)
	m := v.model(model)
	w := p.memory(s.Name).windows[model]
	demanded := m.demanded() || w != nil && w.tier() < noTier
	have := m.have
	if e := s.endpoint(endpoint); e != nil && e.serving() && e.has(model) && v.pending[endpoint].Unload != model {
		have-- // The pending order is not among those given.
	}
	return have >= v.least(m, demanded)
}

// Plan returns the orders wanted now, the most important first. Pending lists
// the orders that are being carried out.
func (p *Planner) Plan(now time.Time, s *Service, pending []Order) []Order {
	mem := p.memory(s.Name)
	v := newView(s, pending)
	mem.observe(now, v)
	plan := &plan{now: now, view: v, memory: mem, used: make(map[string]bool)}
	for _, m := range plan.order() {
		for range plan.lack(m) {
			if !plan.place(m) {
				break
			}
		}
	}
	return plan.orders
}

// observe takes a sample of each model and notes changes at endpoints.
func (m *memory) observe(now time.Time, v *view) {
	hold := v.service.Policy.Hold
	for name, model := range v.models {
		w := m.windows[name]
		if w == nil {
			w = &window{}
			m.windows[name] = w
		}
		w.add(sample{at: now, lack: model.need - model.have, keep: model.keep, tier: model.tier}, hold)
	}
	maps.DeleteFunc(m.windows, func(_ string, w *window) bool { return now.Sub(w.last) > hold })
	for i := range v.service.Endpoints {
		e := &v.service.Endpoints[i]
		c := m.change(e.ID, now)
		models := slices.Sorted(slices.Values(e.Models))
		if c.incarnation != 0 && (c.incarnation != e.Incarnation || !slices.Equal(c.models, models)) {
			c.at = now
		}
		c.incarnation, c.models, c.seen = e.Incarnation, models, now
	}
	maps.DeleteFunc(m.changes, func(_ string, c *change) bool { return now.Sub(c.seen) > forgetAfter })
}

// forgetAfter is how long an endpoint that is gone is remembered: longer than
// the longest pause with all its doublings lasts for usual settings.
const forgetAfter = time.Hour

func (m *memory) change(endpoint string, now time.Time) *change {
	c := m.changes[endpoint]
	if c == nil {
		c = &change{seen: now}
		m.changes[endpoint] = c
	}
	return c
}

// rested reports whether the last change at an endpoint is long enough ago.
func (m *memory) rested(now time.Time, endpoint string, pause time.Duration) bool {
	c := m.changes[endpoint]
	return c == nil || c.at.IsZero() || now.Sub(c.at) >= pause<<c.strikes
}

// plan is one call of Plan.
type plan struct {
	now    time.Time
	view   *view
	memory *memory
	used   map[string]bool
	orders []Order
}

// order returns the models to place, those of higher tiers first and within a
// tier those that lack the larger part of what they need.
func (p *plan) order() []*modelView {
	var out []*modelView
	for _, m := range p.view.models {
		if m.placed && p.lack(m) > 0 {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *modelView) int {
		return cmp.Or(
			cmp.Compare(p.tier(a), p.tier(b)),
			cmp.Compare(p.lack(b)*a.need, p.lack(a)*b.need),
			cmp.Compare(a.name, b.name))
	})
	return out
}

// lack returns how many more replicas to load: those that were missing during
// the whole hold time, less those that are coming.
func (p *plan) lack(m *modelView) int {
	w := p.memory.windows[m.name]
	if !w.full(p.view.service.Policy.Hold) {
		return 0
	}
	return w.lack() - m.coming
}

func (p *plan) tier(m *modelView) int { return p.memory.windows[m.name].tier() }

// place finds an endpoint for one more replica.
func (p *plan) place(m *modelView) bool {
	best, unload := p.room(m), ""
	if best == nil {
		best, unload = p.exchange(m)
	}
	if best == nil {
		return false
	}
	p.used[best.ID] = true
	m.coming++
	m.domains[best.Domain]++
	if unload != "" {
		gone := p.view.models[unload]
		gone.have--
		gone.domains[best.Domain]--
	}
	p.orders = append(p.orders, Order{
		Service: p.view.service.Name, Endpoint: best.ID, Group: best.Group, Load: m.name, Unload: unload,
	})
	return true
}

// available reports whether an endpoint may be ordered to load a model.
func (p *plan) available(e *Endpoint, m *modelView) bool {
	_, busy := p.view.pending[e.ID]
	return e.orderable() && !busy && !p.used[e.ID] && len(e.Loading) == 0 && !e.has(m.name) &&
		p.memory.rested(p.now, e.ID, p.view.service.Policy.Pause)
}

// room returns the best endpoint with room for the model: in the failure domain
// with the fewest replicas of it, and among those the one with the least to do.
func (p *plan) room(m *modelView) *Endpoint {
	var best *Endpoint
	for i := range p.view.service.Endpoints {
		e := &p.view.service.Endpoints[i]
		if !p.available(e, m) || len(e.Models) >= p.view.service.Policy.PerEndpoint {
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

// candidate is a replica that may give way to another model.
type candidate struct {
	endpoint *Endpoint
	model    *modelView
	// taken says that the model has demand for the replica, in a lower tier.
	taken bool
}

// exchange returns the best endpoint that can unload another model: first a
// replica that nobody needs, then one of a model that only lower tiers use.
func (p *plan) exchange(m *modelView) (*Endpoint, string) {
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

// candidate returns the replica of old at e if it may give way to m.
func (p *plan) candidate(m *modelView, e *Endpoint, old *modelView) *candidate {
	w := p.memory.windows[old.name]
	if !w.full(p.view.service.Policy.Hold) {
		return nil
	}
	left := old.have - 1
	if left < p.view.least(old, w.tier() < noTier) {
		return nil
	}
	if left >= w.keep() {
		return &candidate{endpoint: e, model: old}
	}
	if p.tier(m) < w.tier() {
		return &candidate{endpoint: e, model: old, taken: true}
	}
	return nil
}

func (p *plan) compareCandidates(m *modelView, a, b *candidate) int {
	// Replicas with demand last, and before those the ones that are to be placed.
	cost := func(c *candidate) int {
		switch {
		case c.taken:
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
