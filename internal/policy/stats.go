package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
)

// runStats counts the results of one run.
type runStats struct {
	scenario *Scenario
	// goodputValue and offeredValue are in engine-seconds times the profile's share.
	goodputValue, offeredValue float64
	// Numbers of urgent and of bulk requests that were offered and that were answered in time.
	urgentOffered, urgentInTime int
	bulkOffered, bulkInTime     int
	bulkLate, urgentLate        int
	refusals                    int
	unfinished                  int
	changes                     int
	urgentFirstTokenMS          *hdrhistogram.Histogram
	// members counts offered requests and those answered in time, by member and class.
	members map[memberClass]*memberCount
}

// memberClass identifies one member's work of one class.
type memberClass struct {
	member string
	class  declaration.Class
}

type memberCount struct{ offered, inTime int }

func (t *runStats) member(w *decision.Work) *memberCount {
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

// engineSeconds is the time that a request takes on engines of the matching role.
func engineSeconds(w *decision.Work) float64 {
	rate := enginemodel.Config{}.FullDecodeRate()
	return float64(w.PromptTokens)/enginemodel.DefaultPrefillRate + float64(w.OutputTokens)/rate
}

// goodputValue is the value of a complete answer in time: the request's engine-seconds times the
// share that operators gave its profile.
func goodputValue(w *decision.Work) float64 { return engineSeconds(w) * w.ProfileShare }

func (t *runStats) recordOffered(w *decision.Work) {
	t.offeredValue += goodputValue(w)
	t.member(w).offered++
	if w.Class == declaration.ClassBulk {
		t.bulkOffered++
	} else {
		t.urgentOffered++
	}
}

func (t *runStats) recordRefused(*decision.Work) { t.refusals++ }

// recordAnswered counts a complete answer.
func (t *runStats) recordAnswered(r *simRequest, at time.Duration) {
	w := &r.work
	inTime := r.firstTokenAt <= w.FirstTokenBy && at <= w.FinishBy
	if inTime {
		t.goodputValue += goodputValue(w)
		t.member(w).inTime++
	}
	if w.Class == declaration.ClassBulk {
		increment(inTime, &t.bulkInTime, &t.bulkLate)
		return
	}
	increment(inTime, &t.urgentInTime, &t.urgentLate)
	if t.urgentFirstTokenMS == nil {
		t.urgentFirstTokenMS = hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	}
	_ = t.urgentFirstTokenMS.RecordValue((r.firstTokenAt - w.Arrived).Milliseconds()) // maxTail keeps it within an hour
}

func increment(condition bool, yes, no *int) {
	if condition {
		*yes++
	} else {
		*no++
	}
}

func (t *runStats) urgentP95() float64 {
	if t.urgentFirstTokenMS == nil {
		return 0
	}
	return float64(t.urgentFirstTokenMS.ValueAtQuantile(95)) / 1000
}
