package policy

import (
	"math"
	"slices"
)

// engine simulates one endpoint. All running streams generate tokens at the same
// speed, which decreases with the size of the batch. Requests beyond the slots wait in
// the engine, ordered by tier. The speed of plain endpoints does not depend on the
// batch.
type engine struct {
	id                string
	sim               *sim
	slowdown          float64
	down              bool
	incarnation       uint64
	tokens, updatedAt float64 // tokens per stream since the start of the run, as of updatedAt
	running, queue    []*request
	cachedPrefixes    []uint64 // least recently used first
	completionVersion int      // a change invalidates the scheduled completion
}

// maxCachedPrefixes bounds the prefixes that an engine keeps cached.
const maxCachedPrefixes = 100

func (e *engine) secondsPerToken(batch int) float64 {
	return e.slowdown * e.sim.service.secondsPerToken(batch)
}

// advanceProgress updates tokens to the current time. It must run before the
// batch or the slowdown changes, since both determine the speed.
func (e *engine) advanceProgress() {
	if len(e.running) > 0 {
		e.tokens += (e.sim.now - e.updatedAt) / e.secondsPerToken(len(e.running))
	}
	e.updatedAt = e.sim.now
}

// submit queues a request on the engine. It returns false if the engine is down.
func (e *engine) submit(r *request) bool {
	if e.down {
		return false
	}
	r.engine, r.lastEngine = e, e
	i := slices.IndexFunc(e.queue, func(q *request) bool { return q.class.tier > r.class.tier })
	if i < 0 {
		i = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, i, r)
	e.advanceProgress()
	e.startQueued()
	return true
}

// startQueued starts queued requests while slots are free and schedules the next
// completion.
func (e *engine) startQueued() {
	for len(e.queue) > 0 && len(e.running) < e.sim.service.slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.sim.requestStarted(r)
		e.running = append(e.running, r)
		r.running = true
		r.attempt++
		attempt := r.attempt
		e.sim.after(e.slowdown*e.prefill(r), func() {
			if r.running && r.attempt == attempt {
				e.startDecode(r)
			}
		})
	}
	e.completionVersion++
	completionVersion, next := e.completionVersion, math.Inf(1)
	for _, r := range e.running {
		if r.decoding {
			next = min(next, max(0, r.endsAtTokens-e.tokens))
		}
	}
	if !math.IsInf(next, 1) {
		e.sim.after(next*e.secondsPerToken(len(e.running)), func() {
			if e.completionVersion == completionVersion {
				e.completeRequests()
			}
		})
	}
}

// prefill returns the prefill time in seconds, without slowdown, for the part of the
// prompt that is not cached. It marks the prefix as most recently used.
func (e *engine) prefill(r *request) float64 {
	duration := e.sim.service.prefillTimePerToken * float64(r.class.promptTokens)
	if i := slices.Index(e.cachedPrefixes, r.prefix); i >= 0 {
		e.cachedPrefixes = slices.Delete(e.cachedPrefixes, i, i+1)
		duration *= 1 - cacheableFraction
	}
	e.cachedPrefixes = append(e.cachedPrefixes, r.prefix)
	e.cachedPrefixes = e.cachedPrefixes[max(0, len(e.cachedPrefixes)-maxCachedPrefixes):]
	return duration
}

func (e *engine) startDecode(r *request) {
	e.advanceProgress()
	r.decoding, r.endsAtTokens = true, e.tokens+float64(r.tokens-r.done)
	if r.firstTokenAt == 0 && !e.sim.service.plain {
		r.firstTokenAt = e.sim.now + e.secondsPerToken(len(e.running))
	}
	e.startQueued()
}

func (e *engine) completeRequests() {
	e.advanceProgress()
	var done []*request
	for _, r := range slices.Clone(e.running) {
		if r.decoding && r.endsAtTokens-e.tokens < 1e-6 {
			done = append(done, r)
			e.remove(r)
			r.done = r.tokens
			if r.firstTokenAt == 0 {
				r.firstTokenAt = e.sim.now // a plain response arrives in one piece
			}
		}
	}
	e.startQueued()
	for _, r := range done {
		e.sim.requestFinished(r, true)
	}
}

// remove removes a request from the engine and stores its progress in the request.
func (e *engine) remove(r *request) {
	e.running, e.queue = withoutRequest(e.running, r), withoutRequest(e.queue, r)
	if r.decoding {
		r.done = r.tokens - int(math.Ceil(max(0, r.endsAtTokens-e.tokens)))
	}
	r.engine, r.running, r.decoding = nil, false, false
}

func withoutRequest(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(q *request) bool { return q == r })
}

// crash stops the engine. All its requests fail and its cache is cleared.
func (e *engine) crash() {
	e.advanceProgress()
	lost := slices.Concat(e.running, e.queue)
	e.down, e.cachedPrefixes = true, nil
	e.incarnation++
	e.completionVersion++
	for _, r := range lost {
		e.remove(r)
	}
	for _, r := range lost {
		e.sim.requestFinished(r, false)
	}
}
