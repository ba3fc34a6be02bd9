package admission

import "time"

const (
	// startupShare is the part of a caller's time that it may wait for the entry's first
	// configuration: as much of it as callers honour in a Retry-After.
	startupShare = 1.0 / 3
	// maxStartupWait is longer than control takes to lead again after a restart of all
	// its replicas, 0.6 to 1.1 s by their logs, and an entry to hear of it.
	maxStartupWait = 1500 * time.Millisecond
)

// StartupWait is how long a request may wait at an entry that has no configuration yet
// before it is refused; patience is how long its caller waits, 0: not told.
//
// It answers the restart of a whole deployment: for a second all callers reach entries
// that know no route. Refused, each of them uses up a retry, stays away for its
// Retry-After and comes back late and all at once; here it goes on in the moment in which
// the configuration comes. The wait is bounded, so that a
// caller of an entry that control can't reach is told while it can still ask another.
func StartupWait(patience time.Duration) time.Duration {
	if patience <= 0 {
		return maxStartupWait
	}
	return min(maxStartupWait, time.Duration(startupShare*float64(patience)))
}
