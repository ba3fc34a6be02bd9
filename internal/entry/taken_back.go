package entry

import (
	"strconv"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/incarnation"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// aliveProofDelay is how long after a crash an answer of the same incarnation shows that there
	// was none: one from before the crash has arrived by then.
	aliveProofDelay = 300 * time.Millisecond
	// restartTime is the least time in which a server that has crashed is back.
	restartTime = time.Second
)

// serverLives takes back what was charged for a server that was only cut off from this entry.
func (r *Reducer) serverLives(s *server, answeredAfter time.Duration) {
	if s.diedAt == 0 || answeredAfter < s.diedAt+aliveProofDelay {
		return
	}
	if s.mayHaveRestarted(answeredAfter) {
		s.nextLife = true
		return
	}
	s.diedAt = 0
	r.suspects.takeBackCrash(s.deathKey())
	r.tellAlive(&pb.ServerDeath{Server: s.pb.Id, Incarnation: s.deathIncarnation()})
	r.logServer(s, "lives: it was only cut off")
}

// mayHaveRestarted reports whether an answer may be that of a later incarnation than the one that crashed.
//
// Failure: an engine that starts again keeps its name, and its answers contain no start time. Until its first
// report is known, its answer to a probe would take back the crash, and end the quarantine of the request
// that caused it.
func (s *server) mayHaveRestarted(answeredAfter time.Duration) bool {
	return incarnation.Name(s.pb.Incarnation) != s.pb.Incarnation && answeredAfter >= s.diedAt+restartTime
}

// deathIncarnation identifies the life that ends next: of those that control does not know yet, each is
// numbered.
func (s *server) deathIncarnation() string {
	if s.lives == 0 {
		return s.pb.Incarnation
	}
	return s.pb.Incarnation + "+" + strconv.Itoa(s.lives)
}

// clearSuspect forgets what a request was charged with that has got a whole answer, and tells control and
// the other entries, which would otherwise add later crashes to it.
func (r *Reducer) clearSuspect(q *request) {
	for _, key := range append(q.partKeys(), q.key()) {
		r.clearKey(key)
	}
}

func (r *Reducer) clearKey(key quarantineKey) {
	known := r.suspects.byKey[key] != nil || r.view.suspected[key] > 0 || r.view.quarantine[key]
	r.suspects.complete(key, r.now)
	if known {
		delete(r.view.suspected, key)
		delete(r.view.quarantine, key)
		r.tellCleared(key.proto())
	}
}

func (r *Reducer) tellAlive(d *pb.ServerDeath) {
	r.report.alive = append(r.report.alive, d)
	r.report.urgent = true
	r.notices.alive = append(r.notices.alive, d)
}

func (r *Reducer) tellCleared(q *pb.Quarantine) {
	r.report.cleared = append(r.report.cleared, q)
	r.report.urgent = true
	r.notices.cleared = append(r.notices.cleared, q)
}
