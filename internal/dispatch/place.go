package dispatch

import "time"

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

func (b *Balancer) place(now time.Time, s *state, d Demand, line []*state, source *state, light bool) placement {
	p := placement{state: s}
	uncached, fetched := b.uncached(now, s, d.Prompt, line, source)
	p.uncached = int(uncached)
	if fetched > 0 {
		p.fetchFrom = source.Address
	}
	slow := s.slowFactor(now)
	base := float64(firstEventBase.Milliseconds()) + fetched
	backlog := float64(s.own.PromptTokens + s.remote.PromptTokens)
	behind := float64(s.own.LateTokens + s.remote.LateTokens)
	late := s.own.Late + s.remote.Late
	requests := s.requests(now)
	slots := float64(max(1, s.Slots))
	run := *b.run(light)
	wait := run * max(0, float64(requests-late+1)-slots) / slots
	if over := b.memoryOver(s, d.Prompt); over > 0 {
		wait += run * (memoryWait + over)
	}
	if float64(requests) >= queueRoom*slots {
		wait += fullDelay
	}
	p.alone = (base + uncached/readRate) * slow
	p.timely = (base+(backlog+uncached)/readRate)*slow + wait
	p.late = (base+(backlog+behind+uncached)/readRate)*slow + wait + run*float64(late)/slots
	p.cost = p.timely + (p.late-p.timely)*lateWeight + b.price(now, s)
	if len(line) > 0 && s != line[0] {
		p.cost += float64(awayPrice.Milliseconds())
	}
	beside := float64(s.own.Light + s.remote.Light)
	if light {
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
