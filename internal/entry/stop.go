package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// StopPlan bounds what an entry that stops as planned still accepts, sends to servers and passes on to other entries.
// The zero plan is that of an entry that does not stop.
type StopPlan struct {
	stopping bool
	// begunAt is when the stop began. All times are since boot.
	begunAt time.Duration
	// acceptUntil is until when requests are accepted, and until when one that may outlast the entry is sent to a server.
	acceptUntil time.Duration
	// shortOnlyFrom is from when on only requests are accepted that end before the entry does.
	shortOnlyFrom time.Duration
	// endsAt is when the entry ends what still runs; 0 if it waits for that.
	endsAt time.Duration
}

// outlasts reports whether a request that may last until then may outlast the entry. Zero stands for a request without
// a hard deadline.
func (p *StopPlan) outlasts(until time.Duration) bool { return p.endsAt > 0 && until > p.endsAt }

// Refuses reports whether an arriving request is refused that may last until then. One that another entry has
// passed on is refused earlier: that entry can ask a third one at once.
//
// If a long request arrives 3.7 s after the stop began, it would be aborted 3.9 s later in the middle of its stream,
// when the entry has to end. Its caller is refused at once instead and has all of its time left for another entry.
// Before shortOnlyFrom nearly all requests still have enough time, and callers have not learned of other addresses yet.
func (p *StopPlan) Refuses(now, until time.Duration, forwarded bool) bool {
	if !p.stopping {
		return false
	}
	return now >= p.acceptUntil || p.outlasts(until) && (forwarded || now >= p.shortOnlyFrom)
}

// MaySend reports whether an accepted request that may last until then may still be sent to a server, or passed
// on to another entry.
func (p *StopPlan) MaySend(now, until time.Duration) bool {
	return !p.stopping || now < p.acceptUntil || !p.outlasts(until)
}

// ended reports whether the entry ends what still runs.
func (p *StopPlan) ended(now time.Duration) bool {
	return p.stopping && p.endsAt > 0 && now >= p.endsAt
}

// Progress returns how long the stop has lasted, and how long it is until the entry ends what still runs, negative after
// that. ok is false for an entry that does not stop.
func (p *StopPlan) Progress(now time.Duration) (since, left time.Duration, ok bool) {
	return now - p.begunAt, p.endsAt - now, p.stopping
}

// beginStop keeps the entry open for callers that resolved its address earlier.
func (r *Reducer) beginStop(ev Stop) {
	if r.stop.stopping {
		return
	}
	r.dirty = true
	r.stop = StopPlan{stopping: true, begunAt: r.now, acceptUntil: r.now + ev.AcceptFor, shortOnlyFrom: r.now + ev.ShortOnlyAfter}
	if ev.EndsAfter > 0 {
		r.stop.endsAt = r.now + ev.EndsAfter
	}
}

// lastsUntil returns until when the request may last; 0 without a hard deadline.
func (q *request) lastsUntil() time.Duration {
	if !q.hardDeadline {
		return 0
	}
	return q.work.FinishBy
}

// tooLateToSend reports whether the request must not be sent to a server any more, since the entry may end before its answer. A
// stream that its caller has begun to read goes on: refused, it would be cut at once.
func (r *Reducer) tooLateToSend(q *request) bool {
	return q.earlierTokens == 0 && !r.stop.MaySend(r.now, q.lastsUntil())
}

// refuseAtStop refuses what waits for a server and must not be sent any more, and all that waits once the entry ends.
func (r *Reducer) refuseAtStop() {
	if !r.stop.stopping || r.now < r.stop.acceptUntil {
		return
	}
	ended := r.stop.ended(r.now)
	for _, id := range sortedKeys(r.requests) {
		q := r.requests[id]
		if !q.hardDeadline || q.server != nil {
			continue
		}
		if ended || q.pendingEnd == nil && r.tooLateToSend(q) {
			r.refuse(q, outcome.Leaving(outcomeOf(q)))
		}
	}
}
