// Package ring provides the bounded queue that joins the goroutines of a process.
package ring

import (
	"context"
	"errors"
	"sync"
)

// ErrFull is returned by Push on a full ring with policy Reject.
var ErrFull = errors.New("ring is full")

// ErrClosed is returned once a ring is closed and, for Pop, empty.
var ErrClosed = errors.New("ring is closed")

// Policy states what Push does when the ring is full.
type Policy int

const (
	// Reject makes Push fail with ErrFull.
	Reject Policy = iota
	// DropOldest makes Push overwrite the oldest element and count the loss.
	DropOldest
	// Block makes Push wait for room.
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

// Ring is a bounded first-in first-out queue. It is safe for concurrent use.
type Ring[T any] struct {
	name   string
	policy Policy

	mu       sync.Mutex
	items    []T
	head, n  int
	closed   bool
	dropped  uint64
	rejected uint64
	// readable and writable hold one token while a waiter may make progress.
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

// Push appends v or acts by the ring's policy when there is no room.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	for {
		r.mu.Lock()
		if r.closed {
			r.mu.Unlock()
			return ErrClosed
		}
		if r.n < len(r.items) {
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
			r.take()
			r.dropped++
			r.append(v)
			r.mu.Unlock()
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

// Pop removes the oldest element. It waits for one until ctx ends or the ring
// is closed and empty.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	for {
		r.mu.Lock()
		if r.n > 0 {
			v := r.take()
			if r.n > 0 {
				signal(r.readable)
			}
			signal(r.writable)
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

// Drain removes and returns everything that is queued without waiting.
func (r *Ring[T]) Drain(limit int) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []T
	for r.n > 0 && len(out) < limit {
		out = append(out, r.take())
	}
	signal(r.writable)
	return out
}

// Close makes Push fail and lets Pop return what is left.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
}

// Stats returns the ring's counters.
func (r *Ring[T]) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Name: r.name, Length: r.n, Capacity: len(r.items), Dropped: r.dropped, Rejected: r.rejected}
}

func (r *Ring[T]) append(v T) {
	r.items[(r.head+r.n)%len(r.items)] = v
	r.n++
	signal(r.readable)
	if r.n < len(r.items) {
		signal(r.writable)
	}
}

func (r *Ring[T]) take() T {
	var zero T
	v := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.n--
	return v
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
