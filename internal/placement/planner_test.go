package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"auburnstep.example/auburnstep/internal/settings"
)

var (
	start  = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	policy = settings.PlacementPolicy{
		Enabled: true, MinReplicas: 1, StabilizationWindow: 30 * time.Second, MinChangeInterval: time.Minute, ModelsPerEndpoint: 2,
		MaxConcurrentLoads: 2, MaxLoadsPerMinute: 4,
	}
)

// engineAt returns an endpoint with 10 slots.
func engineAt(id, domain string, models ...string) Endpoint {
	return Endpoint{
		ID: id, Group: "pool/0", Epoch: 1, Address: "127.0.0.1:1", Incarnation: 1, Domain: domain, Models: models, Slots: 10,
		StreamRate: 50, Live: true, RefusesOldFencing: true, InFlight: map[string]int{},
	}
}

// repeatPlan calls Plan with the same state in each round for the duration d and
// returns the orders of the last call.
func repeatPlan(p *Planner, from time.Time, d time.Duration, s *Service, pending ...Order) (out []Order) {
	for at := time.Duration(0); at <= d; at += Interval {
		out = p.Plan(from.Add(at), s, pending)
	}
	return out
}

// orderStrings formats orders as "endpoint +loaded -unloaded".
func orderStrings(orders []Order) (out []string) {
	for _, o := range orders {
		text := o.Endpoint + " +" + o.Load
		if o.Unload != "" {
			text += " -" + o.Unload
		}
		out = append(out, text)
	}
	return out
}

// TestPlan guards against missing or premature orders, orders to the wrong
// endpoint, and unloading a replica that its model needs.
func TestPlan(t *testing.T) {
	leaving, ejected, expired := engineAt("b", "y", "m"), engineAt("b", "y", "m"), engineAt("b", "y", "m")
	leaving.Leaving, ejected.Ejected, expired.Live = true, true, false
	loading := engineAt("b", "y", "x")
	loading.Loading = []string{"m"}
	busy := func(model string, tier, n int) Demand { return Demand{Model: model, Tier: tier, InFlight: n} }
	for _, test := range []struct {
		name      string
		models    []string
		floor     int
		demand    []Demand
		endpoints []Endpoint
		pending   []Order
		hold      time.Duration // how long to observe; 0: the hold time
		want      []string
	}{
		{"enough replicas", []string{"m"}, 1, []Demand{busy("m", 0, 7)}, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "y", "x")}, nil, 0, nil},
		{"demand above the slots", []string{"m"}, 1, []Demand{busy("m", 0, 9)}, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "y", "x")}, nil, 0, []string{"b +m"}},
		{"demand for less than the hold time", []string{"m"}, 1, []Demand{busy("m", 0, 9)}, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "y", "x")}, nil, 28 * time.Second, nil},
		{"token rate above the throughput", []string{"m"}, 1, []Demand{{Model: "m", TokensPerSecond: 450}}, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "y", "x")}, nil, 0, []string{"b +m"}},
		{"refused requests count", []string{"m"}, 0, []Demand{{Model: "m", RefusedPerSecond: 0.1}}, []Endpoint{engineAt("a", "x", "x")}, nil, 0, []string{"a +m"}},
		{"floor without demand", []string{"m"}, 2, nil, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "y", "x")}, nil, 0, []string{"b +m"}},
		{"other failure domain first", []string{"m"}, 2, nil, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "x", "x"), engineAt("c", "y", "x")}, nil, 0, []string{"c +m"}},
		{"leaving replica does not count", []string{"m"}, 1, nil, []Endpoint{engineAt("a", "x", "x"), leaving}, nil, 0, []string{"a +m"}},
		{"ejected replica does not count", []string{"m"}, 1, nil, []Endpoint{engineAt("a", "x", "x"), ejected}, nil, 0, []string{"a +m"}},
		{"replica with expired lease does not count", []string{"m"}, 1, nil, []Endpoint{engineAt("a", "x", "x"), expired}, nil, 0, []string{"a +m"}},
		{"no order to leaving, expired or ejected endpoints", []string{"m", "n"}, 1, nil, []Endpoint{leaving, expired, ejected}, nil, 0, nil},
		{"no order to an endpoint that serves every model", []string{"m"}, 1, nil, []Endpoint{engineAt("a", "x")}, nil, 0, nil},
		{"announced load counts", []string{"m"}, 1, nil, []Endpoint{engineAt("a", "x", "x"), loading}, nil, 0, nil},
		{"pending order counts", []string{"m"}, 1, nil, []Endpoint{engineAt("a", "x", "x"), engineAt("b", "y", "x")},
			[]Order{{Service: "pool", Endpoint: "b", Load: "m"}}, 0, nil},
		{"no order for a model that is not placed", []string{"m"}, 1, []Demand{busy("other", 0, 50)}, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "y", "m")}, nil, 0, nil},
		{"idle model that is not placed is unloaded first", []string{"m", "old"}, 1, []Demand{busy("m", 0, 9)},
			[]Endpoint{engineAt("a", "x", "m", "x"), engineAt("b", "y", "old", "z"), engineAt("c", "z", "old", "x")}, nil, 0, []string{"b +m -z"}},
		{"last replica at the floor is not unloaded", []string{"m", "old"}, 1, []Demand{busy("m", 0, 9)},
			[]Endpoint{engineAt("a", "x", "m", "x"), engineAt("b", "y", "old", "p")}, []Order{{Service: "pool", Endpoint: "a"}}, 0, []string{"b +m -p"}},
		{"last replica with demand is not unloaded", []string{"m"}, 0, []Demand{busy("m", 0, 9), busy("old", 2, 1), busy("p", 2, 1)},
			[]Endpoint{engineAt("a", "x", "m", "x"), engineAt("b", "y", "old", "p")}, nil, 0, nil},
		{"higher tier unloads idle models first", []string{"m", "low"}, 1, []Demand{busy("m", 0, 30), busy("low", 2, 30)},
			[]Endpoint{engineAt("a", "x", "m", "low"), engineAt("b", "y", "low", "p"), engineAt("c", "z", "low", "q")},
			nil, 0, []string{"b +m -p", "c +m -q"}},
		{"higher tier unloads replicas of a lower tier", []string{"m", "low"}, 1, []Demand{busy("m", 0, 30), busy("low", 2, 30), busy("p", 2, 1), busy("q", 2, 1)},
			[]Endpoint{engineAt("a", "x", "m", "low"), engineAt("b", "y", "low", "p"), engineAt("c", "z", "low", "q")},
			nil, 0, []string{"b +m -low", "c +m -low"}},
		{"lower tier unloads no replica of a higher tier", []string{"m", "high"}, 1, []Demand{busy("m", 2, 30), busy("high", 0, 20)},
			[]Endpoint{engineAt("a", "x", "m", "high"), engineAt("b", "y", "high", "x"), engineAt("c", "z", "high", "x")},
			[]Order{{Service: "pool", Endpoint: "b"}, {Service: "pool", Endpoint: "c"}}, 0, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Service{Name: "pool", Policy: policy, Models: test.models, Demand: test.demand, Endpoints: test.endpoints}
			s.Policy.MinReplicas = test.floor
			hold := test.hold
			if hold == 0 {
				hold = policy.StabilizationWindow
			}
			got := repeatPlan(NewPlanner(), start, hold, s, test.pending...)
			qt.Check(t, orderStrings(got), qt.DeepEquals, test.want)
		})
	}
}

// TestPause guards against two changes in a row at one endpoint, and against
// repeated orders to a failing endpoint without a pause.
func TestPause(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	s := &Service{Name: "pool", Policy: policy, Models: []string{"m"}, Endpoints: []Endpoint{engineAt("a", "x", "x")}}
	c.Assert(orderStrings(repeatPlan(p, start, policy.StabilizationWindow, s)), qt.DeepEquals, []string{"a +m"})
	at := start.Add(policy.StabilizationWindow)
	p.Failed(at, "pool", "a") // One failure doubles the pause to 2 minutes.
	c.Check(repeatPlan(p, at, 118*time.Second, s), qt.HasLen, 0)
	c.Check(repeatPlan(p, at.Add(120*time.Second), 0, s), qt.HasLen, 1)
	s.Endpoints[0].Models = []string{"y"} // A change that the planner did not order.
	at = at.Add(122 * time.Second)
	c.Check(repeatPlan(p, at, 118*time.Second, s), qt.HasLen, 0)
}

// simulation is a fleet whose orders take effect after a random number of rounds.
type simulation struct {
	service Service
	pending map[string]*pendingOrder
	now     time.Time
	planner *Planner
}

// pendingOrder is an order that takes effect after some more rounds.
type pendingOrder struct {
	order      Order
	roundsLeft int
}

func (sim *simulation) orders() (out []Order) {
	for i := range sim.service.Endpoints {
		if a := sim.pending[sim.service.Endpoints[i].ID]; a != nil {
			out = append(out, a.order)
		}
	}
	return out
}

func (sim *simulation) replicas(model string) (n int) {
	for i := range sim.service.Endpoints {
		if e := &sim.service.Endpoints[i]; e.serving() && e.has(model) {
			n++
		}
	}
	return n
}

// round advances the simulation by one round and returns the number of new orders.
func (sim *simulation) round(t *rapid.T) int {
	sim.now = sim.now.Add(Interval)
	for id, a := range sim.pending {
		if a.roundsLeft--; a.roundsLeft > 0 {
			continue
		}
		e := sim.service.endpoint(id)
		if a.order.Unload != "" {
			if !sim.planner.MayUnload(&sim.service, sim.orders(), id, a.order.Unload) {
				delete(sim.pending, id)
				continue
			}
			e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m string) bool { return m == a.order.Unload })
			sim.checkMinReplicas(t, a.order.Unload)
		}
		e.Models = append(slices.Clone(e.Models), a.order.Load)
		sim.planner.Done(sim.now, sim.service.Name, id)
		delete(sim.pending, id)
	}
	orders := sim.planner.Plan(sim.now, &sim.service, sim.orders())
	for _, o := range orders {
		e := sim.service.endpoint(o.Endpoint)
		if !e.orderable() || sim.pending[o.Endpoint] != nil || e.has(o.Load) {
			t.Fatalf("order %v to endpoint %+v", o, e)
		}
		if o.Unload == "" && len(e.Models) >= sim.service.Policy.ModelsPerEndpoint {
			t.Fatalf("order %v without room", o)
		}
		sim.pending[o.Endpoint] = &pendingOrder{o, rapid.IntRange(1, 20).Draw(t, "takes")}
	}
	return len(orders)
}

// checkMinReplicas fails if a model that was just unloaded has fewer replicas than
// its floor, or none in spite of demand.
func (sim *simulation) checkMinReplicas(t *rapid.T, model string) {
	floor := 0
	if slices.Contains(sim.service.Models, model) {
		floor = sim.service.Policy.MinReplicas
	}
	for _, d := range sim.service.Demand {
		if d.Model == model && d.Waiting+d.InFlight > 0 {
			floor = max(floor, 1)
		}
	}
	if n := sim.replicas(model); n < floor {
		t.Fatalf("%s was unloaded down to %d replicas; %d must stay", model, n, floor)
	}
}

func (sim *simulation) drawDemand(t *rapid.T) {
	sim.service.Demand = nil
	for _, m := range sim.service.Models {
		sim.service.Demand = append(sim.service.Demand, Demand{
			Model: m, Tier: rapid.IntRange(0, 2).Draw(t, "tier"), InFlight: rapid.IntRange(0, 60).Draw(t, "in flight"),
		})
	}
}

func drawSimulation(t *rapid.T) *simulation {
	sim := &simulation{planner: NewPlanner(), pending: make(map[string]*pendingOrder), now: start}
	sim.service = Service{Name: "pool", Policy: policy}
	sim.service.Policy.MinReplicas = rapid.IntRange(0, 2).Draw(t, "floor")
	for i := range rapid.IntRange(1, 5).Draw(t, "models") {
		sim.service.Models = append(sim.service.Models, fmt.Sprintf("m%d", i))
	}
	for i := range rapid.IntRange(1, 9).Draw(t, "endpoints") {
		first := rapid.IntRange(0, len(sim.service.Models)-1).Draw(t, "first")
		e := engineAt(fmt.Sprintf("e%d", i), fmt.Sprintf("d%d", i%3), sim.service.Models[first])
		if rapid.Bool().Draw(t, "two") && len(sim.service.Models) > 1 {
			e.Models = append(e.Models, sim.service.Models[(first+1)%len(sim.service.Models)])
		}
		sim.service.Endpoints = append(sim.service.Endpoints, e)
	}
	return sim
}

// TestPlannerModel simulates changing demand and lost endpoints. It guards against
// unloading below the floor, unloading the last replica in use, orders to
// endpoints that must not get any, and changes that continue under constant
// demand.
func TestPlannerModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t)
		for range rapid.IntRange(1, 4).Draw(t, "periods") {
			sim.drawDemand(t)
			e := &sim.service.Endpoints[rapid.IntRange(0, len(sim.service.Endpoints)-1).Draw(t, "endpoint")]
			e.Live = rapid.Bool().Draw(t, "live")
			if !e.Live {
				delete(sim.pending, e.ID)
			}
			for range rapid.IntRange(1, 40).Draw(t, "rounds") {
				sim.round(t)
			}
		}
		// Each endpoint lacks at most one replica of each model, and successive changes
		// at an endpoint are separated by its pause, so settleRounds is enough for the
		// simulation to reach a stable state.
		const settleRounds, quietRounds = 600, 300
		for range settleRounds {
			sim.round(t)
		}
		for range quietRounds {
			if n := sim.round(t); n > 0 {
				t.Fatalf("%d orders after %d rounds of constant demand: %v", n, settleRounds, orderStrings(sim.orders()))
			}
		}
	})
}
