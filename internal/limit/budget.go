package limit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Share is a part of a customer's budget that a holder may use until it expires.
type Share struct {
	Customer        string
	Concurrency     int
	TokensPerSecond float64
	ExpiresAt       time.Time
}

// Demand is how much of a customer's budget a holder could use.
type Demand struct {
	Customer        string
	Concurrency     int
	TokensPerSecond float64
	// InFlight is the part of Concurrency that is already running.
	InFlight int
}

// Budget owns the limits of customers and leases shares of them to several
// holders. The sum of the shares in force never exceeds a limit. This also holds
// after a limit is lowered: a holder gets a smaller share at its next renewal, and
// no holder gets a larger one until enough shares have expired and the requests
// started under them have ended. When there are fewer slots than holders with
// demand, the holders take turns. A holder that has not reported for two lease
// periods counts as idle. A Budget that succeeds another one waits until the
// shares of its predecessor have expired before it leases new ones.
type Budget struct {
	lease     time.Duration
	readyAt   time.Time
	customers map[string]*account
}

type account struct {
	holders map[string]*holderState
}

// holderState keeps all shares that a holder may still be using. The response
// that carried a smaller share may be lost, so a larger earlier share counts until
// it expires.
type holderState struct {
	shares     []Share
	demand     Demand
	reportedAt time.Time
	// turnEnd and lastServed are used while holders take turns. lastServed is the
	// last time at which the holder had a turn or a request in flight.
	turnEnd, lastServed time.Time
}

// recordReport stores the demand that a holder reports and drops shares that no
// longer count. The holder made this report after its previous one arrived, so
// that InFlight covers every request started under a share that had expired by
// then. A share that expired later may have been used after the report was made.
func (h *holderState) recordReport(now time.Time, d Demand) {
	h.shares = slices.DeleteFunc(h.shares, func(s Share) bool { return !h.reportedAt.Before(s.ExpiresAt) })
	h.reportedAt, h.demand = now, d
	if d.InFlight > 0 {
		h.lastServed = now
	}
}

// inUse returns the upper bound of what the holder may be using.
func (h *holderState) inUse() (slots int, rate float64) {
	slots = h.demand.InFlight
	for _, s := range h.shares {
		slots, rate = max(slots, s.Concurrency), max(rate, s.TokensPerSecond)
	}
	return slots, rate
}

// NewBudget returns a Budget whose shares last for lease. If successor is set, it
// leases nothing until the shares of its predecessor have expired.
func NewBudget(now time.Time, lease time.Duration, successor bool) *Budget {
	b := &Budget{lease: lease, customers: map[string]*account{}, readyAt: now}
	if successor {
		b.readyAt = now.Add(lease)
	}
	return b
}

// RenewShare records the demand of a holder and returns its new share, which
// replaces its earlier ones.
func (b *Budget) RenewShare(now time.Time, holder string, d Demand, p Policy) Share {
	a := b.customers[d.Customer]
	if a == nil {
		a = &account{holders: map[string]*holderState{}}
		b.customers[d.Customer] = a
	}
	a.expire(now, b.lease)
	h := a.holders[holder]
	if h == nil {
		h = &holderState{}
		a.holders[holder] = h
	}
	h.recordReport(now, d)
	share := Share{Customer: d.Customer, ExpiresAt: now.Add(b.lease)}
	if !now.Before(b.readyAt) {
		scarce := a.scarce(p)
		freeSlots, freeRate := p.Concurrency, p.TokensPerSecond
		for name, other := range a.holders {
			if name != holder {
				slots, rate := other.inUse()
				if !scarce && other.demand.Concurrency > 0 {
					// The slot that is left over by rounding goes to a different
					// holder whenever the demands change. Without this reservation
					// it could move between holders that already have slots while
					// another holder with demand never gets one.
					slots = max(slots, 1)
				}
				freeSlots -= slots
				freeRate -= rate
			}
		}
		slots, rate := a.fairShare(holder, p)
		if scarce {
			slots = a.turn(now, b.lease, holder, freeSlots)
			if slots > 0 && h.turnEnd.Before(share.ExpiresAt) {
				share.ExpiresAt = h.turnEnd
			}
		}
		share.Concurrency = max(0, min(slots, freeSlots))
		share.TokensPerSecond = max(0, min(rate, freeRate))
	}
	h.shares = append(h.shares, share)
	return share
}

// ReleaseShare returns a holder's share to the budget before it expires.
func (b *Budget) ReleaseShare(holder, customer string) {
	if a := b.customers[customer]; a != nil {
		delete(a.holders, holder)
		if len(a.holders) == 0 {
			delete(b.customers, customer)
		}
	}
}

// Expire drops idle holders, and customers that have no holder left.
func (b *Budget) Expire(now time.Time) {
	for name, a := range b.customers {
		a.expire(now, b.lease)
		if len(a.holders) == 0 {
			delete(b.customers, name)
		}
	}
}

// idleAfterLeases is the number of lease periods without a report after which a
// holder counts as idle. A holder may start a request at the end of its last
// share, one period after its last report; the second period leaves time to report
// that request and tolerates one lost call.
const idleAfterLeases = 2

// expire drops idle holders.
func (a *account) expire(now time.Time, lease time.Duration) {
	maps.DeleteFunc(a.holders, func(_ string, h *holderState) bool { return now.Sub(h.reportedAt) >= idleAfterLeases*lease })
}

// scarce reports whether there are fewer slots than holders with demand.
func (a *account) scarce(p Policy) bool {
	n := 0
	for _, h := range a.holders {
		if h.demand.Concurrency > 0 {
			n++
		}
	}
	return n > p.Concurrency
}

// turn returns 1 while the holder has a turn, else 0. A turn lasts for one lease
// period. Free slots go to the holders that were served least recently, so that a
// holder gets its next turn after all others have had theirs. A share granted in a
// turn expires with the turn, so that the next holder need not wait for another
// lease period.
func (a *account) turn(now time.Time, lease time.Duration, holder string, free int) int {
	h := a.holders[holder]
	if now.Before(h.turnEnd) {
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
		if cmp.Or(other.lastServed.Compare(h.lastServed), cmp.Compare(name, holder)) < 0 {
			free--
		}
	}
	if free <= 0 {
		return 0
	}
	h.turnEnd, h.lastServed = now.Add(lease), now
	return 1
}

// fairShare returns the holder's max-min fair share of the limits, computed from
// the latest demands.
func (a *account) fairShare(holder string, p Policy) (slots int, rate float64) {
	from, to := a.fairInterval(holder, float64(p.Concurrency), func(d Demand) float64 { return float64(d.Concurrency) })
	// Rounding the running sum assigns every slot to exactly one holder.
	slots = int(math.Round(to)) - int(math.Round(from))
	from, to = a.fairInterval(holder, p.TokensPerSecond, func(d Demand) float64 { return d.TokensPerSecond })
	return slots, to - from
}

// fairInterval returns the interval of [0, total] that belongs to the holder when
// the fair shares of all holders are laid out in order of demand. Capacity beyond
// all demand is spread evenly, so that a holder with a new burst does not start at
// zero.
func (a *account) fairInterval(holder string, total float64, demandOf func(Demand) float64) (from, to float64) {
	names := slices.Collect(maps.Keys(a.holders))
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(demandOf(a.holders[x].demand), demandOf(a.holders[y].demand)), cmp.Compare(x, y))
	})
	fairShares := make([]float64, len(names))
	remaining := total
	for i, name := range names {
		fairShares[i] = min(demandOf(a.holders[name].demand), remaining/float64(len(names)-i))
		remaining -= fairShares[i]
	}
	for i, name := range names {
		to = from + fairShares[i] + remaining/float64(len(names))
		if name == holder {
			return from, to
		}
		from = to
	}
	return from, from
}
