package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/routing"
)

// Planner decides which orders to place. It does no I/O, takes the time as an argument, and
// is not safe for concurrent use. Its state may be lost at any time: a new planner reduces
// nothing until it has known the demand for reduceAfter.
type Planner struct {
	services map[string]*service
	subjects map[key]*subject
	// silentSince holds when an endpoint was first seen silent.
	silentSince map[string]time.Time
}

// service is what is known of one service.
type service struct {
	routing.Service
	need    need
	domains []string // the cheapest first
	// counts holds the announced endpoints.
	counts map[key]count
	// reducedAt is when endpoints were last reduced.
	reducedAt time.Time
}

// NewPlanner returns a planner without any observations.
func NewPlanner() *Planner {
	return &Planner{services: make(map[string]*service), subjects: make(map[key]*subject), silentSince: make(map[string]time.Time)}
}

// Observe records an observation. It is called every second, also while this instance is not
// the holder, so that a new holder knows the demand.
func (p *Planner) Observe(now time.Time, o Observation) {
	counts, slots := p.countEndpoints(now, o)
	missing := float64(o.Demand.Missing) > maxMissingShare*float64(o.Demand.Missing+o.Demand.Reporting)
	seen := make(map[string]bool)
	for _, s := range o.Services {
		if s.Scale == nil {
			continue
		}
		seen[s.Name] = true
		state := p.services[s.Name]
		if state == nil {
			state = &service{}
			p.services[s.Name] = state
		}
		state.Service, state.counts = s, counts
		demand := o.Demand.Services[s.Name]
		state.domains = domainsOf(s, counts, demand.OfferedByDomain)
		if o.Demand.Reporting > 0 {
			state.need.observe(now, units(demand, s.Engine != nil, slots[s.Name].mean(s)), isRefusing(demand), missing, state.settle())
		}
		for k := range state.keys() {
			p.subject(k).observe(counts[k], state.settle(), now)
		}
	}
	maps.DeleteFunc(p.services, func(name string, _ *service) bool { return !seen[name] })
	maps.DeleteFunc(p.subjects, func(k key, _ *subject) bool { return !seen[k.service] })
}

// slotSum adds up the announced slots of a service.
type slotSum struct{ slots, endpoints int }

func (s slotSum) mean(of routing.Service) float64 {
	switch {
	case s.slots > 0:
		return float64(s.slots) / float64(s.endpoints)
	case of.Engine != nil && of.Engine.Slots > 0:
		return float64(of.Engine.Slots)
	}
	return defaultSlots
}

func (p *Planner) countEndpoints(now time.Time, o Observation) (map[key]count, map[string]slotSum) {
	counts, slots := make(map[key]count), make(map[string]slotSum)
	silentSince := make(map[string]time.Time)
	for id, e := range o.Endpoints {
		if e.Silent {
			silentSince[id] = now
			if at, ok := p.silentSince[id]; ok {
				silentSince[id] = at
			}
		}
		if e.Gone || e.Draining || e.Silent && now.Sub(silentSince[id]) > maxSilence {
			continue
		}
		k := key{e.Service, e.FailureDomain, e.Spot}
		c := counts[k]
		c.present++
		if !e.Silent && e.WarmupMs == 0 {
			c.serving++
		}
		counts[k] = c
		if e.Slots > 0 {
			s := slots[e.Service]
			s.slots += int(e.Slots)
			s.endpoints++
			slots[e.Service] = s
		}
	}
	p.silentSince = silentSince
	return counts, slots
}

// domainsOf returns the failure domains in which endpoints of a service may be ordered, the
// cheapest first. Of equal ones, the domain whose entries have more requests comes first.
func domainsOf(s routing.Service, counts map[key]count, offered map[string]float64) []string {
	names := make(map[string]bool)
	for d := range s.Scale.DomainPrices {
		names[d] = true
	}
	if len(names) == 0 {
		for k := range counts {
			if k.service == s.Name {
				names[k.domain] = true
			}
		}
	}
	return slices.SortedFunc(maps.Keys(names), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Scale.DomainPrices[a], s.Scale.DomainPrices[b]), cmp.Compare(offered[b], offered[a]), cmp.Compare(a, b))
	})
}

// keys yields the keys of a service's subjects: domains in order, spot first.
func (s *service) keys() func(func(key) bool) {
	return func(yield func(key) bool) {
		for _, d := range s.domains {
			if !yield(key{s.Name, d, true}) || !yield(key{s.Name, d, false}) {
				return
			}
		}
	}
}

// settle is the time after which an order counts as not carried out.
func (s *service) settle() time.Duration {
	return time.Duration(s.Scale.BootMs)*time.Millisecond + settleMargin
}

// hasSpot reports whether endpoints that may be reclaimed are worth ordering.
// In a single domain they could all be reclaimed at once.
func (s *service) hasSpot() bool {
	return s.Scale.SpotPrice > 0 && s.Scale.SpotPrice < 1 && len(s.domains) > 1
}

func (p *Planner) subject(k key) *subject {
	s := p.subjects[k]
	if s == nil {
		s = &subject{}
		p.subjects[k] = s
	}
	return s
}

// Forget forgets the orders, since another instance may be the holder.
func (p *Planner) Forget() {
	for _, s := range p.subjects {
		s.forget()
	}
}

// Record records the result of an order that Plan returned.
func (p *Planner) Record(now time.Time, o Order, r Result) {
	if s := p.subjects[key{o.Service, o.Domain, o.Spot}]; s != nil && s.inFlight && s.number == o.Desired {
		s.record(now, r)
	}
}

// Plan returns the orders to place now. Each result must be recorded.
func (p *Planner) Plan(now time.Time) (out []Order) {
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		r := round{p: p, s: p.services[name], now: now}
		out = append(out, r.plan()...)
	}
	return out
}

// Level returns the endpoints of a service that serve, and those that it needs outside of
// any failure domain; 0 if not known.
func (p *Planner) Level(name string) (serving int, needed float64) {
	s := p.services[name]
	if s == nil {
		return 0, 0
	}
	for k := range s.keys() {
		serving += p.subject(k).serving
	}
	return serving, s.need.level
}

// Services returns the names of the services that are ordered, sorted.
func (p *Planner) Services() []string { return slices.Sorted(maps.Keys(p.services)) }

// target is the number of endpoints of a service in one domain that is planned for.
type target struct{ ordinary, spot int }

// targets divides the endpoints that are needed among the domains. All spot endpoints of a
// domain may be reclaimed at once, and its ordinary ones may fail with the domain, so the
// other domains hold what is needed: each of D domains holds a (D-1)th. Ordinary endpoints
// carry the mean load when the spot ones of all domains are reclaimed within one time without
// supply. At most half of them are in one domain. Without spot endpoints the domains share
// what is needed: to hold as much for the loss of a domain would cost five times as much.
func (s *service) targets() map[string]target {
	n, d := s.need.level, len(s.domains)
	perDomain, base := int(math.Ceil(n/float64(max(1, d-1)))), int(math.Ceil(n/(burstFactor*waveFactor)))
	share := (base + 1) / 2
	if !s.hasSpot() {
		perDomain = int(math.Ceil(n / float64(d)))
		base, share = d*perDomain, perDomain
	}
	bounded := func(n int) int { return min(max(n, s.Scale.Min), s.Scale.Max) }
	out := make(map[string]target, d)
	for _, domain := range s.domains {
		ordinary := min(share, bounded(perDomain), base)
		base -= ordinary
		if !s.hasSpot() {
			ordinary = bounded(perDomain)
		}
		out[domain] = target{ordinary, bounded(perDomain) - ordinary}
	}
	return out
}
