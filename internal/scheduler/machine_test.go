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

// held is a grant as its entry knows it, independent of the core.
type held struct {
	Granted
	customer    string
	class       string
	usableUntil time.Time // void from this time on unless used
	used        bool
	grantedAt   time.Time
}

// machine drives a core with random calls and checks every decision against its
// own record of requests, grants and endpoints.
type machine struct {
	core      *Core
	now       time.Time
	epoch     uint64
	next      int
	requests  map[string]Request // waiting, as the entries know
	held      map[string]*held   // by grant id
	endpoints map[string]Endpoint
	policy    Policy
	overlap   map[string]int // grants adopted too late, which may exceed the slots, by endpoint
	kind      Kind
	limit     int    // concurrency limit of customer k0
	sequence  uint64 // of the last cache event
	// lastReserved describes the last ended reserved grant as the entries saw
	// it. It is checked only while the group is small.
	lastReserved struct {
		end     time.Time
		heldFor time.Duration
		large   bool // the group has had whole reserved slots since
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
				t.Fatalf("refused request %s, which is not waiting", d.RequestID)
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
		return // a repeated request gets its grant again
	}
	for _, h := range m.held {
		if h.RequestID == g.RequestID {
			t.Fatalf("request %s got grant %s although it holds grant %s", g.RequestID, g.GrantID, h.GrantID)
		}
	}
	r, ok := m.requests[g.RequestID]
	if !ok {
		t.Fatalf("grant for request %s, which is not waiting", g.RequestID)
	}
	delete(m.requests, g.RequestID)
	e := m.endpoints[g.Endpoint]
	if e.Leaving {
		t.Fatalf("grant at endpoint %s, which is leaving", g.Endpoint)
	}
	if !m.mayRunOn(r, e) {
		t.Fatalf("request %+v must not run on endpoint %+v", r, e)
	}
	m.held[g.GrantID] = &held{Granted: g, customer: r.Customer, class: r.Class, usableUntil: m.now.Add(g.ExpiresIn), grantedAt: m.now}
	m.checkReserved(t, m.held[g.GrantID])
	if n := m.grantCount(g.Endpoint); n > e.Slots+m.overlap[g.Endpoint] {
		t.Fatalf("%d grants on %d slots (%d overlapping after a takeover) of endpoint %s", n, e.Slots, m.overlap[g.Endpoint], g.Endpoint)
	}
}

// mayRunOn reports whether the announced models and the request's earlier
// failures allow the endpoint. An endpoint that failed the request is allowed
// only if every other endpoint with the model also failed it, is leaving or is
// ejected. Leases never end in this test.
func (m *machine) mayRunOn(r Request, e Endpoint) bool {
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

// minReservedTimeShare and maxReservedTimeShare bound the slot time that a small
// group reserves, in slots: a quarter of one slot (minReservedShare) to 5% of 7
// slots.
const minReservedTimeShare, maxReservedTimeShare = 0.25, 0.35

// reservedGap returns how long a group with the given reserved share waits
// after its last reserved grant.
func (m *machine) reservedGap(share float64) time.Duration {
	return time.Duration(float64(m.lastReserved.heldFor) * (1 - share) / share)
}

func (m *machine) reservedCount() (n int) {
	for _, h := range m.held {
		if h.Reserved {
			n++
		}
	}
	return n
}

// checkReserved verifies that a small group has one reserved grant at a time
// and that reserved grants take no more than their share of time.
func (m *machine) checkReserved(t *rapid.T, h *held) {
	m.lastReserved.large = m.lastReserved.large || m.core.slots(m.now, nil) >= largeGroupSlots
	if !h.Reserved || m.lastReserved.large {
		return
	}
	if n := m.reservedCount(); n > 1 {
		t.Fatalf("%d reserved grants at a time in a small group", n)
	}
	if wait := m.reservedGap(maxReservedTimeShare); m.lastReserved.heldFor > 0 && m.now.Sub(m.lastReserved.end) < wait-time.Microsecond {
		t.Fatalf("reserved grant %v after one that took %v; it must wait at least %v", m.now.Sub(m.lastReserved.end), m.lastReserved.heldFor, wait)
	}
}

// removeGrant removes a grant from the entries' record.
func (m *machine) removeGrant(id string) {
	if h := m.held[id]; h.Reserved {
		m.lastReserved.end, m.lastReserved.heldFor = m.now, m.now.Sub(h.grantedAt)
		m.lastReserved.large = m.core.slots(m.now, nil) >= largeGroupSlots
	}
	delete(m.held, id)
}

// checkStarved verifies that no ordinary grant was given while a starved class
// could have had the slot as a reserved one.
func (m *machine) checkStarved(t *rapid.T, out []Decision) {
	for _, g := range grantsOf(out) {
		if g.Reserved || g.ExpiresIn < grantUseTimeout || m.reservedCount() > 0 || m.now.Sub(m.lastReserved.end) <= m.reservedGap(minReservedTimeShare) {
			continue
		}
		for id, w := range m.core.waiting {
			cl := w.class
			if cl.unservedSince.IsZero() || m.now.Sub(cl.unservedSince) <= m.core.classPolicy(cl.name).StarvationBound || w.customer.full() {
				continue
			}
			if m.mayRunOn(w.request, m.endpoints[g.Endpoint]) && (!m.core.endpoints[g.Endpoint].health.ejected || w.request.MayRepeat) {
				t.Fatalf("request %s got endpoint %s while request %s of the starved class %s waits", g.RequestID, g.Endpoint, id, cl.name)
			}
		}
	}
}

func (m *machine) grantCount(endpoint string) (n int) {
	for _, h := range m.held {
		if h.Endpoint == endpoint {
			n++
		}
	}
	return n
}

// checkTierOrder verifies that no ordinary grant was given while a request of a
// higher tier that could have used the slot waits.
func (m *machine) checkTierOrder(t *rapid.T, out []Decision) {
	for _, g := range grantsOf(out) {
		if g.Reserved || g.ExpiresIn < grantUseTimeout {
			continue
		}
		for id, w := range m.core.waiting {
			if w.request.Tier >= g.Priority || w.customer.full() {
				continue
			}
			ep := m.core.endpoints[g.Endpoint]
			if m.mayRunOn(w.request, m.endpoints[g.Endpoint]) && (!ep.health.ejected || w.request.MayRepeat) {
				t.Fatalf("request %s of tier %d got endpoint %s while request %s of tier %d waits", g.RequestID, g.Priority, g.Endpoint, id, w.request.Tier)
			}
		}
	}
}

// checkVictim verifies that a request that was shed because the queue was full
// was the newest unprotected one of the lowest tier.
func (m *machine) checkVictim(t *rapid.T, id string, victim Request) {
	for _, w := range m.core.waiting {
		if w.protected() {
			continue
		}
		if w.request.Tier > victim.Tier || w.request.Tier == victim.Tier && w.request.ID > id {
			t.Fatalf("shed request %s of tier %d while request %s of tier %d waits", id, victim.Tier, w.request.ID, w.request.Tier)
		}
	}
}

// checkCounts compares the core's counts and indexes with its grants, cache
// entries and waiting requests.
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
			t.Fatalf("endpoint %s counts %d in flight, has %d grants", ep.spec.ID, ep.inFlight, counts[ep])
		}
	}
	for name, cu := range m.core.customers {
		if cu.inFlight != byCustomer[name] {
			t.Fatalf("customer %s counts %d in flight, has %d grants", name, cu.inFlight, byCustomer[name])
		}
	}
	if reserved != m.core.reservedInFlight || len(m.core.grants) != m.core.inFlight {
		t.Fatalf("the counts of %d reserved and %d in flight do not match the grants", m.core.reservedInFlight, m.core.inFlight)
	}
	for prefix, holders := range m.core.prefixes {
		for _, e := range holders {
			if m.core.endpoints[e.endpoint.spec.ID] != e.endpoint || e.endpoint.prefixCache.entries[prefix] != e {
				t.Fatalf("prefix %d is indexed for endpoint %s, whose cache entries lack it", prefix, e.endpoint.spec.ID)
			}
		}
	}
	for _, p := range m.core.poolOrder {
		for i := range p.tiers {
			n := 0
			for _, a := range p.queues {
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

func (m *machine) drawGrant(t *rapid.T) *held {
	if len(m.held) == 0 {
		t.Skip("no grants")
	}
	return m.held[rapid.SampledFrom(slices.Sorted(maps.Keys(m.held))).Draw(t, "grant")]
}

func (m *machine) release(t *rapid.T) {
	h := m.drawGrant(t)
	m.removeGrant(h.GrantID)
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
		t.Skip("no requests are waiting")
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.requests))).Draw(t, "request")
	delete(m.requests, id)
	m.check(t, m.core.Cancel(m.now, id))
}

// repeat enqueues a request again that already holds a grant.
func (m *machine) repeat(t *rapid.T) {
	h := m.drawGrant(t)
	r := request(h.RequestID, h.Priority)
	r.Entry, r.Customer, r.Class = h.Entry, h.customer, h.class
	got := grantsOf(m.core.Enqueue(m.now, r))
	if len(got) != 1 || got[0].GrantID != h.GrantID {
		t.Fatalf("repeated request %s got %v instead of grant %s", h.RequestID, got, h.GrantID)
	}
}

// advance moves the clock by 250 ms and removes unused grants that have
// expired, as the entries do.
func (m *machine) advance() {
	m.now = m.now.Add(250 * time.Millisecond)
	for id, h := range m.held {
		if !h.used && !m.now.Before(h.usableUntil) {
			m.removeGrant(id)
		}
	}
}

// passTime advances the clock in steps. The entries use and renew their grants
// and repeat their waiting requests, and the endpoints announce themselves.
func (m *machine) passTime(t *rapid.T) {
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

// heldBy lists the grants of an entry, which are in use from then on.
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

// changeLimit changes the concurrency limit of customer k0.
func (m *machine) changeLimit(t *rapid.T) {
	m.limit = rapid.IntRange(1, 4).Draw(t, "limit")
	m.check(t, m.core.Configure(m.now, m.policy))
}

// takeover replaces the core by a successor. One entry or none lists its grants
// only after the warm-up, all others at once. Grants listed too late may
// overlap with new ones.
func (m *machine) takeover(t *rapid.T) {
	m.epoch++
	m.core = New(m.now, Config{Epoch: m.epoch, Kind: m.kind, Successor: true, Entries: machineEntries}, m.policy)
	m.overlap = map[string]int{}
	m.lastReserved.heldFor, m.lastReserved.end = 0, time.Time{} // the successor starts without a debt
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
	m.passTime(t)
}

// TestCoreInvariants guards against violations of the invariants in sections
// 1.3 and 6.3 of the design under any order of calls: a grant to a lower tier
// while an admissible request of a higher tier waits, a wrong shed victim, two
// grants for one request, more grants than slots and known overlap, a grant at
// a leaving endpoint.
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
			"pass":     m.passTime,
			"endpoint": m.changeEndpoint,
			"policy":   m.changeLimit,
			"takeover": m.takeover,
		})
	})
}
