//go:build !linux

package elapsed

import "time"

// Monotonic returns the time since program start according to package time, which may not
// include time suspended.
func Monotonic() time.Duration { return time.Since(startTime) }
