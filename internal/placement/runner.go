package placement

import (
	"context"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/kernel"
)

// Interval is the time between the starts of two rounds.
const Interval = 2 * time.Second

// Runner runs the rounds of an Executor as a kernel service.
type Runner struct {
	kernel.Base
	executor *Executor

	mu   sync.Mutex
	stop context.CancelFunc
	done chan struct{}
}

// NewRunner returns a kernel service that runs the executor.
func NewRunner(x *Executor) *Runner { return &Runner{executor: x, done: make(chan struct{})} }

// Start implements kernel.Service.
func (r *Runner) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.stop = cancel
	r.mu.Unlock()
	defer close(r.done)
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		r.executor.Round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Stop implements kernel.Service. It waits for the current round to end, so that
// no order is sent after the lease is released.
func (r *Runner) Stop(ctx context.Context) error {
	r.mu.Lock()
	stop := r.stop
	r.mu.Unlock()
	if stop == nil {
		return nil
	}
	stop()
	select {
	case <-r.done:
	case <-ctx.Done():
	}
	return nil
}
