package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/limit"
	"auburnstep.example/auburnstep/internal/scheduler"
)

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// coreRouter routes with scheduler.Core through simulated entries. The entries follow
// the protocol of the design: they repeat requests every second, renew grants every
// 500 ms and report outcomes.
type coreRouter struct {
	sim          *sim
	core         *scheduler.Core // nil while no instance holds the group
	epoch        uint64
	requestsByID map[string]*request
	enqueued     map[*request]bool             // requests that wait for a grant of the current core
	held         [entryCount]map[*request]bool // by entry: requests that hold a grant and were sent to an engine
}

func newCoreRouter(s *sim) *coreRouter {
	c := &coreRouter{sim: s, requestsByID: map[string]*request{}, enqueued: map[*request]bool{}}
	for i := range c.held {
		c.held[i] = map[*request]bool{}
		s.after(0.5*float64(i)/entryCount, func() { c.renewGrants(i) })
	}
	c.startCore()
	for i, e := range s.engines {
		s.after(reportInterval*float64(i)/float64(len(s.engines)), func() { c.announceEngine(e) })
	}
	c.tick()
	if s.scenario.schedulerLoss {
		s.after(40, func() { c.core, c.enqueued = nil, map[*request]bool{} })
		s.after(43, c.startCore)
	}
	return c
}

func (c *coreRouter) clock() time.Time         { return simulationStart.Add(seconds(c.sim.now)) }
func seconds(v float64) time.Duration          { return time.Duration(v * float64(time.Second)) }
func entryName(i int) string                   { return fmt.Sprint("e", i) }
func (c *coreRouter) higherTierWaits(int) bool { return false } // checkTierOrder counts the violations of this router

// startCore creates a core with the next epoch.
func (c *coreRouter) startCore() {
	c.epoch++
	config := scheduler.Config{Group: c.sim.service.name, Epoch: c.epoch, Successor: c.epoch > 1}
	if c.sim.service.plain {
		config.Kind = scheduler.Plain
	}
	for i := range entryCount {
		config.Entries = append(config.Entries, entryName(i))
	}
	c.core = scheduler.New(c.clock(), config, scheduler.Policy{Customer: c.customerLimits})
}

// customerLimits returns the limits of a customer.
func (c *coreRouter) customerLimits(customer string) limit.Policy {
	if !c.sim.scenario.limited || customer != largeCustomer {
		return limit.Policy{}
	}
	svc := c.sim.service
	return limit.Policy{Concurrency: int(largeCustomerSlotShare * float64(svc.replicas*svc.slots))}
}

// callCore runs f on the core after a delay in seconds and applies its decisions. It
// does nothing if no core is running at that time.
func (c *coreRouter) callCore(delay float64, f func(now time.Time) []scheduler.Decision) {
	c.sim.after(delay, func() {
		if c.core != nil {
			c.applyDecisions(f(c.clock()))
		}
	})
}

func (c *coreRouter) applyDecisions(decisions []scheduler.Decision) {
	var granted []scheduler.Granted
	for _, d := range decisions {
		switch d := d.(type) {
		case scheduler.Granted:
			if r := c.requestsByID[d.RequestID]; r.grantID != d.GrantID {
				r.grantID = d.GrantID
				delete(c.enqueued, r)
				granted = append(granted, d)
			}
		case scheduler.Refused:
			r := c.requestsByID[d.RequestID]
			delete(c.enqueued, r)
			c.sim.after(hop, func() { c.sim.refused(r) })
		}
	}
	for _, g := range granted {
		c.checkTierOrder(g)
		c.sim.after(hop, func() { c.useGrant(c.requestsByID[g.RequestID], g) })
	}
}

// checkTierOrder counts grants that were made while a request of a higher tier waited
// that could have used the same endpoint. Grants of reserved slots are no violations,
// since reserved slots exist to serve lower tiers. Neither are grants of an ejected
// endpoint while only at-most-once requests wait, since an ejected endpoint gets only
// repeatable requests, as probes.
func (c *coreRouter) checkTierOrder(g scheduler.Granted) {
	if g.Reserved {
		c.sim.result.reserved++
		return
	}
	for w := range c.enqueued {
		if w.class.tier < g.Priority && !slices.Contains(w.avoidEndpoints, g.Endpoint) && !(w.class.atMostOnce && c.ejected(g.Endpoint)) {
			c.sim.result.tierViolations++
			return
		}
	}
}

func (c *coreRouter) ejected(id string) bool {
	return slices.ContainsFunc(c.core.Status(c.clock()).Endpoints, func(e scheduler.EndpointStatus) bool {
		return e.Endpoint.ID == id && e.Ejected
	})
}

// useGrant acts as the entry that received a grant: it sends the request to the
// granted engine, or releases the grant if the request has ended or the engine is down.
func (c *coreRouter) useGrant(r *request, g scheduler.Granted) {
	e := c.sim.engines[slices.IndexFunc(c.sim.engines, func(e *engine) bool { return e.id == g.Endpoint })]
	r.grantedAt = c.sim.now
	switch {
	case r.ended:
		c.releaseGrant(r, scheduler.Outcome{Unused: true})
	case e.submit(r):
		c.held[r.entry][r] = true
	default:
		c.releaseGrant(r, scheduler.Outcome{Failed: true, EndpointFault: true, ConnectRefused: true})
		c.sim.retry(r, e)
	}
}

func (c *coreRouter) releaseGrant(r *request, o scheduler.Outcome) {
	id := r.grantID
	delete(c.held[r.entry], r)
	c.callCore(hop, func(now time.Time) []scheduler.Decision { return c.core.Release(now, id, o) })
}

func (c *coreRouter) submit(r *request) {
	c.requestsByID[r.id] = r
	c.enqueue(r, r.grantID)
}

// enqueue sends a request to the core every second until the request has a grant
// other than previousGrant or has ended.
func (c *coreRouter) enqueue(r *request, previousGrant string) {
	if r.ended || r.grantID != previousGrant {
		return
	}
	c.callCore(hop, func(now time.Time) []scheduler.Decision {
		if r.ended || r.grantID != previousGrant {
			return nil
		}
		c.enqueued[r] = true
		q := scheduler.Request{
			ID: r.id, Entry: entryName(r.entry), Customer: r.customer, Class: r.class.name, Tier: r.class.tier,
			Target: seconds(r.class.firstTokenTarget), Deadline: seconds(r.class.callerTimeout), Waited: seconds(c.sim.now - r.arrived),
			PromptTokens: r.class.promptTokens, MayRepeat: !r.class.atMostOnce, Avoid: r.avoidEndpoints,
		}
		if r.class.promptTokens > 0 { // the second half of the prompt belongs to this request only
			q.Prefixes = []uint64{r.prefix, uint64(1e9) + uint64(len(c.requestsByID))}
		}
		return c.core.Enqueue(now, q)
	})
	c.sim.after(1, func() { c.enqueue(r, previousGrant) })
}

func (c *coreRouter) requestEnded(r *request, e *engine, complete bool) {
	o := scheduler.Outcome{Failed: !complete, EndpointFault: e.down}
	o.FirstToken, o.Duration = seconds(r.firstTokenAt-r.grantedAt), seconds(c.sim.now-r.grantedAt)
	if !c.sim.service.plain {
		o.Tokens = r.done
	}
	c.releaseGrant(r, o)
}

func (c *coreRouter) callerDisconnected(r *request) {
	delete(c.enqueued, r)
	c.callCore(hop, func(now time.Time) []scheduler.Decision { return c.core.Cancel(now, r.id) })
}

func (c *coreRouter) renewGrants(entry int) {
	var held []scheduler.HeldGrant
	for r := range c.held[entry] {
		held = append(held, scheduler.HeldGrant{
			GrantID: r.grantID, RequestID: r.id, Endpoint: r.lastEngine.id, Customer: r.customer, Class: r.class.name, Epoch: c.epoch,
		})
	}
	// Map iteration order is random, and runs must be reproducible.
	slices.SortFunc(held, func(a, b scheduler.HeldGrant) int { return strings.Compare(a.GrantID, b.GrantID) })
	c.callCore(hop, func(now time.Time) []scheduler.Decision { return c.core.Renew(now, entryName(entry), held) })
	c.sim.after(0.5, func() { c.renewGrants(entry) })
}

// announceEngine reports the state of an engine to the core every reportInterval.
func (c *coreRouter) announceEngine(e *engine) {
	c.sim.after(reportInterval, func() { c.announceEngine(e) })
	if e.down {
		return
	}
	spec := scheduler.Endpoint{
		ID: e.id, Incarnation: e.incarnation, Slots: c.sim.service.slots,
		Load: &scheduler.Load{Running: len(e.running), Waiting: len(e.queue), MeasuredAt: c.clock()},
	}
	c.callCore(max(reportDelay, c.sim.scenario.reportDelay), func(now time.Time) []scheduler.Decision {
		return c.core.Announce(now, spec)
	})
}

func (c *coreRouter) tick() {
	c.callCore(0, func(now time.Time) []scheduler.Decision { return c.core.Tick(now) })
	c.sim.after(0.05, c.tick)
}
