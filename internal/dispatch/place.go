package dispatch

import "time"

// query is a request that is being placed.
type query struct {
	now    time.Time
	demand Demand
	light  bool
	// own are the endpoints for requests of its kind, others those for the other kind.
	own, others []*state
	// line are the homes of its parts, and source the endpoint to fetch them from;
	// both are empty for light requests.
	line   []*state
	source *state
	// bound is the time up to which the predicted first event counts as timely.
	bound time.Duration
}

// placement is what placing a request at an endpoint comes to, in ms.
type placement struct {
	state     *state
	cost      float64
	uncached  int
	fetchFrom string
	// timely and late are the times to the first event ahead of and behind late work.
	timely, late float64
	// alone is the time to the first event with nothing else at the endpoint.
	alone float64
}

func (b *Balancer) place(q *query, s *state) placement {
	p := placement{state: s}
	uncached, fetched := b.uncached(q, s)
	p.uncached = int(uncached)
	if fetched > 0 {
		p.fetchFrom = q.source.Address
	}
	slow := s.slowFactor(q.now)
	base := float64(firstEventBase.Milliseconds()) + fetched
	backlog := float64(s.own.PromptTokens + s.remote.PromptTokens)
	behind := float64(s.own.LateTokens + s.remote.LateTokens)
	late := s.own.Late + s.remote.Late
	requests := s.requests(q.now)
	slots := float64(max(1, s.Slots))
	run := *b.run(q.light)
	wait := run * max(0, float64(requests-late+1)-slots) / slots
	if over := b.memoryOver(s, q.demand.Prompt); over > 0 {
		wait += run * (memoryWait + over)
	}
	if float64(requests) >= queueRoom*slots {
		wait += fullDelay
	}
	p.alone = (base + uncached/readRate) * slow
	p.timely = (base+(backlog+uncached)/readRate)*slow + wait
	p.late = (base+(backlog+behind+uncached)/readRate)*slow + wait + run*float64(late)/slots
	p.cost = p.timely + (p.late-p.timely)*lateWeight + b.price(q.now, s)
	if len(q.line) > 0 && s != q.line[0] {
		p.cost += float64(awayPrice.Milliseconds())
	}
	beside := float64(s.own.Light + s.remote.Light)
	if q.light {
		// Light requests slow each other down a little, step by step.
		p.cost += beside * stepPrice
		if s.Domain != b.domain {
			p.cost += float64(crossStream.Milliseconds())
		}
	} else {
		p.cost += beside * lightHarm
	}
	return p
}

// memoryOver returns by which share of its memory an engine would be overfull.
func (b *Balancer) memoryOver(s *state, p Prompt) float64 {
	if b.memory.Tokens == 0 {
		return 0
	}
	taken := s.own.MemoryTokens + s.remote.MemoryTokens + p.Tokens + p.Output
	return float64(taken)/float64(b.memory.Tokens) - memoryFill
}
