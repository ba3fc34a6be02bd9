package capacity

import (
	"runtime"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("capacity")

// Failed is the type of errors of measurements.
var Failed = Namespace.NewType("failed")

const (
	// runs is how often a time is measured; the least counts.
	runs = 5
	// runTime is how long one run lasts at least: long against the clock's
	// grain of a microsecond.
	runTime = 40 * time.Millisecond
)

// CPUMicros gives the processor time of one call of f in microseconds.
func CPUMicros(f func()) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	f()
	best := 0.0
	for range runs {
		if v := oneRun(f); best == 0 || v < best {
			best = v
		}
	}
	return best
}

func oneRun(f func()) float64 {
	calls := 0
	start := threadTime()
	for threadTime()-start < runTime {
		f()
		calls++
	}
	spent := threadTime() - start
	return float64(spent.Nanoseconds()) / 1e3 / float64(calls)
}

func threadTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		panic("capacity: CLOCK_THREAD_CPUTIME_ID: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// HeapBytes gives how much heap build's result keeps alive.
func HeapBytes(build func() any) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	// Twice: the first collection runs finalizers, the second frees what they held.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
