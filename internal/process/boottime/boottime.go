// Package boottime reads the clock of the time since the machine's boot. Unlike the monotonic clock of package time it also
// counts the time for which the machine was suspended, so that a permission with an end does not outlive a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// started is the process's start on the monotonic clock.
var started = time.Now()

// Now returns the current time on the boot-time clock, as the time since an arbitrary moment in 1970. It has no relation to the
// time of day, and only its differences have a meaning.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Kernels before 2.6.39 have no such clock.
		return time.Unix(0, 0).Add(time.Since(started))
	}
	return time.Unix(t.Unix())
}
