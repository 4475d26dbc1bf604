package daemon

import (
	"context"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/control"
	"auburnstep.example/auburnstep/internal/duty"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// registerDuties registers the runner of the duties at a control member, if there is a duty.
func (d *RoutedDaemon) registerDuties() error {
	c := &d.Config.Duties
	if !c.any() {
		return nil
	}
	if c.Client == nil || c.CallsPerS <= 0 || c.Metering && (c.UsageWindow <= 0 || c.UsageDue <= 0) {
		return Error.New("the client, the rate or the windows of the duties are not set")
	}
	d.DutyCaller = duty.NewCaller(duty.CallerOptions{
		Client: c.Client, Lease: func() duty.Lease { return duty.Lease(d.Member.LeaderLease()) }, Clock: clock.Now,
		Settle: c.Lease, CallsPerS: c.CallsPerS, Events: d.Events, Scope: d.metrics.Scope,
	})
	return d.kernel.Register(ServiceDuties, duty.NewRunner(duty.RunnerOptions{
		Caller: d.DutyCaller, Metering: c.Metering, Windows: c.windows(),
		Log: usageLog{d.Member}, Counts: d.Usage, Events: d.Events, Scope: d.metrics.Scope,
	}))
}

// windows returns the windows of usage.
func (d *Duties) windows() duty.Windows {
	return duty.Windows{Length: d.UsageWindow, Due: d.UsageDue}
}

// usageWindow returns a function that returns the current window of usage, or nil if usage is
// not reported.
func (d *RoutedDaemon) usageWindow() func() int64 {
	c := &d.Config.Duties
	if !c.Metering || c.UsageWindow <= 0 {
		return nil
	}
	return func() int64 { return c.windows().At(d.Usage.TrueTime()) }
}

// usageLog is the log of the control members as duty.Runner uses it.
type usageLog struct{ member *control.Member }

// Propose implements duty.Log.
func (l usageLog) Propose(ctx context.Context, w *controlv1.UsageWindow) error {
	return l.member.ProposeUsage(ctx, w)
}

// State implements duty.Log.
func (l usageLog) State() duty.State {
	u := l.member.Usage()
	s := duty.State{Started: u.Started, HasTable: l.member.HasRouting(), Newest: u.Newest}
	for _, w := range u.Undelivered {
		s.Undelivered = append(s.Undelivered, duty.FinalWindow(w))
	}
	return s
}
