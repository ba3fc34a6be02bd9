package control

import (
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// View returns the update for an entry that has the view of the known version: a delta, or
// the full view if known is zero, is a version that this group never had, or is older than
// the change index covers.
func (s *State) View(known uint64) *pb.WatchResponse {
	resp := &pb.WatchResponse{
		Version: s.changes.version, Revision: s.Revision(), KnownVersion: known,
	}
	if known == 0 || known > s.changes.version || known < s.changes.oldestDelta {
		resp.Full = true
		known = 0
	}
	s.addChanged(resp, known)
	if !resp.Full {
		s.addRemoved(resp, known)
	}
	return resp
}

func (s *State) addChanged(resp *pb.WatchResponse, known uint64) {
	for i, o := range s.declared.proto.GetObjects() {
		if s.declared.versions[i] > known {
			resp.Objects = append(resp.Objects, o)
		}
	}
	for _, sv := range s.sortedServers() {
		if sv.version > known {
			resp.Servers = append(resp.Servers, s.serverView(sv))
		}
	}
	for _, e := range s.sortedEntries() {
		if e.version > known {
			resp.Entries = append(resp.Entries, e.info)
		}
	}
	for _, suspect := range s.suspects.sorted() {
		if suspect.GetVersion() > known {
			resp.Quarantine = append(resp.Quarantine, quarantineOf(suspect))
		}
		if suspect.GetVersion() == 0 && suspect.GetSuspectedVersion() > known && !resp.GetFull() {
			resp.Suspects = append(resp.Suspects, quarantineOf(suspect))
		}
	}
}

// addRemoved adds what was removed since the known version and was not added again.
func (s *State) addRemoved(resp *pb.WatchResponse, known uint64) {
	for _, t := range s.changes.since(known) {
		switch {
		case t.GetObject() != nil:
			if !s.declared.has(t.GetObject()) {
				resp.RemovedObjects = append(resp.RemovedObjects, t.GetObject())
			}
		case t.GetServer() != "":
			if s.servers[t.GetServer()] == nil {
				resp.RemovedServers = append(resp.RemovedServers, t.GetServer())
			}
		case t.GetEntry() != "":
			if s.entries[t.GetEntry()] == nil {
				resp.RemovedEntries = append(resp.RemovedEntries, t.GetEntry())
			}
		case t.GetQuarantine() != nil:
			if !s.suspects.quarantined(t.GetQuarantine()) {
				resp.RemovedQuarantine = append(resp.RemovedQuarantine, t.GetQuarantine())
			}
		}
	}
}

func (d *declarationState) has(ref *pb.ObjectRef) bool {
	_, ok := d.positions[objectKey{ref.GetKind(), ref.GetName()}]
	return ok
}

func (q *suspects) quarantined(quarantine *pb.Quarantine) bool {
	suspect := q.byKey[suspectKeyOf(quarantine)]
	return suspect.GetVersion() > 0
}
