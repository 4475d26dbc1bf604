package fakeengine

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"

	"auburnstep.example/auburnstep/internal/answers"
)

// sequence is one request in the engine.
type sequence struct {
	id       string
	priority int
	arrival  uint64
	script   answers.Script
	from     int
	total    int
	// prefill is the part of a step's time still needed before the first token.
	prefill time.Duration
	// produced is the number of tokens that exist, counted from the start of the answer.
	produced atomic.Int64
	// ready has one element when produced has grown.
	ready chan struct{}
	// cancelled is closed when the request was cancelled.
	cancelled chan struct{}
	once      sync.Once
}

func newSequence(id string, priority int, script answers.Script, from, total int) *sequence {
	s := &sequence{
		id: id, priority: priority, script: script, from: from, total: total,
		ready: make(chan struct{}, 1), cancelled: make(chan struct{}),
	}
	s.produced.Store(int64(from))
	return s
}

func (s *sequence) cancel() { s.once.Do(func() { close(s.cancelled) }) }

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

// waitQueue orders sequences by priority and arrival.
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

// batch runs sequences by continuous batching: each step yields one token for
// every running sequence, and free slots are filled between steps.
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

// submit queues s. It is false when the queue is full.
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

// cancel ends the request with the given id. It is false for an unknown id.
func (b *batch) cancel(id string) bool {
	b.mu.Lock()
	s, ok := b.byID[id]
	b.mu.Unlock()
	if ok {
		s.cancel()
	}
	return ok
}

// forget drops the id of a request whose handler is done.
func (b *batch) forget(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID[s.id] == s {
		delete(b.byID, s.id)
	}
}

// other returns a sequence other than s, for answers that are crossed.
func (b *batch) other(s *sequence) *sequence {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.running {
		if o != s && o.id != s.id {
			return o
		}
	}
	return newSequence("other-"+s.id, 0, s.script+1, 0, s.total)
}

// counts returns the numbers of running and waiting sequences.
func (b *batch) counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), len(b.waiting)
}

// run steps until stop is closed.
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
		// A step that is far behind (frozen or starved of processor time) does
		// not make up for the lost tokens.
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

// admit drops cancelled sequences, fills free slots and returns the batch size.
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

// stepTime is the time of one step with n sequences.
func (b *batch) stepTime(n int) time.Duration {
	if b.cfg.TokensPerSecond == 0 {
		return 0
	}
	fill := float64(n-1) / float64(max(b.cfg.Slots-1, 1))
	step := (1 + b.cfg.BatchSlowdown*fill) / b.cfg.TokensPerSecond * b.faults.slowdown()
	return time.Duration(step * float64(time.Second))
}

// step yields one token for each sequence that has its prompt processed.
func (b *batch) step(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.running[:0]
	for _, s := range b.running {
		if d > 0 && s.prefill > d {
			s.prefill -= d
			kept = append(kept, s)
			continue
		}
		s.prefill = 0
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
