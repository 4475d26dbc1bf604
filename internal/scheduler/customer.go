package scheduler

import (
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/limit"
)

// customerRetention is how long the rate limit, fair-share and retry state of
// an idle customer is kept. It exceeds the time in which all of them refill.
const customerRetention = time.Minute

// customer is the state of one customer.
type customer struct {
	core     *Core
	name     string
	limits   limit.Policy
	policy   uint64 // generation of Core.policy that limits comes from
	share    limit.Share
	flows    [Tiers]limit.Flow
	waiting  [Tiers]int
	work     [Tiers]float64
	inFlight int
	rate     limit.TokenBucket
	retry    limit.RetryBucket
	queues   []*queue
	used     time.Time
	// prev and next are the neighbours in Core.customerLRU.
	prev, next *customer
}

// customerOf returns the state of a customer, which it creates if necessary,
// and marks it as the most recently used one.
func (c *Core) customerOf(now time.Time, name string) *customer {
	cu := c.customers[name]
	if cu == nil {
		cu = &customer{core: c, name: name}
		c.customers[name] = cu
		cu.prev, cu.next = cu, cu
	}
	cu.used = now
	cu.prev.next, cu.next.prev = cu.next, cu.prev
	last := c.customerLRU.prev
	cu.prev, cu.next = last, &c.customerLRU
	last.next, c.customerLRU.prev = cu, cu
	if cu.policy != c.policyGeneration {
		cu.policy = c.policyGeneration
		cu.limits = limit.Policy{}
		if c.policy.Customer != nil {
			cu.limits = c.policy.Customer(name)
		}
		c.reorderQueues(cu)
	}
	return cu
}

// expireCustomers drops customers that have been idle for customerRetention. It
// examines at most 64 customers per call.
func (c *Core) expireCustomers(now time.Time) {
	for range 64 {
		cu := c.customerLRU.next
		if cu == &c.customerLRU || now.Sub(cu.used) < customerRetention {
			return
		}
		cu.prev.next, cu.next.prev = cu.next, cu.prev
		cu.prev, cu.next = cu, cu
		if cu.idle() {
			delete(c.customers, cu.name)
			continue
		}
		c.customerOf(now, cu.name)
	}
}

func (cu *customer) idle() bool { return cu.inFlight == 0 && cu.waiting == [Tiers]int{} }

// concurrency returns the number of requests that may be in flight, or -1 if
// there is no limit.
func (cu *customer) concurrency() int {
	if cu.limits.Concurrency <= 0 {
		return -1
	}
	if cu.core.config.SharedLimits {
		return cu.share.Concurrency
	}
	return cu.limits.Concurrency
}

func (cu *customer) tokensPerSecond() float64 {
	if cu.core.config.SharedLimits && cu.limits.TokensPerSecond > 0 {
		// Zero would mean no limit, so a share of zero becomes a tiny rate.
		return max(cu.share.TokensPerSecond, 1e-6)
	}
	return cu.limits.TokensPerSecond
}

// full reports whether the customer is at its concurrency limit.
func (cu *customer) full() bool {
	maxInFlight := cu.concurrency()
	return maxInFlight >= 0 && cu.inFlight >= maxInFlight
}

// reorderQueues reorders the queues of a customer whose number of grants in
// flight, limits or fair-share tag have changed.
func (c *Core) reorderQueues(cu *customer) {
	for _, q := range cu.queues {
		c.reorderQueue(q)
	}
}

func (cu *customer) removeQueue(q *queue) {
	cu.queues = slices.DeleteFunc(cu.queues, func(other *queue) bool { return q == other })
}

// SetShares sets the shares of the customers' limits that this group may use.
// Shares have no effect unless Config.SharedLimits is set.
func (c *Core) SetShares(now time.Time, shares []limit.Share) []Decision {
	for _, s := range shares {
		cu := c.customerOf(now, s.Customer)
		cu.share = s
		c.noteShareEnd(s.ExpiresAt)
		c.reorderQueues(cu)
	}
	return c.dispatch(now, nil)
}

// CustomerDemands returns how much of its customers' limits the group could
// use. It lists only customers that have a limit and requests waiting or in
// flight.
func (c *Core) CustomerDemands() []limit.Demand {
	var demands []limit.Demand
	for _, cu := range c.customers {
		if cu.idle() || cu.limits.Concurrency <= 0 && cu.limits.TokensPerSecond <= 0 {
			continue
		}
		d := limit.Demand{Customer: cu.name, Concurrency: cu.inFlight, InFlight: cu.inFlight}
		for _, n := range cu.waiting {
			d.Concurrency += n
		}
		d.TokensPerSecond = float64(d.Concurrency) * c.tokensPerSlot()
		demands = append(demands, d)
	}
	slices.SortFunc(demands, func(a, b limit.Demand) int {
		if a.Customer < b.Customer {
			return -1
		}
		return 1
	})
	return demands
}

// expireShares resets shares that have ended to zero. It scans the customers
// only when the share that ends first may have ended.
func (c *Core) expireShares(now time.Time) {
	if c.earliestShareEnd.IsZero() || now.Before(c.earliestShareEnd) {
		return
	}
	c.earliestShareEnd = time.Time{}
	for _, cu := range c.customers {
		if cu.share.ExpiresAt.IsZero() {
			continue
		}
		if now.Before(cu.share.ExpiresAt) {
			c.noteShareEnd(cu.share.ExpiresAt)
			continue
		}
		cu.share = limit.Share{Customer: cu.name}
		c.reorderQueues(cu)
	}
}

// noteShareEnd records the end of a share, for expireShares.
func (c *Core) noteShareEnd(at time.Time) {
	if c.earliestShareEnd.IsZero() || at.Before(c.earliestShareEnd) {
		c.earliestShareEnd = at
	}
}
