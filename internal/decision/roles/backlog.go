package roles

import "time"

// maxQueueWait is the wait above which queued work counts as lost by a split. A swing of the mix
// that a shorter backlog bridges costs nothing, because bulk work may wait for minutes: in both
// deployments five until its first token, of which admission lets the queue fill some three. The
// bound is 10 s and not minutes, because the role changes come one after the other and need the
// rest of that time. docs/design/roles.md has the measurement.
const maxQueueWait = 10 * time.Second

// backlog is the work that would be waiting with a split, in engine-seconds.
type backlog struct{ prefill, decode float64 }

// advance adds the work offered in an interval and subtracts what the split serves in it, prefill
// and decode in proportion. It returns the work lost: what exceeds a wait of maxQueueWait.
func (b *backlog) advance(s Split, offered Demand, mixedEfficiency float64, interval time.Duration) float64 {
	seconds := interval.Seconds()
	demand := Demand{b.prefill/seconds + offered.Prefill, b.decode/seconds + offered.Decode}
	if demand.Total() <= 0 {
		return 0
	}
	left := max(0, 1-servableFactor(s, demand, mixedEfficiency)) * seconds
	waiting := left * demand.Total()
	lost := max(0, waiting-maxQueueWait.Seconds()*float64(s.Size()))
	if waiting > 0 {
		left *= 1 - lost/waiting
	}
	*b = backlog{left * demand.Prefill, left * demand.Decode}
	return lost
}
