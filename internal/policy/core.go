package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/limit"
	"auburnstep.example/auburnstep/internal/scheduler"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// coreRouter is scheduler.Core behind entries that follow the protocol of the
// design: they repeat requests every second, renew grants every 500 ms and
// report outcomes.
type coreRouter struct {
	sim     *sim
	core    *scheduler.Core // nil between two holders of the group
	epoch   uint64
	known   map[string]*request
	waiting map[*request]bool // told to the core
	held    [entries]map[*request]bool
}

func newCoreRouter(s *sim) *coreRouter {
	c := &coreRouter{sim: s, known: map[string]*request{}, waiting: map[*request]bool{}}
	for i := range c.held {
		c.held[i] = map[*request]bool{}
		s.after(0.5*float64(i)/entries, func() { c.renew(i) })
	}
	c.begin()
	for i, e := range s.engines {
		s.after(reportEvery*float64(i)/float64(len(s.engines)), func() { c.announce(e) })
	}
	c.tick()
	if s.scenario.takeover {
		s.after(40, func() { c.core, c.waiting = nil, map[*request]bool{} })
		s.after(43, c.begin)
	}
	return c
}

func (c *coreRouter) clock() time.Time { return start.Add(seconds(c.sim.now)) }
func seconds(v float64) time.Duration  { return time.Duration(v * float64(time.Second)) }
func entryName(i int) string           { return fmt.Sprint("e", i) }
func (c *coreRouter) waits(int) bool   { return false } // see check

func (c *coreRouter) begin() {
	c.epoch++
	config := scheduler.Config{Group: c.sim.service.name, Epoch: c.epoch, Successor: c.epoch > 1}
	if c.sim.service.plain {
		config.Kind = scheduler.Plain
	}
	for i := range entries {
		config.Entries = append(config.Entries, entryName(i))
	}
	c.core = scheduler.New(c.clock(), config, scheduler.Policy{Customer: c.limits})
}

// limits returns the limits of a customer.
func (c *coreRouter) limits(customer string) limit.Policy {
	if !c.sim.scenario.limited || customer != largeCustomer {
		return limit.Policy{}
	}
	sv := c.sim.service
	return limit.Policy{Concurrency: int(largeLimit * float64(sv.replicas*sv.slots))}
}

// call runs f on the core one hop later, unless the core is lost.
func (c *coreRouter) call(delay float64, f func(now time.Time) []scheduler.Decision) {
	c.sim.after(delay, func() {
		if c.core != nil {
			c.apply(f(c.clock()))
		}
	})
}

func (c *coreRouter) apply(out []scheduler.Decision) {
	var granted []scheduler.Granted
	for _, d := range out {
		switch d := d.(type) {
		case scheduler.Granted:
			if r := c.known[d.RequestID]; r.grant != d.GrantID {
				r.grant = d.GrantID
				delete(c.waiting, r)
				granted = append(granted, d)
			}
		case scheduler.Refused:
			r := c.known[d.RequestID]
			delete(c.waiting, r)
			c.sim.after(hop, func() { c.sim.refused(r) })
		}
	}
	for _, g := range granted {
		c.check(g)
		c.sim.after(hop, func() { c.use(c.known[g.RequestID], g) })
	}
}

// check counts grants to a lower tier while a higher one waits that may use the
// same endpoint. The reserved lane is meant to do that, and an ejected endpoint
// takes repeatable requests only, as probes.
func (c *coreRouter) check(g scheduler.Granted) {
	if g.Reserved {
		c.sim.result.reserved++
		return
	}
	for w := range c.waiting {
		if w.class.tier < g.Priority && !slices.Contains(w.avoid, g.Endpoint) && !(w.class.once && c.ejected(g.Endpoint)) {
			c.sim.result.violations++
			return
		}
	}
}

func (c *coreRouter) ejected(id string) bool {
	return slices.ContainsFunc(c.core.Status(c.clock()).Endpoints, func(e scheduler.EndpointStatus) bool {
		return e.Endpoint.ID == id && e.Ejected
	})
}

// use is the entry that got a grant.
func (c *coreRouter) use(r *request, g scheduler.Granted) {
	e := c.sim.engines[slices.IndexFunc(c.sim.engines, func(e *engine) bool { return e.id == g.Endpoint })]
	r.granted = c.sim.now
	switch {
	case r.over:
		c.release(r, scheduler.Outcome{Unused: true})
	case e.submit(r):
		c.held[r.entry][r] = true
	default:
		c.release(r, scheduler.Outcome{Failed: true, EndpointFault: true, ConnectRefused: true})
		c.sim.retry(r, e)
	}
}

func (c *coreRouter) release(r *request, o scheduler.Outcome) {
	id := r.grant
	delete(c.held[r.entry], r)
	c.call(hop, func(now time.Time) []scheduler.Decision { return c.core.Release(now, id, o) })
}

func (c *coreRouter) submit(r *request) {
	c.known[r.id] = r
	c.enqueue(r, r.grant)
}

// enqueue repeats a request until it has another grant than before.
func (c *coreRouter) enqueue(r *request, before string) {
	if r.over || r.grant != before {
		return
	}
	c.call(hop, func(now time.Time) []scheduler.Decision {
		if r.over || r.grant != before {
			return nil
		}
		c.waiting[r] = true
		q := scheduler.Request{
			ID: r.id, Entry: entryName(r.entry), Customer: r.customer, Class: r.class.name, Tier: r.class.tier,
			Target: seconds(r.class.target), Deadline: seconds(r.class.deadline), Waited: seconds(c.sim.now - r.arrive),
			PromptTokens: r.class.prompt, MayRepeat: !r.class.once, Avoid: r.avoid,
		}
		if r.class.prompt > 0 { // the second half of the prompt is the request's own
			q.Prefixes = []uint64{r.prefix, uint64(1e9) + uint64(len(c.known))}
		}
		return c.core.Enqueue(now, q)
	})
	c.sim.after(1, func() { c.enqueue(r, before) })
}

func (c *coreRouter) ended(r *request, e *engine, whole bool) {
	o := scheduler.Outcome{Failed: !whole, EndpointFault: e.down}
	o.FirstToken, o.Duration = seconds(r.first-r.granted), seconds(c.sim.now-r.granted)
	if !c.sim.service.plain {
		o.Tokens = r.done
	}
	c.release(r, o)
}

func (c *coreRouter) left(r *request) {
	delete(c.waiting, r)
	c.call(hop, func(now time.Time) []scheduler.Decision { return c.core.Cancel(now, r.id) })
}

func (c *coreRouter) renew(entry int) {
	var held []scheduler.HeldGrant
	for r := range c.held[entry] {
		held = append(held, scheduler.HeldGrant{
			GrantID: r.grant, RequestID: r.id, Endpoint: r.last.id, Customer: r.customer, Class: r.class.name, Epoch: c.epoch,
		})
	}
	// The order of a map is random; the run must not be.
	slices.SortFunc(held, func(a, b scheduler.HeldGrant) int { return strings.Compare(a.GrantID, b.GrantID) })
	c.call(hop, func(now time.Time) []scheduler.Decision { return c.core.Renew(now, entryName(entry), held) })
	c.sim.after(0.5, func() { c.renew(entry) })
}

func (c *coreRouter) announce(e *engine) {
	c.sim.after(reportEvery, func() { c.announce(e) })
	if e.down {
		return
	}
	spec := scheduler.Endpoint{
		ID: e.id, Incarnation: e.incarnation, Slots: c.sim.service.slots,
		Load: &scheduler.Load{Running: len(e.running), Waiting: len(e.queue), MeasuredAt: c.clock()},
	}
	c.call(max(reportLag, c.sim.scenario.reportLag), func(now time.Time) []scheduler.Decision {
		return c.core.Announce(now, spec)
	})
}

func (c *coreRouter) tick() {
	c.call(0, func(now time.Time) []scheduler.Decision { return c.core.Tick(now) })
	c.sim.after(0.05, c.tick)
}
