package admission

import (
	"testing"
	"time"
)

// All VMs come back after a loss of power, and control leads a second later. Requests of
// that second are worth holding, as long as their callers have time left to be answered,
// or to ask another entry.
func TestStartupWaitLeavesTimeForAnAnswer(t *testing.T) {
	for _, c := range []struct{ patience, want time.Duration }{
		{8 * time.Second, 1500 * time.Millisecond},
		{3 * time.Second, time.Second},
		{600 * time.Millisecond, 200 * time.Millisecond},
		{0, 1500 * time.Millisecond},
	} {
		if got := StartupWait(c.patience); got != c.want {
			t.Errorf("a caller that waits %v is held for %v, want %v", c.patience, got, c.want)
		}
	}
}
