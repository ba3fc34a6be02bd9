package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// verdictDelay is how long a request waits that its last crash would quarantine. By then the
// other entries have told of what ran on the server, and a server that was only cut off has
// answered a probe.
const verdictDelay = 600 * time.Millisecond

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
