package host

import (
	"testing"
	"time"
)

// busyLink answers questions of several entries one after the other, each in that time.
type busyLink struct {
	free time.Duration
	each time.Duration
}

// answer gives when a question is answered that comes now.
func (l *busyLink) answer(now time.Duration) time.Duration {
	l.free = max(l.free, now) + l.each
	return l.free
}

// Guards against members that ask so often that the aggregator's link is never free, and
// against members that go on using old sums once it is.
func TestMembersAskAsOftenAsTheirAggregatorAnswers(t *testing.T) {
	const members, perSecond, target = 20, 15, 10 * time.Millisecond
	for _, each := range []time.Duration{300 * time.Microsecond, 3 * time.Millisecond, 6 * time.Millisecond} {
		link := &busyLink{each: each}
		paces, asked := make([]askPace, members), make([]time.Duration, members)
		var slow, choices, asks int
		for now := time.Duration(0); now < 20*time.Second; now += time.Second / (members * perSecond) {
			// The members choose in turn.
			i := choices % members
			choices++
			if now-asked[i] < paces[i].freshFor(sumFreshFor) {
				continue
			}
			asks++
			took := min(askFor, link.answer(now)-now)
			paces[i].ended(took)
			asked[i] = now
			if now > 5*time.Second && took > target {
				slow++
			}
		}
		t.Logf("%v an answer: %d choices, %d asked, %d of them late", each, choices, asks, slow)
		if slow*5 > choices {
			t.Errorf("%v an answer: %d of %d choices wait longer than %v", each, slow, choices, target)
		}
		if each < time.Millisecond && asks < choices*9/10 {
			t.Errorf("%v an answer: %d of %d choices ask an idle aggregator", each, asks, choices)
		}
	}
}
