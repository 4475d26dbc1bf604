package limit

import (
	"cmp"
	"maps"
	"math"
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

// holding keeps all shares of one holder that have not ended: the answer that
// carried a smaller one may be lost, so the larger one counts until its end.
type holding struct {
	shares []Share
	demand Demand
}

// inForce returns the largest share that the holder may believe to have.
func (h *holding) inForce() (slots int, rate float64) {
	for _, s := range h.shares {
		slots, rate = max(slots, s.Concurrency), max(rate, s.TokensPerSecond)
	}
	return slots, rate
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

// Lease renews the share of a holder according to its demand and returns it.
// The new share replaces the holder's earlier ones.
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
	h.demand = d
	share := Share{Customer: d.Customer, Ends: now.Add(b.lease)}
	if !now.Before(b.readyAt) {
		freeSlots, freeRate := p.Concurrency, p.TokensPerSecond
		for name, other := range a.holders {
			if name != holder {
				slots, rate := other.inForce()
				freeSlots -= slots
				freeRate -= rate
			}
		}
		slots, rate := a.fair(holder, p)
		share.Concurrency = max(0, min(slots, freeSlots))
		share.TokensPerSecond = max(0, min(rate, freeRate))
	}
	h.shares = append(h.shares, share)
	return share
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
		h.shares = slices.DeleteFunc(h.shares, func(s Share) bool { return !now.Before(s.Ends) })
		if len(h.shares) == 0 {
			delete(a.holders, name)
		}
	}
}

// fair returns the max-min fair parts of the limits for the holder by the latest
// demands.
func (a *account) fair(holder string, p Policy) (slots int, rate float64) {
	before, upTo := a.part(holder, float64(p.Concurrency), func(d Demand) float64 { return float64(d.Concurrency) })
	// Rounding the running sum gives every slot to exactly one holder.
	slots = int(math.Round(upTo)) - int(math.Round(before))
	before, upTo = a.part(holder, p.TokensPerSecond, func(d Demand) float64 { return d.TokensPerSecond })
	return slots, upTo - before
}

// part returns the interval of total that belongs to the holder when the parts
// are laid out in order of demand. What nobody asks for is spread evenly, so
// that a holder with a new burst does not start at zero.
func (a *account) part(holder string, total float64, of func(Demand) float64) (before, upTo float64) {
	names := slices.Collect(maps.Keys(a.holders))
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(of(a.holders[x].demand), of(a.holders[y].demand)), cmp.Compare(x, y))
	})
	parts := make([]float64, len(names))
	left := total
	for i, name := range names {
		parts[i] = min(of(a.holders[name].demand), left/float64(len(names)-i))
		left -= parts[i]
	}
	for i, name := range names {
		upTo = before + parts[i] + left/float64(len(names))
		if name == holder {
			return before, upTo
		}
		before = upTo
	}
	return before, before
}
