package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
)

// tally counts what callers got.
type tally struct {
	scenario *Scenario
	// goodput and offer are values: engine-seconds times the profile's share.
	goodput, offer float64
	// urgentOffered and urgentValue are the urgent part in engine-seconds.
	urgentOffered, urgentGood int
	bulkOffered, bulkGood     int
	bulkLate, urgentLate      int
	refusals                  int
	unfinished                int
	changes                   int
	urgentFirst               *hdrhistogram.Histogram
	// members counts offers and answers in time by member and class.
	members map[memberClass]*memberCount
}

// memberClass names one member's work of one class.
type memberClass struct {
	member string
	class  declaration.Class
}

type memberCount struct{ offered, good int }

func (t *tally) member(w *decision.Work) *memberCount {
	if t.members == nil {
		t.members = make(map[memberClass]*memberCount)
	}
	key := memberClass{w.Member, w.Class}
	c := t.members[key]
	if c == nil {
		c = &memberCount{}
		t.members[key] = c
	}
	return c
}

// engineSeconds is a request's work at the rates of specialised engines.
func engineSeconds(w *decision.Work) float64 {
	rate := enginemodel.Config{}.FullDecodeRate()
	return float64(w.PromptTokens)/enginemodel.DefaultPrefillRate + float64(w.OutputTokens)/rate
}

// value is what a whole answer in time is worth: the work, weighed with the
// share that the operators gave its profile.
func value(w *decision.Work) float64 { return engineSeconds(w) * w.ProfileShare }

func (t *tally) offered(w *decision.Work) {
	t.offer += value(w)
	t.member(w).offered++
	if w.Class == declaration.ClassBulk {
		t.bulkOffered++
	} else {
		t.urgentOffered++
	}
}

func (t *tally) refused(*decision.Work) { t.refusals++ }

// answered takes in a whole answer.
func (t *tally) answered(r *request, at time.Duration) {
	w := &r.work
	good := r.firstAt <= w.FirstTokenBy && at <= w.FinishBy
	if good {
		t.goodput += value(w)
		t.member(w).good++
	}
	if w.Class == declaration.ClassBulk {
		count(good, &t.bulkGood, &t.bulkLate)
		return
	}
	count(good, &t.urgentGood, &t.urgentLate)
	if t.urgentFirst == nil {
		t.urgentFirst = hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	}
	_ = t.urgentFirst.RecordValue((r.firstAt - w.Arrived).Milliseconds()) // within an hour by maxTail
}

func count(good bool, yes, no *int) {
	if good {
		*yes++
	} else {
		*no++
	}
}

func (t *tally) urgentP95() float64 {
	if t.urgentFirst == nil {
		return 0
	}
	return float64(t.urgentFirst.ValueAtQuantile(95)) / 1000
}
