// Package ring provides a bounded queue between the goroutines of a process.
package ring

import (
	"context"
	"errors"
	"sync"
)

// ErrFull is returned by Push if the ring is full and its policy is Reject.
var ErrFull = errors.New("ring is full")

// ErrClosed is returned by Push after Close, and by Pop once the ring is closed
// and empty.
var ErrClosed = errors.New("ring is closed")

// Policy determines what Push does when the ring is full.
type Policy int

const (
	// Reject makes Push fail with ErrFull.
	Reject Policy = iota
	// DropOldest makes Push replace the oldest element, which is counted in
	// Stats.Dropped.
	DropOldest
	// Block makes Push wait until there is room.
	Block
)

// Stats is a snapshot of a ring for metrics.
type Stats struct {
	Name     string
	Length   int
	Capacity int
	Dropped  uint64
	Rejected uint64
}

// Ring is a bounded FIFO queue. It is safe for concurrent use.
type Ring[T any] struct {
	name   string
	policy Policy

	mu          sync.Mutex
	items       []T
	head, count int
	closed      bool
	dropped     uint64
	rejected    uint64
	onDrop      func(T)
	// readable and writable are channels of capacity 1. A value in readable wakes a
	// waiting Pop, one in writable wakes a waiting Push.
	readable chan struct{}
	writable chan struct{}
	done     chan struct{}
}

// New returns a ring with a fixed capacity, which must be positive.
func New[T any](name string, capacity int, policy Policy) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity must be positive")
	}
	return &Ring[T]{
		name: name, policy: policy, items: make([]T, capacity),
		readable: make(chan struct{}, 1), writable: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// OnDrop sets a function that Push calls with each element that it replaces. It must be called
// before the ring is in use.
func (r *Ring[T]) OnDrop(f func(T)) { r.onDrop = f }

// Push appends v. If the ring is full, the ring's policy determines the result.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	for {
		r.mu.Lock()
		if r.closed {
			r.mu.Unlock()
			return ErrClosed
		}
		if r.count < len(r.items) {
			r.append(v)
			r.mu.Unlock()
			return nil
		}
		switch r.policy {
		case Reject:
			r.rejected++
			r.mu.Unlock()
			return ErrFull
		case DropOldest:
			oldest := r.popFront()
			r.dropped++
			r.append(v)
			r.mu.Unlock()
			if r.onDrop != nil {
				r.onDrop(oldest)
			}
			return nil
		}
		r.mu.Unlock()
		select {
		case <-r.writable:
		case <-r.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Pop removes and returns the oldest element. It waits until there is an element,
// ctx ends, or the ring is closed and empty.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	for {
		r.mu.Lock()
		if r.count > 0 {
			v := r.popFront()
			if r.count > 0 {
				notify(r.readable)
			}
			notify(r.writable)
			r.mu.Unlock()
			return v, nil
		}
		closed := r.closed
		r.mu.Unlock()
		var zero T
		if closed {
			return zero, ErrClosed
		}
		select {
		case <-r.readable:
		case <-r.done:
		case <-ctx.Done():
			return zero, ctx.Err()
		}
	}
}

// Drain removes and returns the queued elements, oldest first and at most limit.
// It does not wait.
func (r *Ring[T]) Drain(limit int) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []T
	for r.count > 0 && len(out) < limit {
		out = append(out, r.popFront())
	}
	notify(r.writable)
	return out
}

// Close makes Push fail. Pop still returns the queued elements.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
}

// Stats returns the ring's current length, its capacity and its counters.
func (r *Ring[T]) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Name: r.name, Length: r.count, Capacity: len(r.items), Dropped: r.dropped, Rejected: r.rejected}
}

func (r *Ring[T]) append(v T) {
	r.items[(r.head+r.count)%len(r.items)] = v
	r.count++
	notify(r.readable)
	if r.count < len(r.items) {
		notify(r.writable)
	}
}

func (r *Ring[T]) popFront() T {
	var zero T
	v := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	return v
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
