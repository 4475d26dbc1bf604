package fleet

import (
	"math"
	"slices"
	"time"
)

// round plans the orders of one service at one time.
type round struct {
	p       *Planner
	s       *service
	now     time.Time
	targets map[string]target
	out     []Order
}

func (r *round) plan() []Order {
	known, settled := r.s.need.known(r.now)
	r.repeat()
	if !known || len(r.s.domains) == 0 {
		return r.out
	}
	r.targets = r.s.targets()
	r.addOrdinary()
	r.addSpot(settled)
	r.substitute()
	if settled && len(r.out) == 0 {
		r.reduce()
	}
	return r.out
}

func (r *round) subject(domain string, spot bool) *subject {
	return r.p.subject(key{r.s.Name, domain, spot})
}

// order places an order, unless one for the same subject may still come into force with
// another number. Orders for one domain are placed one after the other.
func (r *round) order(domain string, spot bool, number int) bool {
	s, other := r.subject(domain, spot), r.subject(domain, !spot)
	if !s.isCounted() || s.superseded || other.superseded || s.inFlight || other.inFlight || s.fixed(r.now) && number != s.number {
		return false
	}
	s.send(r.now, number)
	r.out = append(r.out, Order{Service: r.s.Name, Domain: domain, Desired: number, Spot: spot})
	return true
}

// repeat repeats the orders that had no answer, with the same number.
func (r *round) repeat() {
	for k := range r.s.keys() {
		if s := r.p.subject(k); s.uncertain && !s.inFlight && !r.now.Before(s.repeatAt) {
			r.order(k.domain, k.spot, s.number)
		}
	}
}

func (r *round) settle() time.Duration { return r.s.settle() }

// expected returns the endpoints that are present or on their way in a domain.
func (r *round) expected(domain string, spot bool) int {
	return r.subject(domain, spot).expected(r.now, r.settle())
}

// room returns how many endpoints of a kind a domain may hold.
func (r *round) room(domain string, spot bool) int {
	other := r.subject(domain, !spot)
	return max(0, r.s.Scale.Max-max(other.target(), other.present))
}

// raise orders at least a number of endpoints, within the room of the domain. It does nothing
// while an order for as many is being carried out.
func (r *round) raise(domain string, spot bool, number int) {
	s := r.subject(domain, spot)
	number = min(max(number, s.target()), r.room(domain, spot))
	if number <= r.expected(domain, spot) || !s.available(r.now) {
		return
	}
	if s.known && number == s.target() && !s.lost() && s.repeats > 0 && r.now.Sub(s.sentAt) < resendEqual {
		return
	}
	r.order(domain, spot, number)
}

// addOrdinary orders ordinary endpoints up to the number that must not depend on spot ones.
func (r *round) addOrdinary() {
	expected, base := 0, 0
	for _, d := range r.s.domains {
		expected += r.expected(d, false)
		base += r.targets[d].ordinary
	}
	for _, d := range r.s.domains {
		if missing := r.targets[d].ordinary - r.expected(d, false); missing > 0 && expected < base {
			add := min(missing, base-expected)
			r.raise(d, false, r.expected(d, false)+add)
			expected += add
		}
	}
}

// addSpot orders spot endpoints: as many as the load needs at once, or while a domain could
// not be lost, and those that were lost or not available; otherwise a few at a time, in
// exchange for ordinary ones.
func (r *round) addSpot(settled bool) {
	if !r.s.hasSpot() {
		return
	}
	urgent := max(0, r.shortfall())
	perDomain := (urgent + len(r.s.domains) - 1) / max(1, len(r.s.domains)-1)
	overload := (r.missing() + len(r.s.domains) - 1) / len(r.s.domains)
	for _, d := range r.s.domains {
		t, s := r.targets[d], r.subject(d, true)
		step := max(1, int(math.Ceil(addShare*float64(t.ordinary+t.spot))))
		switch {
		case overload > 0:
			r.raise(d, true, max(t.spot, r.expected(d, true)+overload))
		case s.lost(), s.unavailable > 0:
			r.raise(d, true, t.spot)
		case urgent > 0:
			r.raise(d, true, min(t.spot, r.expected(d, true)+max(step, perDomain)))
		case settled && (s.present >= s.target() || s.settled(r.now, r.settle())):
			r.raise(d, true, min(t.spot, s.present+step))
		}
	}
}

// total returns the endpoints expected in a domain.
func (r *round) total(domain string) int {
	return r.expected(domain, false) + r.expected(domain, true)
}

// shortfall returns how many endpoints are missing for the loss of the spot endpoints of any
// one domain. It is negative if there are more than needed.
func (r *round) shortfall() int {
	all, most := 0, 0
	for _, d := range r.s.domains {
		all += r.total(d)
		most = max(most, r.expected(d, true))
	}
	return int(math.Ceil(r.s.need.level)) - (all - most)
}

// missing returns how many endpoints the load lacks, without regard to the loss of a domain.
// It is not positive if there are enough.
func (r *round) missing() int {
	missing := int(math.Ceil(r.s.need.now()))
	for _, d := range r.s.domains {
		missing -= r.total(d)
	}
	return missing
}

// substitute orders ordinary endpoints in place of spot ones that are not available: at once
// as many as the load needs, and once the spot ones have not been available for long, as many
// as the loss of those of another domain needs.
func (r *round) substitute() {
	missing, long := r.missing(), false
	for _, d := range r.s.domains {
		long = long || r.subject(d, true).unavailable >= unavailableLong
	}
	if long {
		missing = max(missing, r.shortfall())
	}
	// The domain with the fewest endpoints comes first, so that none holds most of them.
	domains := slices.Clone(r.s.domains)
	slices.SortStableFunc(domains, func(a, b string) int { return r.total(a) - r.total(b) })
	for i, d := range domains {
		if missing <= 0 {
			return
		}
		share := (missing + len(domains) - i - 1) / (len(domains) - i)
		before := r.expected(d, false)
		r.raise(d, false, before+share)
		missing -= max(0, r.expected(d, false)-before)
	}
}

// reduce removes a few endpoints that are not needed: ordinary ones first, in the dearest
// domain first, and spot ones only when there are no ordinary ones to spare and the history is
// whole. A few spot endpoints more cost less than to order them again.
func (r *round) reduce() {
	if r.reduceAboveMax() || r.now.Sub(r.s.reducedAt) < reduceInterval {
		return
	}
	serving := 0
	for k := range r.s.keys() {
		serving += r.p.subject(k).guaranteed()
	}
	few := max(1, int(reduceShare*float64(serving)))
	surplus, base, ordinary := false, 0, 0
	for _, d := range r.s.domains {
		base += r.targets[d].ordinary
		ordinary += r.subject(d, false).present
	}
	for _, spot := range []bool{false, true} {
		for i := len(r.s.domains) - 1; i >= 0; i-- {
			d := r.s.domains[i]
			excess := r.excess(d, spot)
			surplus = surplus || excess > 0 && ordinary > base
			if n := min(few, excess, r.spare(d, spot)); n > 0 && r.lower(d, spot, n) {
				return
			}
		}
		if surplus || !r.s.need.covers(r.now, historySeconds*time.Second) {
			return
		}
	}
}

// excess returns by how many endpoints a domain is above its target.
func (r *round) excess(domain string, spot bool) int {
	if spot {
		return r.subject(domain, true).present - r.targets[domain].spot
	}
	return r.subject(domain, false).present - r.targets[domain].ordinary
}

// spare returns how many endpoints of a kind may leave a domain, so that the others can still
// do without the spot ones of any one domain, and ordinary ones carry the load without bursts.
func (r *round) spare(domain string, spot bool) int {
	needed, base := int(math.Ceil(r.s.need.level)), 0
	all, most, ordinary := 0, 0, 0
	for _, d := range r.s.domains {
		base += r.targets[d].ordinary
		o, s := r.subject(d, false).guaranteed(), r.subject(d, true).guaranteed()
		ordinary += o
		all += o + s
		if d == domain && spot { // Those that leave are lost with the rest of the domain.
			continue
		}
		most = max(most, s)
	}
	_, highest := r.s.need.highest(r.now)
	spare := min(all-most-needed, all-int(math.Ceil(highest)))
	if !spot {
		spare = min(spare, ordinary-base)
	}
	here := r.subject(domain, false).present + r.subject(domain, true).present
	return min(spare, here-r.s.Scale.Min)
}

// lower orders fewer endpoints, unless it is not certain how many are in force.
func (r *round) lower(domain string, spot bool, by int) bool {
	s := r.subject(domain, spot)
	if s.uncertain || s.present > s.target() || s.present < s.target() && !s.settled(r.now, r.settle()) {
		return false
	}
	if !r.order(domain, spot, s.present-by) {
		return false
	}
	r.s.reducedAt = r.now
	return true
}

// reduceAboveMax removes endpoints from a domain that holds more than the table allows.
func (r *round) reduceAboveMax() bool {
	for _, d := range slices.Backward(r.s.domains) {
		ordinary, spot := r.subject(d, false), r.subject(d, true)
		over := ordinary.target() + spot.target() - r.s.Scale.Max
		if over <= 0 {
			continue
		}
		if n := min(over, ordinary.target()); n > 0 && r.order(d, false, ordinary.target()-n) {
			return true
		}
		if r.order(d, true, max(0, spot.target()-over)) {
			return true
		}
	}
	return false
}
