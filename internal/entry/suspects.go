package entry

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// probationTokens is how many tokens a request must get from a server to be unlikely as the
	// cause of its crash. A request that crashes servers does so at its start, or repeatedly at
	// the same position of its answer.
	probationTokens = 4
	// A crash adds earlyCrashScore to a request that had begun there without progress,
	// lateCrashScore to one with progress, and uncertainCrashScore to one that may have been
	// sent after the crash. The scores count in quarters of a crash. The lower ones bound the
	// retries of a request that crashes servers late or at once, while a long request that two
	// servers crash under for other reasons is not quarantined.
	earlyCrashScore     = 4
	lateCrashScore      = 3
	uncertainCrashScore = 1
	// scorePerCrash is the score of a whole crash.
	scorePerCrash = 4
	// assumedStartedAfter is how long an attempt must have been open to count as started. If the
	// server is already dead, it or a proxy in between closes the connection within a few
	// milliseconds.
	assumedStartedAfter = 2 * time.Millisecond
	// isolationTime is how long a suspect waits for a server of its own, and other requests for
	// servers without a suspect, before they share one.
	isolationTime = 2 * time.Second
	// maxStagger spreads the next attempts of suspects over time. Each entry decides on its own.
	// Without the spread, the suspects of one crash at several entries would start together
	// again, and the one that crashes servers would meet the same other suspects on the next
	// server within milliseconds.
	maxStagger = 500 * time.Millisecond
	// suspectStartDelay is how long a request waits before its start if it ran on a server that
	// crashed recently. Control notifies all entries of a quarantine within about 20 ms. A
	// caller that repeats its request at another entry, within a millisecond of its final
	// answer, must not crash another server there.
	suspectStartDelay = 300 * time.Millisecond
	// suspectDelayPeriod is for how long after a crash requests are delayed in this way.
	suspectDelayPeriod = 30 * time.Second
	// maxSuspects bounds the table. The oldest suspect is dropped first.
	maxSuspects = 4096
)

// suspect is a request that ran on a server when it crashed.
type suspect struct {
	// part is set for a part of prompts.
	part bool
	// deaths has the score of each death that it is charged with, by deathKey.
	deaths map[string]charge
	// at is the time of the last crash.
	at time.Duration
	// calmAt is since when no other servers crash, as far as was asked for; 0 if they do.
	calmAt time.Duration
	// abandoned is the last attempt whose end is not known here.
	abandoned abandonedTrial
	// cleared is set once the request has made progress again.
	cleared bool
	// requests are fingerprints of requests that a part ran in, as many as are needed to quarantine it.
	requests []uint64
	// furthestCrash is how many tokens had come of an answer on a part, at most, when its server
	// crashed.
	furthestCrash int
}

// suspectTable tracks requests that may crash servers.
//
// Occasionally a request crashes each server that runs it, so that servers die one after the
// other. After the first crash all requests that ran there are suspects. They are resumed on
// separate servers, so that the next crash identifies the cause. After QuarantineCrashes crashes
// the request gets its final answer. Fingerprints are per member, so that no member can
// quarantine another one's request.
type suspectTable struct {
	byKey map[quarantineKey]*suspect
	// order holds the keys by time of their first crash.
	order      []quarantineKey
	exonerated exonerated
	// furthest is how far answers on parts have got of late.
	furthest furthestProgress
	crashes  crashLog
	// judgements are the charges that are not judged yet, by when they are due.
	judgements []judgement
	// trials are the quarantined parts that this entry tries again.
	trials map[quarantineKey]*partTrials
}

func newSuspectTable() suspectTable {
	return suspectTable{byKey: make(map[quarantineKey]*suspect), exonerated: newExonerated(), furthest: make(furthestProgress), crashes: newCrashLog(), trials: make(map[quarantineKey]*partTrials)}
}

// complete records that a request got its whole answer.
func (t *suspectTable) complete(key quarantineKey, now time.Duration) {
	t.drop(key)
	delete(t.trials, key)
	t.exonerated.add(key, now)
}

func (t *suspectTable) expire(now time.Duration) {
	for len(t.order) > 0 {
		s := t.byKey[t.order[0]]
		if s != nil && now-s.at < declaration.DefaultQuarantineTime && len(t.order) <= maxSuspects {
			return
		}
		delete(t.byKey, t.order[0])
		delete(t.trials, t.order[0])
		t.order = t.order[1:]
	}
}

// add returns the suspect, after adding it if it is none yet. One that is only known from other entries
// is not on probation here.
func (t *suspectTable) add(key quarantineKey) *suspect {
	s := t.byKey[key]
	if s == nil {
		s = &suspect{part: key.part, deaths: make(map[string]charge), cleared: true}
		t.byKey[key] = s
		t.order = append(t.order, key)
	}
	return s
}

// uncertainCrash returns the score of a whole crash for each scorePerCrash deaths under which the
// request may not have been started, else 0.
func (s *suspect) uncertainCrash() int {
	uncertain := 0
	for _, c := range s.deaths {
		if c.uncertain {
			uncertain++
		}
	}
	if uncertain%scorePerCrash != 0 {
		return 0
	}
	return scorePerCrash
}

// deathKey identifies the death of a server's incarnation.
func deathKey(server, incarnation string) string { return server + "/" + incarnation }

func (s *server) deathKey() string { return deathKey(s.pb.Id, s.deathIncarnation()) }

func (q *request) crashScore() int {
	switch {
	case !q.acknowledged:
		return uncertainCrashScore
	case q.serverTokens+q.attemptTokens >= probationTokens:
		return lateCrashScore
	default:
		return earlyCrashScore
	}
}

// progressed returns true if a suspect has just made enough progress to be cleared.
func (t *suspectTable) progressed(q *request) bool {
	s := t.byKey[q.key()]
	if s == nil || s.cleared || q.serverTokens+q.attemptTokens < probationTokens {
		return false
	}
	s.cleared = true
	return true
}

func (t *suspectTable) drop(key quarantineKey) {
	if s := t.byKey[key]; s != nil {
		delete(t.byKey, key)
		t.order = slices.DeleteFunc(t.order, func(k quarantineKey) bool { return k == key })
	}
}

// onProbation reports whether the request is a suspect that is not cleared.
func (t *suspectTable) onProbation(q *request) bool {
	s := t.byKey[q.key()]
	return s != nil && !s.cleared
}

// runsApart reports whether the request starts by itself, not out of the queue: on probation, or in doubt.
func (t *suspectTable) runsApart(q *request) bool {
	return t.onProbation(q) || t.byKey[q.key()].inDoubt()
}

// anyOnProbation reports whether a request of this entry is a suspect that is not cleared.
func (r *Reducer) anyOnProbation() bool {
	if len(r.suspects.byKey) == 0 {
		return false
	}
	for _, q := range r.requests {
		if r.suspects.onProbation(q) {
			return true
		}
	}
	return false
}

// mayShareServer reports whether the request may go to the server as far as suspects are
// concerned. Two suspects never share a server. A suspect and other requests share one only
// after isolationTime.
func (t *suspectTable) mayShareServer(r *Reducer, q *request, s *server) bool {
	isolating := r.now-q.waitingSince < isolationTime
	isSuspect := t.onProbation(q)
	if isSuspect && isolating && len(s.running) > 0 {
		return false
	}
	for _, id := range s.running {
		otherIsSuspect := t.onProbation(r.requests[id])
		if otherIsSuspect && (isSuspect || isolating) {
			return false
		}
	}
	return true
}

// stagger returns how long a suspect waits before its next attempt.
func (t *suspectTable) stagger(q *request) time.Duration {
	if !t.onProbation(q) {
		return 0
	}
	return time.Duration(suspectHash(q, "") % uint64(maxStagger))
}

// pinToServer leaves a suspect only the server that its hash selects, during isolationTime. The
// cheapest server would be the same for the suspects of all entries.
func (t *suspectTable) pinToServer(r *Reducer, q *request, f *decision.Fleet) {
	if !t.onProbation(q) || r.now-q.waitingSince >= isolationTime {
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

// quarantined reports whether the request gets no more attempts.
func (r *Reducer) quarantined(q *request) bool {
	return r.isQuarantined(q.key()) || slices.ContainsFunc(q.partKeys(), func(k quarantineKey) bool {
		return k != q.trialOf && r.isQuarantined(k)
	})
}

func (r *Reducer) isQuarantined(key quarantineKey) bool {
	if r.view.quarantine[key] {
		return true
	}
	s := r.suspects.byKey[key]
	return s.score() >= r.scoreToQuarantine(key) && s.ranInSeveral(key)
}

func (r *Reducer) quarantineCrashes() int {
	if d := r.view.declaration; d != nil && d.Limits.QuarantineCrashes > 0 {
		return d.Limits.QuarantineCrashes
	}
	return declaration.DefaultQuarantineCrashes
}

// serverDied records the crash of a server incarnation and charges it to the requests of this entry
// there: at first to all that were started, later to one whose own end shows that it was started.
//
// Control adds up the scores of all entries. A request that is sent to one entry after the other
// would never reach a whole crash at any of them.
func (r *Reducer) serverDied(s *server, q *request, ev AttemptEnded) {
	s.fail(r.now)
	if s.nextLife && !s.died {
		s.nextLife = false
		s.lives++
	}
	death := &pb.ServerDeath{Server: s.pb.Id, Incarnation: s.deathIncarnation()}
	if s.died {
		if ev.started() {
			r.charge(q, s, death)
		}
		r.reportSuspects(death)
		return
	}
	s.died, s.diedAt = true, r.now
	r.suspects.crashes.add(s.deathKey(), r.now)
	r.recordDeath(s.pb.Id, s.incarnationHash(), r.now)
	for _, id := range s.running {
		if other := r.requests[id]; other != q || ev.started() {
			r.charge(other, s, death)
		}
	}
	r.reportSuspects(death)
	r.logServer(s, "died")
}

// charge charges the request with a death, once, and adds it to the suspects that control is told of.
//
// If it was charged before, control may just have quarantined it for this death. It waits for that
// notice before it is sent to another server.
func (r *Reducer) charge(q *request, s *server, death *pb.ServerDeath) {
	key := q.key()
	r.chargeParts(q, s, death)
	if r.suspects.exonerated.has(key, r.now) || r.suspects.explained(s.deathKey(), key, q.fingerprint) && !r.quarantined(q) {
		return
	}
	score := r.chargeScore(q, s)
	r.logSuspect(q, s, score)
	if score == 0 {
		return
	}
	r.explainCrashes(key)
	if r.recentlySuspected(q) {
		q.notBefore = max(q.notBefore, r.now+suspectStartDelay)
	}
	death.Suspects = append(death.Suspects, &pb.Quarantine{
		Member: q.work.Member, Fingerprint: q.fingerprint, Score: uint32(score),
	})
	r.notices.addSuspect(death, &pb.Quarantine{
		Member: q.work.Member, Fingerprint: q.fingerprint, Score: uint32(max(score, r.suspects.byKey[key].deaths[s.deathKey()].score)),
	})
}

// chargeScore charges the request with a death and returns the score that control is told, 0 if the
// request was charged with as much before or if it may not have been started.
func (r *Reducer) chargeScore(q *request, server *server) int {
	s, death, score := r.suspects.add(q.key()), server.deathKey(), q.crashScore()
	if score <= s.deaths[death].score {
		return 0
	}
	s.at, s.cleared = r.now, score != earlyCrashScore
	if score == uncertainCrashScore {
		s.deaths[death] = charge{score: score, uncertain: true}
		return s.uncertainCrash()
	}
	return r.chargeFor(judgement{key: q.key(), server: server.pb.Id, incarnation: server.deathIncarnation(), own: true}, score)
}

func (r *Reducer) reportSuspects(death *pb.ServerDeath) {
	if len(death.Suspects) > 0 {
		r.report.death(death)
	}
}

// logSuspect logs that a request ran on a server that crashed. score is what control is told.
func (r *Reducer) logSuspect(q *request, s *server, score int) {
	r.emit(LogDecision{
		Kind: LogSuspect, RequestID: q.work.RequestID, Member: q.work.Member, Profile: q.work.Profile, Class: string(q.work.Class),
		Server: s.pb.Id, Version: s.pb.SoftwareVersion, Reason: "ran on a server that crashed", Parts: q.work.Parts,
		Figures: []Figure{
			{Name: "score", Value: float64(score)},
			{Name: "total_score", Value: float64(r.suspects.byKey[q.key()].highestScore())},
			{Name: "tokens", Value: float64(q.serverTokens + q.attemptTokens)},
			{Name: "sent_ms_ago", Value: float64((r.now - q.sentAt).Milliseconds())},
			{Name: "crashes", Value: float64(len(r.suspects.crashes.byKey))},
		},
	})
}

// recentlySuspected reports whether a new request ran on a server that crashed recently, according
// to control.
func (r *Reducer) recentlySuspected(q *request) bool {
	until, ok := r.view.suspected[q.key()]
	return ok && r.now < until
}

// refuseQuarantined refuses waiting requests once they are quarantined. Those whose last crash the other
// entries don't know yet are refused later.
func (r *Reducer) refuseQuarantined() {
	for _, id := range sortedKeys(r.requests) {
		q := r.requests[id]
		if q.server == nil && q.pendingEnd == nil && r.quarantined(q) {
			r.refuse(q, refuseQuarantined())
		}
	}
}
