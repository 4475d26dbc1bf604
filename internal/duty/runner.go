package duty

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

const (
	// stepInterval is the time between two steps of a Runner.
	stepInterval = 100 * time.Millisecond
	// proposeTimeout bounds the proposal of a window. An election takes up to 1 s.
	proposeTimeout = time.Second
)

// Counts is the source of the counts of usage at this instance.
type Counts interface {
	// Counts returns the requests of each customer that began in a window.
	Counts(window int64) map[string]uint64
	// TrueTime returns the best estimate of the time of day.
	TrueTime() time.Time
}

// FinalWindow is a window whose counts are final.
type FinalWindow struct {
	Window int64
	Counts map[string]uint64
}

// State is the replicated state of the usage windows.
type State struct {
	// Started is false until the window is known after which usage is reported. HasTable is
	// set if there is a routing table.
	Started, HasTable bool
	// Newest is the highest window that is final or skipped.
	Newest int64
	// Undelivered holds the final windows that are not known to be delivered, oldest first.
	Undelivered []FinalWindow
}

// Log is the replicated log of the control members.
type Log interface {
	// Propose proposes a window and waits until it is applied at this instance. After an
	// error the command may still take effect.
	Propose(ctx context.Context, w *controlv1.UsageWindow) error
	// State returns the committed state as far as it is known at this instance.
	State() State
}

// RunnerOptions configures a Runner.
type RunnerOptions struct {
	Caller *Caller
	// Metering is set if usage is reported. Windows, Log and Counts are used only then.
	Metering bool
	Windows  Windows
	Log      Log
	Counts   Counts
	Events   *event.Recorder
	Scope    tally.Scope
}

// Runner reports usage while this instance holds the duties, and records the beginning and
// the end of that role. It implements kernel.Service.
type Runner struct {
	kernel.Base
	options RunnerOptions
	holder  tally.Gauge
	pending tally.Gauge
	final   tally.Counter

	// fence is the fence under which this instance holds the duties, or 0.
	fence uint64
	// delivered holds the windows that the platform accepted and the log has not recorded
	// as delivered.
	delivered map[int64]bool
}

// NewRunner returns a Runner with the given options.
func NewRunner(o RunnerOptions) *Runner {
	s := o.Scope.SubScope("duty")
	return &Runner{
		options: o, holder: s.Gauge("holder"), pending: s.Gauge("usage_pending"), final: s.Counter("usage_final"),
		delivered: make(map[int64]bool),
	}
}

// Start implements kernel.Service.
func (r *Runner) Start(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.step(ctx) && kernel.Sleep(ctx, stepInterval) != nil {
			break
		}
	}
	return nil
}

// step makes the windows final that are due and sends the oldest one that is not delivered.
// It reports whether the next step should follow immediately.
func (r *Runner) step(ctx context.Context) (more bool) {
	o := &r.options
	fence, ok := o.Caller.Holder()
	r.noteRole(fence, ok)
	if !o.Metering {
		return false
	}
	s := o.Log.State()
	if !s.Started && s.HasTable && ok {
		r.begin(ctx)
		return false
	}
	if !ok || !s.Started {
		return false
	}
	for {
		window, due := o.Windows.next(s.Newest, o.Counts.TrueTime())
		if !due {
			break
		}
		if !r.propose(ctx, window) {
			break
		}
		s = o.Log.State()
	}
	r.forgetRecorded(s)
	return r.send(ctx, s)
}

// begin skips the windows up to the present one. It is needed only if the first routing table
// was accepted before usage was reported.
func (r *Runner) begin(ctx context.Context) {
	window := r.options.Windows.At(r.options.Counts.TrueTime())
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := r.options.Log.Propose(ctx, &controlv1.UsageWindow{Window: window, Skip: true}); err != nil {
		r.options.Events.Emit(eventNotFinal, event.F("window", window), event.F("error", err))
	}
}

// propose makes a window final, together with the deliveries since the last command.
func (r *Runner) propose(ctx context.Context, window int64) bool {
	o := &r.options
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	counts := o.Counts.Counts(window)
	err := o.Log.Propose(ctx, &controlv1.UsageWindow{Window: window, Counts: counts, Delivered: slices.Sorted(maps.Keys(r.delivered))})
	if err != nil {
		o.Events.Emit(eventNotFinal, event.F("window", window), event.F("error", err))
		return false
	}
	r.final.Inc(1)
	o.Events.Emit(eventFinal, event.F("window", window), event.F("customers", len(counts)))
	return true
}

// send sends the oldest final window that is not delivered. It reports whether the platform
// accepted it.
func (r *Runner) send(ctx context.Context, s State) bool {
	pending := slices.DeleteFunc(slices.Clone(s.Undelivered), func(w FinalWindow) bool { return r.delivered[w.Window] })
	r.pending.Update(float64(len(pending)))
	if len(pending) == 0 {
		return false
	}
	w := pending[0]
	a := r.options.Caller.Call(ctx, SubjectUsage, Usage(w))
	switch a.Result {
	case Accepted:
		r.delivered[w.Window] = true
		r.options.Events.Emit(eventDelivered, event.F("window", w.Window), event.F("customers", len(w.Counts)))
	case Superseded:
		r.options.Events.Emit(eventSuperseded, event.F("window", w.Window), event.F("lease_held", a.LeaseHeld))
	}
	return a.Result == Accepted
}

// forgetRecorded forgets the deliveries that the log has recorded.
func (r *Runner) forgetRecorded(s State) {
	maps.DeleteFunc(r.delivered, func(window int64, _ bool) bool {
		return !slices.ContainsFunc(s.Undelivered, func(w FinalWindow) bool { return w.Window == window })
	})
}

// noteRole reports the beginning and the end of the role.
func (r *Runner) noteRole(fence uint64, ok bool) {
	if !ok {
		fence = 0
	}
	if fence == r.fence {
		return
	}
	if fence != 0 {
		r.options.Events.Emit(eventTaken, event.F("fence", fence))
	} else {
		r.options.Events.Emit(eventEnded, event.F("fence", r.fence))
	}
	r.fence = fence
	r.holder.Update(float64(min(fence, 1)))
}
