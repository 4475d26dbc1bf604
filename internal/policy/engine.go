package policy

import (
	"math"
	"slices"
)

// engine models one endpoint. Running streams get tokens at one pace, which
// falls with the size of the batch; requests beyond the slots wait in the engine
// by tier. The pace of plain endpoints does not depend on the batch.
type engine struct {
	id             string
	sim            *sim
	slow           float64
	down           bool
	incarnation    uint64
	tokens, at     float64 // tokens that each stream got since the start, up to time at
	running, queue []*request
	cached         []uint64 // prefixes, least recently used first
	version        int      // voids planned completions
}

const cachedPrefixes = 100

func (e *engine) pace(batch int) float64 { return e.slow * e.sim.service.pace(batch) }

func (e *engine) advance() {
	if len(e.running) > 0 {
		e.tokens += (e.sim.now - e.at) / e.pace(len(e.running))
	}
	e.at = e.sim.now
}

// submit hands over a request; it reports false if the engine is down.
func (e *engine) submit(r *request) bool {
	if e.down {
		return false
	}
	r.engine, r.last = e, e
	i := slices.IndexFunc(e.queue, func(q *request) bool { return q.class.tier > r.class.tier })
	if i < 0 {
		i = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, i, r)
	e.advance()
	e.fill()
	return true
}

// fill starts queued requests while there are slots and plans the next
// completion.
func (e *engine) fill() {
	for len(e.queue) > 0 && len(e.running) < e.sim.service.slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.sim.started(r)
		e.running = append(e.running, r)
		r.running = true
		r.attempt++
		attempt := r.attempt
		e.sim.after(e.slow*e.prefill(r), func() {
			if r.running && r.attempt == attempt {
				e.decode(r)
			}
		})
	}
	e.version++
	version, next := e.version, math.Inf(1)
	for _, r := range e.running {
		if r.decoding {
			next = min(next, max(0, r.ends-e.tokens))
		}
	}
	if !math.IsInf(next, 1) {
		e.sim.after(next*e.pace(len(e.running)), func() {
			if e.version == version {
				e.complete()
			}
		})
	}
}

// prefill returns the seconds for the part of the prompt that is not cached.
func (e *engine) prefill(r *request) float64 {
	whole := e.sim.service.prefillTime * float64(r.class.prompt)
	if i := slices.Index(e.cached, r.prefix); i >= 0 {
		e.cached = slices.Delete(e.cached, i, i+1)
		whole *= 1 - cachedPart
	}
	e.cached = append(e.cached, r.prefix)
	e.cached = e.cached[max(0, len(e.cached)-cachedPrefixes):]
	return whole
}

func (e *engine) decode(r *request) {
	e.advance()
	r.decoding, r.ends = true, e.tokens+float64(r.tokens-r.done)
	if r.first == 0 && !e.sim.service.plain {
		r.first = e.sim.now + e.pace(len(e.running))
	}
	e.fill()
}

func (e *engine) complete() {
	e.advance()
	var done []*request
	for _, r := range slices.Clone(e.running) {
		if r.decoding && r.ends-e.tokens < 1e-6 {
			done = append(done, r)
			e.take(r)
			r.done = r.tokens
			if r.first == 0 {
				r.first = e.sim.now // a plain response comes whole
			}
		}
	}
	e.fill()
	for _, r := range done {
		e.sim.finished(r, true)
	}
}

// take removes a request and keeps its progress.
func (e *engine) take(r *request) {
	e.running, e.queue = without(e.running, r), without(e.queue, r)
	if r.decoding {
		r.done = r.tokens - int(math.Ceil(max(0, r.ends-e.tokens)))
	}
	r.engine, r.running, r.decoding = nil, false, false
}

func without(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(q *request) bool { return q == r })
}

// crash loses all streams.
func (e *engine) crash() {
	e.advance()
	lost := slices.Concat(e.running, e.queue)
	e.down, e.cached = true, nil
	e.incarnation++
	e.version++
	for _, r := range lost {
		e.take(r)
	}
	for _, r := range lost {
		e.sim.finished(r, false)
	}
}
