package scheduler

import (
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/limit"
)

// customerKeep is how long an idle customer's rate, order and retry state is
// kept; it exceeds the time in which all of them refill.
const customerKeep = time.Minute

// customer is what the core knows of one customer.
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
	rate     limit.Rate
	retry    limit.Retry
	accounts []*account
	used     time.Time
	// Neighbours in Core.customerOrder, least recently used first.
	prev, next *customer
}

func (c *Core) customerOf(now time.Time, name string) *customer {
	cu := c.customers[name]
	if cu == nil {
		cu = &customer{core: c, name: name}
		c.customers[name] = cu
		cu.prev, cu.next = cu, cu
	}
	cu.used = now
	cu.prev.next, cu.next.prev = cu.next, cu.prev
	last := c.customerOrder.prev
	cu.prev, cu.next = last, &c.customerOrder
	last.next, c.customerOrder.prev = cu, cu
	if cu.policy != c.policyGeneration {
		cu.policy = c.policyGeneration
		cu.limits = limit.Policy{}
		if c.policy.Customer != nil {
			cu.limits = c.policy.Customer(name)
		}
		c.touch(cu)
	}
	return cu
}

// forgetCustomers drops idle customers, a few at each call.
func (c *Core) forgetCustomers(now time.Time) {
	for range 64 {
		cu := c.customerOrder.next
		if cu == &c.customerOrder || now.Sub(cu.used) < customerKeep {
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

// concurrency returns the number of requests that may be in flight, or -1.
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
		// A share of zero must not read as "no limit".
		return max(cu.share.TokensPerSecond, 1e-6)
	}
	return cu.limits.TokensPerSecond
}

func (cu *customer) full() bool {
	most := cu.concurrency()
	return most >= 0 && cu.inFlight >= most
}

// touch rearranges the accounts of a customer whose count, limit or order has
// changed.
func (c *Core) touch(cu *customer) {
	for _, a := range cu.accounts {
		c.arrange(a)
	}
}

func (cu *customer) drop(a *account) {
	cu.accounts = slices.DeleteFunc(cu.accounts, func(b *account) bool { return a == b })
}

// SetShares sets the parts of customers' limits that this group may use. It
// only matters with Config.SharedLimits.
func (c *Core) SetShares(now time.Time, shares []limit.Share) []Decision {
	for _, s := range shares {
		cu := c.customerOf(now, s.Customer)
		cu.share = s
		c.shareEnds(s.Ends)
		c.touch(cu)
	}
	return c.dispatch(now, nil)
}

// Demands returns what the group could use of the budgets of its customers.
// Only customers with a limit and with work are listed.
func (c *Core) Demands() []limit.Demand {
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

// expireShares takes back shares that have ended. It looks at the customers only
// when the share that ends first may have ended.
func (c *Core) expireShares(now time.Time) {
	if c.sharesEnd.IsZero() || now.Before(c.sharesEnd) {
		return
	}
	c.sharesEnd = time.Time{}
	for _, cu := range c.customers {
		if cu.share.Ends.IsZero() {
			continue
		}
		if now.Before(cu.share.Ends) {
			c.shareEnds(cu.share.Ends)
			continue
		}
		cu.share = limit.Share{Customer: cu.name}
		c.touch(cu)
	}
}

func (c *Core) shareEnds(at time.Time) {
	if c.sharesEnd.IsZero() || at.Before(c.sharesEnd) {
		c.sharesEnd = at
	}
}
