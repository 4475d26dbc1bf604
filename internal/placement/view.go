package placement

import (
	"math"

	"auburnstep.example/auburnstep/internal/scheduler"
)

const (
	// growUse is the part of the slots in use above which a model gets another
	// replica, and keepUse that below which one may be taken from it. The gap
	// keeps a steady demand from doing both in turn.
	growUse = 0.8
	keepUse = 0.5
	// noTier is the tier of a model without demand: below all tiers.
	noTier = scheduler.Tiers
)

// modelView is what the planner knows of one model at one moment.
type modelView struct {
	name   string
	placed bool // among the models to place
	have   int
	// coming counts replicas that are being loaded.
	coming int
	tier   int
	busy   int
	tokens float64
	// need and keep are the replicas below which the model wants more, and
	// below which none is taken.
	need, keep int
	domains    map[string]int
}

func (m *modelView) demanded() bool { return m.tier < noTier }

// view is one service at one moment.
type view struct {
	service *Service
	models  map[string]*modelView
	// pending holds the orders that are being carried out, by endpoint.
	pending map[string]Order
	usable  int
	slots   float64
	pace    float64
}

func newView(s *Service, pending []Order) *view {
	v := &view{service: s, models: make(map[string]*modelView), pending: make(map[string]Order)}
	for _, o := range pending {
		if o.Service == s.Name {
			v.pending[o.Endpoint] = o
		}
	}
	for _, name := range s.models() {
		v.model(name).placed = true
	}
	for i := range s.Endpoints {
		v.count(&s.Endpoints[i])
	}
	for _, d := range s.Demand {
		v.demand(d)
	}
	for _, m := range v.models {
		floor := 0
		if m.placed {
			floor = s.Policy.Floor
		}
		m.need = min(max(floor, v.replicas(m, growUse)), max(v.usable, 1))
		m.keep = max(m.need, min(v.replicas(m, keepUse), v.usable))
	}
	return v
}

func (v *view) model(name string) *modelView {
	m := v.models[name]
	if m == nil {
		m = &modelView{name: name, tier: noTier, domains: make(map[string]int)}
		v.models[name] = m
	}
	return m
}

// count adds an endpoint. A replica that is about to be unloaded is no longer one.
func (v *view) count(e *Endpoint) {
	if !e.serving() {
		return
	}
	order := v.pending[e.ID]
	for _, name := range e.Models {
		m := v.model(name)
		if name != order.Unload {
			m.have++
			m.domains[e.Domain]++
		}
	}
	coming := e.Loading
	if order.Load != "" && !e.has(order.Load) && !contains(coming, order.Load) {
		coming = append(append([]string(nil), coming...), order.Load)
	}
	for _, name := range coming {
		m := v.model(name)
		m.coming++
		m.domains[e.Domain]++
	}
	if !e.orderable() {
		return
	}
	// Running means over the usable endpoints.
	v.usable++
	v.slots += (float64(e.Slots) - v.slots) / float64(v.usable)
	v.pace += (e.Pace - v.pace) / float64(v.usable)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// demand adds the demand of one tier. Demand for models that are not placed
// counts too: it keeps their last replica.
func (v *view) demand(d Demand) {
	refused := int(math.Ceil(d.RefusedPerSecond))
	if d.Model == "" || d.Waiting+d.InFlight+refused == 0 && d.TokensPerSecond <= 0 {
		return
	}
	m := v.model(d.Model)
	m.tier = min(m.tier, d.Tier)
	m.busy += d.Waiting + d.InFlight + refused
	m.tokens += d.TokensPerSecond
}

// replicas returns how many endpoints the demand for a model fills to a part.
func (v *view) replicas(m *modelView, use float64) int {
	if !m.demanded() {
		return 0
	}
	n := 1
	if v.slots > 0 {
		n = max(n, int(math.Ceil(float64(m.busy)/(v.slots*use))))
		if v.pace > 0 {
			n = max(n, int(math.Ceil(m.tokens/(v.slots*v.pace*use))))
		}
	}
	return n
}

// least returns the replicas of a model that are never unloaded: its floor, and
// one where there is demand.
func (v *view) least(m *modelView, demanded bool) int {
	least := 0
	if m.placed {
		least = v.service.Policy.Floor
	}
	if demanded {
		least = max(least, 1)
	}
	return least
}
