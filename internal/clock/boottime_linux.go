package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine was booted, including the time for which
// it was suspended. It falls back to the runtime's clock on kernels without
// CLOCK_BOOTTIME.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(origin)
	}
	return time.Duration(t.Nano())
}
