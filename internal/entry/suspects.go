package entry

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// probationTokens is how many tokens a request must get from a server to
	// look innocent of its death: a request that crashes servers does so as it
	// starts, or again and again at the same place of its answer.
	probationTokens = 4
	// freshGuilt, lateGuilt and doubtGuilt are what a death adds for a request
	// that began there without progress, for one with progress, and for one of
	// which it is not known that the server was still alive. They count in
	// quarters of a death. The lesser ones keep a request that crashes servers
	// late, or at once, from going on for ever, while a dossier whose servers
	// die of something else several times is not taken for guilty.
	freshGuilt = 4
	lateGuilt  = 2
	doubtGuilt = 1
	// guiltPerDeath is how much guilt makes one death towards control.
	guiltPerDeath = 4
	// longAnswerless: a server that is dead already closes a connection, or has
	// something in between close it, in a few milliseconds. One that kept the
	// request for longer had begun with it.
	longAnswerless = 2 * time.Millisecond
	// apartFor is how long a suspect waits for a server of its own, and others
	// wait for servers without a suspect, before they share one.
	apartFor = 2 * time.Second
	// staggerFor spreads the next runs of suspects over time. All entries choose
	// for themselves: without it the suspects of one death, at several entries,
	// start again together, and the guilty one meets the same innocent ones on
	// the next server within milliseconds.
	staggerFor = 500 * time.Millisecond
	// suspectWait is how long a request waits for its start when it ran on a
	// server that died lately. Control tells all entries of a quarantine in some
	// 20 ms: a caller that sends its request again to another entry, in the
	// millisecond after its final answer, must not crash one more server there.
	suspectWait = 300 * time.Millisecond
	// suspectedFor is for how long after a death a request waits so.
	suspectedFor = 30 * time.Second
	// maxSuspects bounds the table; the oldest goes first.
	maxSuspects = 4096
)

// suspect is a request that ran on a server when it died.
type suspect struct {
	// guilt counts deaths in quarters.
	guilt int
	at    time.Duration
	// cleared is set once it made progress again.
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

// died adds a death's guilt; true when that makes another whole death.
func (t *suspectTable) died(q *request, now time.Duration) bool {
	s := t.byKey[q.key()]
	if s == nil {
		s = &suspect{}
		t.byKey[q.key()] = s
		t.order = append(t.order, q.key())
	}
	guilt := q.guilt()
	before := s.guilt / guiltPerDeath
	s.guilt += guilt
	s.at, s.cleared = now, guilt != freshGuilt
	return s.guilt/guiltPerDeath > before
}

func (q *request) guilt() int {
	switch {
	case !q.reached:
		return doubtGuilt
	case q.here+q.got >= probationTokens:
		return lateGuilt
	default:
		return freshGuilt
	}
}

// progressed gives true when a suspect has just made enough progress.
func (t *suspectTable) progressed(q *request) bool {
	s := t.byKey[q.key()]
	if s == nil || s.cleared || q.here+q.got < probationTokens {
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

// stagger gives how long a suspect waits before its next run.
func (t *suspectTable) stagger(q *request) time.Duration {
	if !t.onProbation(q) {
		return 0
	}
	return time.Duration(suspectHash(q, "") % uint64(staggerFor))
}

// spread leaves a suspect one server that its hash chooses, while it waits
// patiently: the cheapest server would be the same for the suspects of all
// entries.
func (t *suspectTable) spread(r *Reducer, q *request, f *decision.Fleet) {
	if !t.onProbation(q) || r.now-q.waitsSince >= apartFor {
		return
	}
	best, highest := -1, uint64(0)
	for i := range f.Servers {
		s := &f.Servers[i]
		if h := suspectHash(q, s.ID); s.Serves(&q.work) && (best < 0 || h > highest) {
			best, highest = i, h
		}
	}
	for i := range f.Servers {
		f.Servers[i].Usable = f.Servers[i].Usable && i == best
	}
}

func suspectHash(q *request, server string) uint64 {
	return xxhash.Sum64String(server + "/" + q.work.Member + "/" + strconv.FormatUint(q.fingerprint+uint64(q.attempts), 16))
}

// quarantined tells whether the request gets no more runs.
func (r *Reducer) quarantined(q *request) bool {
	if r.view.quarantine[q.key()] {
		return true
	}
	s := r.suspects.byKey[q.key()]
	return s != nil && s.guilt >= guiltPerDeath*r.quarantineDeaths()
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
	r.noteDeath(s.pb.Id, s.lifeHash(), r.now)
	death := &pb.ServerDeath{Server: s.pb.Id, Incarnation: s.pb.Incarnation}
	for _, id := range s.running {
		other := r.requests[id]
		if other == q && ev.Outcome == outcome.NotRun {
			continue
		}
		if r.suspects.died(other, r.now) {
			death.Suspects = append(death.Suspects, &pb.Quarantine{
				Member: other.work.Member, Fingerprint: other.fingerprint,
			})
		}
	}
	r.report.death(death)
	r.logServer(s, "died")
}

// suspected tells whether new work ran on a server that died lately, by the word
// of control.
func (r *Reducer) suspected(q *request) bool {
	until, ok := r.view.suspected[q.key()]
	return ok && r.now < until
}

// refuseQuarantined gives what waits its final answer once it is quarantined.
func (r *Reducer) refuseQuarantined() {
	for _, id := range sortedKeys(r.requests) {
		q := r.requests[id]
		if q.server == nil && r.view.quarantine[q.key()] {
			r.refuse(q, refuseQuarantined())
		}
	}
}
