package elapsed

import (
	"time"

	"golang.org/x/sys/unix"
)

// Monotonic returns the time since the machine was started, of which a suspension is a part
// (CLOCK_BOOTTIME): the clock of package time stands still while the machine is suspended.
func Monotonic() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(startTime) // a kernel without that clock; a suspension is not seen
	}
	return time.Duration(now.Nano())
}
