package roles

import "time"

// patience is how long work may wait before it counts as lost to a split. Bulk
// work may wait for minutes (both deployments: five to its first token, of which
// admission lets some three fill), so a swing that a backlog bridges costs
// nothing; a minute leaves the rest for the changes themselves, which come one
// after the other. docs/design/roles.md has the measurement.
const patience = 10 * time.Second

// backlog is the work that would wait at a split, in engine-seconds.
type backlog struct{ prefill, decode float64 }

// step lets offered work come in and the split work for the interval, prefill
// and decode in proportion, and gives what was lost: what is left beyond the
// patience.
func (b *backlog) step(s Split, offered Demand, mixed float64, interval time.Duration) float64 {
	secs := interval.Seconds()
	due := Demand{b.prefill/secs + offered.Prefill, b.decode/secs + offered.Decode}
	if due.Total() <= 0 {
		return 0
	}
	left := max(0, 1-reach(s, due, mixed)) * secs
	waiting := left * due.Total()
	lost := max(0, waiting-patience.Seconds()*float64(s.Size()))
	if waiting > 0 {
		left *= 1 - lost/waiting
	}
	*b = backlog{left * due.Prefill, left * due.Decode}
	return lost
}
