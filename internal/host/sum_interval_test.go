package host

import (
	"testing"
	"time"
)

// serialAggregator answers the requests of all entries one after the other, each in answerTime.
type serialAggregator struct {
	freeAt     time.Duration
	answerTime time.Duration
}

// answeredAt returns when a request that arrives now is answered.
func (l *serialAggregator) answeredAt(now time.Duration) time.Duration {
	l.freeAt = max(l.freeAt, now) + l.answerTime
	return l.freeAt
}

// Guards against entries that ask so often that the aggregator's link is saturated, and
// against entries that keep using old sums when it is not.
func TestSumIntervalFollowsAggregatorLoad(t *testing.T) {
	const entries, decisionsPerSecond, maxWait = 20, 15, 10 * time.Millisecond
	for _, answerTime := range []time.Duration{300 * time.Microsecond, 3 * time.Millisecond, 6 * time.Millisecond} {
		aggregator := &serialAggregator{answerTime: answerTime}
		intervals, lastAsked := make([]sumInterval, entries), make([]time.Duration, entries)
		var slow, decisions, requests int
		for now := time.Duration(0); now < 20*time.Second; now += time.Second / (entries * decisionsPerSecond) {
			// The entries make their placement decisions in turn.
			i := decisions % entries
			decisions++
			if now-lastAsked[i] < intervals[i].maxAge(sumMaxAge) {
				continue
			}
			requests++
			took := min(sumTimeout, aggregator.answeredAt(now)-now)
			intervals[i].observe(took)
			lastAsked[i] = now
			if now > 5*time.Second && took > maxWait {
				slow++
			}
		}
		t.Logf("%v per answer: %d placement decisions, %d sum requests, %d of them slow", answerTime, decisions, requests, slow)
		if slow*5 > decisions {
			t.Errorf("%v per answer: %d of %d placement decisions wait longer than %v", answerTime, slow, decisions, maxWait)
		}
		if answerTime < time.Millisecond && requests < decisions*9/10 {
			t.Errorf("%v per answer: %d of %d placement decisions ask an idle aggregator", answerTime, requests, decisions)
		}
	}
}
