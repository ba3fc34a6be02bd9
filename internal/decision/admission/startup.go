package admission

import "time"

const (
	// startupShare is the fraction of a caller's timeout that it may wait for the entry's
	// first configuration: as much as callers accept in a Retry-After header.
	startupShare = 1.0 / 3
	// maxStartupWait is longer than control takes to elect a leader after a restart of all its
	// replicas, 0.6 to 1.1 s, and an entry to get the configuration from it.
	maxStartupWait = 1500 * time.Millisecond
)

// StartupWait returns how long a request may wait at an entry that has no configuration yet
// before it is refused. callerTimeout is how long the caller waits; 0 if unknown.
//
// It handles the restart of a whole deployment, after which all entries are without routes
// for about a second. A refused caller uses up a retry, waits for its Retry-After time and
// returns late, at the same time as all others; a held request goes on as soon as the
// configuration arrives. The wait is bounded so that the caller of an entry that control
// can't reach still has time to try another entry.
func StartupWait(callerTimeout time.Duration) time.Duration {
	if callerTimeout <= 0 {
		return maxStartupWait
	}
	return min(maxStartupWait, time.Duration(startupShare*float64(callerTimeout)))
}
