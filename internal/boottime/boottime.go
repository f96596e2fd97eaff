// Package boottime reads the clock that includes the time for which the machine or the process was suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Since returns the time since boot, including time spent suspended, or 0 if the clock is not available.
func Since() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without this clock a suspension goes undetected, since the monotonic clock stops
		// meanwhile. Fencing tokens still apply.
		return 0
	}
	return time.Duration(ts.Nano())
}
