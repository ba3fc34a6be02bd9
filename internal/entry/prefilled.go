package entry

import (
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// prefillDone chooses where a separately prefilled request is decoded.
//
// The choice is made only now, since a prefill can wait in a queue for seconds. By then the
// engine that looked best before may be full or leaving, and a leaving engine must get no new
// work from two seconds after its announcement.
func (r *Reducer) prefillDone(ev PrefillDone) {
	q := r.requests[ev.RequestID]
	if q == nil || q.attempt != ev.Attempt || q.prefill == nil {
		return
	}
	planned, prefiller := q.server, q.prefill
	r.prefillFinished(q)
	r.detach(q)
	q.prefillTokens = 0
	if refusal := r.authorize(q); refusal != nil {
		r.refuse(q, refusal)
		r.dispatchWaiting()
		return
	}
	s := r.chooseDecoder(q, prefiller, planned)
	if s == nil || !r.takeDecodePermit(q, s) {
		r.log(LogWait, q, planned.pb.Id, "prefilled, but no engine can decode it", nil)
		q.deliveries.prefillAccepted = true
		if !r.hasRetry(q) {
			r.outOfRetries(q)
			return
		}
		r.requeue(q)
		r.dispatchWaiting()
		return
	}
	q.server = s
	r.decisions.picker.RecordCached(r.now, s.pb.Id, &q.work)
	s.running = append(s.running, q.work.RequestID)
	s.sends.add(r.now)
	r.markSent(s)
	r.emit(DecodeAt{
		RequestID: ev.RequestID, Attempt: ev.Attempt,
		Server: s.pb.Id, Incarnation: s.pb.Incarnation, Address: s.pb.Address, Version: s.pb.SoftwareVersion,
		Member: q.work.Member, Rank: q.work.Rank,
	})
	r.log(LogRoute, q, s.pb.Id, "decode after separate prefill", append([]decision.Figure{
		{Name: "reported_running", Value: float64(s.load.Running)},
		{Name: "reported_waiting", Value: float64(s.load.Queued)},
	}, r.limitFigures(s)...))
	r.dispatchWaiting()
}

// chooseDecoder returns the engine that is best for decoding now. If none has capacity, it
// returns the planned one if that still takes work, else nil. The engine that holds the KV cache runs
// the same software.
func (r *Reducer) chooseDecoder(q *request, prefiller, planned *server) *server {
	w := q.work
	w.SoftwareVersion = &prefiller.pb.SoftwareVersion
	w.KVTokens = max(1, w.PromptTokens)
	fleet := r.fleet(q)
	if choice, ok := r.decisions.picker.Pick(r.now, &w, &fleet); ok {
		return r.servers.byID[choice.Server.ID]
	}
	if slices.Contains(r.servers.sorted, planned) && r.canTake(q, planned) {
		return planned
	}
	return nil
}
