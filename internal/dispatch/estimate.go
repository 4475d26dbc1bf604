package dispatch

import "time"

// query is a request that is being placed.
type query struct {
	now         time.Time
	demand      Demand
	shortPrompt bool
	// pool holds the endpoints for requests with prompts of this kind, long or
	// short, and otherPool those for the other kind.
	pool, otherPool []*endpointState
	// open holds the endpoints of the pool whose limits let the request be sent there, or
	// those of both pools if there are none.
	open []*endpointState
	// preferred holds the preferred endpoints of the prompt's shared parts, and
	// source is the endpoint to fetch these parts from. Both are empty for
	// short-prompt requests.
	preferred []*endpointState
	source    *endpointState
	// timelyLimit is the largest predicted time to the first event that counts as
	// timely.
	timelyLimit time.Duration
}

// placement is the predicted result of sending a request to an endpoint. Its cost
// and times are in ms.
type placement struct {
	endpointState *endpointState
	cost          float64
	uncached      int
	fetchFrom     string
	// timely and late are the times to the first event if the request runs before
	// and after the late requests at the endpoint.
	timely, late float64
	// idle is the time to the first event if the endpoint has no other requests.
	idle float64
	// alone is set if the endpoint has no other prompts to prefill and a free slot.
	alone bool
}

// estimate predicts the times and the cost of a request at an endpoint.
func (b *Balancer) estimate(q *query, s *endpointState) placement {
	p := placement{endpointState: s}
	uncached, fetchMs := b.uncached(q, s)
	p.uncached = int(uncached)
	if fetchMs > 0 {
		p.fetchFrom = q.source.Address
	}
	slowdown := s.currentSlowdown(q.now)
	baseMs, msPerToken := b.pace.baseMs()+fetchMs, b.pace.msPerToken()
	backlog := float64(s.ownLoad.PromptTokens + s.remoteLoad.PromptTokens)
	lateBacklog := float64(s.ownLoad.LateTokens + s.remoteLoad.LateTokens)
	late := s.ownLoad.Late + s.remoteLoad.Late
	if !q.demand.LateLast {
		backlog, lateBacklog, late = backlog+lateBacklog, 0, 0
	}
	requests := s.requests(q.now)
	slots := float64(max(1, s.Slots))
	generationMs := *b.generationMs(q.shortPrompt)
	waitMs := generationMs * max(0, float64(requests-late+1)-slots) / slots
	if excess := b.memoryExcess(s, q.demand.Prompt); excess > 0 {
		waitMs += generationMs * (fullMemoryWait + excess)
	}
	if float64(requests) >= engineCapacityPerSlot*slots {
		waitMs += fullEngineDelayMs
	}
	p.idle = (baseMs + uncached*msPerToken) * slowdown
	p.timely = (baseMs+(backlog+uncached)*msPerToken)*slowdown + waitMs
	p.late = (baseMs+(backlog+lateBacklog+uncached)*msPerToken)*slowdown + waitMs + generationMs*float64(late)/slots
	p.alone = backlog+lateBacklog == 0 && waitMs == 0 && fetchMs == 0
	p.cost = p.timely + (p.late-p.timely)*lateBacklogWeight + b.endpointPenaltyMs(q.now, s)
	if len(q.preferred) > 0 && s != q.preferred[0] {
		p.cost += float64(nonPreferredPenalty.Milliseconds())
	}
	shortPrompts := float64(s.ownLoad.Light + s.remoteLoad.Light)
	if q.shortPrompt {
		// Each short-prompt request makes the steps of the others a little longer.
		p.cost += shortPrompts * shortPromptPenaltyMs
		if s.Domain != b.domain {
			p.cost += float64(crossDomainStreamPenalty.Milliseconds())
		}
	} else {
		p.cost += shortPrompts * longBesideShortPenaltyMs
	}
	return p
}

// memoryExcess returns the share of an engine's memory by which a prompt would
// exceed maxMemoryFill. It is negative while there is room.
func (b *Balancer) memoryExcess(s *endpointState, p Prompt) float64 {
	if b.memory.Tokens == 0 {
		return 0
	}
	taken := s.ownLoad.MemoryTokens + s.remoteLoad.MemoryTokens + p.Tokens + p.Output
	return float64(taken)/float64(b.memory.Tokens) - maxMemoryFill
}
