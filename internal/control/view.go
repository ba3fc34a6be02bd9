package control

import (
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// View gives what an entry that knows the view up to a version must learn: a
// delta, or the whole view when it knows nothing, a version that this group
// never had, or one that the change index does not reach back to.
func (s *State) View(known uint64) *pb.WatchResponse {
	resp := &pb.WatchResponse{
		Version: s.changes.version, Revision: s.Revision(), KnownVersion: known,
	}
	if known == 0 || known > s.changes.version || known < s.changes.oldest {
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
			resp.Servers = append(resp.Servers, s.shown(sv))
		}
	}
	for _, e := range s.sortedEntries() {
		if e.version > known {
			resp.Entries = append(resp.Entries, e.info)
		}
	}
	for _, sus := range s.suspects.sorted() {
		if sus.GetVersion() > known {
			resp.Quarantine = append(resp.Quarantine, quarantineOf(sus))
		}
		if sus.GetVersion() == 0 && sus.GetSuspectedVersion() > known && !resp.GetFull() {
			resp.Suspects = append(resp.Suspects, quarantineOf(sus))
		}
	}
}

// addRemoved adds what has left since and has not come back.
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

func (d *declared) has(ref *pb.ObjectRef) bool {
	_, ok := d.places[objectKey{ref.GetKind(), ref.GetName()}]
	return ok
}

func (q *suspects) quarantined(was *pb.Quarantine) bool {
	sus := q.byKey[suspectKey{was.GetMember(), was.GetFingerprint()}]
	return sus.GetVersion() > 0
}
