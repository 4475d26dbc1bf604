package scheduler

import (
	"slices"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/limit"
)

// waiter is a waiting request.
type waiter struct {
	request Request
	arrived time.Time
	seen    time.Time // last Enqueue
	due     time.Time // latest start that meets the target
	// deadline is the latest start that meets the request's deadline, short of
	// half the deadline at most, so that a wrong estimate can not refuse all
	// requests and with them the samples that would correct it.
	deadline time.Time
	sequence uint64
	work     float64 // expected seconds of one slot
	cost     float64 // expected tokens, or calls for plain services
	late     bool    // due has passed
	customer *customer
	class    *class
	account  *account
	index    int // in the account's heap of on-time or of late waiters
	expiry   int // in Core.expiring
	expires  time.Time
	// Neighbours in order of arrival, among the tier and among the class.
	tierLinks, classLinks links
}

type links struct{ prev, next *waiter }

// list is a list of waiters in order of arrival.
type list struct {
	head, tail *waiter
	count      int
	links      func(*waiter) *links
}

func tierLinks(w *waiter) *links  { return &w.tierLinks }
func classLinks(w *waiter) *links { return &w.classLinks }

func (l *list) append(w *waiter) {
	own := l.links(w)
	own.prev, own.next = l.tail, nil
	if l.tail != nil {
		l.links(l.tail).next = w
	} else {
		l.head = w
	}
	l.tail = w
	l.count++
}

func (l *list) remove(w *waiter) {
	own := l.links(w)
	if own.prev != nil {
		l.links(own.prev).next = own.next
	} else {
		l.head = own.next
	}
	if own.next != nil {
		l.links(own.next).prev = own.prev
	} else {
		l.tail = own.prev
	}
	*own = links{}
	l.count--
}

// tier is the queue of one service tier.
type tier struct {
	fair    limit.Fair
	waiting list
	// offered is the decayed rate of expected work, in slots, that grants of
	// the tier started.
	offered rate
}

// place says in which order of its pool an account stands.
type place int

const (
	// placeNone is for accounts without on-time requests and for customers at
	// their limit.
	placeNone place = iota
	// placeWithin is ordered by due time.
	placeWithin
	// placeAhead is for customers that had more than their share, ordered by
	// start tag.
	placeAhead
)

// account holds the waiting requests of one customer in one tier of one pool.
type account struct {
	customer *customer
	pool     *pool
	tier     int
	onTime   heap[*waiter]
	late     heap[*waiter]
	// work is the expected seconds of the on-time requests. It counts in the
	// pool's demand while the customer is below its concurrency limit: what
	// waits for a limit does not delay others.
	work      float64
	counted   bool
	place     place
	index     int // in the heap that place names
	lateIndex int // in poolTier.late, -1 if not there
}

// poolTier orders the accounts of one tier of a pool.
type poolTier struct {
	within, ahead, late heap[*account]
	waiting             int
}

// poolKey is what decides on which endpoints a request can run. All requests of
// a pool can run on the same endpoints, so that the head of a pool is never
// passed over in favour of a later request of the same pool.
type poolKey struct {
	model, adapter string
	avoid          string
	mayRepeat      bool
}

// pool holds the waiting requests with one poolKey.
type pool struct {
	key      poolKey
	avoid    []string
	demand   *demand
	tiers    [Tiers]poolTier
	accounts map[accountKey]*account
}

type accountKey struct {
	customer *customer
	tier     int
}

// demand sums up the waiting work for one model.
type demand struct {
	model string
	// work is the expected seconds of on-time waiting requests by tier.
	work  [Tiers]float64
	pools int
}

func byDue(a, b *waiter) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.sequence < b.sequence
}

// byLateness puts the latest due time first: it missed the target by the least,
// and may still meet it if the margin in due times was not needed.
func byLateness(a, b *waiter) bool { return byDue(b, a) }

func placeWaiter(w *waiter, i int) { w.index = i }

func placeAccount(a *account, i int) { a.index = i }

func accountByDue(a, b *account) bool { return byDue(a.onTime.top(), b.onTime.top()) }

func accountByStart(a, b *account) bool {
	fair := &a.customer.core.tiers[a.tier].fair
	x, y := fair.Tag(&a.customer.flows[a.tier]), fair.Tag(&b.customer.flows[b.tier])
	if x != y {
		return x < y
	}
	return a.customer.name < b.customer.name
}

func accountByLate(a, b *account) bool { return byLateness(a.late.top(), b.late.top()) }

func keyOf(r *Request) poolKey {
	k := poolKey{model: r.Model, adapter: r.Adapter, mayRepeat: r.MayRepeat}
	if len(r.Avoid) == 1 {
		k.avoid = r.Avoid[0]
	} else if len(r.Avoid) > 1 {
		avoid := slices.Clone(r.Avoid)
		slices.Sort(avoid)
		k.avoid = strings.Join(avoid, "\x00")
	}
	return k
}

func (c *Core) poolOf(r *Request) *pool {
	k := keyOf(r)
	if p := c.pools[k]; p != nil {
		return p
	}
	d := c.demands[r.Model]
	if d == nil {
		d = &demand{model: r.Model}
		c.demands[r.Model] = d
	}
	d.pools++
	p := &pool{key: k, avoid: slices.Clone(r.Avoid), demand: d, accounts: map[accountKey]*account{}}
	for i := range p.tiers {
		t := &p.tiers[i]
		t.within = heap[*account]{less: accountByDue, place: placeAccount}
		t.ahead = heap[*account]{less: accountByStart, place: placeAccount}
		t.late = heap[*account]{less: accountByLate, place: func(a *account, i int) { a.lateIndex = i }}
	}
	c.pools[k] = p
	c.poolOrder = append(c.poolOrder, p)
	return p
}

func (c *Core) dropPool(p *pool) {
	delete(c.pools, p.key)
	c.poolOrder = slices.DeleteFunc(c.poolOrder, func(q *pool) bool { return q == p })
	if p.demand.pools--; p.demand.pools == 0 {
		delete(c.demands, p.demand.model)
	}
}

func (p *pool) accountOf(cu *customer, tier int) *account {
	k := accountKey{cu, tier}
	a := p.accounts[k]
	if a == nil {
		a = &account{customer: cu, pool: p, tier: tier, lateIndex: -1}
		a.onTime = heap[*waiter]{less: byDue, place: placeWaiter}
		a.late = heap[*waiter]{less: byLateness, place: placeWaiter}
		p.accounts[k] = a
		cu.accounts = append(cu.accounts, a)
	}
	return a
}

// insert adds a waiter to all orders.
func (c *Core) insert(w *waiter) {
	t := w.request.Tier
	p := c.poolOf(&w.request)
	w.account = p.accountOf(w.customer, t)
	c.waiting[w.request.ID] = w
	c.tiers[t].waiting.append(w)
	w.class.waiting.append(w)
	c.expiring.push(w)
	if w.customer.waiting[t]++; w.customer.waiting[t] == 1 {
		c.tiers[t].fair.Activate(&w.customer.flows[t], w.customer.limits.Weight)
	}
	p.tiers[t].waiting++
	c.addWork(w.account, w.work)
	w.account.onTime.push(w)
	c.arrange(w.account)
}

// remove takes a waiter out of all orders.
func (c *Core) remove(w *waiter) {
	t, a, p := w.request.Tier, w.account, w.account.pool
	delete(c.waiting, w.request.ID)
	c.tiers[t].waiting.remove(w)
	w.class.waiting.remove(w)
	c.expiring.remove(w.expiry)
	c.takeOut(a)
	if w.late {
		a.late.remove(w.index)
	} else {
		a.onTime.remove(w.index)
		c.addWork(a, -w.work)
	}
	p.tiers[t].waiting--
	if a.onTime.len()+a.late.len() == 0 {
		c.count(a, false)
		delete(p.accounts, accountKey{a.customer, t})
		a.customer.drop(a)
	} else {
		c.arrange(a)
	}
	if w.customer.waiting[t]--; w.customer.waiting[t] == 0 {
		c.tiers[t].fair.Deactivate(&w.customer.flows[t])
		w.customer.work[t] = 0
	}
	if p.empty() {
		c.dropPool(p)
	}
	c.touch(w.customer)
}

func (p *pool) empty() bool {
	for i := range p.tiers {
		if p.tiers[i].waiting > 0 {
			return false
		}
	}
	return true
}

// addWork adds on-time work of an account to the sums that predictions use.
func (c *Core) addWork(a *account, work float64) {
	a.work = max(0, a.work+work)
	a.customer.work[a.tier] = max(0, a.customer.work[a.tier]+work)
	if a.counted {
		d := a.pool.demand
		d.work[a.tier] = max(0, d.work[a.tier]+work)
	}
}

// count includes or excludes an account in the demand of its pool.
func (c *Core) count(a *account, counted bool) {
	if a.counted == counted {
		return
	}
	a.counted = counted
	work := a.work
	if !counted {
		work = -work
	}
	d := a.pool.demand
	d.work[a.tier] = max(0, d.work[a.tier]+work)
}

// takeOut removes an account from the orders of its pool.
func (c *Core) takeOut(a *account) {
	t := &a.pool.tiers[a.tier]
	switch a.place {
	case placeWithin:
		t.within.remove(a.index)
	case placeAhead:
		t.ahead.remove(a.index)
	}
	a.place = placeNone
	if a.lateIndex >= 0 {
		t.late.remove(a.lateIndex)
	}
}

// arrange puts an account where it belongs in the orders of its pool.
func (c *Core) arrange(a *account) {
	c.takeOut(a)
	full := a.customer.full()
	c.count(a, !full)
	if full {
		return
	}
	t := &a.pool.tiers[a.tier]
	if a.onTime.len() > 0 {
		if c.tiers[a.tier].fair.Ahead(&a.customer.flows[a.tier], c.fairSlack()) {
			a.place = placeAhead
			t.ahead.push(a)
		} else {
			a.place = placeWithin
			t.within.push(a)
		}
	}
	if a.late.len() > 0 {
		t.late.push(a)
	}
}

// demote moves requests whose due time has passed behind all on-time ones: a
// request that misses its target anyway must not make the next one miss too.
func (c *Core) demote(now time.Time, a *account) {
	c.takeOut(a)
	for a.onTime.len() > 0 && a.onTime.top().due.Before(now) {
		w := a.onTime.top()
		a.onTime.remove(0)
		c.addWork(a, -w.work)
		w.late = true
		a.late.push(w)
	}
	c.arrange(a)
}

// head returns the next request of a tier of the pool and its rank: on-time
// requests of customers within their share come first, then those of customers
// ahead of it, then late ones.
func (c *Core) head(now time.Time, p *pool, tier int) (*waiter, place) {
	t := &p.tiers[tier]
	for t.ahead.len() > 0 && !c.tiers[tier].fair.Ahead(&t.ahead.top().customer.flows[tier], c.fairSlack()) {
		c.arrange(t.ahead.top())
	}
	for _, order := range []*heap[*account]{&t.within, &t.ahead} {
		for order.len() > 0 {
			a := order.top()
			if w := a.onTime.top(); !w.due.Before(now) {
				return w, a.place
			}
			c.demote(now, a)
		}
	}
	if t.late.len() > 0 {
		return t.late.top().late.top(), placeNone
	}
	return nil, placeNone
}

// before reports whether request a of rank ra precedes b of rank rb; both are
// heads of pools in the same tier.
func (c *Core) before(a *waiter, ra place, b *waiter, rb place) bool {
	rank := [...]int{placeWithin: 0, placeAhead: 1, placeNone: 2}
	switch {
	case rank[ra] != rank[rb]:
		return rank[ra] < rank[rb]
	case ra == placeWithin:
		return byDue(a, b)
	case ra == placeAhead:
		return accountByStart(a.account, b.account)
	}
	return byLateness(a, b)
}
