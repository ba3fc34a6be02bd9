package control

import (
	"cmp"
	"slices"
	"strings"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// maxSuspects bounds the suspects; the one with the oldest last death is evicted first.
	maxSuspects = 4096
	// maxSuspectsPerDeath bounds what one report can add: an engine runs fewer requests
	// than this at once.
	maxSuspectsPerDeath = 512
	// scorePerDeath is the score of a whole death; entries report lower ones for a request that
	// is less likely its cause.
	scorePerDeath = 4
	// scoreOfUnlikelyDeath is reported for a request that may have been sent after the death.
	scoreOfUnlikelyDeath = 1
)

// suspectKey identifies a request by member and fingerprint, so that one member's request
// never quarantines that of another member.
type suspectKey struct {
	member      string
	fingerprint uint64
}

// suspects counts the server deaths that happened while a request was running on the
// server.
type suspects struct {
	byKey map[suspectKey]*pb.Suspect
}

func newSuspects() suspects { return suspects{byKey: make(map[suspectKey]*pb.Suspect)} }

// applyQuarantine counts the death of one incarnation once per suspect, no matter how many
// entries report it, and takes charges back.
func (s *State) applyQuarantine(u *pb.QuarantineUpdate) {
	for _, death := range u.GetAlive() {
		s.takeBackDeath(deathKey(death))
	}
	for _, q := range u.GetCleared() {
		if suspect := s.suspects.byKey[suspectKey{q.GetMember(), q.GetFingerprint()}]; suspect != nil {
			s.removeSuspect(suspect)
		}
	}
	for _, death := range u.GetDeaths() {
		list := death.GetSuspects()
		for _, q := range list[:min(len(list), maxSuspectsPerDeath)] {
			s.countDeath(deathKey(death), q)
		}
	}
	s.evictSuspects()
}

// deathKey identifies the death of a server's incarnation.
func deathKey(d *pb.ServerDeath) string { return d.GetServer() + "/" + d.GetIncarnation() }

func (s *State) countDeath(death string, q *pb.Quarantine) {
	key := suspectKey{q.GetMember(), q.GetFingerprint()}
	suspect := s.suspects.byKey[key]
	if s.suspects.explained(death) && suspect.GetVersion() == 0 {
		return
	}
	if suspect == nil {
		suspect = &pb.Suspect{Member: key.member, Fingerprint: key.fingerprint}
		s.suspects.byKey[key] = suspect
	}
	score := reportedScore(q)
	if chargedScore(suspect, death) >= score {
		return
	}
	suspect.LastUnixMs = s.nowMS
	limits := s.limits()
	needed := scorePerDeath * uint32(limits.QuarantineCrashes)
	if totalScore(suspect) < needed {
		chargeDeath(suspect, death, score)
	}
	s.bumpViewVersion()
	suspect.SuspectedVersion = s.index
	if totalScore(suspect) >= needed {
		suspect.Version = s.index
		suspect.ExpiresUnixMs = s.nowMS + limits.QuarantineTime.Milliseconds()
		s.explainDeaths(suspect)
	}
}

// explainDeaths takes the deaths of a quarantined request off all other suspects: they had the
// misfortune to run beside it.
func (s *State) explainDeaths(quarantined *pb.Suspect) {
	for i, death := range quarantined.GetDeaths() {
		if scoreAt(quarantined, i) <= scoreOfUnlikelyDeath {
			continue
		}
		for _, suspect := range s.suspects.sorted() {
			if suspect.GetVersion() == 0 {
				s.uncharge(suspect, death)
			}
		}
	}
}

// explained reports whether a quarantined request is charged with the death.
func (q *suspects) explained(death string) bool {
	for _, suspect := range q.byKey {
		if suspect.GetVersion() > 0 && chargedScore(suspect, death) > scoreOfUnlikelyDeath {
			return true
		}
	}
	return false
}

// takeBackDeath takes back what was charged for a server that was only cut off from an entry.
func (s *State) takeBackDeath(death string) {
	for _, suspect := range s.suspects.sorted() {
		s.uncharge(suspect, death)
	}
}

// uncharge takes a death off a suspect, and ends its quarantine if the rest is not enough for it.
func (s *State) uncharge(suspect *pb.Suspect, death string) {
	i := slices.Index(suspect.GetDeaths(), death)
	if i < 0 {
		return
	}
	suspect.Deaths = slices.Delete(suspect.Deaths, i, i+1)
	if i < len(suspect.Scores) {
		suspect.Scores = slices.Delete(suspect.Scores, i, i+1)
	}
	needed := scorePerDeath * uint32(s.limits().QuarantineCrashes)
	if len(suspect.GetDeaths()) == 0 || suspect.GetVersion() > 0 && totalScore(suspect) < needed {
		s.removeSuspect(suspect)
	}
}

// reportedScore returns the score that an entry reports for a suspect of a death.
func reportedScore(q *pb.Quarantine) uint32 {
	if q.GetScore() == 0 {
		return scorePerDeath
	}
	return min(q.GetScore(), scorePerDeath)
}

// scoreAt returns the score of the suspect's death i.
func scoreAt(suspect *pb.Suspect, i int) uint32 {
	if i < len(suspect.GetScores()) {
		return suspect.GetScores()[i]
	}
	return scorePerDeath
}

// chargedScore returns the score that the suspect has for a death, 0 for none.
func chargedScore(suspect *pb.Suspect, death string) uint32 {
	if i := slices.Index(suspect.GetDeaths(), death); i >= 0 {
		return scoreAt(suspect, i)
	}
	return 0
}

func totalScore(suspect *pb.Suspect) uint32 {
	sum := uint32(0)
	for i := range suspect.GetDeaths() {
		sum += scoreAt(suspect, i)
	}
	return sum
}

// chargeDeath sets the suspect's score for a death.
func chargeDeath(suspect *pb.Suspect, death string, score uint32) {
	for i := len(suspect.Scores); i < len(suspect.Deaths); i++ {
		suspect.Scores = append(suspect.Scores, scorePerDeath)
	}
	if i := slices.Index(suspect.Deaths, death); i >= 0 {
		suspect.Scores[i] = score
		return
	}
	suspect.Deaths, suspect.Scores = append(suspect.Deaths, death), append(suspect.Scores, score)
}

// expireSuspects removes suspects that caused no death for the quarantine time.
func (s *State) expireSuspects() {
	keep := s.limits().QuarantineTime.Milliseconds()
	for _, suspect := range s.suspects.sorted() {
		ends := max(suspect.GetLastUnixMs()+keep, suspect.GetExpiresUnixMs())
		if s.nowMS >= ends {
			s.removeSuspect(suspect)
		}
	}
}

func (s *State) evictSuspects() {
	excess := len(s.suspects.byKey) - maxSuspects
	if excess <= 0 {
		return
	}
	list := s.suspects.sorted()
	slices.SortStableFunc(list, func(a, b *pb.Suspect) int {
		return cmp.Compare(a.GetLastUnixMs(), b.GetLastUnixMs())
	})
	for _, suspect := range list[:excess] {
		s.removeSuspect(suspect)
	}
}

func (s *State) removeSuspect(suspect *pb.Suspect) {
	delete(s.suspects.byKey, suspectKey{suspect.GetMember(), suspect.GetFingerprint()})
	if suspect.GetVersion() == 0 {
		return
	}
	s.bumpViewVersion()
	s.changes.addTombstone(&pb.Tombstone{Quarantine: quarantineOf(suspect)})
}

func quarantineOf(suspect *pb.Suspect) *pb.Quarantine {
	return &pb.Quarantine{
		Member: suspect.GetMember(), Fingerprint: suspect.GetFingerprint(),
		ExpiresUnixMs: suspect.GetExpiresUnixMs(), Deaths: uint32(len(suspect.GetDeaths())),
	}
}

// sorted returns the suspects ordered by member and fingerprint.
func (q *suspects) sorted() []*pb.Suspect {
	list := make([]*pb.Suspect, 0, len(q.byKey))
	for _, suspect := range q.byKey {
		list = append(list, suspect)
	}
	slices.SortFunc(list, func(a, b *pb.Suspect) int {
		return cmp.Or(strings.Compare(a.GetMember(), b.GetMember()),
			cmp.Compare(a.GetFingerprint(), b.GetFingerprint()))
	})
	return list
}
