package entry

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/suspicion"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// partKeys returns the parts of the request's prompt that other requests may have too. One of them may
// crash each server that writes an answer on it, in requests of which no two are alike.
func (q *request) partKeys() []quarantineKey {
	keys := make([]quarantineKey, 0, len(q.work.Parts)+1)
	for _, p := range q.work.Parts {
		keys = append(keys, quarantineKey{fingerprint: uint64(p), part: true})
	}
	return keys
}

// scoreToQuarantine returns the score that quarantines the suspect. A part needs a crash more than a
// request: harmless requests share parts, and several of them may run on servers that end for another
// reason.
func (r *Reducer) scoreToQuarantine(key quarantineKey) int {
	crashes := r.quarantineCrashes()
	if key.part {
		crashes++
	}
	return scorePerCrash * crashes
}

// ranInSeveral reports whether a part ran in several requests. What one request ends again and again is
// that request's doing.
func (s *suspect) ranInSeveral(key quarantineKey) bool {
	return !key.part || s != nil && len(s.requests) >= suspicion.RequestsOfPart
}

func (s *suspect) noteRequest(fingerprint uint64) {
	if len(s.requests) < suspicion.MaxRequestsOfPart && !slices.Contains(s.requests, fingerprint) {
		s.requests = append(s.requests, fingerprint)
	}
}

// ranIn reports whether the part is known to be one of that request's.
func (s *suspect) ranIn(fingerprint uint64) bool {
	return s != nil && slices.Contains(s.requests, fingerprint)
}

// chargeParts charges the parts of a request's prompt with a death, once each. Parts that others have got
// whole answers with are not charged, nor are those of a request that may not have been started.
func (r *Reducer) chargeParts(q *request, server *server, death *pb.ServerDeath) {
	score := q.crashScore()
	if score == uncertainCrashScore {
		return
	}
	t, position := &r.suspects, q.serverTokens+q.attemptTokens
	for _, key := range q.partKeys() {
		if t.exonerated.has(key, r.now) || t.explained(server.deathKey(), key, q.fingerprint) {
			continue
		}
		if t.furthest.beyond(key, position, r.now) || r.clearIfLeft(key, position) {
			continue
		}
		s := t.add(key)
		s.noteRequest(q.fingerprint)
		if c := s.deaths[server.deathKey()]; c.disproved || score <= c.score {
			continue
		}
		s.at = r.now
		s.furthestCrash = max(s.furthestCrash, position)
		j := judgement{
			key: key, server: server.pb.Id, incarnation: server.deathIncarnation(), own: true,
			request: q.fingerprint, position: position,
		}
		death.Suspects = append(death.Suspects, j.charged(r.chargeFor(j, score)))
		r.notices.addSuspect(death, j.charged(score))
	}
}

// awaitsAnyVerdict reports whether the request, or a part of its prompt, is quarantined if the crashes
// that are not judged yet count in full.
func (r *Reducer) awaitsAnyVerdict(q *request) bool {
	return r.awaitsVerdict(q.key()) || slices.ContainsFunc(q.partKeys(), r.awaitsVerdict)
}

const (
	// firstTrialAfter is how long after its quarantine a part is tried again, nextTrialAfter after the
	// first trial, and laterTrialsAfter after each later one.
	firstTrialAfter  = 2 * time.Second
	nextTrialAfter   = 8 * time.Second
	laterTrialsAfter = 5 * time.Minute
)

// partTrials are the trials of a quarantined part.
type partTrials struct {
	count int
	next  time.Duration
}

// tryPartAgain lets a single request run although a part of its prompt is quarantined. Its whole answer
// ends the quarantine.
//
// Where many servers end at once, for several reasons, a harmless part that many requests share can be on
// three of them before one of its answers is whole. Refused to all, it would never get one. One entry
// tries, chosen by a hash, so that a part which does crash servers ends few more.
func (r *Reducer) tryPartAgain(q *request) {
	quarantined := slices.DeleteFunc(q.partKeys(), func(k quarantineKey) bool { return !r.isQuarantined(k) })
	if len(quarantined) != 1 || r.isQuarantined(q.key()) {
		return
	}
	key := quarantined[0]
	t := r.suspects.trials[key]
	if t == nil {
		t = &partTrials{next: r.now + firstTrialAfter}
		r.suspects.trials[key] = t
	}
	if r.now < t.next || !r.triesParts(key) {
		return
	}
	t.count++
	t.next = r.now + nextTrialAfter
	if t.count > 1 {
		t.next = r.now + laterTrialsAfter
	}
	q.trialOf = key
	r.emit(LogDecision{
		Kind: LogSuspect, RequestID: q.work.RequestID, Member: q.work.Member, Reason: "tries a quarantined part of prompts again",
		Parts: []decision.PromptPart{decision.PromptPart(key.fingerprint)}, Figures: []Figure{{Name: "trial", Value: float64(t.count)}},
	})
}

// triesParts reports whether this entry is the one that tries the part again.
func (r *Reducer) triesParts(key quarantineKey) bool {
	first, own := "", r.cfg.Identity.GetName()
	highest := uint64(0)
	for _, e := range r.view.sortedEntries() {
		name := e.info.GetIdentity().GetName()
		h := rendezvousHash(EntryWeight{Name: name}, decision.PromptPart(key.fingerprint).String())
		if !e.info.GetLeaving() && (first == "" || h > highest) {
			first, highest = name, h
		}
	}
	return first == "" || first == own
}
