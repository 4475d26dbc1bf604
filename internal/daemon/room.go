package daemon

import (
	"context"
	"os"
	"runtime/metrics"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/entryweight"
	"auburnstep.example/auburnstep/internal/kernel"
)

const (
	// usageInterval is the time between two measurements of what the process uses.
	usageInterval = time.Second
	liveHeapName  = "/gc/heap/live:bytes"
	// descriptorDirectory has the number of open descriptors as its size (Linux 6.2 and later;
	// 0 before that, so that descriptors then do not count).
	descriptorDirectory = "/proc/self/fd"
)

// roomWatch is a service that measures what an entry uses and keeps its room.
type roomWatch struct {
	kernel.Base
	roomGauge, utilizationGauge tally.Gauge

	mu    sync.Mutex
	meter *entryweight.Meter
}

func newRoomWatch(c entryweight.Capacity, scope tally.Scope) *roomWatch {
	return &roomWatch{meter: entryweight.NewMeter(c), roomGauge: scope.Gauge("entry_room"), utilizationGauge: scope.Gauge("entry_utilization")}
}

// registerRoomWatch adds the service if the resources of the instance are known.
func (d *RoutedDaemon) registerRoomWatch() error {
	if d.Config.Capacity.IdleRoom() == 0 {
		return nil
	}
	d.room = newRoomWatch(d.Config.Capacity, d.metrics.Scope)
	return d.kernel.Register(ServiceRoomWatch, d.room)
}

// Room returns the room of the entry while it is idle, and at present. Both are 0 if w is nil.
func (w *roomWatch) Room() (idle, present uint32) {
	if w == nil {
		return 0, 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.meter.Room()
}

// Start implements kernel.Service.
func (w *roomWatch) Start(ctx context.Context) error {
	samples := []metrics.Sample{{Name: liveHeapName}}
	for {
		w.observe(clock.Now(), processUsage(samples))
		if kernel.Sleep(ctx, usageInterval) != nil {
			return nil
		}
	}
}

func (w *roomWatch) observe(now time.Time, u entryweight.Usage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.meter.Observe(now, u)
	_, present := w.meter.Room()
	w.roomGauge.Update(float64(present))
	w.utilizationGauge.Update(w.meter.Utilization())
}

// processUsage measures what the process uses. The live heap counts in relation to the part of
// the memory that the heap may fill. Figures that cannot be measured are 0.
func processUsage(samples []metrics.Sample) (u entryweight.Usage) {
	var rusage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &rusage) == nil {
		u.CPU = time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
	}
	metrics.Read(samples)
	if v := samples[0].Value; v.Kind() == metrics.KindUint64 {
		u.Memory = int64(v.Uint64()) / heapPercent * 100
	}
	if info, err := os.Stat(descriptorDirectory); err == nil {
		u.Descriptors = int(info.Size())
	}
	return u
}
