package entry

import (
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// prefilled chooses where a prefilled request decodes.
//
// The choice comes only now, since a prefill waits its turn for up to seconds:
// the engine that looked best before may be full by then, or leave, and one that
// leaves must get no new work two seconds after it has said so.
func (r *Reducer) prefilled(ev PrefillDone) {
	q := r.requests[ev.RequestID]
	if q == nil || q.attempt != ev.Attempt || q.prefill == nil {
		return
	}
	planned := q.server
	r.hasRead(q)
	r.detach(q)
	q.unread = 0
	if refusal := r.authorize(q); refusal != nil {
		r.refuse(q, refusal)
		r.startWaiting()
		return
	}
	s := r.decoder(q, planned)
	if s == nil || !r.passDecode(q, s) {
		r.log(LogWait, q, planned.pb.Id, "prefilled, but no engine decodes it", nil)
		q.arrivals.read = true
		if !r.takeRepeat(q) {
			r.refuse(q, refuseRepeats())
			return
		}
		r.waitAgain(q)
		r.startWaiting()
		return
	}
	q.server = s
	r.decide.picker.RecordCached(r.now, s.pb.Id, &q.work)
	s.running = append(s.running, q.work.RequestID)
	s.sends.add(r.now)
	r.noteSent(s)
	r.emit(DecodeAt{
		RequestID: ev.RequestID, Attempt: ev.Attempt,
		Server: s.pb.Id, Incarnation: s.pb.Incarnation, Address: s.pb.Address,
		Member: q.work.Member, Rank: q.work.Rank,
	})
	r.log(LogRoute, q, s.pb.Id, "decodes what was prefilled", append([]decision.Figure{
		{Name: "reported_running", Value: float64(s.load.Running)},
		{Name: "reported_waiting", Value: float64(s.load.Queued)},
	}, r.limitFigures(s)...))
	r.startWaiting()
}

// decoder gives the engine that decodes best now, the planned one if none has room
// but it still takes work, nil for none.
func (r *Reducer) decoder(q *request, planned *server) *server {
	w := q.work
	w.KVTokens = max(1, w.PromptTokens)
	fleet := r.fleet(q)
	if choice, ok := r.decide.picker.Pick(r.now, &w, &fleet); ok {
		return r.servers.byID[choice.Server.ID]
	}
	if slices.Contains(r.servers.sorted, planned) && r.mayTake(q, planned) {
		return planned
	}
	return nil
}
