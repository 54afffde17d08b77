//go:build !linux

package elapsed

import "time"

// Monotonic returns the time since the program's start. On these systems the clock of package time
// is used, which may stand still during a suspension of the machine.
func Monotonic() time.Duration { return time.Since(start) }
