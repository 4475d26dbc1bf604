package daemon

import (
	"context"
	"time"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
)

const (
	// suspensionPollInterval bounds how long after the end of a suspension it is logged.
	suspensionPollInterval = 500 * time.Millisecond
	// minSuspension is the shortest suspension that is logged.
	minSuspension = 100 * time.Millisecond
)

var eventSuspended = event.Define(1004, "machine-suspended", event.Warn, "the machine was suspended; timers did not run meanwhile")

// suspensionWatch is a service that logs suspensions of the machine.
type suspensionWatch struct {
	kernel.Base
	events *event.Recorder
	// suspended returns for how long the machine has been suspended so far.
	suspended func() time.Duration
}

func newSuspensionWatch(events *event.Recorder) *suspensionWatch {
	return &suspensionWatch{events: events, suspended: clock.Suspended}
}

// Start implements kernel.Service.
func (w *suspensionWatch) Start(ctx context.Context) error {
	reported := w.suspended()
	for kernel.Sleep(ctx, suspensionPollInterval) == nil {
		total := w.suspended()
		if total-reported >= minSuspension {
			w.events.Emit(eventSuspended, event.F("suspended_ms", (total-reported).Milliseconds()))
			reported = total
		}
	}
	return nil
}
