package queue

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// Rates that one request gets on a busy and on an idle mixed engine. The busy ones are those
// of internal/enginemodel with prefill and decode interfering, so that a request that starts
// at its latest start still finishes in time.
const (
	busyPrefillRate = 3400 // tokens/s
	busyTokenTime   = 60 * time.Millisecond
	idleTokenTime   = 21 * time.Millisecond
	idlePrefillRate = 10000
)

// startWindow is the time in which a request must start: at its beginning the busiest engine
// just meets the deadline, after its end not even an idle one does.
type startWindow struct{ from, to time.Duration }

func (w startWindow) contains(now time.Duration) bool { return w.from <= now && now <= w.to }

// startWindows returns the windows for the first-token and the finish deadline.
func startWindows(w *decision.Work) (firstToken, finish startWindow) {
	firstToken = startWindow{
		from: w.FirstTokenBy - prefillTime(w, busySpeed(w).PrefillRate),
		to:   w.FirstTokenBy - prefillTime(w, idleSpeed(w).PrefillRate),
	}
	finish = startWindow{
		from: w.FinishBy - serviceTime(w, busySpeed(w)),
		to:   w.FinishBy - serviceTime(w, idleSpeed(w)),
	}
	return firstToken, finish
}

// busyShare is the fraction of its speed that a request gets on a busy engine, by the rates
// above.
const busyShare = busyPrefillRate / float64(idlePrefillRate)

// idleSpeed returns the speed of an idle engine for the request, busySpeed that of a busy
// one.
func idleSpeed(w *decision.Work) decision.EngineSpeed {
	speed := w.EngineSpeed
	if speed.PrefillRate <= 0 {
		speed.PrefillRate = idlePrefillRate
	}
	if speed.TokenTime <= 0 {
		speed.TokenTime = idleTokenTime
	}
	return speed
}

func busySpeed(w *decision.Work) decision.EngineSpeed {
	speed := idleSpeed(w)
	speed.PrefillRate *= busyShare
	if w.EngineSpeed.TokenTime <= 0 {
		speed.TokenTime = busyTokenTime
		return speed
	}
	speed.TokenTime = time.Duration(float64(speed.TokenTime) / busyShare)
	return speed
}

// expiresAt returns when the request can't be answered in time any more, even on an idle
// engine. A bulk answer whose first token is late is still useful; an urgent one is not.
//
// A request that is refused only at its deadline gets no answer at all, since its caller has
// gone by then. So it expires refusalMargin earlier.
func expiresAt(w *decision.Work) time.Duration {
	if w.Resumed {
		return w.FinishBy + resumedGrace
	}
	_, finish := startWindows(w)
	latest := finish.to - refusalMargin
	if w.Class == declaration.ClassBulk || w.SoftFirstTokenDeadline {
		return latest
	}
	return min(latest, w.FirstTokenBy)
}

// refusalMargin is how long a refusal may take to leave the entry: one tick of 20 ms, in
// which expired requests are found, and 20 ms for the scheduling delay of a loaded entry. An
// accept loop that gets 0.19 of a core waits up to 20 ms to be scheduled.
const refusalMargin = 40 * time.Millisecond

// resumedGrace keeps a request that was accepted before from expiring: its caller has
// received a part of the answer.
const resumedGrace = 365 * 24 * time.Hour

func serviceTime(w *decision.Work, speed decision.EngineSpeed) time.Duration {
	if w.Kind == declaration.KindPlain {
		return decision.PlainCallTime
	}
	if w.OutputUncertain {
		return prefillTime(w, speed.PrefillRate)
	}
	return prefillTime(w, speed.PrefillRate) + time.Duration(w.OutputTokens)*speed.TokenTime
}

func prefillTime(w *decision.Work, prefillRate float64) time.Duration {
	return time.Duration(float64(w.PromptTokens) / prefillRate * float64(time.Second))
}
