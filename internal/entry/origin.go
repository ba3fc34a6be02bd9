package entry

import (
	"net/http"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// origin describes the server as the place where an answer begins.
func (s *server) origin() decision.Origin {
	return decision.Origin{Pool: roleOf(s.pb).pool, Version: s.pb.SoftwareVersion, Incarnation: s.pb.Incarnation}
}

// begin binds an answer that may go on elsewhere to the server that sent its first event.
func (q *request) begin() {
	if q.retry == RetryResuming && q.work.Origin == nil && q.server != nil {
		from := q.server.origin()
		q.work.Origin = &from
	}
}

// mayGoOn reports whether the server may go on with the request's answer, if that has begun.
func (r *Reducer) mayGoOn(q *request, s *server) bool {
	if q.work.Origin == nil {
		return true
	}
	d := r.decisionServer(s, true)
	return q.work.Origin.Allows(&d)
}

// originGone reports whether no server is left that could go on with the request's answer, or all that could are
// leaving while others of their pool stay: those run another build, and no more of this one will come.
func (r *Reducer) originGone(q *request) bool {
	if q.work.Origin == nil {
		return false
	}
	fits, othersStay := false, false
	for _, s := range r.servers.sorted {
		if !s.mayServe() {
			continue
		}
		d, leaving := r.decisionServer(s, true), s.pb.State == pb.ServerState_SERVER_STATE_LEAVING
		switch {
		case d.Serves(&q.work) && !leaving:
			return false
		case d.Serves(&q.work):
			fits = true
		case !leaving && s.origin().Pool == q.work.Origin.Pool:
			othersStay = true
		}
	}
	return !fits || othersStay
}

// refuseNoCandidate refuses a request that no server could run, or go on with.
func refuseNoCandidate(q *request) *outcome.Refusal {
	if q.work.Origin != nil {
		return refuseOriginGone()
	}
	return refuseNoServer()
}

// refuseOriginGone sets no retry delay: the rest of the answer can't be had any more.
func refuseOriginGone() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: outcome.CodeOriginGone,
		Message: "no backend server runs the software any more that began this answer; begin anew",
	}
}

// refuseStranded refuses waiting requests whose answers no server can go on with. Their callers begin
// anew instead of waiting until their time has passed.
func (r *Reducer) refuseStranded() {
	if r.stale() {
		return
	}
	stranded := make(map[string]*request)
	for id, q := range r.requests {
		if q.server == nil && q.pendingEnd == nil && r.originGone(q) {
			stranded[id] = q
		}
	}
	for _, id := range sortedKeys(stranded) {
		r.refuse(stranded[id], refuseOriginGone())
	}
}
