package control

import (
	"cmp"
	"slices"
	"strings"

	"goldcrestseam.dev/goldcrestseam/internal/decision/suspicion"
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
// never quarantines that of another member, or a part of prompts, which belongs to none.
type suspectKey struct {
	member      string
	fingerprint uint64
	part        bool
}

func suspectKeyOf(q *pb.Quarantine) suspectKey {
	return suspectKey{q.GetMember(), q.GetFingerprint(), q.GetPart()}
}

func keyOfSuspect(s *pb.Suspect) suspectKey {
	return suspectKey{s.GetMember(), s.GetFingerprint(), s.GetPart()}
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
		if suspect := s.suspects.byKey[suspectKeyOf(q)]; suspect != nil {
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
	key := suspectKeyOf(q)
	suspect := s.suspects.byKey[key]
	if q.GetDisproved() {
		s.disproveDeath(suspect, death)
		return
	}
	if s.suspects.explained(death, q) && suspect.GetVersion() == 0 {
		return
	}
	if suspect == nil {
		suspect = &pb.Suspect{Member: key.member, Fingerprint: key.fingerprint, Part: key.part}
		s.suspects.byKey[key] = suspect
	}
	score := reportedScore(q)
	if chargedScore(suspect, death) >= score || disproved(suspect, death) {
		return
	}
	suspect.LastUnixMs = s.nowMS
	limits := s.limits()
	needed := s.scoreToQuarantine(suspect)
	if totalScore(suspect) < needed {
		chargeDeath(suspect, death, score, q)
	}
	noteRequest(suspect, q.GetRequest())
	s.bumpViewVersion()
	suspect.SuspectedVersion = s.index
	if totalScore(suspect) >= needed && ranInSeveral(suspect) {
		suspect.Version = s.index
		suspect.ExpiresUnixMs = s.nowMS + limits.QuarantineTime.Milliseconds()
		if !suspect.GetPart() {
			s.explainDeaths(suspect)
		}
	}
}

// scoreToQuarantine returns the score that quarantines the suspect. A part of prompts needs a death more
// than a request: harmless requests share parts.
func (s *State) scoreToQuarantine(suspect *pb.Suspect) uint32 {
	deaths := uint32(s.limits().QuarantineCrashes)
	if suspect.GetPart() {
		deaths++
	}
	return scorePerDeath * deaths
}

// noteRequest records in which requests a part ran.
func noteRequest(suspect *pb.Suspect, request uint64) {
	if suspect.GetPart() && len(suspect.GetRequests()) < suspicion.MaxRequestsOfPart && !slices.Contains(suspect.GetRequests(), request) {
		suspect.Requests = append(suspect.Requests, request)
	}
}

// ranInSeveral reports whether a part ran in several requests. What one request ends again and again is
// that request's doing.
func ranInSeveral(suspect *pb.Suspect) bool {
	return !suspect.GetPart() || len(suspect.GetRequests()) >= suspicion.RequestsOfPart
}

// explainDeaths takes the deaths of a quarantined request off all other ones, and off the parts of those: they
// had the misfortune to run beside it. They stay with its own parts, of which one may be the guilty one. A
// part that is quarantined explains none, since it may turn out to be harmless.
func (s *State) explainDeaths(quarantined *pb.Suspect) {
	for i, death := range quarantined.GetDeaths() {
		if scoreAt(quarantined, i) <= scoreOfUnlikelyDeath {
			continue
		}
		for _, suspect := range s.suspects.sorted() {
			if suspect.GetVersion() == 0 && !suspect.GetPart() || ranAnother(suspect, death, quarantined.GetFingerprint()) {
				s.uncharge(suspect, death)
			}
		}
	}
}

// explained reports whether a quarantined request is charged with the death; for a part, another one than
// that which ran with it.
func (q *suspects) explained(death string, to *pb.Quarantine) bool {
	for _, suspect := range q.byKey {
		if suspect.GetVersion() == 0 || suspect.GetPart() || chargedScore(suspect, death) <= scoreOfUnlikelyDeath {
			continue
		}
		guilty := suspect.GetFingerprint()
		if !to.GetPart() || to.GetRequest() != 0 && to.GetRequest() != guilty && !slices.Contains(q.byKey[suspectKeyOf(to)].GetRequests(), guilty) {
			return true
		}
	}
	return false
}

// ranAnother reports whether the part is charged with the death, and is not known to be one of the request's.
func ranAnother(part *pb.Suspect, death string, request uint64) bool {
	i := slices.Index(part.GetDeaths(), death)
	if !part.GetPart() || i < 0 || i >= len(part.GetDeathRequests()) {
		return false
	}
	return part.GetDeathRequests()[i] != 0 && !slices.Contains(part.GetRequests(), request)
}

// disproveDeath takes a death off a part for good: no report charges it again.
func (s *State) disproveDeath(part *pb.Suspect, death string) {
	i := slices.Index(part.GetDeaths(), death)
	if i < 0 {
		return
	}
	chargeDeath(part, death, 0, nil)
	if part.GetVersion() > 0 && totalScore(part) < s.scoreToQuarantine(part) {
		s.removeSuspect(part)
	}
}

func disproved(suspect *pb.Suspect, death string) bool {
	i := slices.Index(suspect.GetDeaths(), death)
	return i >= 0 && scoreAt(suspect, i) == 0
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
	suspect.Scores = deleteAt(suspect.Scores, i)
	suspect.DeathRequests, suspect.DeathTokens = deleteAt(suspect.DeathRequests, i), deleteAt(suspect.DeathTokens, i)
	needed := s.scoreToQuarantine(suspect)
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

// deleteAt deletes an element that may not be there, in records of an earlier build.
func deleteAt[T any](list []T, i int) []T {
	if i >= len(list) {
		return list
	}
	return slices.Delete(list, i, i+1)
}

func totalScore(suspect *pb.Suspect) uint32 {
	if suspect.GetPart() {
		return uint32(suspicion.PartScore(crashesOf(suspect)))
	}
	sum := uint32(0)
	for i := range suspect.GetDeaths() {
		sum += scoreAt(suspect, i)
	}
	return sum
}

func crashesOf(part *pb.Suspect) []suspicion.Crash {
	crashes := make([]suspicion.Crash, len(part.GetDeaths()))
	for i := range crashes {
		crashes[i].Score = int(scoreAt(part, i))
		if i < len(part.GetDeathRequests()) {
			crashes[i].Request, crashes[i].Tokens = part.GetDeathRequests()[i], int(part.GetDeathTokens()[i])
		}
	}
	return crashes
}

// chargeDeath sets the suspect's score for a death; q is the report, nil to keep who ran.
func chargeDeath(suspect *pb.Suspect, death string, score uint32, q *pb.Quarantine) {
	for i := len(suspect.Scores); i < len(suspect.Deaths); i++ {
		suspect.Scores = append(suspect.Scores, scorePerDeath)
	}
	i := slices.Index(suspect.Deaths, death)
	if i < 0 {
		i = len(suspect.Deaths)
		suspect.Deaths, suspect.Scores = append(suspect.Deaths, death), append(suspect.Scores, score)
	}
	suspect.Scores[i] = score
	if !suspect.GetPart() || q == nil {
		return
	}
	for len(suspect.DeathRequests) < len(suspect.Deaths) {
		suspect.DeathRequests, suspect.DeathTokens = append(suspect.DeathRequests, 0), append(suspect.DeathTokens, 0)
	}
	suspect.DeathRequests[i], suspect.DeathTokens[i] = q.GetRequest(), q.GetTokens()
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
	// What is quarantined goes last: it is charged with no more deaths, and would come back.
	slices.SortStableFunc(list, func(a, b *pb.Suspect) int {
		return cmp.Or(compareBool(a.GetVersion() > 0, b.GetVersion() > 0), cmp.Compare(a.GetLastUnixMs(), b.GetLastUnixMs()))
	})
	for _, suspect := range list[:excess] {
		s.removeSuspect(suspect)
	}
}

func (s *State) removeSuspect(suspect *pb.Suspect) {
	delete(s.suspects.byKey, keyOfSuspect(suspect))
	if suspect.GetVersion() == 0 {
		return
	}
	s.bumpViewVersion()
	s.changes.addTombstone(&pb.Tombstone{Quarantine: quarantineOf(suspect)})
}

func quarantineOf(suspect *pb.Suspect) *pb.Quarantine {
	return &pb.Quarantine{
		Member: suspect.GetMember(), Fingerprint: suspect.GetFingerprint(), Part: suspect.GetPart(),
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
			cmp.Compare(a.GetFingerprint(), b.GetFingerprint()), compareBool(a.GetPart(), b.GetPart()))
	})
	return list
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
