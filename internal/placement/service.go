package placement

import (
	"context"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/kernel"
)

// Interval is the time between two rounds.
const Interval = 2 * time.Second

// Duty runs an Executor as a kernel service.
type Duty struct {
	kernel.Base
	executor *Executor

	mu   sync.Mutex
	end  context.CancelFunc
	over chan struct{}
}

// NewDuty returns a service around an executor.
func NewDuty(x *Executor) *Duty { return &Duty{executor: x, over: make(chan struct{})} }

// Start implements kernel.Service.
func (d *Duty) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mu.Lock()
	d.end = cancel
	d.mu.Unlock()
	defer close(d.over)
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		d.executor.Round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Stop implements kernel.Service. It returns when no order can be sent any
// more, so that the lease can be given up.
func (d *Duty) Stop(ctx context.Context) error {
	d.mu.Lock()
	end := d.end
	d.mu.Unlock()
	if end == nil {
		return nil
	}
	end()
	select {
	case <-d.over:
	case <-ctx.Done():
	}
	return nil
}
