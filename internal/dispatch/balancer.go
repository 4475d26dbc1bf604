package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer chooses endpoints of one service. It does no I/O and is not safe for
// concurrent use.
type Balancer struct {
	domain string
	// memory is nil for plain services.
	memory *Memory
	random *rand.Rand
	// entries is the number of entries that send to the same endpoints.
	entries int

	states map[string]*endpointState
	// poolOrder lists the endpoints by a hash that is the same at all entries, so
	// that all entries assign the same endpoints to the short-prompt pool.
	poolOrder    []*endpointState
	remoteLoadAt time.Time

	// shortInFlight is the number of short-prompt requests in flight at all
	// entries. It grows immediately and decays slowly.
	shortInFlight float64
	// shortGenerationMs and longGenerationMs are the learned times from the first
	// event of a response to its end for short and long prompts. serviceTimeMs is
	// the learned service time of a plain request.
	shortGenerationMs, longGenerationMs, serviceTimeMs float64
	// shortPredictionLagMs and longPredictionLagMs are the observed minus the
	// predicted time to the first event. While engines prefill prompts all the
	// time, each step takes longer than predicted.
	shortPredictionLagMs, longPredictionLagMs float64
	predictionLagAt                           time.Time
	// pace is the learned pace of the engines.
	pace prefillPace
	// shortPerEngine is the number of short-prompt requests that an engine is expected to
	// serve well.
	shortPerEngine float64
	// mix holds the recent requests.
	mix requestMix
	// longArrivals is the rate of this entry's requests with long prompts.
	longArrivals arrivalRate
	// notices holds what endpoints have said about themselves.
	notices map[incarnation]notice
	// uneven is set once an endpoint has reported its pace. meanPace is the mean of such reports.
	uneven   bool
	meanPace float64
	// shortEventGap and longEventGap are the learned times between two events at an endpoint of
	// usual speed, in ns, for short and long prompts.
	shortEventGap, longEventGap float64
	// backlogSeenAt is the time at which a request was last placed while the
	// backlog or queues exceeded the busy level (see busyShare).
	backlogSeenAt time.Time
}

// NewBalancer returns a balancer for a service; memory is nil for plain services.
// random makes entries with the same view of the load choose different endpoints.
func NewBalancer(domain string, memory *Memory, random *rand.Rand) *Balancer {
	return &Balancer{
		domain: domain, memory: memory, random: random, entries: 1, states: make(map[string]*endpointState), notices: make(map[incarnation]notice), pace: 1, shortPerEngine: initialShortPerEngine,
		shortGenerationMs: float64(initialGeneration.Milliseconds()), longGenerationMs: float64(initialGeneration.Milliseconds()), serviceTimeMs: float64(initialServiceTime.Milliseconds()),
	}
}

// SetEndpoints replaces the list of endpoints and sets the number of entries that
// send to them. The state of an incarnation that stays in the list is kept.
func (b *Balancer) SetEndpoints(list []Endpoint, entries int) {
	b.entries = entries
	next := make(map[string]*endpointState, len(list))
	for _, e := range list {
		s := b.states[e.ID]
		if s == nil || s.Incarnation != e.Incarnation {
			s = newEndpointState(e)
			s.founding = len(b.states) == 0
			said := b.notices[incarnation{e.ID, e.Incarnation}]
			s.leaving, s.pausedUntil = said.leaving, said.pausedUntil
		}
		if s.Address != e.Address {
			s.replaced = false
		}
		s.Endpoint = e
		next[e.ID] = s
	}
	if len(b.states) == 0 && b.memory != nil {
		for _, s := range next {
			b.shortInFlight += initialShortShare * b.shortCapacity(s)
		}
	}
	b.states = next
	b.poolOrder = b.poolOrder[:0]
	for _, s := range next {
		b.poolOrder = append(b.poolOrder, s)
	}
	b.sortPools()
}

// sortPools sorts poolOrder. Endpoints with a limit come last, where long prompts run:
// limits count requests, and long prompts are the most work for a request.
func (b *Balancer) sortPools() {
	limited := func(s *endpointState) int {
		if s.limit.PerSecond > 0 {
			return 1
		}
		return 0
	}
	slices.SortFunc(b.poolOrder, func(x, y *endpointState) int {
		return cmp.Or(cmp.Compare(limited(x), limited(y)), cmp.Compare(x.rendezvousWeight(0), y.rendezvousWeight(0)), cmp.Compare(x.ID, y.ID))
	})
}

// SetRemoteLoad sets the load of the other entries as of a time.
func (b *Balancer) SetRemoteLoad(at time.Time, load func(id string) Load) {
	elapsed := min(1, max(0, at.Sub(b.remoteLoadAt).Seconds()))
	b.remoteLoadAt = at
	shortInFlight, requests := 0, 0
	for id, s := range b.states {
		s.remoteLoad = load(id)
		shortInFlight += s.ownLoad.Light + s.remoteLoad.Light
		requests += s.ownLoad.Requests + s.remoteLoad.Requests
	}
	b.compareSpeeds(at)
	if requests > 0 { // Without any load, the last known value stays.
		b.shortInFlight = max(float64(shortInFlight), b.shortInFlight*(1-shortInFlightDecayPerS*elapsed))
	}
}

// EachOwnLoad calls f for each endpoint at which this entry has requests in flight.
func (b *Balancer) EachOwnLoad(f func(id string, l Load)) {
	for id, s := range b.states {
		if s.ownLoad.Requests > 0 || s.ownLoad.ExpectedMs > 0 {
			f(id, s.ownLoad)
		}
	}
}

// Available returns the number of endpoints that may be chosen.
func (b *Balancer) Available(now time.Time) int {
	n := 0
	for _, s := range b.poolOrder {
		if usable(s, now) {
			n++
		}
	}
	return n
}

// usable reports whether an endpoint may get requests at a time.
func usable(s *endpointState, now time.Time) bool {
	return !s.ended() && !now.Before(s.ejectedUntil)
}

// ended reports whether the incarnation gets no further requests.
func (s *endpointState) ended() bool { return s.Draining || s.leaving || s.replaced }

// Busy reports whether a request was recently placed above the busy level (see
// busyShare), so that the load of the other entries should be refreshed more often.
func (b *Balancer) Busy(now time.Time) bool { return now.Sub(b.backlogSeenAt) < busyDuration }

// Choose returns the endpoint with the lowest cost: the expected time to the first
// event plus penalties for the effects on other requests. It leaves out the
// endpoints in avoid. Load that falls on few endpoints or on one class spreads as
// soon as waiting costs more than prefilling a prompt again.
func (b *Balancer) Choose(now time.Time, d Demand, avoid []string) (Choice, bool) {
	if now.Sub(b.remoteLoadAt) > remoteLoadTTL {
		for _, s := range b.poolOrder {
			s.remoteLoad = Load{}
		}
	}
	choose := b.chooseEngine
	if b.memory == nil {
		choose = b.choosePlain
	}
	c, ok := choose(now, d, avoid)
	if ok && now.Sub(d.Arrived) < WaitStep { // Excludes requests that waited and are placed again.
		b.mix.recordOffered(now, d.Rank, c.work(), c.Light)
		if !c.Light {
			b.longArrivals.add(now)
		}
	}
	c.Protected = b.mix.isProtected(d.Rank)
	return c, ok
}

// RecordRefused counts a request that was refused because of its placement.
func (b *Balancer) RecordRefused(now time.Time, c *Choice, d Demand) {
	b.mix.recordRefused(now, d.Rank, c.work())
}

// candidates returns the endpoints that a request may be sent to, without those in
// avoid.
func (b *Balancer) candidates(now time.Time, avoid []string) []*endpointState {
	out := make([]*endpointState, 0, len(b.poolOrder))
	for _, s := range b.poolOrder {
		if usable(s, now) && !slices.Contains(avoid, s.ID) {
			out = append(out, s)
		}
	}
	if len(out) > 0 {
		return out
	}
	// If every endpoint is ejected, the cause is more likely the load or this entry
	// than each single endpoint, so that all of them are tried again.
	for _, s := range b.poolOrder {
		if !s.ended() && !slices.Contains(avoid, s.ID) {
			out = append(out, s)
		}
	}
	return out
}

// choosePlain returns the cheapest endpoint for a request to a plain service. With
// many entries it compares only two random endpoints, since all entries would
// otherwise send a burst to the endpoint with the least load in the last report.
func (b *Balancer) choosePlain(now time.Time, d Demand, avoid []string) (Choice, bool) {
	var best *endpointState
	bestCost, bestMs, bestQueued := math.Inf(1), 0.0, false
	all := b.candidates(now, avoid)
	if len(all) > 0 && len(open(now, &d, all)) == 0 {
		return blockedChoice(now, all), false
	}
	all = open(now, &d, all)
	perSlot := requestsPerSlot(now, all)
	if perSlot > busyShare*plainOverloadPerSlot {
		b.backlogSeenAt = now
	}
	sampled := all
	if b.entries >= minEntriesForTwoChoices {
		sampled = b.randomSubset(sampled, 2)
	}
	for _, s := range sampled {
		inFlight, slots := s.requests(now), max(1, s.Slots)
		predictedMs := b.serviceTimeMs * s.currentSlowdown(now) * b.machinePace(now, s) * (1 + max(0, float64(inFlight-s.Slots+1))/float64(slots))
		// Even with free slots, a fuller endpoint costs a little more: some
		// endpoints slow down when they are nearly full.
		cost := predictedMs + b.serviceTimeMs*0.2*float64(inFlight)/float64(slots) + b.endpointPenaltyMs(now, s)
		if cost < bestCost {
			best, bestCost, bestMs, bestQueued = s, cost, predictedMs, inFlight >= s.Slots
		}
	}
	c, ok := b.newChoice(now, best, bestMs, 0, false)
	timeLeft := d.Arrived.Add(d.Objective).Sub(now)
	c.Lateness = c.Predicted - time.Duration(plainTimelyShare*float64(timeLeft))
	c.Overload, c.queued = perSlot > plainOverloadPerSlot, bestQueued
	return c, ok
}

// requestsPerSlot returns the mean number of requests per slot at the endpoints.
func requestsPerSlot(now time.Time, endpoints []*endpointState) float64 {
	requests, slots := 0, 0
	for _, s := range endpoints {
		requests += s.requests(now)
		slots += max(1, s.Slots)
	}
	return float64(requests) / float64(max(1, slots))
}

// chooseEngine returns the cheapest engine for a request to a model service. Short
// and long prompts stay on different engines, since one long prompt delays all
// events beside it; a burst of long prompts therefore does not affect streams with
// short prompts. Late requests are not counted in the wait of a timely request,
// which the engine runs before them.
func (b *Balancer) chooseEngine(now time.Time, d Demand, avoid []string) (Choice, bool) {
	all := b.candidates(now, avoid)
	q, ok := b.newQuery(now, d, all)
	if !ok {
		return blockedChoice(now, all), false
	}
	predictionLag := milliseconds(*b.predictionLag(q.shortPrompt))
	timeLeft := d.Arrived.Add(d.Objective).Sub(now)
	q.timelyLimit = time.Duration(timelyShare*float64(timeLeft)) - predictionLag
	overloadAt := overloadBacklogShare * float64(d.Objective.Milliseconds())
	backlog := b.backlogMs(q.open, maxEngineBacklog*overloadAt)
	if backlog > busyShare*overloadAt {
		b.backlogSeenAt = now
	}
	overload := backlog > overloadAt
	best := b.bestEngine(&q, overload, timeLeft-predictionLag)
	if best.endpointState == nil {
		return Choice{}, false
	}
	c, ok := b.newChoice(now, best.endpointState, best.timely, best.uncached, q.shortPrompt)
	c.alone, c.overflowed = best.alone, !best.endpointState.inShortPool
	if best.fetchFrom == "" && !q.shortPrompt && b.memory.FetchTokensPerMs > 0 {
		best.fetchFrom = b.fetchForPreferred(&q, best.endpointState)
	}
	c.FetchFrom, c.PreferenceRank, c.Overload = best.fetchFrom, 1+slices.Index(q.preferred, best.endpointState), overload
	idle := min(milliseconds(best.idle), time.Duration(maxOwnPrefillShare*float64(d.Objective)))
	c.Lateness = milliseconds(best.timely-best.idle) + idle - q.timelyLimit
	if d.LateLast && c.Predicted > timeLeft-predictionLag {
		c.Late = true
		c.Predicted = milliseconds(best.late)
	}
	c.Predicted += predictionLag
	c.PredictedTotal = c.Predicted + milliseconds(*b.generationMs(q.shortPrompt))
	return c, ok
}

// newQuery divides the candidates for a request into pools. It returns false if the limits
// and pauses of all of them allow no request.
func (b *Balancer) newQuery(now time.Time, d Demand, all []*endpointState) (query, bool) {
	poolSize := b.shortPoolSize(all)
	updatePools(now, all, poolSize)
	b.decayPredictionLag(now)
	q := query{now: now, demand: d, shortPrompt: d.Prompt.Tokens < longPromptTokens, pool: all[poolSize:], otherPool: all[:poolSize]}
	b.shareCapacity(now, q.pool)
	if q.shortPrompt {
		q.pool, q.otherPool = q.otherPool, q.pool
	}
	if len(q.pool) == 0 {
		q.pool = all
	}
	q.open = open(now, &d, q.pool)
	if len(q.open) == 0 {
		q.open = open(now, &d, all)
	}
	return q, len(q.open) > 0 || len(all) == 0
}

// bestEngine returns the best placement of a request. timely is the time within
// which the first event counts as timely.
func (b *Balancer) bestEngine(q *query, overload bool, timely time.Duration) placement {
	if q.shortPrompt {
		return b.bestShortPrompt(q, timely)
	}
	q.preferred = preferredEndpoints(q.pool, q.demand.Prompt.Parts)
	stays := overload && len(q.preferred) > 0 && q.preferred[0].isOpen(q.now, &q.demand) && !b.mix.isProtected(q.demand.Rank) && b.staysAtPreferred(q.now, q.preferred[0], q.demand.Prompt)
	if stays {
		q.preferred = q.preferred[:1]
	}
	q.source = fetchSource(q.now, q.otherPool, q.preferred, q.demand.Prompt.Parts)
	if p := b.firstTimelyPreferred(q, timely); p.endpointState != nil {
		return p
	}
	atPreferred := b.cheapest(q, open(q.now, &q.demand, q.preferred))
	if stays {
		return atPreferred
	}
	best := b.cheapest(q, b.sample(q.open))
	if atPreferred.endpointState != nil && milliseconds(best.timely) > q.timelyLimit && atPreferred.cost < best.cost+float64(lateNonPreferredPenalty.Milliseconds()) {
		return atPreferred
	}
	return best
}

// bestShortPrompt returns the best placement of a short-prompt request. If the
// engines of its own pool are late, the request goes to the engines for long
// prompts, which start it first. This keeps it from starving.
func (b *Balancer) bestShortPrompt(q *query, timely time.Duration) placement {
	best := b.cheapest(q, append(b.sampleLocal(q.open), b.sample(q.open)...))
	if milliseconds(best.timely) <= time.Duration(overflowShare*float64(timely)) {
		return best
	}
	if other := b.cheapest(q, b.sample(open(q.now, &q.demand, q.otherPool))); other.endpointState != nil && other.cost+float64(otherPoolPenalty.Milliseconds()) < best.cost {
		return other
	}
	return best
}

// staysAtPreferred reports whether a request to an overloaded service may only go
// to its preferred endpoint. Another engine would have to prefill the shared parts
// again and evict other parts, which makes the overload worse. The request may go
// elsewhere if the preferred endpoint's memory is full, or if it is known to have
// the parts cached, since other engines can then fetch them.
func (b *Balancer) staysAtPreferred(now time.Time, preferred *endpointState, p Prompt) bool {
	if b.memoryExcess(preferred, p) > 0 {
		return false
	}
	return b.memory.FetchTokensPerMs == 0 || !preferred.expectsCached(now, p.Parts[len(p.Parts)-2].ID)
}

// backlogMs returns the mean time that the endpoints need to prefill the prompts
// sent to them. Each counts up to most.
func (b *Balancer) backlogMs(endpoints []*endpointState, most float64) float64 {
	sum, msPerToken := 0.0, b.pace.msPerToken()
	for _, s := range endpoints {
		tokens := s.ownLoad.PromptTokens + s.remoteLoad.PromptTokens + s.ownLoad.LateTokens + s.remoteLoad.LateTokens
		sum += min(most, float64(tokens)*msPerToken)
	}
	return sum / float64(max(1, len(endpoints)))
}

// cheapest returns the placement with the lowest cost.
func (b *Balancer) cheapest(q *query, from []*endpointState) (best placement) {
	for _, s := range from {
		if p := b.estimate(q, s); best.endpointState == nil || p.cost < best.cost {
			best = p
		}
	}
	return best
}

// sample returns a random subset of the endpoints, which is smaller the more
// entries there are. It spreads bursts over many entries, whose load reports are
// older than the time between two requests.
func (b *Balancer) sample(from []*endpointState) []*endpointState {
	return b.randomSubset(from, max(minSample, len(from)*samplesPerEndpoint/max(1, b.entries)))
}

// sampleLocal returns a random subset of the endpoints in the entry's failure
// domain. It is meant for streams with many events, for which traffic between
// domains is expensive.
func (b *Balancer) sampleLocal(from []*endpointState) []*endpointState {
	local := make([]*endpointState, 0, len(from))
	for _, s := range from {
		if s.Domain == b.domain {
			local = append(local, s)
		}
	}
	return b.randomSubset(local, minSample)
}

// randomSubset returns n random endpoints, or all if there are no more than n.
func (b *Balancer) randomSubset(from []*endpointState, n int) []*endpointState {
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

// firstTimelyPreferred returns the first of the preferred endpoints that is timely.
// As long as one of them keeps up with a burst of shared prompts, no other engine
// prefills the shared parts again.
func (b *Balancer) firstTimelyPreferred(q *query, timely time.Duration) placement {
	for _, s := range open(q.now, &q.demand, q.preferred) {
		if p := b.estimate(q, s); milliseconds(p.timely+b.endpointPenaltyMs(q.now, s)+float64(s.ownLoad.Light+s.remoteLoad.Light)*longBesideShortPenaltyMs) <= timely {
			return p
		}
	}
	return placement{}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// generationMs returns a pointer to the learned time from the first event to the
// end of the response.
func (b *Balancer) generationMs(shortPrompt bool) *float64 {
	if shortPrompt {
		return &b.shortGenerationMs
	}
	return &b.longGenerationMs
}

// predictionLag returns a pointer to the prediction lag in ms.
func (b *Balancer) predictionLag(shortPrompt bool) *float64 {
	if shortPrompt {
		return &b.shortPredictionLagMs
	}
	return &b.longPredictionLagMs
}

// decayPredictionLag reduces the prediction lags with time, so that requests are
// sent again after a burst.
func (b *Balancer) decayPredictionLag(now time.Time) {
	if elapsed := now.Sub(b.predictionLagAt); elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(predictionLagDecay))
		b.shortPredictionLagMs, b.longPredictionLagMs, b.predictionLagAt = b.shortPredictionLagMs*decay, b.longPredictionLagMs*decay, now
	}
}

// endpointPenaltyMs returns the part of an endpoint's cost that does not depend on
// its load.
func (b *Balancer) endpointPenaltyMs(now time.Time, s *endpointState) float64 {
	cost := s.recentFailures(now) * float64(failurePenalty.Milliseconds())
	if s.Domain != b.domain {
		cost += float64(crossDomainPenalty.Milliseconds())
	}
	if s.Silent && now.Sub(s.lastSuccess) > silentGrace {
		cost += float64(silentPenalty.Milliseconds())
	}
	return cost
}

func (b *Balancer) newChoice(now time.Time, s *endpointState, predictedMs float64, uncached int, shortPrompt bool) (Choice, bool) {
	if s == nil {
		return Choice{}, false
	}
	return Choice{
		Endpoint: s.Endpoint, Limit: s.limit, Slowdown: s.currentSlowdown(now) * b.machinePace(now, s), Predicted: milliseconds(predictedMs), PredictedTotal: milliseconds(predictedMs), Uncached: uncached, Light: shortPrompt, sentAt: now,
	}, true
}

// RemoteLoadAge returns the age of the load of the other entries.
func (b *Balancer) RemoteLoadAge(now time.Time) time.Duration {
	if b.remoteLoadAt.IsZero() {
		return 0
	}
	return now.Sub(b.remoteLoadAt)
}
