package placement

import (
	"math"

	"auburnstep.example/auburnstep/internal/scheduler"
)

const (
	// A model gets another replica if its demand uses more than growUtilization of
	// the slots of its replicas, and may lose one below keepUtilization. The gap
	// between the two avoids alternating loads and unloads under steady demand.
	growUtilization = 0.8
	keepUtilization = 0.5
	// noTier is the tier of a model without demand: below all tiers.
	noTier = scheduler.Tiers
)

// modelView is the state of one model at one moment.
type modelView struct {
	name   string
	placed bool // whether it is one of the models to place
	// have counts the replicas, without those that are about to be unloaded.
	have int
	// incoming counts replicas that are being loaded or have a pending load order.
	incoming        int
	tier            int
	requests        int
	tokensPerSecond float64
	// need is the number of replicas below which the model gets more. keep is the
	// number at or below which the model loses a replica only to a higher tier.
	need, keep int
	domains    map[string]int // replicas, with incoming ones, by failure domain
}

func (m *modelView) hasDemand() bool { return m.tier < noTier }

// view is the state of one service at one moment.
type view struct {
	service *Service
	models  map[string]*modelView
	// pending contains the orders in progress by endpoint ID.
	pending         map[string]Order
	usableEndpoints int // endpoints that orders may be sent to; the means are over these
	meanSlots       float64
	meanStreamRate  float64
}

// newView computes the view of a service. Pending lists the orders in progress of
// all services.
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
		v.addEndpoint(&s.Endpoints[i])
	}
	for _, d := range s.Demand {
		v.addDemand(d)
	}
	for _, m := range v.models {
		floor := 0
		if m.placed {
			floor = s.Policy.MinReplicas
		}
		m.need = min(max(floor, v.replicasFor(m, growUtilization)), max(v.usableEndpoints, 1))
		m.keep = max(m.need, min(v.replicasFor(m, keepUtilization), v.usableEndpoints))
	}
	return v
}

// model returns the view of a model and creates it if there is none.
func (v *view) model(name string) *modelView {
	m := v.models[name]
	if m == nil {
		m = &modelView{name: name, tier: noTier, domains: make(map[string]int)}
		v.models[name] = m
	}
	return m
}

// addEndpoint counts the replicas of an endpoint. A replica that is about to be
// unloaded is not counted.
func (v *view) addEndpoint(e *Endpoint) {
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
	incoming := e.Loading
	if order.Load != "" && !e.has(order.Load) && !contains(incoming, order.Load) {
		incoming = append(append([]string(nil), incoming...), order.Load)
	}
	for _, name := range incoming {
		m := v.model(name)
		m.incoming++
		m.domains[e.Domain]++
	}
	if !e.orderable() {
		return
	}
	// Update the running means over the usable endpoints.
	v.usableEndpoints++
	v.meanSlots += (float64(e.Slots) - v.meanSlots) / float64(v.usableEndpoints)
	v.meanStreamRate += (e.StreamRate - v.meanStreamRate) / float64(v.usableEndpoints)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// addDemand adds the demand of one tier. It also counts demand for models that
// are not placed, which protects their last replica.
func (v *view) addDemand(d Demand) {
	refused := int(math.Ceil(d.RefusedPerSecond))
	if d.Model == "" || d.Waiting+d.InFlight+refused == 0 && d.TokensPerSecond <= 0 {
		return
	}
	m := v.model(d.Model)
	m.tier = min(m.tier, d.Tier)
	m.requests += d.Waiting + d.InFlight + refused
	m.tokensPerSecond += d.TokensPerSecond
}

// replicasFor returns how many endpoints the demand for a model keeps at the given
// utilization of slots and of token throughput.
func (v *view) replicasFor(m *modelView, utilization float64) int {
	if !m.hasDemand() {
		return 0
	}
	n := 1
	if v.meanSlots > 0 {
		n = max(n, int(math.Ceil(float64(m.requests)/(v.meanSlots*utilization))))
		if v.meanStreamRate > 0 {
			n = max(n, int(math.Ceil(m.tokensPerSecond/(v.meanSlots*v.meanStreamRate*utilization))))
		}
	}
	return n
}

// minReplicas returns the number of replicas that are never unloaded: the floor
// of a placed model, and at least one where there is demand.
func (v *view) minReplicas(m *modelView, hasDemand bool) int {
	minReplicas := 0
	if m.placed {
		minReplicas = v.service.Policy.MinReplicas
	}
	if hasDemand {
		minReplicas = max(minReplicas, 1)
	}
	return minReplicas
}
