package entry

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// probationTokens is how far a suspect must get beyond the place of its
	// death to count as innocent of it.
	probationTokens = 32
	// apartFor is how long a suspect waits for a server of its own, and others
	// wait for servers without a suspect, before they share one.
	apartFor = 2 * time.Second
	// maxSuspects bounds the table; the oldest goes first.
	maxSuspects = 4096
)

// suspect is a request that ran on a server when it died.
type suspect struct {
	deaths int
	// offset is how many tokens it had at its last death.
	offset int
	at     time.Duration
	// cleared is set once it got beyond the place of its death.
	cleared bool
}

// suspectTable keeps requests that may crash servers.
//
// Now and then one request crashes each server that runs it. It shows as
// servers dying one after the other with the same request on each. After the
// first death all that ran there are suspects and are resumed apart from each
// other, so that the next death names the guilty one; after QuarantineDeaths it
// gets its final answer. Fingerprints are per member: no member can quarantine
// another's request.
type suspectTable struct {
	byKey map[quarantineKey]*suspect
	// order holds the keys by time of their first death.
	order []quarantineKey
}

func newSuspectTable() suspectTable {
	return suspectTable{byKey: make(map[quarantineKey]*suspect)}
}

func (t *suspectTable) expire(now time.Duration) {
	for len(t.order) > 0 {
		s := t.byKey[t.order[0]]
		if s != nil && now-s.at < declaration.DefaultQuarantineTime && len(t.order) <= maxSuspects {
			return
		}
		delete(t.byKey, t.order[0])
		t.order = t.order[1:]
	}
}

func (t *suspectTable) died(q *request, now time.Duration) {
	s := t.byKey[q.key()]
	if s == nil {
		s = &suspect{}
		t.byKey[q.key()] = s
		t.order = append(t.order, q.key())
	}
	s.deaths++
	s.offset, s.at, s.cleared = q.done+q.got, now, false
}

// progressed gives true when a suspect has just got beyond its death's place.
func (t *suspectTable) progressed(q *request) bool {
	s := t.byKey[q.key()]
	if s == nil || s.cleared || q.done+q.got < s.offset+probationTokens {
		return false
	}
	s.cleared = true
	return true
}

func (t *suspectTable) cleared(q *request) {
	if s := t.byKey[q.key()]; s != nil {
		delete(t.byKey, q.key())
		t.order = slices.DeleteFunc(t.order, func(k quarantineKey) bool { return k == q.key() })
	}
}

// onProbation tells whether the request is a suspect that is not cleared.
func (t *suspectTable) onProbation(q *request) bool {
	s := t.byKey[q.key()]
	return s != nil && !s.cleared
}

// apart tells whether the request may go to the server as far as suspects are
// concerned: never two suspects on one server; a suspect and others on one
// server only after apartFor.
func (t *suspectTable) apart(r *Reducer, q *request, s *server) bool {
	if len(t.byKey) == 0 {
		return true
	}
	patient := r.now-q.waitsSince < apartFor
	mine := t.onProbation(q)
	if mine && patient && len(s.running) > 0 {
		return false
	}
	for _, id := range s.running {
		other := t.onProbation(r.requests[id])
		if other && (mine || patient) {
			return false
		}
	}
	return true
}

// quarantined tells whether the request gets no more runs.
func (r *Reducer) quarantined(q *request) bool {
	if r.view.quarantine[q.key()] {
		return true
	}
	s := r.suspects.byKey[q.key()]
	return s != nil && s.deaths >= r.quarantineDeaths()
}

func (r *Reducer) quarantineDeaths() int {
	if d := r.view.declaration; d != nil && d.Limits.QuarantineDeaths > 0 {
		return d.Limits.QuarantineDeaths
	}
	return declaration.DefaultQuarantineDeaths
}

// serverDied counts one death of one life of a server and names the suspects:
// all that this entry had there, but for a request that was not started.
func (r *Reducer) serverDied(s *server, q *request, ev AttemptEnded) {
	s.fail(r.now)
	if s.died {
		return
	}
	s.died = true
	death := &pb.ServerDeath{Server: s.pb.Id, Incarnation: s.pb.Incarnation}
	for _, id := range s.running {
		other := r.requests[id]
		if other == q && ev.Outcome == outcome.NotRun {
			continue
		}
		death.Suspects = append(death.Suspects, r.accuse(other)...)
	}
	r.report.death(death)
	r.logServer(s, "died")
}

// accuse gives the request as a suspect. One that had got well beyond the
// place of an earlier death was not what killed that server, and starts anew.
func (r *Reducer) accuse(q *request) []*pb.Quarantine {
	if s := r.suspects.byKey[q.key()]; s != nil && s.cleared && s.deaths < 2 {
		s.deaths = 0
		r.suspects.died(q, r.now)
		return nil
	}
	r.suspects.died(q, r.now)
	return []*pb.Quarantine{{Member: q.work.Member, Fingerprint: q.fingerprint}}
}
