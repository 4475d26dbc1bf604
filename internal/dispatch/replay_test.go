package dispatch

import (
	"cmp"
	"container/heap"
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The replay plays arrivals against balancers of many entries and a model of the
// engines on the users' sheets. It needs no network and no clock, so that a load
// pattern gives the same figures each time.

// engineSheet describes model engines: times in ms, sizes in tokens.
type engineSheet struct {
	slots, queue, memory, chunk, stride int
	step, stepPerSlot, contextPerK      float64
	readPerMs, pairsPerM, first         float64
	fetchSetup, fetchPerMs              float64
}

// replayClass is a kind of request of the users' sheets.
type replayClass struct {
	name, things        string // things names whose parts the prompts share
	light               bool
	rank                int
	objective, patience time.Duration
	gap                 float64 // ms
	worth, late         float64
	prompt, output      float64 // means
	spread, outSpread   float64 // of the logarithm
	shared              []replayPart
	rate                func(ms float64) float64 // a second
}

// replayPart is a part of prompts that requests share.
type replayPart struct {
	tokens, spread float64
	things         int
}

// replayCase is a load on a deployment.
type replayCase struct {
	sheet                            engineSheet
	engines, entries                 int
	domains                          int
	classes                          []*replayClass
	length                           float64 // ms
	loadEvery, busyLoadEvery, oneWay float64 // ms
	seed                             uint64
	slowEngines                      int // of the first engines
	slowBy                           float64
	trace                            func(r *replayRequest)
}

// replayResult sums up what callers got.
type replayResult struct {
	owed, earned               map[string]float64
	count, timely, lateN, gaps map[string]int
	refused, comeback, lost    int
	read, readAgain, moved     float64
	// sizes holds the size of each request of the heavy class, answered those of the answered ones.
	sizes, answered []float64
	crossBytes      float64
}

// String shows the figures of a replay.
func (r *replayResult) String() string {
	return fmt.Sprintf("worth %.3f, plan %.3f, chat %.3f; asked %v, timely %v, late %v, with pauses %v; refused %d, refused again %d, cut %d; "+
		"Mtokens read %.1f, of shared parts again %.1f, moved %.1f; MB between domains %.1f; answered by size %.2f %.2f %.2f",
		r.worth(), r.earned["plan"]/r.owed["plan"], r.earned["chat"]/r.owed["chat"], r.count, r.timely, r.lateN, r.gaps, r.refused,
		r.comeback, r.lost, r.read/1e6, r.readAgain/1e6, r.moved/1e6, r.crossBytes/1e6, r.bySize(0, 0.7), r.bySize(0.7, 0.9), r.bySize(0.9, 1))
}

// bySize returns the share of the requests between two quantiles of size that were answered.
func (r *replayResult) bySize(from, to float64) float64 {
	slices.Sort(r.sizes)
	at := func(q float64) float64 { return r.sizes[min(len(r.sizes)-1, int(q*float64(len(r.sizes))))] }
	count := func(x []float64) (n float64) {
		for _, v := range x {
			if v >= at(from) && (v < at(to) || to >= 1) {
				n++
			}
		}
		return n
	}
	return count(r.answered) / count(r.sizes)
}

func (r *replayResult) worth() float64 {
	var owed, earned float64
	for c := range r.owed {
		owed += r.owed[c]
		earned += r.earned[c]
	}
	return earned / owed
}

type replayRequest struct {
	class     *replayClass
	d         Demand
	first     float64 // arrival of the first attempt
	sentAt    float64
	arrivedAt float64
	tries     int
	entry     int
	choice    Choice
	engine    *replayEngine
	output    int
	value     float64
	size      float64

	toRead, context, made  int
	uncached               int
	readyAt                float64
	began, lastEvent, gap  float64
	started, ended, queued bool
}

type cachedPart struct {
	id     string
	tokens int
}

type replayEngine struct {
	replay   *replay
	id       string
	domain   int
	slow     float64
	queue    []*replayRequest
	running  []*replayRequest
	order    *list.List
	parts    map[string]*list.Element
	used     int
	stepping bool
}

type replayEvent struct {
	at float64
	n  int
	do func()
}

type replayHeap []replayEvent

func (h replayHeap) Len() int { return len(h) }
func (h replayHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h replayHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *replayHeap) Push(x any)   { *h = append(*h, x.(replayEvent)) }
func (h *replayHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type replay struct {
	c      replayCase
	now    float64
	n      int
	events replayHeap
	// arrivals draws what callers send, so that it is the same for all decisions.
	arrivals, random *rand.Rand
	balancers        []*Balancer
	told             []map[string]Load
	engines          map[string]*replayEngine
	lastUse          map[string]float64
	sizes            map[string]int
	result           replayResult
}

func (p *replay) after(ms float64, do func()) {
	p.n++
	heap.Push(&p.events, replayEvent{p.now + ms, p.n, do})
}

func (p *replay) time() time.Time { return epoch.Add(time.Duration(p.now * float64(time.Millisecond))) }

// runReplay plays a case to its end.
func runReplay(c replayCase) *replayResult {
	p := &replay{
		c: c, random: rand.New(rand.NewPCG(c.seed, 77)), arrivals: rand.New(rand.NewPCG(c.seed, 78)), engines: make(map[string]*replayEngine),
		lastUse: make(map[string]float64), sizes: make(map[string]int),
		result: replayResult{
			owed: make(map[string]float64), earned: make(map[string]float64), count: make(map[string]int),
			timely: make(map[string]int), lateN: make(map[string]int), gaps: make(map[string]int),
		},
	}
	var endpoints []Endpoint
	for i := range c.engines {
		e := &replayEngine{replay: p, id: fmt.Sprintf("engine-%d-%x", i, p.random.Uint32()), domain: i % c.domains, slow: 1, order: list.New(), parts: make(map[string]*list.Element)}
		if i < c.slowEngines {
			e.slow = c.slowBy
		}
		p.engines[e.id] = e
		endpoints = append(endpoints, Endpoint{ID: e.id, Incarnation: 1, Address: e.id, Domain: fmt.Sprint(e.domain), Slots: c.sheet.slots})
	}
	for i := range c.entries {
		b := NewBalancer(fmt.Sprint(i%c.domains), &Memory{Tokens: c.sheet.memory, FetchPerMs: c.sheet.fetchPerMs}, rand.New(rand.NewPCG(c.seed, uint64(i))))
		b.SetEndpoints(endpoints, c.entries)
		p.balancers = append(p.balancers, b)
		p.told = append(p.told, make(map[string]Load))
		p.after(p.random.Float64()*c.loadEvery, func() { p.share(i) })
	}
	for _, class := range c.classes {
		p.after(0, func() { p.arrive(class) })
	}
	p.play()
	return &p.result
}

// play runs the events until callers have their answers.
func (p *replay) play() {
	for len(p.events) > 0 && p.now < p.c.length+20_000 {
		e := heap.Pop(&p.events).(replayEvent)
		p.now = e.at
		e.do()
	}
}

// share tells an entry's load and takes over that of the others.
func (p *replay) share(i int) {
	mine := make(map[string]Load)
	p.balancers[i].Own(func(id string, l Load) { mine[id] = l })
	p.told[i] = mine
	sum := make(map[string]Load)
	for j, told := range p.told {
		if j == i {
			continue
		}
		for id, l := range told {
			sum[id] = sum[id].Plus(l)
		}
	}
	p.balancers[i].SetRemote(p.time(), func(id string) Load { return sum[id] })
	if p.now < p.c.length+5_000 {
		every := p.c.loadEvery
		if p.balancers[i].Busy(p.time()) {
			every = p.c.busyLoadEvery
		}
		p.after(every*(0.8+0.4*p.random.Float64()), func() { p.share(i) })
	}
}

func (p *replay) lognormal(mean, spread float64) int {
	return max(1, int(mean*math.Exp(spread*p.arrivals.NormFloat64()-spread*spread/2)))
}

func (p *replay) arrive(class *replayClass) {
	rate := class.rate(p.now)
	if p.now >= p.c.length {
		return
	}
	p.after(p.arrivals.ExpFloat64()*1000/rate, func() { p.arrive(class) })
	own := min(p.lognormal(class.prompt, class.spread), int(6.3*class.prompt))
	d := Demand{Rank: class.rank, Objective: class.objective, Arrived: p.time(), Deadline: p.time().Add(time.Duration(float64(class.patience) * (0.83 + 0.17*p.arrivals.Float64())))}
	for k, s := range class.shared {
		// Things are asked for with a mild skew.
		thing := int(float64(s.things) * math.Pow(p.arrivals.Float64(), 1/(1-0.3)))
		id := fmt.Sprintf("%s-%d-%d", class.things, k, thing)
		if p.sizes[id] == 0 {
			p.sizes[id] = p.lognormal(s.tokens, s.spread)
		}
		d.Prompt.Parts = append(d.Prompt.Parts, Part{id, p.sizes[id]})
		d.Prompt.Tokens += p.sizes[id]
	}
	d.Prompt.Parts = append(d.Prompt.Parts, Part{fmt.Sprintf("own-%d", p.n), own})
	d.Prompt.Tokens += own
	r := &replayRequest{class: class, d: d, first: p.now, entry: p.arrivals.IntN(p.c.entries)}
	r.output = min(p.lognormal(class.output, class.outSpread), int(4*class.output))
	d.Prompt.Output = r.output
	size := float64(d.Prompt.Tokens+10*r.output) / (class.meanPrompt() + 10*class.output)
	r.value = min(4, 0.3+0.7*size)
	p.result.owed[class.name] += class.worth * r.value
	p.result.count[class.name]++
	if !class.light {
		p.result.sizes = append(p.result.sizes, size)
	}
	r.size = size
	p.serve(r)
}

func (c *replayClass) meanPrompt() float64 {
	sum := c.prompt
	for _, s := range c.shared {
		sum += s.tokens
	}
	return sum
}

// serve sends a request, or turns it away.
func (p *replay) serve(r *replayRequest) {
	b := p.balancers[r.entry]
	c, ok := b.Choose(p.time(), r.d, nil)
	decision := Refuse
	if ok {
		decision = Admit(p.time(), r.d, c)
	}
	switch decision {
	case Wait:
		p.after(float64(WaitStep.Milliseconds()), func() { p.serve(r) })
		return
	case Refuse:
		p.refuse(r, c.Behind)
		return
	}
	b.Sent(p.time(), &c, r.d)
	r.choice, r.engine, r.sentAt = c, p.engines[c.Endpoint.ID], p.now
	if r.engine.domain != r.entry%p.c.domains {
		p.result.crossBytes += float64(1500 + 9000*r.d.Prompt.Tokens/9200 + 200*r.output/p.c.sheet.stride)
	}
	p.after(p.c.oneWay, func() { r.engine.take(r) })
}

func (p *replay) refuse(r *replayRequest, behind time.Duration) {
	wait := ReturnAfter(r.d.Objective, behind, p.random.Float64())
	left := r.d.Deadline.Sub(p.time())
	if r.tries > 0 {
		p.result.comeback++
	}
	p.result.refused++
	if r.tries >= 1 || wait > left/3 {
		wait = min(wait, left/3)
	}
	if r.tries >= 1 {
		return
	}
	r.tries++
	p.after(float64(wait)/float64(time.Millisecond), func() {
		r.entry = p.random.IntN(p.c.entries)
		r.d.Arrived = p.time()
		p.serve(r)
	})
}

func (e *replayEngine) take(r *replayRequest) {
	p := e.replay
	if len(e.queue) >= p.c.sheet.queue {
		b := p.balancers[r.entry]
		b.Ended(p.time(), &r.choice, Rejected)
		c, ok := b.Choose(p.time(), r.d, []string{e.id})
		if ok {
			b.Sent(p.time(), &c, r.d)
			r.choice, r.engine = c, p.engines[c.Endpoint.ID]
			if n := len(r.engine.queue); n < p.c.sheet.queue {
				p.after(2*p.c.oneWay, func() { r.engine.take(r) })
				return
			}
			b.Ended(p.time(), &c, Rejected)
		}
		p.refuse(r, c.Behind)
		return
	}
	r.arrivedAt = p.now
	r.queued = true
	e.queue = append(e.queue, r)
	p.after(float64(r.d.Deadline.Sub(p.time()))/1e6, func() {
		if !r.ended {
			p.result.lost++
			e.finish(r, Abandoned)
		}
	})
	if !e.stepping {
		e.step()
	}
}

func rankOf(r *replayRequest) int {
	if r.choice.Late {
		return r.d.Rank + 1
	}
	return r.d.Rank
}

func (e *replayEngine) runningTokens() int {
	n := 0
	for _, r := range e.running {
		n += r.context + r.toRead
	}
	return n
}

func (e *replayEngine) touch(id string, tokens int) {
	p := e.replay
	p.lastUse[id] = p.now
	if el := e.parts[id]; el != nil {
		e.order.MoveToFront(el)
		return
	}
	e.parts[id] = e.order.PushFront(&cachedPart{id: id, tokens: tokens})
	e.used += tokens
}

func (e *replayEngine) evict() {
	limit := e.replay.c.sheet.memory - e.runningTokens()
	for e.used > limit && e.order.Len() > 0 {
		el := e.order.Back()
		part := el.Value.(*cachedPart)
		e.order.Remove(el)
		delete(e.parts, part.id)
		e.used -= part.tokens
	}
}

func (e *replayEngine) admit() {
	p := e.replay
	slices.SortStableFunc(e.queue, func(a, b *replayRequest) int {
		return cmp.Or(cmp.Compare(rankOf(a), rankOf(b)), cmp.Compare(a.arrivedAt, b.arrivedAt))
	})
	for len(e.queue) > 0 && len(e.running) < p.c.sheet.slots {
		r := e.queue[0]
		if e.runningTokens()+r.d.Prompt.Tokens > p.c.sheet.memory {
			break
		}
		e.queue = e.queue[1:]
		have, known, source := 0, true, p.engines[r.choice.FetchFrom]
		fetch := 0
		fetchKnown := source != nil && source != e
		for i, part := range r.d.Prompt.Parts {
			known = known && e.parts[part.ID] != nil
			if known {
				have += part.Tokens
			} else if i < len(r.d.Prompt.Parts)-1 {
				fetchKnown = fetchKnown && source.parts[part.ID] != nil
				switch {
				case fetchKnown:
					fetch += part.Tokens
				default:
					if last, seen := p.lastUse[part.ID]; seen && p.now-last < 8700 {
						p.result.readAgain += float64(part.Tokens)
					}
				}
			}
		}
		for i, part := range r.d.Prompt.Parts {
			if i < len(r.d.Prompt.Parts)-1 {
				e.touch(part.ID, part.Tokens)
			}
		}
		r.toRead = r.d.Prompt.Tokens - have - fetch
		r.uncached = r.toRead
		p.result.read += float64(r.toRead)
		r.readyAt = p.now + p.c.sheet.first
		if fetch > 0 {
			p.result.moved += float64(fetch)
			cross := 1.0
			if source.domain != e.domain {
				cross = 2
			}
			r.readyAt += p.c.sheet.fetchSetup + cross*float64(fetch)/p.c.sheet.fetchPerMs
		}
		e.running = append(e.running, r)
	}
	e.evict()
}

// step runs one step of the batch.
func (e *replayEngine) step() {
	p, s := e.replay, &e.replay.c.sheet
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	left := s.chunk
	took := s.step + s.stepPerSlot*float64(len(e.running)) + s.contextPerK*float64(e.runningTokens())/1000
	var decode []*replayRequest
	worked := false
	for _, r := range e.running {
		if r.readyAt > p.now {
			continue
		}
		if r.toRead > 0 {
			n := min(left, r.toRead)
			left -= n
			r.toRead -= n
			r.context += n
			if n > 0 {
				worked = true
				took += float64(n)/s.readPerMs + s.pairsPerM*float64(n)*float64(r.d.Prompt.Tokens-r.toRead)/1e6
			}
			if r.toRead > 0 || n == 0 {
				continue
			}
		}
		worked = true
		decode = append(decode, r)
	}
	if !worked {
		took = 2
	}
	p.after(took*e.slow, func() {
		for _, r := range decode {
			if r.ended {
				continue
			}
			r.made++
			r.context++
			if r.made%s.stride == 1 || r.made == r.output {
				e.event(r)
			}
			if r.made >= r.output {
				e.finish(r, Answered)
			}
		}
		e.step()
	})
}

// event delivers an event to the caller.
func (e *replayEngine) event(r *replayRequest) {
	p := e.replay
	if !r.started {
		r.started, r.began = true, p.now+p.c.oneWay*2
		p.after(p.c.oneWay, func() { p.balancers[r.entry].Began(p.time(), &r.choice) })
	} else {
		r.gap = max(r.gap, p.now-r.lastEvent)
	}
	r.lastEvent = p.now
}

func (e *replayEngine) finish(r *replayRequest, o Outcome) {
	p := e.replay
	r.ended = true
	e.queue = slices.DeleteFunc(e.queue, func(x *replayRequest) bool { return x == r })
	e.running = slices.DeleteFunc(e.running, func(x *replayRequest) bool { return x == r })
	last := r.d.Prompt.Parts[len(r.d.Prompt.Parts)-1]
	if o == Answered {
		e.touch(last.ID, last.Tokens+r.output)
	}
	p.after(p.c.oneWay, func() { p.balancers[r.entry].Ended(p.time(), &r.choice, o) })
	if p.c.trace != nil {
		p.c.trace(r)
	}
	if o != Answered {
		return
	}
	name := r.class.name
	if !r.class.light {
		p.result.answered = append(p.result.answered, r.size)
	}
	switch {
	case r.began-r.first <= float64(r.class.objective.Milliseconds()) && r.gap <= r.class.gap:
		p.result.timely[name]++
		p.result.earned[name] += r.class.worth * r.value
	default:
		if r.gap > r.class.gap {
			p.result.gaps[name]++
		} else {
			p.result.lateN[name]++
		}
		p.result.earned[name] += r.class.late * r.value
	}
}
