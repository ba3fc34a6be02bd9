// Package clock reads the clocks that the processes use.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot is the time since the VM booted, time spent suspended included.
//
// Leases are measured with it. Go's monotonic clock (CLOCK_MONOTONIC) stands
// still while a VM is suspended: a leader that was suspended for a minute would
// believe in its lease after it resumed. CLOCK_BOOTTIME goes on counting.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call can't fail on Linux 2.6.39 and later; a process that can't
		// read it must not hold a lease.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
