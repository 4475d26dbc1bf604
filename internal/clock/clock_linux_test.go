package clock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

func kernelBoottime(t *testing.T) time.Duration {
	var now unix.Timespec
	qt.Assert(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &now), qt.IsNil)
	return time.Duration(now.Nano())
}

// TestSuspendedTimeIsCounted guards against a clock that stops while the machine is
// suspended: differences must follow the kernel's clock that counts this time.
func TestSuspendedTimeIsCounted(t *testing.T) {
	earliest := kernelBoottime(t)
	start := Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := Now().Sub(start)
	end := kernelBoottime(t)
	qt.Assert(t, elapsed <= end-earliest, qt.IsTrue)
	qt.Assert(t, elapsed >= 20*time.Millisecond, qt.IsTrue)

	// A suspension shows as a clock of the kernel that is ahead of the one at the start of
	// the process.
	originBoot -= time.Minute
	defer func() { originBoot += time.Minute }()
	qt.Assert(t, Now().Sub(start) >= time.Minute, qt.IsTrue)
	suspended := Suspended()
	qt.Assert(t, suspended > time.Minute-time.Second && suspended <= time.Minute, qt.IsTrue, qt.Commentf("%v", suspended))
}
