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
	// InFlight is the part of Concurrency that is running already.
	InFlight int
}

// Budget owns the limits of customers and hands out shares of them to several
// holders. The shares that are in force never exceed the limit in total, also
// after a limit is lowered: a holder that asks again gets less, and nobody gets
// more before enough shares have run out and what was started under them has
// ended. Where fewer slots than holders with demand exist, holders take turns. A
// holder that is not heard of for two leases counts as idle. A Budget that takes over from another
// one waits out the lease of the old shares before it hands out new ones.
type Budget struct {
	lease     time.Duration
	readyAt   time.Time
	customers map[string]*account
}

type account struct {
	holders map[string]*holding
}

// holding keeps the shares of one holder that may be in use: the answer that
// carried a smaller one may be lost, so the larger one counts until its end.
type holding struct {
	shares []Share
	demand Demand
	heard  time.Time
	// turnEnds and served are used where holders take turns. served is when the
	// holder last had a turn or a request in flight.
	turnEnds, served time.Time
}

// hear takes over a report. It was made after the previous one arrived, so that
// it covers what was started under shares that had ended by then; later ones may
// have been used after it was made.
func (h *holding) hear(now time.Time, d Demand) {
	h.shares = slices.DeleteFunc(h.shares, func(s Share) bool { return !h.heard.Before(s.Ends) })
	h.heard, h.demand = now, d
	if d.InFlight > 0 {
		h.served = now
	}
}

// inUse returns the most that the holder may be using.
func (h *holding) inUse() (slots int, rate float64) {
	slots = h.demand.InFlight
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
	a.expire(now, b.lease)
	h := a.holders[holder]
	if h == nil {
		h = &holding{}
		a.holders[holder] = h
	}
	h.hear(now, d)
	share := Share{Customer: d.Customer, Ends: now.Add(b.lease)}
	if !now.Before(b.readyAt) {
		scarce := a.scarce(p)
		freeSlots, freeRate := p.Concurrency, p.TokensPerSecond
		for name, other := range a.holders {
			if name != holder {
				slots, rate := other.inUse()
				if !scarce && other.demand.Concurrency > 0 {
					// The slot that rounding leaves over moves with the demands. It
					// must not pass from one to the next past a holder without any.
					slots = max(slots, 1)
				}
				freeSlots -= slots
				freeRate -= rate
			}
		}
		slots, rate := a.fair(holder, p)
		if scarce {
			slots = a.turn(now, b.lease, holder, freeSlots)
			if slots > 0 && h.turnEnds.Before(share.Ends) {
				share.Ends = h.turnEnds
			}
		}
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
		a.expire(now, b.lease)
		if len(a.holders) == 0 {
			delete(b.customers, name)
		}
	}
}

// forgetLeases is how many leases after its last report a holder counts as idle.
// It may start a request at the end of its last share; the rest is for the report
// of that request, and for one lost call.
const forgetLeases = 2

// expire forgets idle holders.
func (a *account) expire(now time.Time, lease time.Duration) {
	maps.DeleteFunc(a.holders, func(_ string, h *holding) bool { return now.Sub(h.heard) >= forgetLeases*lease })
}

// scarce reports whether there are fewer slots than holders that want one.
func (a *account) scarce(p Policy) bool {
	n := 0
	for _, h := range a.holders {
		if h.demand.Concurrency > 0 {
			n++
		}
	}
	return n > p.Concurrency
}

// turn returns 1 while the holder has a turn, else 0. A turn lasts for one lease.
// Free slots go to the holders that have gone unserved for longest, so that each
// gets one after all others had theirs. Shares end with the turn, so that the next
// holder need not wait for a lease.
func (a *account) turn(now time.Time, lease time.Duration, holder string, free int) int {
	h := a.holders[holder]
	if now.Before(h.turnEnds) {
		return 1
	}
	if h.demand.Concurrency == 0 {
		return 0
	}
	for name, other := range a.holders {
		slots, _ := other.inUse()
		if name == holder || other.demand.Concurrency == 0 || slots > 0 {
			continue
		}
		if cmp.Or(other.served.Compare(h.served), cmp.Compare(name, holder)) < 0 {
			free--
		}
	}
	if free <= 0 {
		return 0
	}
	h.turnEnds, h.served = now.Add(lease), now
	return 1
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
