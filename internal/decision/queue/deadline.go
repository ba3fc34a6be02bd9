package queue

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// Rates that a single request gets on a busy mixed engine: what latestStart
// reckons with. They are those of internal/enginemodel under interference, so
// that work which starts at its latest start still finishes in time.
const (
	busyPrefillRate  = 3400 // tokens/s
	busyTokenTime    = 60 * time.Millisecond
	quietTokenTime   = 21 * time.Millisecond
	quietPrefillRate = 10000
)

// window is a time in which work must start: at its beginning the busiest engine
// would just meet the deadline, at its end not even an idle one does.
type window struct{ from, to time.Duration }

func (w window) has(now time.Duration) bool { return w.from <= now && now <= w.to }

// windows are those of both deadlines.
func windows(w *decision.Work) (first, whole window) {
	first = window{
		from: w.FirstTokenBy - tokensAt(w, busy(w).PrefillRate),
		to:   w.FirstTokenBy - tokensAt(w, quiet(w).PrefillRate),
	}
	whole = window{
		from: w.FinishBy - serviceTime(w, busy(w)),
		to:   w.FinishBy - serviceTime(w, quiet(w)),
	}
	return first, whole
}

// busyShare is the part of its pace that work gets on a busy engine: that of the
// rates above.
const busyShare = busyPrefillRate / float64(quietPrefillRate)

// quiet is the pace of the work on an idle engine, busy that on a busy one.
func quiet(w *decision.Work) decision.EngineSpeed {
	p := w.EngineSpeed
	if p.PrefillRate <= 0 {
		p.PrefillRate = quietPrefillRate
	}
	if p.TokenTime <= 0 {
		p.TokenTime = quietTokenTime
	}
	return p
}

func busy(w *decision.Work) decision.EngineSpeed {
	p := quiet(w)
	p.PrefillRate *= busyShare
	if w.EngineSpeed.TokenTime <= 0 {
		p.TokenTime = busyTokenTime
		return p
	}
	p.TokenTime = time.Duration(float64(p.TokenTime) / busyShare)
	return p
}

// expiresAt is when the work can't be answered in time any more, even on an
// idle engine. A bulk answer that is late for its first token is still of use;
// nobody waits at the desk for an urgent one any more.
//
// Refused at its deadline, work in front of a full service would get no answer at all: its
// caller has gone by then. refusalTime before it, the caller still hears of it.
func expiresAt(w *decision.Work) time.Duration {
	if w.Resumed {
		return w.FinishBy + neverExpires
	}
	_, whole := windows(w)
	last := whole.to - refusalTime
	if w.Class == declaration.ClassBulk || w.SoftFirstTokenDeadline {
		return last
	}
	return min(last, w.FirstTokenBy)
}

// refusalTime is how long a refusal may take to leave the entry: one tick of 20 ms, by
// which expired work is found, and as much for the turn of a loaded entry; its accept loop
// waited up to 20 ms for one with 0.19 of a core.
const refusalTime = 40 * time.Millisecond

// neverExpires keeps work that was accepted before from being refused for load:
// its caller holds a part of the answer.
const neverExpires = 365 * 24 * time.Hour

func serviceTime(w *decision.Work, p decision.EngineSpeed) time.Duration {
	if w.Kind == declaration.KindPlain {
		return decision.PlainCallTime
	}
	if w.OutputUncertain {
		return tokensAt(w, p.PrefillRate)
	}
	return tokensAt(w, p.PrefillRate) + time.Duration(w.OutputTokens)*p.TokenTime
}

func tokensAt(w *decision.Work, prefillRate float64) time.Duration {
	return time.Duration(float64(w.PromptTokens) / prefillRate * float64(time.Second))
}
