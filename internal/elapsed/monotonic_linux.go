package elapsed

import (
	"time"

	"golang.org/x/sys/unix"
)

// Monotonic returns the time since boot, including time suspended (CLOCK_BOOTTIME). The
// monotonic clock of package time stops while the machine is suspended.
func Monotonic() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(startTime) // clock not supported; suspensions go undetected
	}
	return time.Duration(now.Nano())
}
