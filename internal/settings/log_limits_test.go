package settings

import "testing"

// Guards against bounds of the log that together with their copies exceed the VM's memory or disk, or
// that leave no room for any declaration.
func TestLogLimitsFitTheMachine(t *testing.T) {
	for _, c := range []struct {
		memoryMB, diskMB      int
		snapshot, declaration int
		runtimeMB             int
	}{
		{0, 0, 8 << 20, 4 << 20, 0},
		{280, 128, 8 << 20, 4 << 20, 232},
		{280, 0, 280 << 15, 140 << 15, 228},
		{64, 1 << 20, 2 << 20, 1 << 20, 52},
		{8, 8, 1 << 20, 1 << 19, 2},
		{1 << 20, 1 << 20, 16 << 20, 8 << 20, 1<<20 - 96},
	} {
		s := &Control{Common: Common{MemoryMB: c.memoryMB}, DiskMB: c.diskMB}
		l := s.LogLimits()
		if l.Snapshot != c.snapshot || l.Declaration != c.declaration || s.RuntimeMB() != c.runtimeMB {
			t.Errorf("%d MB of memory, %d MB of disk: %+v, %d MB for the runtime", c.memoryMB, c.diskMB, l, s.RuntimeMB())
		}
		if l.Trailing >= l.Snapshot || l.Declaration > l.Uncommitted {
			t.Errorf("%+v", l)
		}
	}
}
