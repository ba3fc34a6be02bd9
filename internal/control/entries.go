package control

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// entry is the replicated record of one entry.
type entry struct {
	info             *pb.EntryInfo
	version          uint64
	pastIncarnations []string
}

// applyEntries records entries that appeared, changed or expired. Claims that an entry's
// earlier incarnation left running become UNKNOWN, since it can't be known any more whether
// their calls were sent.
func (s *State) applyEntries(u *pb.EntryUpdate) {
	for _, info := range u.GetEntries() {
		name := info.GetIdentity().GetName()
		if name == "" {
			continue
		}
		e := &entry{info: proto.CloneOf(info)}
		if old := s.entries[name]; old != nil {
			e.pastIncarnations = old.pastIncarnations
			if incarnationOf(old.info) != incarnationOf(info) {
				s.markOwnerLost(old.info.GetIdentity())
				e.pastIncarnations = appendIncarnation(old.pastIncarnations, incarnationOf(old.info))
			}
		}
		s.bumpViewVersion()
		e.version = s.index
		s.entries[name] = e
	}
	for _, name := range u.GetRemoved() {
		old := s.entries[name]
		if old == nil {
			continue
		}
		s.markOwnerLost(old.info.GetIdentity())
		delete(s.entries, name)
		s.bumpViewVersion()
		s.changes.addTombstone(&pb.Tombstone{Entry: name})
	}
}

func incarnationOf(info *pb.EntryInfo) string { return info.GetIdentity().GetIncarnation() }

// appendIncarnation returns a new list with the incarnation that was replaced last, without the
// oldest ones.
func appendIncarnation(list []string, replaced string) []string {
	list = append(slices.Clone(list), replaced)
	return list[max(0, len(list)-maxPastIncarnations):]
}
