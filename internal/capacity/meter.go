package capacity

import (
	"runtime"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("capacity")

// Failed is the type of errors of failed measurements.
var Failed = Namespace.NewType("failed")

const (
	// runCount is how often a time is measured; the minimum counts.
	runCount = 5
	// minRunTime is the minimum duration of one run: long compared with the clock's
	// resolution of a microsecond.
	minRunTime = 40 * time.Millisecond
)

// CPUMicros returns the processor time of one call of f in microseconds.
func CPUMicros(f func()) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	f()
	least := 0.0
	for range runCount {
		if v := measureRun(f); least == 0 || v < least {
			least = v
		}
	}
	return least
}

func measureRun(f func()) float64 {
	calls := 0
	start := threadTime()
	for threadTime()-start < minRunTime {
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

// HeapBytes returns how many bytes of heap the result of build keeps reachable.
func HeapBytes(build func() any) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	// The first collection queues finalizers, the second frees the objects that these
	// kept reachable.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
