package admission

import "time"

const (
	// latenessSamples is how many timer events in a row have to be late. A process that stood still
	// for a while has one.
	latenessSamples = 3
	// maxLateness is how late they may be. A piece of an answer waits as long to be read and again to
	// be written, and pauses of over a quarter of a second are noticed.
	maxLateness = 100 * time.Millisecond
	// leastRequests is how many requests an entry takes however late it is: if others use up the
	// processor, it would otherwise take none.
	leastRequests = 4
)

// Lateness tells from the timer events of an entry whether it lacks processor time for the work that it
// has.
//
// It answers loads under which the entry is the bottleneck and not the servers: small requests or long
// streams at a high rate on a small VM, or a VM that is busy otherwise. By the servers' loads all of it
// would be admitted, streams would fall silent, and their callers would resume them at other entries,
// which adds to the load that made them silent.
type Lateness struct {
	recent [latenessSamples]time.Duration
	next   int
}

// Observe records how late a timer event came.
func (l *Lateness) Observe(late time.Duration) {
	l.recent[l.next] = late
	l.next = (l.next + 1) % latenessSamples
}

// Least returns the least lateness of the recent timer events.
func (l *Lateness) Least() time.Duration {
	least := l.recent[0]
	for _, late := range l.recent {
		least = min(least, late)
	}
	return least
}

// Refuses reports whether an entry with that many requests takes no new one.
func (l *Lateness) Refuses(requests int) bool {
	return requests >= leastRequests && l.Least() > maxLateness
}
