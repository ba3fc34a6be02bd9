// Package clock provides the clock with which processes measure time.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM booted, including time spent suspended.
//
// Leases are measured with it. Go's monotonic clock (CLOCK_MONOTONIC) stops while
// a VM is suspended, so that a leader that was suspended for a minute would take
// its expired lease for valid. CLOCK_BOOTTIME keeps counting.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call can't fail on Linux 2.6.39 and later. A process that can't
		// read the clock must not hold a lease.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
