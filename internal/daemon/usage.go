package daemon

import (
	"time"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/usage"
)

// newUsageCollector returns what sums the usage of entries at a control member, nil unless
// usage is reported.
func (d *RoutedDaemon) newUsageCollector() *usage.Collector {
	if !d.Config.Duties.Metering {
		return nil
	}
	return usage.NewCollector(d.Config.Duties.UsageWindow, usage.Clocks{Steady: clock.Now, Wall: time.Now}, d.metrics.Scope)
}

// newUsageCounter returns what counts the requests of an entry, nil unless usage is reported.
func (d *RoutedDaemon) newUsageCounter(started time.Time) *usage.Counter {
	if !d.Config.Duties.Metering {
		return nil
	}
	return usage.NewCounter(d.Config.Duties.UsageWindow, clock.Now(), started, d.metrics.Scope)
}
