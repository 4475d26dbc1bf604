package fakeengine

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"

	"auburnstep.example/auburnstep/internal/answers"
)

// sequence is one request in the engine: its place in the queue and the tokens
// generated so far.
type sequence struct {
	id          string
	priority    int
	arrival     uint64
	generator   answers.Generator
	startOffset int
	total       int
	// prefillRemaining is the prefill time left before the first token.
	prefillRemaining time.Duration
	// produced is the number of tokens generated so far, counted from the start of
	// the response. It includes the tokens before startOffset.
	produced atomic.Int64
	// ready holds one element after produced has changed.
	ready chan struct{}
	// cancelled is closed when the request is cancelled.
	cancelled  chan struct{}
	cancelOnce sync.Once
}

func newSequence(id string, priority int, generator answers.Generator, startOffset, total int) *sequence {
	s := &sequence{
		id: id, priority: priority, generator: generator, startOffset: startOffset, total: total,
		ready: make(chan struct{}, 1), cancelled: make(chan struct{}),
	}
	s.produced.Store(int64(startOffset))
	return s
}

func (s *sequence) cancel() { s.cancelOnce.Do(func() { close(s.cancelled) }) }

func (s *sequence) isCancelled() bool {
	select {
	case <-s.cancelled:
		return true
	default:
		return false
	}
}

func (s *sequence) notify() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// waitQueue is a heap of sequences, ordered by priority and then by arrival.
type waitQueue []*sequence

func (q waitQueue) Len() int      { return len(q) }
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *waitQueue) Push(x any)   { *q = append(*q, x.(*sequence)) }
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q *waitQueue) Pop() any {
	old := *q
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return s
}

// batch runs sequences with continuous batching: each step generates one token
// for every running sequence whose prefill is complete. Waiting sequences enter
// free slots between steps.
type batch struct {
	cfg       Config
	faults    *faults
	stop      <-chan struct{}
	generated atomic.Int64

	mu       sync.Mutex
	waiting  waitQueue
	running  []*sequence
	arrivals uint64
	byID     map[string]*sequence
	wake     chan struct{}
}

func newBatch(cfg Config, f *faults, stop <-chan struct{}) *batch {
	return &batch{cfg: cfg, faults: f, stop: stop, byID: make(map[string]*sequence), wake: make(chan struct{}, 1)}
}

// submit queues s. It returns false when the queue is full.
func (b *batch) submit(s *sequence) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= b.cfg.QueueMax {
		return false
	}
	b.arrivals++
	s.arrival = b.arrivals
	b.byID[s.id] = s
	heap.Push(&b.waiting, s)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

// cancel cancels the request with the given id. It returns false if the id is
// unknown.
func (b *batch) cancel(id string) bool {
	b.mu.Lock()
	s, ok := b.byID[id]
	b.mu.Unlock()
	if ok {
		s.cancel()
	}
	return ok
}

// remove deletes the id of a request whose handler has returned.
func (b *batch) remove(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID[s.id] == s {
		delete(b.byID, s.id)
	}
}

// otherSequence returns a sequence other than s, whose id and text FaultCrossed
// puts into the response to s. If no other sequence is running, it generates one.
func (b *batch) otherSequence(s *sequence) *sequence {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.running {
		if o != s && o.id != s.id {
			return o
		}
	}
	return newSequence("other-"+s.id, 0, s.generator+1, 0, s.total)
}

// counts returns the numbers of running and waiting sequences.
func (b *batch) counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), len(b.waiting)
}

// run executes steps until stop is closed.
func (b *batch) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	next := time.Now()
	for {
		n := b.admit()
		if n == 0 {
			select {
			case <-b.wake:
				next = time.Now()
				continue
			case <-b.stop:
				return
			}
		}
		d := b.stepTime(n)
		next = next.Add(d)
		wait := time.Until(next)
		// If a step is behind schedule by more than its own duration, after a freeze
		// or for lack of processor time, the schedule starts again from now: the
		// following steps are not shortened to make up for the lost tokens.
		if wait < -d {
			next = time.Now()
		}
		if wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-b.stop:
				return
			}
		}
		if !b.faults.waitThawed(b.stop) {
			return
		}
		b.step(d)
	}
}

// admit removes cancelled sequences, fills free slots from the queue and returns
// the batch size.
func (b *batch) admit() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.running[:0]
	for _, s := range b.running {
		if !s.isCancelled() {
			kept = append(kept, s)
		}
	}
	clear(b.running[len(kept):])
	b.running = kept
	for len(b.running) < b.cfg.Slots && len(b.waiting) > 0 {
		if s := heap.Pop(&b.waiting).(*sequence); !s.isCancelled() {
			b.running = append(b.running, s)
		}
	}
	return len(b.running)
}

// stepTime returns the duration of one step with n running sequences.
func (b *batch) stepTime(n int) time.Duration {
	if b.cfg.TokensPerSecond == 0 {
		return 0
	}
	fill := float64(n-1) / float64(max(b.cfg.Slots-1, 1))
	step := (1 + b.cfg.BatchSlowdown*fill) / b.cfg.TokensPerSecond * b.faults.slowdown()
	return time.Duration(step * float64(time.Second))
}

// step advances the batch by one step of duration d: it generates one token for
// each sequence whose prefill is complete and shortens the prefill of the others.
func (b *batch) step(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.running[:0]
	for _, s := range b.running {
		if d > 0 && s.prefillRemaining > d {
			s.prefillRemaining -= d
			kept = append(kept, s)
			continue
		}
		s.prefillRemaining = 0
		if int(s.produced.Load()) < s.total {
			b.generated.Add(1)
			s.produced.Add(1)
		}
		if int(s.produced.Load()) < s.total {
			kept = append(kept, s)
		}
		s.notify()
	}
	clear(b.running[len(kept):])
	b.running = kept
}
