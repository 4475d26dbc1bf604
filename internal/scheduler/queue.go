package scheduler

import (
	"slices"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/limit"
)

// waiter is a waiting request.
type waiter struct {
	request      Request
	suspects     []string // see suspects
	arrived      time.Time
	lastEnqueued time.Time // time of the last Enqueue
	due          time.Time // latest start that meets the target
	// deadline is the latest start that meets the request's deadline and the
	// QueueWait of its class: it allows for the estimated time to the first
	// token, but for half the request's deadline at most. With an unbounded
	// margin an estimate that is far too high would refuse all requests, and
	// there would be no samples to correct it.
	deadline time.Time
	sequence uint64
	work     float64 // expected time of one slot, in seconds
	cost     float64 // expected tokens; 1 for a plain service
	late     bool    // due has passed
	customer *customer
	class    *class
	queue    *queue
	index    int // in queue.onTime, or in queue.late if late is set
	expiry   int // in Core.waiterExpiry
	expires  time.Time
	// The neighbours in order of arrival within the tier and within the class.
	tierLinks, classLinks links
}

type links struct{ prev, next *waiter }

// list is a doubly linked list of waiters in order of arrival. The links are
// stored in the waiters; the links function selects which ones the list uses.
type list struct {
	head, tail *waiter
	count      int
	links      func(*waiter) *links
}

func tierLinks(w *waiter) *links  { return &w.tierLinks }
func classLinks(w *waiter) *links { return &w.classLinks }

func (l *list) append(w *waiter) {
	node := l.links(w)
	node.prev, node.next = l.tail, nil
	if l.tail != nil {
		l.links(l.tail).next = w
	} else {
		l.head = w
	}
	l.tail = w
	l.count++
}

func (l *list) remove(w *waiter) {
	node := l.links(w)
	if node.prev != nil {
		l.links(node.prev).next = node.next
	} else {
		l.head = node.next
	}
	if node.next != nil {
		l.links(node.next).prev = node.prev
	} else {
		l.tail = node.prev
	}
	*node = links{}
	l.count--
}

// tier is the queue of one service tier.
type tier struct {
	fair    limit.FairQueueing
	waiting list
	// offeredLoad is the decayed rate at which grants of the tier start work:
	// expected slot seconds per second, which is a number of slots.
	offeredLoad rate
}

// shareRank states in which heap of its pool a queue with on-time requests is,
// according to the fair share of its customer.
type shareRank int

const (
	// rankNone is for queues without on-time requests and for customers at their
	// concurrency limit, which are in neither heap, and for late requests.
	rankNone shareRank = iota
	// rankWithinShare is for customers within their fair share; these queues are
	// ordered by due time.
	rankWithinShare
	// rankAheadOfShare is for customers that had more than their fair share;
	// these queues are ordered by start tag.
	rankAheadOfShare
)

// queue holds the waiting requests of one customer in one tier of a pool.
type queue struct {
	customer *customer
	pool     *pool
	tier     int
	onTime   heap[*waiter]
	late     heap[*waiter]
	// work is the expected slot time of the on-time requests, in seconds. It is
	// part of the model's backlog while the customer is below its concurrency
	// limit: requests that wait for this limit do not delay other customers.
	work      float64
	inBacklog bool
	shareRank shareRank
	index     int // in the heap that shareRank selects
	lateIndex int // in poolTier.late, or -1
}

// poolTier holds the queues of one tier of a pool, in heaps.
type poolTier struct {
	withinShare, aheadOfShare, late heap[*queue]
	waiting                         int
}

// poolKey holds the properties that determine on which endpoints a request can
// run. All requests of a pool can run on the same endpoints, so the head of a
// pool is never passed over in favour of a later request of the same pool.
type poolKey struct {
	model, adapter string
	avoid          string // sorted endpoint IDs, separated by NUL
	mayRepeat      bool
}

// pool holds the waiting requests that share a poolKey.
type pool struct {
	key     poolKey
	avoid   []string
	backlog *backlog
	tiers   [Tiers]poolTier
	queues  map[queueKey]*queue
}

type queueKey struct {
	customer *customer
	tier     int
}

// backlog sums up the waiting work for one model, over all pools of the model.
type backlog struct {
	model string
	// work is the expected slot time of waiting on-time requests by tier, in
	// seconds.
	work  [Tiers]float64
	pools int
}

func byDue(a, b *waiter) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.sequence < b.sequence
}

// byLateness orders the latest due time first: that request has missed its
// target by the least, and may still meet it if it does not need the margin that
// is part of its due time.
func byLateness(a, b *waiter) bool { return byDue(b, a) }

func setWaiterIndex(w *waiter, i int) { w.index = i }

func setQueueIndex(q *queue, i int) { q.index = i }

func queueByDue(a, b *queue) bool { return byDue(a.onTime.top(), b.onTime.top()) }

func queueByStartTag(a, b *queue) bool {
	fair := &a.customer.core.tiers[a.tier].fair
	x, y := fair.FinishTag(&a.customer.flows[a.tier]), fair.FinishTag(&b.customer.flows[b.tier])
	if x != y {
		return x < y
	}
	return a.customer.name < b.customer.name
}

func queueByLateness(a, b *queue) bool { return byLateness(a.late.top(), b.late.top()) }

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
	b := c.backlogs[r.Model]
	if b == nil {
		b = &backlog{model: r.Model}
		c.backlogs[r.Model] = b
	}
	b.pools++
	p := &pool{key: k, avoid: slices.Clone(r.Avoid), backlog: b, queues: map[queueKey]*queue{}}
	for i := range p.tiers {
		t := &p.tiers[i]
		t.withinShare = heap[*queue]{less: queueByDue, setIndex: setQueueIndex}
		t.aheadOfShare = heap[*queue]{less: queueByStartTag, setIndex: setQueueIndex}
		t.late = heap[*queue]{less: queueByLateness, setIndex: func(q *queue, i int) { q.lateIndex = i }}
	}
	c.pools[k] = p
	c.poolOrder = append(c.poolOrder, p)
	return p
}

func (c *Core) dropPool(p *pool) {
	delete(c.pools, p.key)
	c.poolOrder = slices.DeleteFunc(c.poolOrder, func(q *pool) bool { return q == p })
	if p.backlog.pools--; p.backlog.pools == 0 {
		delete(c.backlogs, p.backlog.model)
	}
}

func (p *pool) queueOf(cu *customer, tier int) *queue {
	k := queueKey{cu, tier}
	q := p.queues[k]
	if q == nil {
		q = &queue{customer: cu, pool: p, tier: tier, lateIndex: -1}
		q.onTime = heap[*waiter]{less: byDue, setIndex: setWaiterIndex}
		q.late = heap[*waiter]{less: byLateness, setIndex: setWaiterIndex}
		p.queues[k] = q
		cu.queues = append(cu.queues, q)
	}
	return q
}

// insert adds a waiter to all lists and heaps.
func (c *Core) insert(w *waiter) {
	t := w.request.Tier
	p := c.poolOf(&w.request)
	w.queue = p.queueOf(w.customer, t)
	c.waiting[w.request.ID] = w
	c.tiers[t].waiting.append(w)
	w.class.waiting.append(w)
	c.waiterExpiry.push(w)
	if w.customer.waiting[t]++; w.customer.waiting[t] == 1 {
		c.tiers[t].fair.Activate(&w.customer.flows[t], w.customer.limits.Weight)
	}
	p.tiers[t].waiting++
	c.addOnTimeWork(w.queue, w.work)
	w.queue.onTime.push(w)
	c.reorderQueue(w.queue)
}

// remove removes a waiter from all lists and heaps.
func (c *Core) remove(w *waiter) {
	t, q, p := w.request.Tier, w.queue, w.queue.pool
	delete(c.waiting, w.request.ID)
	c.tiers[t].waiting.remove(w)
	w.class.waiting.remove(w)
	c.waiterExpiry.remove(w.expiry)
	c.removeFromHeaps(q)
	if w.late {
		q.late.remove(w.index)
	} else {
		q.onTime.remove(w.index)
		c.addOnTimeWork(q, -w.work)
	}
	p.tiers[t].waiting--
	if q.onTime.len()+q.late.len() == 0 {
		c.setInBacklog(q, false)
		delete(p.queues, queueKey{q.customer, t})
		q.customer.removeQueue(q)
	} else {
		c.reorderQueue(q)
	}
	if w.customer.waiting[t]--; w.customer.waiting[t] == 0 {
		c.tiers[t].fair.Deactivate(&w.customer.flows[t])
		w.customer.work[t] = 0
	}
	if p.empty() {
		c.dropPool(p)
	}
	c.reorderQueues(w.customer)
}

func (p *pool) empty() bool {
	for i := range p.tiers {
		if p.tiers[i].waiting > 0 {
			return false
		}
	}
	return true
}

// addOnTimeWork adds on-time work of a queue to the sums that predictWait uses;
// negative work subtracts.
func (c *Core) addOnTimeWork(q *queue, work float64) {
	q.work = max(0, q.work+work)
	q.customer.work[q.tier] = max(0, q.customer.work[q.tier]+work)
	if q.inBacklog {
		b := q.pool.backlog
		b.work[q.tier] = max(0, b.work[q.tier]+work)
	}
}

// setInBacklog includes the work of a queue in the backlog of its model, or
// excludes it.
func (c *Core) setInBacklog(q *queue, inBacklog bool) {
	if q.inBacklog == inBacklog {
		return
	}
	q.inBacklog = inBacklog
	work := q.work
	if !inBacklog {
		work = -work
	}
	b := q.pool.backlog
	b.work[q.tier] = max(0, b.work[q.tier]+work)
}

// removeFromHeaps removes a queue from the heaps of its pool.
func (c *Core) removeFromHeaps(q *queue) {
	t := &q.pool.tiers[q.tier]
	switch q.shareRank {
	case rankWithinShare:
		t.withinShare.remove(q.index)
	case rankAheadOfShare:
		t.aheadOfShare.remove(q.index)
	}
	q.shareRank = rankNone
	if q.lateIndex >= 0 {
		t.late.remove(q.lateIndex)
	}
}

// reorderQueue moves a queue to the heaps of its pool that match its current
// state. A queue whose customer is at its concurrency limit is in none.
func (c *Core) reorderQueue(q *queue) {
	c.removeFromHeaps(q)
	full := q.customer.full()
	c.setInBacklog(q, !full)
	if full {
		return
	}
	t := &q.pool.tiers[q.tier]
	if q.onTime.len() > 0 {
		if c.tiers[q.tier].fair.AheadOfShare(&q.customer.flows[q.tier], c.fairSlack()) {
			q.shareRank = rankAheadOfShare
			t.aheadOfShare.push(q)
		} else {
			q.shareRank = rankWithinShare
			t.withinShare.push(q)
		}
	}
	if q.late.len() > 0 {
		t.late.push(q)
	}
}

// demoteLate moves requests whose due time has passed behind all on-time
// requests: a request that misses its target anyway must not make the next
// request miss its target, too.
func (c *Core) demoteLate(now time.Time, q *queue) {
	c.removeFromHeaps(q)
	for q.onTime.len() > 0 && q.onTime.top().due.Before(now) {
		w := q.onTime.top()
		q.onTime.remove(0)
		c.addOnTimeWork(q, -w.work)
		w.late = true
		q.late.push(w)
	}
	c.reorderQueue(q)
}

// head returns the next request of a tier of the pool and its rank. On-time
// requests of customers within their fair share come first, then on-time
// requests of customers ahead of their share, then late requests.
func (c *Core) head(now time.Time, p *pool, tier int) (*waiter, shareRank) {
	t := &p.tiers[tier]
	for t.aheadOfShare.len() > 0 && !c.tiers[tier].fair.AheadOfShare(&t.aheadOfShare.top().customer.flows[tier], c.fairSlack()) {
		c.reorderQueue(t.aheadOfShare.top())
	}
	for _, order := range []*heap[*queue]{&t.withinShare, &t.aheadOfShare} {
		for order.len() > 0 {
			q := order.top()
			if w := q.onTime.top(); !w.due.Before(now) {
				return w, q.shareRank
			}
			c.demoteLate(now, q)
		}
	}
	if t.late.len() > 0 {
		return t.late.top().late.top(), rankNone
	}
	return nil, rankNone
}

// precedes reports whether request a of rank rankA is granted before request b
// of rank rankB. Both are heads of pools in the same tier.
func (c *Core) precedes(a *waiter, rankA shareRank, b *waiter, rankB shareRank) bool {
	order := [...]int{rankWithinShare: 0, rankAheadOfShare: 1, rankNone: 2}
	switch {
	case order[rankA] != order[rankB]:
		return order[rankA] < order[rankB]
	case rankA == rankWithinShare:
		return byDue(a, b)
	case rankA == rankAheadOfShare:
		return queueByStartTag(a.queue, b.queue)
	}
	return byLateness(a, b)
}
