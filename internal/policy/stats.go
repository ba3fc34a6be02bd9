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

func (s *runStats) member(w *decision.Work) *memberCount {
	if s.members == nil {
		s.members = make(map[memberClass]*memberCount)
	}
	key := memberClass{w.Member, w.Class}
	c := s.members[key]
	if c == nil {
		c = &memberCount{}
		s.members[key] = c
	}
	return c
}

// engineSeconds returns the time that a request takes on engines of the matching role.
func engineSeconds(w *decision.Work) float64 {
	rate := enginemodel.Config{}.FullDecodeRate()
	return float64(w.PromptTokens)/enginemodel.DefaultPrefillRate + float64(w.OutputTokens)/rate
}

// goodputValue returns the value of a complete answer in time: the request's engine-seconds times
// the share that operators gave its profile.
func goodputValue(w *decision.Work) float64 { return engineSeconds(w) * w.ProfileShare }

func (s *runStats) recordOffered(w *decision.Work) {
	s.offeredValue += goodputValue(w)
	s.member(w).offered++
	if w.Class == declaration.ClassBulk {
		s.bulkOffered++
	} else {
		s.urgentOffered++
	}
}

func (s *runStats) recordRefused(*decision.Work) { s.refusals++ }

// recordAnswered counts a complete answer.
func (s *runStats) recordAnswered(r *simRequest, at time.Duration) {
	w := &r.work
	inTime := r.firstTokenAt <= w.FirstTokenBy && at <= w.FinishBy
	if inTime {
		s.goodputValue += goodputValue(w)
		s.member(w).inTime++
	}
	if w.Class == declaration.ClassBulk {
		increment(inTime, &s.bulkInTime, &s.bulkLate)
		return
	}
	increment(inTime, &s.urgentInTime, &s.urgentLate)
	if s.urgentFirstTokenMS == nil {
		s.urgentFirstTokenMS = hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	}
	_ = s.urgentFirstTokenMS.RecordValue((r.firstTokenAt - w.Arrived).Milliseconds()) // maxTail keeps it within an hour
}

func increment(condition bool, yes, no *int) {
	if condition {
		*yes++
	} else {
		*no++
	}
}

func (s *runStats) urgentP95() float64 {
	if s.urgentFirstTokenMS == nil {
		return 0
	}
	return float64(s.urgentFirstTokenMS.ValueAtQuantile(95)) / 1000
}
