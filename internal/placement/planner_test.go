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
		Enabled: true, Floor: 1, Hold: 30 * time.Second, Pause: time.Minute, PerEndpoint: 2,
		WeightsAtOnce: 2, WeightsPerMinute: 4,
	}
)

// engineAt returns an endpoint with 10 slots.
func engineAt(id, domain string, models ...string) Endpoint {
	return Endpoint{
		ID: id, Group: "pool/0", Epoch: 1, Address: "127.0.0.1:1", Incarnation: 1, Domain: domain, Models: models, Slots: 10,
		Pace: 50, Live: true, RefusesOldFencing: true, InFlight: map[string]int{},
	}
}

// plans repeats Plan with the same state for a time and returns the last orders.
func plans(p *Planner, from time.Time, d time.Duration, s *Service, pending ...Order) (out []Order) {
	for at := time.Duration(0); at <= d; at += Interval {
		out = p.Plan(from.Add(at), s, pending)
	}
	return out
}

func texts(orders []Order) (out []string) {
	for _, o := range orders {
		text := o.Endpoint + " +" + o.Load
		if o.Unload != "" {
			text += " -" + o.Unload
		}
		out = append(out, text)
	}
	return out
}

// TestPlan guards, case by case, against orders that are missing, made too
// early, sent to the wrong endpoint or taken from a model that needs its replica.
func TestPlan(t *testing.T) {
	leaving, ejected, silent := engineAt("b", "y", "m"), engineAt("b", "y", "m"), engineAt("b", "y", "m")
	leaving.Leaving, ejected.Ejected, silent.Live = true, true, false
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
		hold      time.Duration // 0: the hold time
		want      []string
	}{
		{"enough replicas", []string{"m"}, 1, []Demand{busy("m", 0, 7)}, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "y", "x")}, nil, 0, nil},
		{"demand above the slots", []string{"m"}, 1, []Demand{busy("m", 0, 9)}, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "y", "x")}, nil, 0, []string{"b +m"}},
		{"demand that does not last", []string{"m"}, 1, []Demand{busy("m", 0, 9)}, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "y", "x")}, nil, 28 * time.Second, nil},
		{"token rate above the pace", []string{"m"}, 1, []Demand{{Model: "m", TokensPerSecond: 450}}, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "y", "x")}, nil, 0, []string{"b +m"}},
		{"refused requests count", []string{"m"}, 0, []Demand{{Model: "m", RefusedPerSecond: 0.1}}, []Endpoint{engineAt("a", "x", "x")}, nil, 0, []string{"a +m"}},
		{"floor without demand", []string{"m"}, 2, nil, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "y", "x")}, nil, 0, []string{"b +m"}},
		{"other failure domain first", []string{"m"}, 2, nil, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "x", "x"), engineAt("c", "y", "x")}, nil, 0, []string{"c +m"}},
		{"leaving replica does not count", []string{"m"}, 1, nil, []Endpoint{engineAt("a", "x", "x"), leaving}, nil, 0, []string{"a +m"}},
		{"ejected replica does not count", []string{"m"}, 1, nil, []Endpoint{engineAt("a", "x", "x"), ejected}, nil, 0, []string{"a +m"}},
		{"silent replica does not count", []string{"m"}, 1, nil, []Endpoint{engineAt("a", "x", "x"), silent}, nil, 0, []string{"a +m"}},
		{"never to a leaving endpoint", []string{"m", "n"}, 1, nil, []Endpoint{leaving, silent, ejected}, nil, 0, nil},
		{"endpoint that serves every model", []string{"m"}, 1, nil, []Endpoint{engineAt("a", "x")}, nil, 0, nil},
		{"announced load counts", []string{"m"}, 1, nil, []Endpoint{engineAt("a", "x", "x"), loading}, nil, 0, nil},
		{"pending order counts", []string{"m"}, 1, nil, []Endpoint{engineAt("a", "x", "x"), engineAt("b", "y", "x")},
			[]Order{{Service: "pool", Endpoint: "b", Load: "m"}}, 0, nil},
		{"model that is not placed", []string{"m"}, 1, []Demand{busy("other", 0, 50)}, []Endpoint{engineAt("a", "x", "m"), engineAt("b", "y", "m")}, nil, 0, nil},
		{"idle model gives way", []string{"m", "old"}, 1, []Demand{busy("m", 0, 9)},
			[]Endpoint{engineAt("a", "x", "m", "x"), engineAt("b", "y", "old", "z"), engineAt("c", "z", "old", "x")}, nil, 0, []string{"b +m -z"}},
		{"last replica at its floor stays", []string{"m", "old"}, 1, []Demand{busy("m", 0, 9)},
			[]Endpoint{engineAt("a", "x", "m", "x"), engineAt("b", "y", "old", "p")}, []Order{{Service: "pool", Endpoint: "a"}}, 0, []string{"b +m -p"}},
		{"last replica with demand stays", []string{"m"}, 0, []Demand{busy("m", 0, 9), busy("old", 2, 1), busy("p", 2, 1)},
			[]Endpoint{engineAt("a", "x", "m", "x"), engineAt("b", "y", "old", "p")}, nil, 0, nil},
		{"higher tier takes down to the floor", []string{"m", "low"}, 1, []Demand{busy("m", 0, 30), busy("low", 2, 30)},
			[]Endpoint{engineAt("a", "x", "m", "low"), engineAt("b", "y", "low", "p"), engineAt("c", "z", "low", "q")},
			nil, 0, []string{"b +m -p", "c +m -q"}},
		{"higher tier takes from lower", []string{"m", "low"}, 1, []Demand{busy("m", 0, 30), busy("low", 2, 30), busy("p", 2, 1), busy("q", 2, 1)},
			[]Endpoint{engineAt("a", "x", "m", "low"), engineAt("b", "y", "low", "p"), engineAt("c", "z", "low", "q")},
			nil, 0, []string{"b +m -low", "c +m -low"}},
		{"lower tier takes nothing from higher", []string{"m", "high"}, 1, []Demand{busy("m", 2, 30), busy("high", 0, 20)},
			[]Endpoint{engineAt("a", "x", "m", "high"), engineAt("b", "y", "high", "x"), engineAt("c", "z", "high", "x")},
			[]Order{{Service: "pool", Endpoint: "b"}, {Service: "pool", Endpoint: "c"}}, 0, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Service{Name: "pool", Policy: policy, Models: test.models, Demand: test.demand, Endpoints: test.endpoints}
			s.Policy.Floor = test.floor
			hold := test.hold
			if hold == 0 {
				hold = policy.Hold
			}
			got := plans(NewPlanner(), start, hold, s, test.pending...)
			qt.Check(t, texts(got), qt.DeepEquals, test.want)
		})
	}
}

// TestPause guards against two changes in a row at one endpoint, and against a
// failing endpoint that is ordered again and again.
func TestPause(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	s := &Service{Name: "pool", Policy: policy, Models: []string{"m"}, Endpoints: []Endpoint{engineAt("a", "x", "x")}}
	c.Assert(texts(plans(p, start, policy.Hold, s)), qt.DeepEquals, []string{"a +m"})
	at := start.Add(policy.Hold)
	p.Failed(at, "pool", "a") // Pause of 2 minutes after one failure.
	c.Check(plans(p, at, 118*time.Second, s), qt.HasLen, 0)
	c.Check(plans(p, at.Add(120*time.Second), 0, s), qt.HasLen, 1)
	s.Endpoints[0].Models = []string{"y"} // Changed by another.
	at = at.Add(122 * time.Second)
	c.Check(plans(p, at, 118*time.Second, s), qt.HasLen, 0)
}

// world is a fleet whose orders take effect after a random number of rounds.
type world struct {
	service Service
	pending map[string]*arrival
	now     time.Time
	planner *Planner
}

type arrival struct {
	order Order
	in    int
}

func (w *world) orders() (out []Order) {
	for i := range w.service.Endpoints {
		if a := w.pending[w.service.Endpoints[i].ID]; a != nil {
			out = append(out, a.order)
		}
	}
	return out
}

func (w *world) replicas(model string) (n int) {
	for i := range w.service.Endpoints {
		if e := &w.service.Endpoints[i]; e.serving() && e.has(model) {
			n++
		}
	}
	return n
}

// round advances the world and returns how many orders were made.
func (w *world) round(t *rapid.T) int {
	w.now = w.now.Add(Interval)
	for id, a := range w.pending {
		if a.in--; a.in > 0 {
			continue
		}
		e := w.service.endpoint(id)
		if a.order.Unload != "" {
			if !w.planner.MayUnload(&w.service, w.orders(), id, a.order.Unload) {
				delete(w.pending, id)
				continue
			}
			e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m string) bool { return m == a.order.Unload })
			w.checkLeast(t, a.order.Unload)
		}
		e.Models = append(slices.Clone(e.Models), a.order.Load)
		w.planner.Done(w.now, w.service.Name, id)
		delete(w.pending, id)
	}
	orders := w.planner.Plan(w.now, &w.service, w.orders())
	for _, o := range orders {
		e := w.service.endpoint(o.Endpoint)
		if !e.orderable() || w.pending[o.Endpoint] != nil || e.has(o.Load) {
			t.Fatalf("order %v to endpoint %+v", o, e)
		}
		if o.Unload == "" && len(e.Models) >= w.service.Policy.PerEndpoint {
			t.Fatalf("order %v without room", o)
		}
		w.pending[o.Endpoint] = &arrival{o, rapid.IntRange(1, 20).Draw(t, "takes")}
	}
	return len(orders)
}

// checkLeast fails if a model that was just unloaded is below what must stay.
func (w *world) checkLeast(t *rapid.T, model string) {
	floor := 0
	if slices.Contains(w.service.Models, model) {
		floor = w.service.Policy.Floor
	}
	for _, d := range w.service.Demand {
		if d.Model == model && d.Waiting+d.InFlight > 0 {
			floor = max(floor, 1)
		}
	}
	if n := w.replicas(model); n < floor {
		t.Fatalf("%s was unloaded down to %d replicas; %d must stay", model, n, floor)
	}
}

func (w *world) drawDemand(t *rapid.T) {
	w.service.Demand = nil
	for _, m := range w.service.Models {
		w.service.Demand = append(w.service.Demand, Demand{
			Model: m, Tier: rapid.IntRange(0, 2).Draw(t, "tier"), InFlight: rapid.IntRange(0, 60).Draw(t, "in flight"),
		})
	}
}

func drawWorld(t *rapid.T) *world {
	w := &world{planner: NewPlanner(), pending: make(map[string]*arrival), now: start}
	w.service = Service{Name: "pool", Policy: policy}
	w.service.Policy.Floor = rapid.IntRange(0, 2).Draw(t, "floor")
	for i := range rapid.IntRange(1, 5).Draw(t, "models") {
		w.service.Models = append(w.service.Models, fmt.Sprintf("m%d", i))
	}
	for i := range rapid.IntRange(1, 9).Draw(t, "endpoints") {
		first := rapid.IntRange(0, len(w.service.Models)-1).Draw(t, "first")
		e := engineAt(fmt.Sprintf("e%d", i), fmt.Sprintf("d%d", i%3), w.service.Models[first])
		if rapid.Bool().Draw(t, "two") && len(w.service.Models) > 1 {
			e.Models = append(e.Models, w.service.Models[(first+1)%len(w.service.Models)])
		}
		w.service.Endpoints = append(w.service.Endpoints, e)
	}
	return w
}

// TestPlannerModel guards, under changing demand and lost endpoints, against an
// unload below the floor or of a last replica in use, an order to an endpoint
// that must get none, and against changes that go on under constant demand.
func TestPlannerModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for range rapid.IntRange(1, 4).Draw(t, "periods") {
			w.drawDemand(t)
			e := &w.service.Endpoints[rapid.IntRange(0, len(w.service.Endpoints)-1).Draw(t, "endpoint")]
			e.Live = rapid.Bool().Draw(t, "live")
			if !e.Live {
				delete(w.pending, e.ID)
			}
			for range rapid.IntRange(1, 40).Draw(t, "rounds") {
				w.round(t)
			}
		}
		// At most one replica of each model at each endpoint is missing, and each
		// change waits for its endpoint's pause, so this is time enough to settle.
		const settled, quiet = 600, 300
		for range settled {
			w.round(t)
		}
		for range quiet {
			if n := w.round(t); n > 0 {
				t.Fatalf("%d orders after %d rounds of constant demand: %v", n, settled, texts(w.orders()))
			}
		}
	})
}
