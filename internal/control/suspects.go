package control

import (
	"cmp"
	"slices"
	"strings"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// maxSuspects bounds the suspects; the one quiet for longest goes first.
	maxSuspects = 4096
	// maxSuspectsPerDeath bounds what one report can add: an engine runs fewer
	// requests than this at once.
	maxSuspectsPerDeath = 512
)

// suspectKey is member and fingerprint: one member's request never
// quarantines another's.
type suspectKey struct {
	member      string
	fingerprint uint64
}

// suspects counts deaths of servers by the requests that ran on them.
type suspects struct {
	byKey map[suspectKey]*pb.Suspect
}

func newSuspects() suspects { return suspects{byKey: make(map[suspectKey]*pb.Suspect)} }

// applyDeaths counts each death once however many entries report it: the death
// of one incarnation counts once per suspect.
func (s *State) applyDeaths(u *pb.QuarantineUpdate) {
	for _, death := range u.GetDeaths() {
		list := death.GetSuspects()
		for _, q := range list[:min(len(list), maxSuspectsPerDeath)] {
			s.countDeath(death.GetServer()+"/"+death.GetIncarnation(), q)
		}
	}
	s.boundSuspects()
}

func (s *State) countDeath(death string, q *pb.Quarantine) {
	key := suspectKey{q.GetMember(), q.GetFingerprint()}
	sus := s.suspects.byKey[key]
	if sus == nil {
		sus = &pb.Suspect{Member: key.member, Fingerprint: key.fingerprint}
		s.suspects.byKey[key] = sus
	}
	if slices.Contains(sus.Deaths, death) {
		return
	}
	sus.LastUnixMs = s.nowMS
	limits := s.limits()
	if len(sus.Deaths) < limits.QuarantineDeaths {
		sus.Deaths = append(sus.Deaths, death)
	}
	s.touchView()
	sus.SuspectedVersion = s.index
	if len(sus.Deaths) >= limits.QuarantineDeaths {
		sus.Version = s.index
		sus.ExpiresUnixMs = s.nowMS + limits.QuarantineTime.Milliseconds()
	}
}

// expireSuspects forgets suspects that killed nothing for the quarantine time.
func (s *State) expireSuspects() {
	keep := s.limits().QuarantineTime.Milliseconds()
	for _, sus := range s.suspects.sorted() {
		ends := max(sus.GetLastUnixMs()+keep, sus.GetExpiresUnixMs())
		if s.nowMS >= ends {
			s.dropSuspect(sus)
		}
	}
}

func (s *State) boundSuspects() {
	excess := len(s.suspects.byKey) - maxSuspects
	if excess <= 0 {
		return
	}
	list := s.suspects.sorted()
	slices.SortStableFunc(list, func(a, b *pb.Suspect) int {
		return cmp.Compare(a.GetLastUnixMs(), b.GetLastUnixMs())
	})
	for _, sus := range list[:excess] {
		s.dropSuspect(sus)
	}
}

func (s *State) dropSuspect(sus *pb.Suspect) {
	delete(s.suspects.byKey, suspectKey{sus.GetMember(), sus.GetFingerprint()})
	if sus.GetVersion() == 0 {
		return
	}
	s.touchView()
	s.changes.bury(&pb.Tombstone{Quarantine: quarantineOf(sus)})
}

func quarantineOf(sus *pb.Suspect) *pb.Quarantine {
	return &pb.Quarantine{
		Member: sus.GetMember(), Fingerprint: sus.GetFingerprint(),
		ExpiresUnixMs: sus.GetExpiresUnixMs(), Deaths: uint32(len(sus.GetDeaths())),
	}
}

// sorted gives the suspects by member and fingerprint.
func (q *suspects) sorted() []*pb.Suspect {
	list := make([]*pb.Suspect, 0, len(q.byKey))
	for _, sus := range q.byKey {
		list = append(list, sus)
	}
	slices.SortFunc(list, func(a, b *pb.Suspect) int {
		return cmp.Or(strings.Compare(a.GetMember(), b.GetMember()),
			cmp.Compare(a.GetFingerprint(), b.GetFingerprint()))
	})
	return list
}
