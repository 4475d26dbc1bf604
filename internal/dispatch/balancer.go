package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readRate is the number of prompt tokens that an engine reads in a
	// millisecond, until it is learned; engines of both users read 41 to 52.
	readRate = 45.0
	// firstEventBase is the time to the first event of an idle engine besides
	// reading: scheduling, one step per token of the event and the network.
	firstEventBase = 45 * time.Millisecond
	// heavyPrompt is the number of uncached tokens from which on a prompt holds
	// up the events of the requests beside it: one chunk of prefill takes about 40 ms.
	heavyPrompt = 2048
	// poolFill is the share of slots that the pool for light requests is sized
	// for, so that bursts find room in it.
	poolFill = 0.7
	// offPool is the price of placing a request outside its pool. A pool whose
	// engines are this far behind overflows into the other one.
	offPool = 150 * time.Millisecond
	// crossDomain is the price of another failure domain: two crossings of about
	// 1 ms each way and the priced bytes.
	crossDomain = 4 * time.Millisecond
	// failurePrice is the price of one recent failure.
	failurePrice = 100 * time.Millisecond
	// silentPrice is the price of an endpoint that no member hears of and that
	// has not answered this entry lately.
	silentPrice = 400 * time.Millisecond
	// silentTrust is how long an own answer vouches for a silent endpoint.
	silentTrust = 2 * time.Second
	// plainWork is the work of a plain request until it is learned.
	plainWork = 30 * time.Millisecond
	// fullPrice is the price of each request beyond the slots, as a share of the
	// time that a request holds its slot.
	fullPrice = 1.0
	// homeBelief is the chance that the home of a prompt part has it cached
	// although this entry did not send it there.
	homeBelief = 0.6
	// lightGain smooths the number of light requests for sizing the pool.
	lightGain = 0.2
)

// Balancer chooses endpoints of one service. It is pure and not safe for
// concurrent use.
type Balancer struct {
	engine   bool
	domain   string
	kvTokens int

	states map[string]*state
	// order lists the states by their rank for light requests, so that all
	// entries agree on the pools.
	order    []*state
	remoteAt time.Time

	// light is the smoothed number of light requests in flight at all entries.
	light float64
	// hold is the learned time that a request holds a slot, in ms, and work the
	// learned time of a plain request.
	hold, work float64
}

// NewBalancer returns a balancer for a service. engine tells whether prompts
// count; kvTokens is the memory of one engine, 0 if unknown.
func NewBalancer(domain string, engine bool, kvTokens int) *Balancer {
	return &Balancer{
		engine: engine, domain: domain, kvTokens: kvTokens, states: make(map[string]*state),
		hold: 1000, work: float64(plainWork.Milliseconds()),
	}
}

// SetEndpoints replaces the list of endpoints. What is known of an incarnation stays.
func (b *Balancer) SetEndpoints(list []Endpoint) {
	next := make(map[string]*state, len(list))
	for _, e := range list {
		s := b.states[e.ID]
		if s == nil || s.Incarnation != e.Incarnation {
			s = newState(e)
		}
		if s.Address != e.Address {
			s.replaced = false
		}
		s.Endpoint = e
		next[e.ID] = s
	}
	b.states = next
	b.order = b.order[:0]
	for _, s := range next {
		b.order = append(b.order, s)
	}
	slices.SortFunc(b.order, func(x, y *state) int {
		return cmp.Or(cmp.Compare(x.weight(0), y.weight(0)), cmp.Compare(x.ID, y.ID))
	})
}

// SetRemote takes over the load of the other entries as of a time.
func (b *Balancer) SetRemote(at time.Time, load func(id string) Load) {
	b.remoteAt = at
	light := 0
	for id, s := range b.states {
		s.remote = load(id)
		light += s.own.Light + s.remote.Light
	}
	b.light += lightGain * (float64(light) - b.light)
}

// Own calls f with the load that this entry has at each endpoint, if any.
func (b *Balancer) Own(f func(id string, l Load)) {
	for id, s := range b.states {
		if s.own.Requests > 0 {
			f(id, s.own)
		}
	}
}

// Size returns the number of endpoints that may be chosen.
func (b *Balancer) Size(now time.Time) int {
	n := 0
	for _, s := range b.order {
		if usable(s, now) {
			n++
		}
	}
	return n
}

func usable(s *state, now time.Time) bool {
	return !s.Draining && !s.replaced && !now.Before(s.ejectedUntil)
}

// Choose returns the endpoint with the lowest expected time to the first event,
// plus the prices of what a choice costs other requests. Endpoints in avoid are
// left out. It answers load that falls on few endpoints or one class: requests
// spread as soon as waiting costs more than reading a prompt again.
func (b *Balancer) Choose(now time.Time, d Demand, avoid []string) (Choice, bool) {
	if now.Sub(b.remoteAt) > remoteAge {
		for _, s := range b.order {
			s.remote = Load{}
		}
	}
	if !b.engine {
		return b.choosePlain(now, avoid)
	}
	return b.chooseEngine(now, d, avoid)
}

func (b *Balancer) candidates(now time.Time, avoid []string) []*state {
	out := make([]*state, 0, len(b.order))
	for _, s := range b.order {
		if usable(s, now) && !slices.Contains(avoid, s.ID) {
			out = append(out, s)
		}
	}
	if len(out) > 0 {
		return out
	}
	// With every endpoint ejected, the failures tell more of the load or of this
	// entry than of one endpoint: all are tried again.
	for _, s := range b.order {
		if !s.Draining && !s.replaced && !slices.Contains(avoid, s.ID) {
			out = append(out, s)
		}
	}
	return out
}

func (b *Balancer) choosePlain(now time.Time, avoid []string) (Choice, bool) {
	var best *state
	bestCost, bestTime := math.Inf(1), 0.0
	for _, s := range b.candidates(now, avoid) {
		ahead := s.requests(now)
		took := b.work * s.slowFactor(now) * (1 + max(0, float64(ahead-s.Slots+1))/float64(max(1, s.Slots)))
		// Below the slots, a fuller endpoint is a little worse: some slow down
		// when they are nearly full.
		cost := took + b.work*0.2*float64(ahead)/float64(max(1, s.Slots)) + b.price(now, s)
		if cost < bestCost {
			best, bestCost, bestTime = s, cost, took
		}
	}
	return b.choice(now, best, bestTime, 0, false)
}

func (b *Balancer) chooseEngine(now time.Time, d Demand, avoid []string) (Choice, bool) {
	all := b.candidates(now, avoid)
	light := d.Prompt.Tokens < heavyPrompt
	pool := b.poolSize(all)
	homes := homesOf(all[pool:], d.Prompt.Parts)
	if light {
		homes = nil
	}
	var best *state
	bestCost, bestTime, bestUncached := math.Inf(1), 0.0, 0
	for i, s := range all {
		uncached := b.uncached(now, s, d.Prompt, homes)
		backlog := float64(s.own.PromptTokens + s.remote.PromptTokens)
		took := (float64(firstEventBase.Milliseconds()) + (backlog+uncached)/readRate) * s.slowFactor(now)
		if over := s.requests(now) - s.Slots + 1; over > 0 {
			took += fullPrice * b.hold * float64(over) / float64(max(1, s.Slots))
		}
		cost := took + b.price(now, s)
		if len(all) > 2 && light != (i < pool) {
			cost += float64(offPool.Milliseconds())
		}
		// Light requests slow each other down a little, step by step.
		cost += float64(s.own.Light+s.remote.Light) * 0.5
		if cost < bestCost {
			best, bestCost, bestTime, bestUncached = s, cost, took, int(uncached)
		}
	}
	return b.choice(now, best, bestTime, bestUncached, light)
}

// price is what an endpoint costs apart from its load, in ms.
func (b *Balancer) price(now time.Time, s *state) float64 {
	cost := s.recentFailures(now) * float64(failurePrice.Milliseconds())
	if s.Domain != b.domain {
		cost += float64(crossDomain.Milliseconds())
	}
	if s.Silent && now.Sub(s.lastSuccess) > silentTrust {
		cost += float64(silentPrice.Milliseconds())
	}
	return cost
}

// poolSize returns how many endpoints, from the beginning of the order, serve
// light requests. Long prompts hold up the events of all requests beside them,
// so that the two kinds are kept on different engines.
func (b *Balancer) poolSize(all []*state) int {
	if len(all) < 2 {
		return len(all)
	}
	slots := 0
	for _, s := range all {
		slots += s.Slots
	}
	each := poolFill * float64(slots) / float64(len(all))
	return min(len(all)-1, max(1, int(math.Ceil(b.light/max(1, each)))))
}

// homesOf returns the home of each part that several requests share, which is
// all but the last: the endpoint to which every entry sends its requests while
// there is room, so that the part is read once.
func homesOf(pool []*state, parts []Part) []*state {
	if len(parts) < 2 || len(pool) == 0 {
		return nil
	}
	key := xxhash.Sum64String(parts[len(parts)-2].ID)
	best := pool[0]
	for _, s := range pool[1:] {
		if s.weight(key) > best.weight(key) {
			best = s
		}
	}
	return []*state{best}
}

// uncached estimates the prompt tokens that an endpoint has to read. A part
// counts as cached only if all parts before it are.
func (b *Balancer) uncached(now time.Time, s *state, p Prompt, homes []*state) float64 {
	left := float64(p.Tokens)
	if left == 0 {
		for _, part := range p.Parts {
			left += float64(part.Tokens)
		}
	}
	home := slices.Contains(homes, s)
	for i, part := range p.Parts {
		switch {
		case s.believes(now, part.ID):
			left -= float64(part.Tokens)
		case home && i < len(p.Parts)-1:
			left -= homeBelief * float64(part.Tokens)
		default:
			return max(0, left)
		}
	}
	return max(0, left)
}

func (b *Balancer) choice(now time.Time, s *state, tookMs float64, uncached int, light bool) (Choice, bool) {
	if s == nil {
		return Choice{}, false
	}
	return Choice{
		Endpoint: s.Endpoint, Predicted: time.Duration(tookMs * float64(time.Millisecond)), Uncached: uncached, Light: light, sent: now,
	}, true
}

// RemoteAge returns how old the load of the other entries is.
func (b *Balancer) RemoteAge(now time.Time) time.Duration {
	if b.remoteAt.IsZero() {
		return 0
	}
	return now.Sub(b.remoteAt)
}
