package entry

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/suspicion"
	"goldcrestseam.dev/goldcrestseam/internal/incarnation"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// otherCrashesPeriod is how close in time crashes are that may have one cause: trouble with
	// servers or links ends several within seconds.
	otherCrashesPeriod = 2 * time.Second
	// crashRetention is how long a crash is remembered; an entry may find it late by itself.
	crashRetention = 30 * time.Second
	// verdictDelay is how long a request waits that its last crash would quarantine. By then the
	// other entries have told of what ran on the server, and a server that was only cut off has
	// answered a probe.
	verdictDelay = 600 * time.Millisecond
	// doubtfulScore is charged for a crash that may have had another cause, veryDoubtfulScore if several
	// other servers crashed about then.
	doubtfulScore     = 2
	veryDoubtfulScore = 1
	// maxDoubtfulCrashes is how many crashes may be in doubt. A request with as many runs again only once
	// no other servers crash, alone, and its next crash counts in full.
	maxDoubtfulCrashes = 3
	// maxDoubtfulPartCrashes is the same for a part of prompts, which runs on in other requests.
	maxDoubtfulPartCrashes = 4
	// maxCalmWait bounds how long a request that was charged with two crashes waits until no
	// other servers crash.
	maxCalmWait = 3 * time.Second
	// calmShare is which part of the servers may crash beside a request in doubt: of so many, hardly one
	// ends under the same request again.
	calmShare = 100
	// maxTrialSpread spreads the next attempts of a request in doubt at several entries over time, so
	// that the others hear how the first one ends.
	maxTrialSpread = 2 * time.Second
	// crashSettles is how long after a crash all entries have told which requests it is charged to.
	// Until then it may seem that a request was not there.
	crashSettles = 200 * time.Millisecond
	// aliveProofDelay is how long after a crash an answer of the same incarnation shows that there
	// was none: one from before the crash has arrived by then.
	aliveProofDelay = 300 * time.Millisecond
	// restartTime is the least time in which a server that has crashed is back.
	restartTime = time.Second
)

// crash is the end of a server's incarnation, as far as the entries know.
type crash struct {
	at time.Duration
	// explained is set once a request is quarantined that it was charged to, of which explainedBy is the
	// fingerprint.
	explained   bool
	explainedBy uint64
}

// crashLog holds the recent crashes by deathKey, oldest first in order.
type crashLog struct {
	byKey map[string]*crash
	order []string
}

func newCrashLog() crashLog { return crashLog{byKey: make(map[string]*crash)} }

func (l *crashLog) add(death string, now time.Duration) {
	for len(l.order) > 0 && (l.byKey[l.order[0]] == nil || now-l.byKey[l.order[0]].at >= crashRetention) {
		delete(l.byKey, l.order[0])
		l.order = l.order[1:]
	}
	if l.byKey[death] == nil {
		l.byKey[death] = &crash{at: now}
		l.order = append(l.order, death)
	}
}

// explained reports whether a crash is no more charged to the suspect, for a part as one of that request's, as
// its cause is known. To the parts of the request that is quarantined for it nothing is explained: one of
// them may be the guilty one.
func (t *suspectTable) explained(death string, to quarantineKey, request uint64) bool {
	c := t.crashes.byKey[death]
	if c == nil || !c.explained || !to.part {
		return c != nil && c.explained
	}
	return request != 0 && request != c.explainedBy && !t.byKey[to].ranIn(c.explainedBy)
}

// charge is what a request is charged with for a crash.
type charge struct {
	score int
	// uncertain is set if the request may have been sent after the crash.
	uncertain bool
	// pending is set until it is judged whether the crash counts in full.
	pending bool
	// request is that which ran with a part, tokens how far its answer had come. disproved is set once an
	// answer with the part got further elsewhere.
	request   uint64
	tokens    int
	disproved bool
}

// judgement is a charge to be judged. own is set if control is told by this entry.
type judgement struct {
	key quarantineKey
	// request is the fingerprint of the request that ran, for a part.
	request uint64
	// position is how many tokens of its answer had come.
	position            int
	server, incarnation string
	own                 bool
	due                 time.Duration
}

func (j *judgement) death() string { return deathKey(j.server, j.incarnation) }

// mostScore returns how much a crash may count against the request: less if it may well have had another
// cause, as other servers crashed about then without it, or another request was there each time as well.
//
// Servers end, or are cut off, for reasons of their own, some of them one after the other. A harmless
// request that happens to run on two of them must not be refused.
//
// An engine that ends again and again may end under the same harmless request more than once.
func (t *suspectTable) mostScore(key quarantineKey, server, death string, now time.Duration) int {
	beside, counted := t.besideLikelierPart(key, death), t.byKey[key].counted()
	if counted > maxDoubtful(key) {
		if key.part && beside {
			return doubtfulScore
		}
		return scorePerCrash
	}
	others := 0
	if own := t.crashes.byKey[death]; own != nil {
		others = t.otherCrashesAround(t.byKey[key], own.at, now-crashSettles, anyServer)
	}
	switch {
	case others > 1 && (key.part || counted < maxDoubtfulCrashes):
		return veryDoubtfulScore
	case others > 0 || beside || !key.part && t.byKey[key].crashedBefore(server, death) || t.alwaysBesideAnother(key, death):
		return doubtfulScore
	default:
		return scorePerCrash
	}
}

func maxDoubtful(key quarantineKey) int {
	if key.part {
		return maxDoubtfulPartCrashes
	}
	return maxDoubtfulCrashes
}

// crashedBefore reports whether another incarnation of the server ended under the request, too.
func (s *suspect) crashedBefore(server, death string) bool {
	for other, c := range s.deaths {
		if other != death && !c.uncertain && strings.HasPrefix(other, deathKey(server, "")) {
			return true
		}
	}
	return false
}

// otherCrashesAround counts the servers that crashed about that time and until then, for a reason that is
// not known, and of which the request was not charged, of those that count.
func (t *suspectTable) otherCrashesAround(s *suspect, at, until time.Duration, counts func(serverID string) bool) int {
	n := 0
	for death, c := range t.crashes.byKey {
		apart := max(at, c.at) - min(at, c.at)
		server, _, _ := strings.Cut(death, "/")
		if _, charged := s.deaths[death]; !c.explained && !charged && apart < otherCrashesPeriod && c.at <= until && counts(server) {
			n++
		}
	}
	return n
}

func anyServer(string) bool { return true }

// awaitsCalm reports whether the request should run only once no other servers crash: then its next
// crash, or its answer, tells whether it is the cause. Until then it is not refused as one that crashes servers,
// which it may not be. Once it may run, one does at a time.
//
// Failure: a request that crashes servers comes again and again while others end for other reasons. All of its
// crashes are in doubt, and it ends one server after the other.
func (r *Reducer) awaitsCalm(q *request) bool {
	s := r.suspects.byKey[q.key()]
	if !s.inDoubt() {
		return false
	}
	// Only a crash of a server that may run the request could be taken for one of its own.
	pool := cmp.Or(q.work.Model, q.work.Service)
	inPool := func(s *server) bool { return roleOf(s.pb).pool == pool }
	others := r.suspects.otherCrashesAround(s, r.now, r.now, func(id string) bool {
		server := r.servers.byID[id]
		return server == nil || inPool(server)
	})
	busy := others > 0 && r.now < s.at+maxCalmWait
	if s.counted() >= maxDoubtfulCrashes {
		poolSize := 0
		for _, server := range r.servers.sorted {
			if inPool(server) {
				poolSize++
			}
		}
		busy = others*calmShare > poolSize
	}
	if busy {
		s.calmAt = 0
		return true
	}
	if s.calmAt == 0 {
		s.calmAt = r.now
	}
	key := q.key()
	if r.now < s.calmAt+r.trialSpread(key) {
		return true
	}
	for _, other := range r.requests {
		if other.server != nil && other.key() == key {
			return true
		}
	}
	return false
}

// trialSpread returns how long this entry lets others try a request in doubt before it does.
func (r *Reducer) trialSpread(key quarantineKey) time.Duration {
	if len(r.noticeTargets()) == 0 {
		return 0
	}
	own := EntryWeight{Name: r.cfg.Identity.GetName()}
	return time.Duration(rendezvousHash(own, strconv.FormatUint(key.fingerprint, 16)) % uint64(maxTrialSpread))
}

// inDoubt reports whether the request was charged with several crashes. If it is not quarantined, some of
// them may have had another cause.
func (s *suspect) inDoubt() bool { return s != nil && s.counted() >= 2 }

// alwaysBesideAnother reports whether another request was on all of the servers that crashed under this
// one, up to the last of them, and is no less likely to be the cause.
func (t *suspectTable) alwaysBesideAnother(key quarantineKey, last string) bool {
	s := t.byKey[key]
	if len(s.deaths) < 2 || t.lastCrash(s) != last {
		return false
	}
	for otherKey, other := range t.byKey {
		if otherKey != key && other.chargedAsMuch(s) {
			return true
		}
	}
	return false
}

// besideLikelierPart reports whether a part was on the server that is more likely the cause, since it ran in more
// requests that ended servers. For a request with several crashes that is one of others' parts with as many: what
// runs beside a guilty part is charged with its crashes, and may be resumed beside it again.
func (t *suspectTable) besideLikelierPart(key quarantineKey, death string) bool {
	least := t.byKey[key].counted() + 1
	if !key.part && least > 2 {
		least--
	}
	for otherKey, other := range t.byKey {
		if !otherKey.part || otherKey == key || !key.part && other.ranIn(key.fingerprint) {
			continue
		}
		if c, charged := other.deaths[death]; charged && !c.uncertain && !c.disproved && other.counted() >= least {
			return true
		}
	}
	return false
}

// lastCrash returns the last crash that the request is charged with.
func (t *suspectTable) lastCrash(s *suspect) string {
	last, at := "", time.Duration(-1)
	for death := range s.deaths {
		if c := t.crashes.byKey[death]; c != nil && (c.at > at || c.at == at && death > last) {
			last, at = death, c.at
		}
	}
	return last
}

func (s *suspect) chargedAsMuch(than *suspect) bool {
	total := 0
	for death := range than.deaths {
		if c, charged := s.deaths[death]; !charged || c.uncertain {
			return false
		}
		total += s.deaths[death].score
	}
	return total >= than.highestScore()
}

// counted is how many crashes the request was surely sent before.
func (s *suspect) counted() int {
	n := 0
	for _, c := range s.deaths {
		if !c.uncertain {
			n++
		}
	}
	return n
}

// highestScore is the score if all crashes count in full.
func (s *suspect) highestScore() int { return s.sum(func(charge) bool { return true }) }

// score sums up what was judged.
func (s *suspect) score() int {
	if s == nil {
		return 0
	}
	return s.sum(func(c charge) bool { return !c.pending })
}

// sum adds up the scores of the charges that count.
func (s *suspect) sum(counts func(charge) bool) int {
	sum := 0
	var crashes []suspicion.Crash
	for _, c := range s.deaths {
		score := c.score
		if !counts(c) {
			score = 0
		}
		sum += score
		if s.part {
			crashes = append(crashes, suspicion.Crash{Score: score, Request: c.request, Tokens: c.tokens})
		}
	}
	if s.part {
		return suspicion.PartScore(crashes)
	}
	return sum
}

// chargeFor charges a request with a crash and returns the score that counts for now. If there are other
// entries, it is judged after verdictDelay whether the crash counts in full.
func (r *Reducer) chargeFor(j judgement, score int) int {
	t := &r.suspects
	s := t.byKey[j.key]
	s.deaths[j.death()] = charge{score: score, pending: true, request: j.request, tokens: j.position}
	if len(r.noticeTargets()) == 0 {
		return r.judge(&j)
	}
	j.due = r.now + verdictDelay
	t.judgements = append(t.judgements, j)
	return veryDoubtfulScore
}

// judge decides how much a crash counts, and returns it.
func (r *Reducer) judge(j *judgement) int {
	s := r.suspects.byKey[j.key]
	c := s.deaths[j.death()]
	c.score, c.pending = min(c.score, r.suspects.mostScore(j.key, j.server, j.death(), r.now)), false
	s.deaths[j.death()] = c
	return c.score
}

// awaitsVerdict reports whether a request is quarantined if the crashes that are not judged yet count in
// full. It is neither sent to a server nor refused before.
func (r *Reducer) awaitsVerdict(key quarantineKey) bool {
	s := r.suspects.byKey[key]
	if s == nil || r.isQuarantined(key) {
		return false
	}
	return s.highestScore() >= r.scoreToQuarantine(key) && s.score() < s.highestScore() && s.ranInSeveral(key)
}

// giveVerdicts judges the crashes that are due.
func (r *Reducer) giveVerdicts() {
	t := &r.suspects
	due := 0
	for due < len(t.judgements) && r.now >= t.judgements[due].due {
		r.giveVerdict(&t.judgements[due])
		due++
	}
	if due > 0 {
		t.judgements = t.judgements[due:]
		r.refuseQuarantined()
	}
}

func (r *Reducer) giveVerdict(j *judgement) {
	s := r.suspects.byKey[j.key]
	if s == nil || !s.deaths[j.death()].pending {
		return
	}
	if r.disprove(j) || j.own && j.key.part && r.clearIfLeft(j.key, j.position) {
		return
	}
	score := r.judge(j)
	if j.own {
		judged := j.charged(score)
		judged.Judged = true
		r.notices.addSuspect(&pb.ServerDeath{Server: j.server, Incarnation: j.incarnation}, judged)
	}
	if j.own && score > veryDoubtfulScore {
		r.report.death(&pb.ServerDeath{Server: j.server, Incarnation: j.incarnation, Suspects: []*pb.Quarantine{j.charged(score)}})
	}
	if len(s.deaths) > 1 {
		r.logJudged(j, s, score)
	}
	r.explainCrashes(j.key)
}

// charged is the charge as other entries and control are told of it.
func (j *judgement) charged(score int) *pb.Quarantine {
	q := j.key.proto()
	q.Score, q.Request, q.Tokens = uint32(score), j.request, uint32(j.position)
	return q
}

func (r *Reducer) logJudged(j *judgement, s *suspect, score int) {
	line := LogDecision{Kind: LogSuspect, Member: j.key.member, Server: j.server, Reason: "crash judged", Figures: []Figure{
		{Name: "score", Value: float64(score)}, {Name: "total_score", Value: float64(s.score())},
		{Name: "crashes", Value: float64(len(s.deaths))}, {Name: "quarantined", Value: boolFigure(r.isQuarantined(j.key))},
	}}
	if j.key.part {
		line.Parts = []decision.PromptPart{decision.PromptPart(j.key.fingerprint)}
	}
	r.emit(line)
}

// disprove takes a crash off a part of which an answer got further than the one that ended with the server,
// here or at another entry, and tells the others and control. It returns whether there is such an answer.
func (r *Reducer) disprove(j *judgement) bool {
	if !j.key.part || !r.suspects.furthest.beyond(j.key, j.position, r.now) {
		return false
	}
	if s := r.suspects.byKey[j.key]; s != nil {
		s.deaths[j.death()] = charge{request: j.request, tokens: j.position, disproved: true}
	}
	// In groups the aggregators answer, so that hundreds of entries don't.
	if !r.peers.group.isGroupMember() {
		q := j.charged(veryDoubtfulScore)
		q.Disproved = true
		death := &pb.ServerDeath{Server: j.server, Incarnation: j.incarnation, Suspects: []*pb.Quarantine{q}}
		r.notices.addSuspect(death, q)
		r.report.death(death)
	}
	r.emit(LogDecision{
		Kind: LogSuspect, Server: j.server, Reason: "an answer got further: the part didn't crash the server",
		Parts: []decision.PromptPart{decision.PromptPart(j.key.fingerprint)}, Figures: []Figure{{Name: "tokens", Value: float64(j.position)}},
	})
	return true
}

// explainCrashes takes the crashes of a quarantined request off all other requests and their parts. A part
// explains none: it may turn out to be harmless.
func (r *Reducer) explainCrashes(key quarantineKey) {
	t := &r.suspects
	s := t.byKey[key]
	if s == nil || key.part || !r.isQuarantined(key) {
		return
	}
	for death, own := range s.deaths {
		if own.uncertain {
			continue
		}
		if c := t.crashes.byKey[death]; c != nil {
			c.explained, c.explainedBy = true, key.fingerprint
		}
		for otherKey, other := range t.byKey {
			if otherKey.part && (other.deaths[death].request == 0 || other.ranIn(key.fingerprint)) || otherKey == key || !otherKey.part && r.isQuarantined(otherKey) {
				continue
			}
			delete(other.deaths, death)
		}
	}
}

// takeBackCrash forgets a crash of a server that has answered since.
func (t *suspectTable) takeBackCrash(death string) {
	delete(t.crashes.byKey, death)
	for _, s := range t.byKey {
		delete(s.deaths, death)
	}
}

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
