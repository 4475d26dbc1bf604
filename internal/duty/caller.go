package duty

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
)

// CallerOptions configures a Caller.
type CallerOptions struct {
	Client Client
	// Lease returns the leader lease of this instance. Clock returns the time on the clock of
	// the lease, which counts the time for which the machine is suspended.
	Lease func() Lease
	Clock func() time.Time
	// Settle is how long the lease must have been held without interruption.
	Settle time.Duration
	// CallsPerS bounds the calls per second of all instances together. It must be positive.
	CallsPerS float64
	Events    *event.Recorder
	Scope     tally.Scope
}

// Caller makes the calls of the holder of the duties. It is safe for concurrent use.
type Caller struct {
	options CallerOptions
	results map[Result]tally.Counter

	mu   sync.Mutex // guards core
	core *core
}

// NewCaller returns a Caller with the given options.
func NewCaller(o CallerOptions) *Caller {
	c := &Caller{options: o, core: newCore(o.Settle, o.CallsPerS), results: make(map[Result]tally.Counter)}
	for r := NotSent; r <= Unknown; r++ {
		c.results[r] = o.Scope.SubScope("duty").Tagged(map[string]string{"result": r.String()}).Counter("calls")
	}
	return c
}

// Holder returns the fence with which this instance may call, if it holds the duties.
func (c *Caller) Holder() (fence uint64, ok bool) {
	l := c.options.Lease()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.fence(c.options.Clock(), l)
}

// Call calls the platform once. It waits for its turn in the permitted rate, but not while
// the subject pauses after a failure; see Answer.Retry. At most one call for a subject is in
// flight.
func (c *Caller) Call(ctx context.Context, name string, body Body) Answer {
	l := c.options.Lease()
	c.mu.Lock()
	fence, timeout, retry, err := c.core.begin(c.options.Clock(), l, name)
	c.mu.Unlock()
	if err != nil {
		return Answer{Result: NotSent, Retry: retry, Err: notSent(err)}
	}
	if err := c.awaitTurn(ctx, fence); err != nil {
		c.mu.Lock()
		c.core.cancel(name)
		c.mu.Unlock()
		return Answer{Result: NotSent, Err: notSent(err)}
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.options.Client.Send(callCtx, fence, body, func() bool { return c.maySend(fence) })
	sent := !errors.Is(err, ErrNotSent)
	l = c.options.Lease()
	c.mu.Lock()
	a := c.core.end(c.options.Clock(), l, name, fence, body, response, sent)
	c.mu.Unlock()
	if a.Result == Unknown || a.Result == NotSent {
		a.Err = err
		if a.Err == nil {
			a.Err = Error.New("the platform does not carry out the call now")
		}
	}
	c.report(name, fence, a)
	return a
}

// awaitTurn waits until the call may be sent.
func (c *Caller) awaitTurn(ctx context.Context, fence uint64) error {
	for {
		if !c.maySend(fence) {
			return ErrNotHolder
		}
		c.mu.Lock()
		wait := c.core.pace(c.options.Clock())
		c.mu.Unlock()
		if wait == 0 {
			return nil
		}
		if err := kernel.Sleep(ctx, wait); err != nil {
			return err
		}
	}
}

func (c *Caller) maySend(fence uint64) bool {
	l := c.options.Lease()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.maySend(c.options.Clock(), l, fence)
}

func (c *Caller) report(name string, fence uint64, a Answer) {
	c.results[a.Result].Inc(1)
	switch a.Result {
	case Superseded, Unavailable:
		c.options.Events.Emit(eventRefused, event.F("subject", name), event.F("fence", fence), event.F("result", a.Result), event.F("lease_held", a.LeaseHeld))
	case NotSent, Unknown:
		c.options.Events.Emit(eventFailed, event.F("subject", name), event.F("fence", fence), event.F("result", a.Result), event.F("error", a.Err))
	}
}

func notSent(err error) error { return Error.Wrap(fmt.Errorf("%w: %w", ErrNotSent, err)) }
