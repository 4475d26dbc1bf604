package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer chooses endpoints of one service. It is pure and not safe for
// concurrent use.
type Balancer struct {
	domain string
	// memory is nil for plain services.
	memory *Memory
	random *rand.Rand
	// entries is the number of entries that choose among the same endpoints.
	entries int

	states map[string]*state
	// order lists the states by their rank for light requests, so that all
	// entries agree on the pools.
	order    []*state
	remoteAt time.Time

	// light is the number of light requests in flight at all entries, with a slow
	// decay.
	light float64
	// runLight and runHeavy are the learned times from the first event of an
	// answer to its end, in ms, and work the learned time of a plain request.
	runLight, runHeavy, work float64
	// lagLight and lagHeavy are by how much first events are later than predicted,
	// in ms: while engines read prompts all the time, each step takes longer.
	lagLight, lagHeavy float64
	lagAt              time.Time
	// ranks counts the requests of each rank, with a decay, as of ranksAt.
	ranks   [MaxRank + 1]float64
	ranksAt time.Time
	// behindAt is when a request was last placed while engines were behind.
	behindAt time.Time
}

// NewBalancer returns a balancer for a service; memory is nil for plain ones.
// random breaks ties between entries that see the same load.
func NewBalancer(domain string, memory *Memory, random *rand.Rand) *Balancer {
	return &Balancer{
		domain: domain, memory: memory, random: random, entries: 1, states: make(map[string]*state),
		runLight: float64(firstRun.Milliseconds()), runHeavy: float64(firstRun.Milliseconds()), work: float64(plainWork.Milliseconds()),
	}
}

// SetEndpoints replaces the list of endpoints, which a number of entries use.
// What is known of an incarnation stays.
func (b *Balancer) SetEndpoints(list []Endpoint, entries int) {
	b.entries = entries
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
	if len(b.states) == 0 && b.memory != nil {
		for _, s := range next {
			b.light += lightPrior * float64(min(s.Slots, maxLight))
		}
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
	elapsed := min(1, max(0, at.Sub(b.remoteAt).Seconds()))
	b.remoteAt = at
	light, all := 0, 0
	for id, s := range b.states {
		s.remote = load(id)
		light += s.own.Light + s.remote.Light
		all += s.own.Requests + s.remote.Requests
	}
	if all > 0 { // Without any load, what was known of its kinds stays.
		b.light = max(float64(light), b.light*(1-lightDecay*elapsed))
	}
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

// Busy reports whether a request was placed just now while engines were behind, so
// that the load of the other entries should be fresh.
func (b *Balancer) Busy(now time.Time) bool { return now.Sub(b.behindAt) < busyFor }

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
	urgent := b.urgent(now, d)
	choose := b.chooseEngine
	if b.memory == nil {
		choose = b.choosePlain
	}
	c, ok := choose(now, d, avoid)
	c.Urgent = urgent
	return c, ok
}

// urgent counts a new request and reports whether most requests of the last
// seconds were less urgent.
func (b *Balancer) urgent(now time.Time, d Demand) bool {
	rank := min(MaxRank, max(0, d.Rank))
	if elapsed := now.Sub(b.ranksAt); elapsed > 0 {
		fade := math.Exp(-float64(elapsed) / float64(rankMemory))
		for i := range b.ranks {
			b.ranks[i] *= fade
		}
		b.ranksAt = now
	}
	if now.Sub(d.Arrived) < WaitStep { // Not one that waits and is placed again.
		b.ranks[rank]++
	}
	all, less := 0.0, 0.0
	for i, n := range b.ranks {
		all += n
		if i > rank {
			less += n
		}
	}
	return less > all/2
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

// choosePlain answers bursts over many entries with two random choices: all of
// them would send to the endpoint that was least loaded in the last report.
func (b *Balancer) choosePlain(now time.Time, d Demand, avoid []string) (Choice, bool) {
	var best *state
	bestCost, bestTime, bestWaits := math.Inf(1), 0.0, false
	all := b.candidates(now, avoid)
	full := fullness(now, all)
	if full > busyShare*plainOverload {
		b.behindAt = now
	}
	from := all
	if b.entries >= manyEntries {
		from = b.draw(from, 2)
	}
	for _, s := range from {
		ahead, slots := s.requests(now), max(1, s.Slots)
		took := b.work * s.slowFactor(now) * (1 + max(0, float64(ahead-s.Slots+1))/float64(slots))
		// Below the slots, a fuller endpoint is a little worse: some slow down
		// when they are nearly full.
		cost := took + b.work*0.2*float64(ahead)/float64(slots) + b.price(now, s)
		if cost < bestCost {
			best, bestCost, bestTime, bestWaits = s, cost, took, ahead >= s.Slots
		}
	}
	c, ok := b.choice(now, best, bestTime, 0, false)
	left := d.Arrived.Add(d.Objective).Sub(now)
	c.Behind = c.Predicted - time.Duration(plainBound*float64(left))
	c.Overload, c.waits = full > plainOverload, bestWaits
	return c, ok
}

// fullness returns the requests at endpoints for each of their slots.
func fullness(now time.Time, from []*state) float64 {
	requests, slots := 0, 0
	for _, s := range from {
		requests += s.requests(now)
		slots += max(1, s.Slots)
	}
	return float64(requests) / float64(max(1, slots))
}

// chooseEngine answers bursts of long prompts beside streams of short ones: the
// two kinds stay on different engines, since one long prompt makes all events
// beside it late. Late work does not count as waiting for timely work, which is
// sent ahead of it.
func (b *Balancer) chooseEngine(now time.Time, d Demand, avoid []string) (Choice, bool) {
	all := b.candidates(now, avoid)
	pool := b.poolSize(all)
	noteLight(now, all, pool)
	b.decayLag(now)
	q := query{now: now, demand: d, light: d.Prompt.Tokens < heavyPrompt, own: all[pool:], others: all[:pool]}
	if q.light {
		q.own, q.others = q.others, q.own
	}
	if len(q.own) == 0 {
		q.own = all
	}
	lag := milliseconds(*b.lag(q.light))
	left := d.Arrived.Add(d.Objective).Sub(now)
	q.bound = time.Duration(timelyBound*float64(left)) - lag
	overloadAt := overloadShare * float64(d.Objective.Milliseconds())
	backlog := backlogMs(q.own)
	if backlog > busyShare*overloadAt {
		b.behindAt = now
	}
	overload := !q.light && backlog > overloadAt
	best := b.bestEngine(&q, overload, left-lag)
	if best.state == nil {
		return Choice{}, false
	}
	c, ok := b.choice(now, best.state, best.timely, best.uncached, q.light)
	c.FetchFrom, c.Home, c.Overload = best.fetchFrom, 1+slices.Index(q.line, best.state), overload
	alone := min(milliseconds(best.alone), time.Duration(ownBound*float64(d.Objective)))
	c.Behind = milliseconds(best.timely-best.alone) + alone - q.bound
	if c.Predicted > left-lag {
		c.Late = true
		c.Predicted = milliseconds(best.late)
	}
	c.Predicted += lag
	c.Whole = c.Predicted + milliseconds(*b.run(q.light))
	return c, ok
}

// bestEngine returns the placement of a request, given the time in which its
// first event is timely.
func (b *Balancer) bestEngine(q *query, overload bool, timely time.Duration) placement {
	if q.light {
		return b.bestLight(q, timely)
	}
	q.line = homesOf(q.own, q.demand.Prompt.Parts)
	stay := overload && len(q.line) > 0 && b.staysHome(q.now, q.line[0], q.demand.Prompt)
	if stay {
		q.line = q.line[:1]
	}
	q.source = fetchSource(q.now, q.others, q.line, q.demand.Prompt.Parts)
	if p := b.firstTimely(q, timely); p.state != nil {
		return p
	}
	atHome := b.cheapest(q, q.line)
	if stay {
		return atHome
	}
	best := b.cheapest(q, b.sample(q.own))
	if atHome.state != nil && milliseconds(best.timely) > q.bound && atHome.cost < best.cost+float64(awayLate.Milliseconds()) {
		return atHome
	}
	return best
}

// bestLight returns the placement of a light request. None starves for long
// prompts: where its own engines are behind, it goes beside those, which begin it
// first.
func (b *Balancer) bestLight(q *query, timely time.Duration) placement {
	best := b.cheapest(q, append(b.near(q.own), b.sample(q.own)...))
	if milliseconds(best.timely) <= time.Duration(poolBehind*float64(timely)) {
		return best
	}
	if other := b.cheapest(q, b.sample(q.others)); other.state != nil && other.cost+float64(offPool.Milliseconds()) < best.cost {
		return other
	}
	return best
}

// staysHome reports whether a request of an overloaded service goes to its home or
// nowhere. Elsewhere its shared parts would be read again and push out others,
// which makes the overload worse. A home without memory is left, and so is one
// that is known to have the parts, since they can be fetched from it.
func (b *Balancer) staysHome(now time.Time, home *state, p Prompt) bool {
	if b.memoryOver(home, p) > 0 {
		return false
	}
	return b.memory.FetchPerMs == 0 || !home.believes(now, p.Parts[len(p.Parts)-2].ID)
}

// backlogMs returns the mean time that endpoints need for the prompts sent to them.
func backlogMs(from []*state) float64 {
	tokens := 0
	for _, s := range from {
		tokens += s.own.PromptTokens + s.remote.PromptTokens + s.own.LateTokens + s.remote.LateTokens
	}
	return float64(tokens) / readRate / float64(max(1, len(from)))
}

// cheapest returns the placement with the lowest cost.
func (b *Balancer) cheapest(q *query, from []*state) (best placement) {
	for _, s := range from {
		if p := b.place(q, s); best.state == nil || p.cost < best.cost {
			best = p
		}
	}
	return best
}

// sample returns a random choice of endpoints, fewer the more entries choose. It
// answers bursts over many entries whose load reports are older than the time
// between two requests.
func (b *Balancer) sample(from []*state) []*state {
	return b.draw(from, max(minSampled, len(from)*sampledPerEntry/max(1, b.entries)))
}

// near returns a random choice of the endpoints in the entry's failure domain. It
// answers streams of many events, whose bytes are dear between domains.
func (b *Balancer) near(from []*state) []*state {
	local := make([]*state, 0, len(from))
	for _, s := range from {
		if s.Domain == b.domain {
			local = append(local, s)
		}
	}
	return b.draw(local, minSampled)
}

// draw returns n random endpoints.
func (b *Balancer) draw(from []*state, n int) []*state {
	if n >= len(from) {
		return from
	}
	out := slices.Clone(from)
	for i := range n {
		j := i + b.random.IntN(len(out)-i)
		out[i], out[j] = out[j], out[i]
	}
	return out[:n]
}

// firstTimely returns the first endpoint in the line of homes that is timely. It
// answers bursts with shared prompts: as long as their home keeps up, no other
// engine reads them again.
func (b *Balancer) firstTimely(q *query, timely time.Duration) placement {
	for _, s := range q.line {
		if p := b.place(q, s); milliseconds(p.timely+b.price(q.now, s)+float64(s.own.Light+s.remote.Light)*lightHarm) <= timely {
			return p
		}
	}
	return placement{}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// run returns the learned time from the first event to the end.
func (b *Balancer) run(light bool) *float64 {
	if light {
		return &b.runLight
	}
	return &b.runHeavy
}

// lag returns by how much first events are later than predicted.
func (b *Balancer) lag(light bool) *float64 {
	if light {
		return &b.lagLight
	}
	return &b.lagHeavy
}

// decayLag lets the lags fade, so that work is sent again after a burst.
func (b *Balancer) decayLag(now time.Time) {
	if elapsed := now.Sub(b.lagAt); elapsed > 0 {
		fade := math.Exp(-float64(elapsed) / float64(lagDecay))
		b.lagLight, b.lagHeavy, b.lagAt = b.lagLight*fade, b.lagHeavy*fade, now
	}
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
		slots += min(s.Slots, maxLight)
	}
	each := poolFill * float64(slots) / float64(len(all))
	return min(len(all)-1, max(1, int(math.Ceil(b.light/max(1, each)))))
}

func (b *Balancer) choice(now time.Time, s *state, tookMs float64, uncached int, light bool) (Choice, bool) {
	if s == nil {
		return Choice{}, false
	}
	return Choice{
		Endpoint: s.Endpoint, Predicted: milliseconds(tookMs), Whole: milliseconds(tookMs), Uncached: uncached, Light: light, sent: now,
	}, true
}

// RemoteAge returns how old the load of the other entries is.
func (b *Balancer) RemoteAge(now time.Time) time.Duration {
	if b.remoteAt.IsZero() {
		return 0
	}
	return now.Sub(b.remoteAt)
}
