package entry

import (
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// applyLeaving records a report, by the server or by another entry, that the server is leaving.
// Leaving is final for the incarnation. It takes effect without control, so that an entry that
// is cut off from control obeys it too.
func (r *Reducer) applyLeaving(s *server, reason string) {
	if s.backpressure.Leaving {
		return
	}
	s.markLeaving()
	r.sharedFleet, r.dirty, r.peers.changePending = nil, true, true
	r.logServer(s, reason)
}

// unreportedLeaving returns the leaving servers that no report has contained yet.
func (r *Reducer) unreportedLeaving() []*pb.ServerLeaving {
	var list []*pb.ServerLeaving
	for _, s := range r.servers.sorted {
		if s.leavingUnreported {
			s.leavingUnreported = false
			list = append(list, s.leavingProto())
		}
	}
	return list
}

// allLeaving returns all servers that are known to leave.
func (r *Reducer) allLeaving() []*pb.ServerLeaving {
	var list []*pb.ServerLeaving
	for _, s := range r.servers.sorted {
		if s.backpressure.Leaving {
			list = append(list, s.leavingProto())
		}
	}
	return list
}

func (s *server) leavingProto() *pb.ServerLeaving {
	return &pb.ServerLeaving{Server: s.pb.Id, IncarnationHash: s.incarnationHash()}
}

// applyPeerLeaving applies other entries' reports. forward is set if this entry must report
// them further.
func (r *Reducer) applyPeerLeaving(list []*pb.ServerLeaving, forward bool) {
	for _, item := range list {
		s := r.servers.byIncarnationHash(item.GetServer(), item.GetIncarnationHash())
		if s == nil || s.backpressure.Leaving {
			continue
		}
		r.applyLeaving(s, "another entry reported that it is leaving")
		s.leavingUnreported = forward
	}
}
