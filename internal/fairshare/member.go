package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Member sums the reports of all entries and learns the usual rates. It is not safe for
// concurrent use.
type Member struct {
	reports     map[string]report
	services    map[uint32]*service
	evaluatedAt time.Time
	excess      []Excess
	changes     []Change
}

type report struct {
	at    time.Time
	rates []Rate
}

type service struct {
	// observed is how long the member has received reports of the service.
	observed  time.Duration
	lastSeen  time.Time
	customers map[uint32]*customer
}

type customer struct {
	rate, usual float64
	// former is the rate at the evaluation before.
	former float64
	// observed is how long the customer has been known.
	observed  time.Duration
	exceeding bool
	// exceeded is how long the excess has lasted.
	exceeded time.Duration
}

// Change says that a customer begins or ends to exceed its usual rate.
type Change struct {
	Key
	Began       bool
	Rate, Usual float64
	Refuse      float64
}

// NewMember returns a member that has learned nothing.
func NewMember() *Member {
	return &Member{reports: make(map[string]report), services: make(map[uint32]*service)}
}

// Receive replaces the report of an entry and returns the customers that exceed their usual
// rate.
func (m *Member) Receive(now time.Time, entry string, rates []Rate) []Excess {
	if _, known := m.reports[entry]; known || len(m.reports) < maxEntries {
		m.reports[entry] = report{now, rates[:min(len(rates), MaxReported)]}
	}
	m.Update(now)
	return m.excess
}

// Update evaluates the reports if the last evaluation is evaluationInterval old.
func (m *Member) Update(now time.Time) {
	step := now.Sub(m.evaluatedAt)
	if step < evaluationInterval || len(m.reports) == 0 && len(m.services) == 0 {
		return
	}
	m.evaluatedAt = now
	m.sum(now)
	m.excess = m.excess[:0:0]
	for id, s := range m.services {
		if now.Sub(s.lastSeen) >= reportTTL {
			m.suspend(id, s)
			if now.Sub(s.lastSeen) >= 2*usualDecay {
				delete(m.services, id)
			}
			continue
		}
		m.evaluate(id, s, min(step, maxStep))
	}
	slices.SortFunc(m.excess, func(a, b Excess) int {
		return cmp.Or(cmp.Compare(b.Refuse, a.Refuse), compareKeys(a.Key, b.Key))
	})
	m.excess = m.excess[:min(len(m.excess), MaxExcess)]
}

// Exceeding returns the number of customers that exceed their usual rate.
func (m *Member) Exceeding() int { return len(m.excess) }

// Changes returns the changes since the last call.
func (m *Member) Changes() []Change {
	out := m.changes
	m.changes = nil
	return out
}

// sum sets the rates of all customers to the sums of the reports in use.
func (m *Member) sum(now time.Time) {
	maps.DeleteFunc(m.reports, func(_ string, r report) bool { return now.Sub(r.at) >= reportTTL })
	for _, s := range m.services {
		for _, c := range s.customers {
			c.former, c.rate = c.rate, 0
		}
	}
	for _, r := range m.reports {
		for _, rate := range r.rates {
			if c := m.customer(now, rate.Key); c != nil {
				c.rate += rate.PerSecond
			}
		}
	}
}

// customer returns the state of a customer, nil if there is no room for it.
func (m *Member) customer(now time.Time, k Key) *customer {
	s := m.services[k.Service]
	if s == nil {
		if len(m.services) >= maxServices {
			return nil
		}
		s = &service{customers: make(map[uint32]*customer)}
		m.services[k.Service] = s
	}
	s.lastSeen = now
	c := s.customers[k.Customer]
	if c == nil && len(s.customers) < maxCustomers {
		c = &customer{}
		s.customers[k.Customer] = c
	}
	return c
}

// suspend ends the excess at a service that no entry reports any more. What is usual stays.
func (m *Member) suspend(id uint32, s *service) {
	for hash, c := range s.customers {
		m.end(Key{id, hash}, c)
	}
}

// evaluate finds the customers of one service that exceed their usual rate, and learns from
// the others.
func (m *Member) evaluate(id uint32, s *service, step time.Duration) {
	s.observed += step
	total := 0.0
	for _, c := range s.customers {
		total += c.usual
	}
	if s.observed >= minLearning {
		m.judge(id, s, total, step)
	}
	gain := min(1, step.Seconds()/min(usualDecay, s.observed).Seconds())
	for hash, c := range s.customers {
		c.observed += step
		if !c.exceeding {
			c.usual += gain * (c.rate - c.usual)
		}
		// Customers far below the least excess are learned again when they return.
		if c.rate == 0 && c.usual < total*beginShare/1000 {
			delete(s.customers, hash)
		}
	}
}

// judge decides for each customer whether it exceeds its usual rate. Only those with the most
// work above it are judged; the answer has no room for more.
func (m *Member) judge(id uint32, s *service, total float64, step time.Duration) {
	hashes := s.candidates(total)
	if len(hashes) == 0 {
		return
	}
	slices.SortFunc(hashes, func(a, b uint32) int {
		x, y := s.customers[a], s.customers[b]
		return cmp.Or(cmp.Compare(y.rate-y.usual, x.rate-x.usual), cmp.Compare(a, b))
	})
	growth := newGrowths(s.customers)
	var hot []hotCustomer
	for i, hash := range hashes {
		c, k := s.customers[hash], Key{id, hash}
		if i >= MaxExcess {
			m.end(k, c)
			continue
		}
		factor := growth.without(c)
		usual := factor * max(c.usual, s.leastUsual(c, total))
		begin := max(beginFactor*usual, usual+beginShare*total*factor)
		switch {
		case c.exceeding && (c.rate <= endFactor*usual || c.exceeded >= maxExcessTime):
			if c.exceeded >= maxExcessTime {
				c.usual = c.rate / factor
			}
			m.end(k, c)
		case !c.exceeding && c.rate <= begin:
		default:
			c.exceeded += step
			expected := c.expected(step)
			hot = append(hot, hotCustomer{c, k, keptShare * min(usual, c.rate), expected, min(expected, maxGrowth*usual)})
		}
	}
	floor := s.leastKept(hot)
	for _, h := range hot {
		refuse := min(maxRefused, 1-max(floor*h.demand, h.kept)/h.expected)
		if !h.exceeding {
			h.exceeding = true
			m.changes = append(m.changes, Change{h.key, true, h.rate, h.usual, refuse})
		}
		m.excess = append(m.excess, Excess{h.key, refuse})
	}
}

// hotCustomer is a customer that exceeds its usual rate. kept is the rate down to which its
// requests are refused, demand the rate without what counts as repeats.
type hotCustomer struct {
	*customer
	key                    Key
	kept, expected, demand float64
}

// expected returns the rate that the measured one tends to while it rises: the decay makes it
// follow a sudden change within some rateDecay only.
func (c *customer) expected(step time.Duration) float64 {
	return c.rate + max(0, c.rate-c.former)*rateDecay.Seconds()/step.Seconds()
}

// leastKept returns the share of its requests that each customer keeps at least: minServed of
// the share that all customers together keep, which depends on it in turn.
func (s *service) leastKept(hot []hotCustomer) float64 {
	others, all := 0.0, 0.0
	for _, c := range s.customers {
		all += c.rate
	}
	others = all
	for _, h := range hot {
		others -= h.rate
		all += h.demand - h.rate
	}
	floor := minServed
	// Each step brings the floor closer by a factor of minServed at least.
	for range 8 {
		kept := others
		for _, h := range hot {
			kept += max(h.kept, floor*h.demand)
		}
		floor = minServed * kept / max(all, 1e-9)
	}
	return floor
}

// candidates returns the customers that may exceed their usual rate, if the others have not
// grown. In calm there are none, which spares the order of all customers.
func (s *service) candidates(total float64) (hashes []uint32) {
	for hash, c := range s.customers {
		if c.exceeding || c.rate > max(beginFactor*c.usual, c.usual+beginShare*total) {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// leastUsual returns the rate that counts as usual for a customer at least: an equal share
// for one whose usual rate is not known yet.
func (s *service) leastUsual(c *customer, total float64) float64 {
	if c.observed >= usualDecay {
		return 0
	}
	return total / float64(len(s.customers))
}

func (m *Member) end(k Key, c *customer) {
	if !c.exceeding {
		return
	}
	m.changes = append(m.changes, Change{k, false, c.rate, c.usual, 0})
	c.exceeding, c.exceeded = false, 0
}

// growths are the customers in the order of their rates relative to the usual ones.
type growths struct {
	customers []*customer
	weight    float64
}

func newGrowths(all map[uint32]*customer) growths {
	var g growths
	for _, c := range all {
		if c.usual > 0 {
			g.customers = append(g.customers, c)
			g.weight += c.usual
		}
	}
	slices.SortFunc(g.customers, func(a, b *customer) int { return cmp.Compare(a.rate/a.usual, b.rate/b.usual) })
	return g
}

// without returns by how much the other customers have grown: the median, weighted by the
// usual rates, and at least 1. A few customers that exceed theirs do not change a median.
func (g growths) without(c *customer) float64 {
	rest := (g.weight - c.usual) / 2
	for _, o := range g.customers {
		if o == c {
			continue
		}
		if rest -= o.usual; rest <= 0 {
			return max(1, o.rate/o.usual)
		}
	}
	return 1
}
