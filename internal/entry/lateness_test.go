package entry

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// Guards against streams that fall silent since their entry took more than its processor can carry: new
// requests are refused as not run while it is late, and those that others resume here are taken.
func TestLateEntryRefusesNewRequests(t *testing.T) {
	w := newHarness(t)
	w.view(serving(4)...)
	for i := range 8 {
		w.arrive(fmt.Sprint("running-", i))
	}
	for range 3 {
		w.advance(time.Second / 2)
		w.renew()
		w.step(Tick{Late: time.Second / 4})
	}
	w.arrive("late")
	if r := w.singleRefusal(); r.Code != outcome.CodeOverloaded || r.Outcome != outcome.NotRun || r.RetryAfter == 0 {
		t.Fatalf("refusal %+v", r)
	}
	resumed := w.arrival("resumed", "hotels")
	resumed.Work.Resumed, resumed.Attempt = true, 1
	w.step(resumed)
	if list := effectsOf[Refuse](w.effects); len(list) != 0 {
		t.Fatalf("a resumed request was refused: %+v", list[0].Refusal)
	}
	w.step(Tick{})
	w.arrive("on-time")
	if list := effectsOf[Refuse](w.effects); len(list) != 0 {
		t.Fatalf("refused though the entry is on time again: %+v", list[0].Refusal)
	}
}
