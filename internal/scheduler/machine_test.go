package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"auburnstep.example/auburnstep/internal/limit"
)

// held is a grant as the entries know it, independent of the core.
type held struct {
	Granted
	customer string
	class    string
	unused   time.Time // void after this unless used
	used     bool
	since    time.Time
}

// machine drives a core with random calls and checks every decision against
// what the callers and endpoints were told.
type machine struct {
	core      *Core
	now       time.Time
	epoch     uint64
	next      int
	requests  map[string]Request // waiting, as entries see them
	held      map[string]*held   // by grant
	endpoints map[string]Endpoint
	policy    Policy
	overlap   map[string]int // grants adopted beyond the slots, by endpoint
	kind      Kind
	limit     int // of customer k0
	sequence  uint64
	// lane is what the entries saw of the last grant from the reserved lane, as
	// long as the group stays small.
	lane struct {
		end   time.Time
		hold  time.Duration
		large bool // the group had a lane with own slots since
	}
}

var machineEntries = []string{"e0", "e1", "e2"}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		now: epoch, epoch: 1, requests: map[string]Request{}, held: map[string]*held{},
		endpoints: map[string]Endpoint{}, overlap: map[string]int{}, limit: 2,
		kind: rapid.SampledFrom([]Kind{Engine, Plain}).Draw(t, "kind"),
	}
	m.policy = Policy{
		QueueMax: rapid.IntRange(3, 30).Draw(t, "queueMax"),
		Classes:  map[string]ClassPolicy{"class2": {StarvationBound: 2 * time.Second}, "class1": {ShareMin: 0.3, StarvationBound: time.Second}},
		Customer: func(name string) limit.Policy {
			if name == "k0" {
				return limit.Policy{Concurrency: m.limit, Weight: 2}
			}
			return limit.Policy{}
		},
	}
	m.core = New(m.now, Config{Epoch: 1, Kind: m.kind, Entries: machineEntries}, m.policy)
	for i := range rapid.IntRange(1, 4).Draw(t, "endpoints") {
		e := Endpoint{ID: fmt.Sprint("n", i), Incarnation: 1, Slots: rapid.IntRange(1, 6).Draw(t, "slots"), Models: []string{"m"}}
		if i%2 == 1 {
			e.Models = append(e.Models, "other")
		}
		m.endpoints[e.ID] = e
		m.check(t, m.core.Announce(m.now, e))
	}
	return m
}

// check applies decisions and verifies them.
func (m *machine) check(t *rapid.T, out []Decision) {
	for _, d := range out {
		switch d := d.(type) {
		case Granted:
			m.checkGranted(t, d)
		case Refused:
			if _, ok := m.requests[d.RequestID]; !ok {
				t.Fatalf("refused %s, which does not wait", d.RequestID)
			}
			victim := m.requests[d.RequestID]
			delete(m.requests, d.RequestID)
			if d.Err.Message == "the queue is full" {
				m.checkVictim(t, d.RequestID, victim)
			}
		}
	}
	m.checkTierOrder(t, out)
	m.checkStarved(t, out)
	m.checkCounts(t)
}

func (m *machine) checkGranted(t *rapid.T, g Granted) {
	if h := m.held[g.GrantID]; h != nil {
		return // repeated
	}
	for _, h := range m.held {
		if h.RequestID == g.RequestID {
			t.Fatalf("request %s got grant %s while it holds %s", g.RequestID, g.GrantID, h.GrantID)
		}
	}
	r, ok := m.requests[g.RequestID]
	if !ok {
		t.Fatalf("grant for %s, which does not wait", g.RequestID)
	}
	delete(m.requests, g.RequestID)
	e := m.endpoints[g.Endpoint]
	if e.Leaving {
		t.Fatalf("grant at %s, which is leaving", g.Endpoint)
	}
	if !m.mayUse(r, e) {
		t.Fatalf("grant for %+v at %+v", r, e)
	}
	m.held[g.GrantID] = &held{Granted: g, customer: r.Customer, class: r.Class, unused: m.now.Add(g.ExpiresIn), since: m.now}
	m.checkLane(t, m.held[g.GrantID])
	if n := m.count(g.Endpoint); n > e.Slots+m.overlap[g.Endpoint] {
		t.Fatalf("%d grants on %d slots (%d overlap) of %s", n, e.Slots, m.overlap[g.Endpoint], g.Endpoint)
	}
}

// mayUse reports whether the announced models and the request's earlier failures
// allow the endpoint: one that failed the request is allowed only if each other
// endpoint with the model failed it too, is leaving or is ejected. Leases never
// end here.
func (m *machine) mayUse(r Request, e Endpoint) bool {
	if !slices.Contains(e.Models, r.Model) {
		return false
	}
	for id, other := range m.endpoints {
		usable := slices.Contains(other.Models, r.Model) && !other.Leaving && !m.core.endpoints[id].health.ejected
		if usable && slices.Contains(r.Avoid, e.ID) && !slices.Contains(r.Avoid, id) {
			return false
		}
	}
	return true
}

// The share of slot time that the lane of a small group may use lies between a
// quarter of one slot and 7 times 5%.
const laneShareLeast, laneShareMost = 0.25, 0.35

// paid returns how long a lane with the given share waits after its last grant.
func (m *machine) paid(share float64) time.Duration {
	return time.Duration(float64(m.lane.hold) * (1 - share) / share)
}

func (m *machine) reservedHeld() (n int) {
	for _, h := range m.held {
		if h.Reserved {
			n++
		}
	}
	return n
}

// checkLane verifies that the lane of a small group takes one slot at a time and
// no more than its share of time.
func (m *machine) checkLane(t *rapid.T, h *held) {
	m.lane.large = m.lane.large || m.core.slots(m.now, nil) >= reservedFrom
	if !h.Reserved || m.lane.large {
		return
	}
	if n := m.reservedHeld(); n > 1 {
		t.Fatalf("%d grants from the lane of a small group", n)
	}
	if wait := m.paid(laneShareMost); m.lane.hold > 0 && m.now.Sub(m.lane.end) < wait-time.Microsecond {
		t.Fatalf("grant from the lane %v after one of %v, less than %v", m.now.Sub(m.lane.end), m.lane.hold, wait)
	}
}

// forget takes a grant off the entries' list.
func (m *machine) forget(id string) {
	if h := m.held[id]; h.Reserved {
		m.lane.end, m.lane.hold = m.now, m.now.Sub(h.since)
		m.lane.large = m.core.slots(m.now, nil) >= reservedFrom
	}
	delete(m.held, id)
}

// checkStarved verifies that no ordinary slot was given away that a starved
// class could have had from the lane.
func (m *machine) checkStarved(t *rapid.T, out []Decision) {
	for _, g := range grantsOf(out) {
		if g.Reserved || g.ExpiresIn < grantUnused || m.reservedHeld() > 0 || m.now.Sub(m.lane.end) <= m.paid(laneShareLeast) {
			continue
		}
		for id, w := range m.core.waiting {
			cl := w.class
			if cl.unserved.IsZero() || m.now.Sub(cl.unserved) <= m.core.classPolicy(cl.name).StarvationBound || w.customer.full() {
				continue
			}
			if m.mayUse(w.request, m.endpoints[g.Endpoint]) && (!m.core.endpoints[g.Endpoint].health.ejected || w.request.MayRepeat) {
				t.Fatalf("%s got %s while %s of the starved class %s waits", g.RequestID, g.Endpoint, id, cl.name)
			}
		}
	}
}

func (m *machine) count(endpoint string) (n int) {
	for _, h := range m.held {
		if h.Endpoint == endpoint {
			n++
		}
	}
	return n
}

// checkTierOrder verifies that no request of a higher tier that could have had
// an ordinary slot still waits.
func (m *machine) checkTierOrder(t *rapid.T, out []Decision) {
	for _, g := range grantsOf(out) {
		if g.Reserved || g.ExpiresIn < grantUnused {
			continue
		}
		for id, w := range m.core.waiting {
			if w.request.Tier >= g.Priority || w.customer.full() {
				continue
			}
			ep := m.core.endpoints[g.Endpoint]
			if m.mayUse(w.request, m.endpoints[g.Endpoint]) && (!ep.health.ejected || w.request.MayRepeat) {
				t.Fatalf("%s of tier %d got %s while %s of tier %d waits", g.RequestID, g.Priority, g.Endpoint, id, w.request.Tier)
			}
		}
	}
}

// checkVictim verifies that what was shed had the lowest tier among the
// unprotected, and was the newest there.
func (m *machine) checkVictim(t *rapid.T, id string, victim Request) {
	for _, w := range m.core.waiting {
		if w.protected() {
			continue
		}
		if w.request.Tier > victim.Tier || w.request.Tier == victim.Tier && w.request.ID > id {
			t.Fatalf("shed %s of tier %d while %s of tier %d waits", id, victim.Tier, w.request.ID, w.request.Tier)
		}
	}
}

// checkCounts compares the core's counts with its grants.
func (m *machine) checkCounts(t *rapid.T) {
	counts := map[*endpoint]int{}
	byCustomer := map[string]int{}
	reserved := 0
	for _, g := range m.core.grants {
		counts[g.endpoint]++
		byCustomer[g.customer.name]++
		if g.reserved {
			reserved++
		}
	}
	for _, ep := range m.core.endpointOrder {
		if ep.inFlight != counts[ep] {
			t.Fatalf("%s counts %d in flight, has %d grants", ep.spec.ID, ep.inFlight, counts[ep])
		}
	}
	for name, cu := range m.core.customers {
		if cu.inFlight != byCustomer[name] {
			t.Fatalf("customer %s counts %d in flight, has %d grants", name, cu.inFlight, byCustomer[name])
		}
	}
	if reserved != m.core.reservedInFlight || len(m.core.grants) != m.core.inFlight {
		t.Fatalf("reserved %d, in flight %d do not match the grants", m.core.reservedInFlight, m.core.inFlight)
	}
	for prefix, holders := range m.core.prefixes {
		for _, e := range holders {
			if m.core.endpoints[e.endpoint.spec.ID] != e.endpoint || e.endpoint.cache.entries[prefix] != e {
				t.Fatalf("prefix %d is indexed at %s, which does not hold it", prefix, e.endpoint.spec.ID)
			}
		}
	}
	for _, p := range m.core.poolOrder {
		for i := range p.tiers {
			n := 0
			for _, a := range p.accounts {
				if a.tier == i {
					n += a.onTime.len() + a.late.len()
				}
			}
			if n != p.tiers[i].waiting {
				t.Fatalf("pool %v tier %d counts %d waiting, has %d", p.key, i, p.tiers[i].waiting, n)
			}
		}
	}
}

func (m *machine) enqueue(t *rapid.T) {
	m.next++
	tier := rapid.IntRange(0, Tiers-1).Draw(t, "tier")
	r := request(fmt.Sprintf("r%06d", m.next), tier)
	r.Entry = rapid.SampledFrom(machineEntries).Draw(t, "entry")
	r.Customer = fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "customer"))
	r.MayRepeat = rapid.Bool().Draw(t, "mayRepeat")
	r.Deadline = time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * time.Second
	r.Target = r.Deadline / 2
	if rapid.IntRange(0, 3).Draw(t, "model") == 0 {
		r.Model = "other"
	}
	for i := range uint64(rapid.IntRange(0, 3).Draw(t, "prefixes")) {
		r.Prefixes = append(r.Prefixes, i*2+uint64(tier%2))
	}
	if rapid.IntRange(0, 5).Draw(t, "avoid") == 0 {
		r.Avoid = []string{fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "avoided"))}
	}
	m.requests[r.ID] = r
	m.check(t, m.core.Enqueue(m.now, r))
}

func (m *machine) anyHeld(t *rapid.T) *held {
	if len(m.held) == 0 {
		t.Skip("no grants")
	}
	return m.held[rapid.SampledFrom(slices.Sorted(maps.Keys(m.held))).Draw(t, "grant")]
}

func (m *machine) release(t *rapid.T) {
	h := m.anyHeld(t)
	m.forget(h.GrantID)
	o := Outcome{Tokens: rapid.IntRange(1, 500).Draw(t, "tokens"), FirstToken: 100 * time.Millisecond}
	o.Duration = o.FirstToken + time.Duration(o.Tokens)*10*time.Millisecond
	switch rapid.IntRange(0, 9).Draw(t, "outcome") {
	case 0:
		o.Failed, o.EndpointFault = true, true
	case 1:
		o.Failed, o.EndpointFault, o.ConnectRefused = true, true, true
	case 2:
		o = Outcome{Unused: true}
	}
	m.check(t, m.core.Release(m.now, h.GrantID, o))
}

func (m *machine) cancel(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip("nothing waits")
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.requests))).Draw(t, "request")
	delete(m.requests, id)
	m.check(t, m.core.Cancel(m.now, id))
}

// repeat sends a request again that may hold a grant by now.
func (m *machine) repeat(t *rapid.T) {
	h := m.anyHeld(t)
	r := request(h.RequestID, h.Priority)
	r.Entry, r.Customer, r.Class = h.Entry, h.customer, h.class
	got := grantsOf(m.core.Enqueue(m.now, r))
	if len(got) != 1 || got[0].GrantID != h.GrantID {
		t.Fatalf("repeated request %s got %v instead of %s", h.RequestID, got, h.GrantID)
	}
}

// advance moves the clock; entries do not use grants that have expired.
func (m *machine) advance() {
	m.now = m.now.Add(250 * time.Millisecond)
	for id, h := range m.held {
		if !h.used && !m.now.Before(h.unused) {
			m.forget(id)
		}
	}
}

// pass lets time go by; entries use, renew and repeat what they have.
func (m *machine) pass(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "steps") {
		m.advance()
		for _, e := range machineEntries {
			m.check(t, m.core.Renew(m.now, e, m.heldBy(e)))
		}
		for _, id := range slices.Sorted(maps.Keys(m.requests)) {
			if r, waits := m.requests[id]; waits {
				m.check(t, m.core.Enqueue(m.now, r))
			}
		}
		for _, id := range slices.Sorted(maps.Keys(m.endpoints)) {
			m.check(t, m.core.Announce(m.now, m.endpoints[id]))
		}
		m.check(t, m.core.Tick(m.now))
	}
}

func (m *machine) heldBy(entry string) (list []HeldGrant) {
	for _, id := range slices.Sorted(maps.Keys(m.held)) {
		if h := m.held[id]; h.Entry == entry {
			h.used = true
			list = append(list, HeldGrant{
				GrantID: id, RequestID: h.RequestID, Endpoint: h.Endpoint, Customer: h.customer, Class: h.class, Epoch: h.Epoch,
			})
		}
	}
	return list
}

func (m *machine) changeEndpoint(t *rapid.T) {
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.endpoints))).Draw(t, "endpoint")
	e := m.endpoints[id]
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		e.Leaving = !e.Leaving
	case 1:
		e.Slots = rapid.IntRange(1, 6).Draw(t, "slots")
	case 2:
		e.Incarnation++
	case 3:
		m.sequence += rapid.Uint64Range(1, 2).Draw(t, "sequence")
		prefix := rapid.Uint64Range(0, 6).Draw(t, "prefix")
		m.check(t, m.core.Announce(m.now, withEvents(e, CacheEvent{Sequence: m.sequence, Stored: prefix%2 == 0, Prefix: prefix})))
	}
	m.endpoints[id] = e
	m.check(t, m.core.Announce(m.now, e))
}

// configure changes the limit of a customer.
func (m *machine) configure(t *rapid.T) {
	m.limit = rapid.IntRange(1, 4).Draw(t, "limit")
	m.check(t, m.core.Configure(m.now, m.policy))
}

// takeover replaces the core. Each entry adopts at once, within the warm-up or
// after it; what is told too late may overlap.
func (m *machine) takeover(t *rapid.T) {
	m.epoch++
	m.core = New(m.now, Config{Epoch: m.epoch, Kind: m.kind, Successor: true, Entries: machineEntries}, m.policy)
	m.overlap = map[string]int{}
	m.lane.hold, m.lane.end = 0, time.Time{} // the successor knows no debt
	for _, h := range m.held {
		h.Reserved = false
	}
	silent := rapid.SampledFrom(append([]string{""}, machineEntries...)).Draw(t, "silent")
	for _, h := range m.held {
		h.used = true
		if h.Entry == silent {
			m.overlap[h.Endpoint]++
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.endpoints)) {
		m.check(t, m.core.Announce(m.now, m.endpoints[id]))
	}
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		if r, waits := m.requests[id]; waits {
			m.check(t, m.core.Enqueue(m.now, r))
		}
	}
	for _, e := range machineEntries {
		if e != silent {
			m.check(t, m.core.Adopt(m.now, e, m.heldBy(e)))
		}
	}
	for range 5 {
		m.advance()
		m.check(t, m.core.Tick(m.now))
	}
	m.pass(t)
}

// Guards against violations of the invariants of section 1.3 and 6.3 of the
// design under any order of calls: a grant to a lower tier while an admissible
// higher one waits, a wrong shed victim, a double grant, more grants than slots
// and known overlap, work for a leaving endpoint.
func TestCoreInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"enqueue":  m.enqueue,
			"enqueue2": m.enqueue,
			"enqueue3": m.enqueue,
			"release":  m.release,
			"cancel":   m.cancel,
			"repeat":   m.repeat,
			"pass":     m.pass,
			"endpoint": m.changeEndpoint,
			"policy":   m.configure,
			"takeover": m.takeover,
		})
	})
}
