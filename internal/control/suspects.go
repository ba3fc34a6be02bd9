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

// applyDeaths counts the death of one incarnation once per suspect, no matter how many
// entries report it.
func (s *State) applyDeaths(u *pb.QuarantineUpdate) {
	for _, death := range u.GetDeaths() {
		list := death.GetSuspects()
		for _, q := range list[:min(len(list), maxSuspectsPerDeath)] {
			s.countDeath(death.GetServer()+"/"+death.GetIncarnation(), q)
		}
	}
	s.evictSuspects()
}

func (s *State) countDeath(death string, q *pb.Quarantine) {
	key := suspectKey{q.GetMember(), q.GetFingerprint()}
	suspect := s.suspects.byKey[key]
	if suspect == nil {
		suspect = &pb.Suspect{Member: key.member, Fingerprint: key.fingerprint}
		s.suspects.byKey[key] = suspect
	}
	if slices.Contains(suspect.Deaths, death) {
		return
	}
	suspect.LastUnixMs = s.nowMS
	limits := s.limits()
	if len(suspect.Deaths) < limits.QuarantineCrashes {
		suspect.Deaths = append(suspect.Deaths, death)
	}
	s.bumpViewVersion()
	suspect.SuspectedVersion = s.index
	if len(suspect.Deaths) >= limits.QuarantineCrashes {
		suspect.Version = s.index
		suspect.ExpiresUnixMs = s.nowMS + limits.QuarantineTime.Milliseconds()
	}
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
