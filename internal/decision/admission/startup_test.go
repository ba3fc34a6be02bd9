package admission

import (
	"testing"
	"time"
)

// All VMs restart after a power loss, and control elects a leader a second later. Requests
// that arrive meanwhile are held, but only as long as their callers have time left for an
// answer or for a retry at another entry.
func TestStartupWaitLeavesTimeForAnAnswer(t *testing.T) {
	for _, c := range []struct{ timeout, want time.Duration }{
		{8 * time.Second, 1500 * time.Millisecond},
		{3 * time.Second, time.Second},
		{600 * time.Millisecond, 200 * time.Millisecond},
		{0, 1500 * time.Millisecond},
	} {
		if got := StartupWait(c.timeout); got != c.want {
			t.Errorf("a caller that waits %v is held for %v, want %v", c.timeout, got, c.want)
		}
	}
}
