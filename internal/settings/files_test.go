package settings

import "testing"

// Guards against limits on connections that count on descriptors which the process does not have.
func TestLowerLimitOfDescriptorsHolds(t *testing.T) {
	for _, c := range []struct{ maxFiles, limit, want int }{
		{4100, 0, 2050}, {4100, 20000, 2050}, {4100, 1000, 500}, {0, 1000, 500}, {0, 0, 0},
	} {
		if got := shareOf(c.maxFiles, c.limit, callerConnectionShare); got != c.want {
			t.Errorf("max_files %d, started with %d: %d connections, want %d", c.maxFiles, c.limit, got, c.want)
		}
	}
}
