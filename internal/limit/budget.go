package limit

import (
	"maps"
	"slices"
	"time"
)

// Share is a part of a customer's budget that a holder may use until it ends.
type Share struct {
	Customer        string
	Concurrency     int
	TokensPerSecond float64
	Ends            time.Time
}

// Demand is what a holder could use of a customer's budget.
type Demand struct {
	Customer        string
	Concurrency     int
	TokensPerSecond float64
}

// Budget owns the limits of customers and hands out shares of them to several
// holders. The shares that are in force never exceed the limit in total, also
// after a limit is lowered: a holder that asks again gets less, and nobody gets
// more before enough shares have run out. A Budget that takes over from another
// one waits out the lease of the old shares before it hands out new ones.
type Budget struct {
	lease     time.Duration
	readyAt   time.Time
	customers map[string]*account
}

type account struct {
	holders map[string]*holding
}

type holding struct {
	share  Share
	demand Demand
	asked  time.Time
}

// NewBudget returns an owner of shares that last for lease. If successor is set,
// it hands out nothing before the shares of its predecessor have ended.
func NewBudget(now time.Time, lease time.Duration, successor bool) *Budget {
	b := &Budget{lease: lease, customers: map[string]*account{}, readyAt: now}
	if successor {
		b.readyAt = now.Add(lease)
	}
	return b
}

// Lease renews the share of a holder according to its demand and returns it. A
// holder that asks again gives its earlier share back by asking, so it must
// stop using the earlier share when it gets a smaller one.
func (b *Budget) Lease(now time.Time, holder string, d Demand, p Policy) Share {
	a := b.customers[d.Customer]
	if a == nil {
		a = &account{holders: map[string]*holding{}}
		b.customers[d.Customer] = a
	}
	a.expire(now)
	h := a.holders[holder]
	if h == nil {
		h = &holding{}
		a.holders[holder] = h
	}
	h.demand, h.asked = d, now
	h.share = Share{Customer: d.Customer, Ends: now.Add(b.lease)}
	if now.Before(b.readyAt) {
		return h.share
	}
	freeSlots, freeRate := float64(p.Concurrency), p.TokensPerSecond
	for name, other := range a.holders {
		if name != holder {
			freeSlots -= float64(other.share.Concurrency)
			freeRate -= other.share.TokensPerSecond
		}
	}
	slots := func(d Demand) float64 { return float64(d.Concurrency) }
	rate := func(d Demand) float64 { return d.TokensPerSecond }
	h.share.Concurrency = max(0, int(min(a.fair(holder, float64(p.Concurrency), slots), freeSlots)))
	h.share.TokensPerSecond = max(0, min(a.fair(holder, p.TokensPerSecond, rate), freeRate))
	return h.share
}

// Return gives a share back before its end.
func (b *Budget) Return(holder, customer string) {
	if a := b.customers[customer]; a != nil {
		delete(a.holders, holder)
		if len(a.holders) == 0 {
			delete(b.customers, customer)
		}
	}
}

// Expire forgets customers without shares in force.
func (b *Budget) Expire(now time.Time) {
	for name, a := range b.customers {
		a.expire(now)
		if len(a.holders) == 0 {
			delete(b.customers, name)
		}
	}
}

func (a *account) expire(now time.Time) {
	for name, h := range a.holders {
		if !now.Before(h.share.Ends) {
			delete(a.holders, name)
		}
	}
}

// fair returns the max-min fair part of total for the holder by the latest
// demands. What nobody asks for is spread evenly, so that a holder with a new
// burst does not start at zero. Whole slots left over by rounding go to the
// first holders by name.
func (a *account) fair(holder string, total float64, of func(Demand) float64) float64 {
	names := slices.Collect(maps.Keys(a.holders))
	slices.SortFunc(names, func(x, y string) int {
		dx, dy := of(a.holders[x].demand), of(a.holders[y].demand)
		switch {
		case dx < dy:
			return -1
		case dx > dy:
			return 1
		case x < y:
			return -1
		}
		return 1
	})
	left, mine := total, 0.0
	for i, name := range names {
		part := min(of(a.holders[name].demand), left/float64(len(names)-i))
		left -= part
		if name == holder {
			mine = part
		}
	}
	return mine + left/float64(len(names))
}
