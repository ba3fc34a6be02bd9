package entry

import (
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// heardLeaving takes a server's word, or another entry's, that it leaves. It is final for its
// life, and needs no control: an entry that is cut off obeys it too.
func (r *Reducer) heardLeaving(s *server, reason string) {
	if s.wants.Leaving {
		return
	}
	s.leave()
	r.sharedFleet, r.dirty, r.peers.changed = nil, true, true
	r.logServer(s, reason)
}

// newLeaving gives the servers that leave of which no report has told yet.
func (r *Reducer) newLeaving() []*pb.ServerLeaving {
	var list []*pb.ServerLeaving
	for _, s := range r.servers.sorted {
		if s.leaveIsNew {
			s.leaveIsNew = false
			list = append(list, s.leavingProto())
		}
	}
	return list
}

// allLeaving gives all that are known to leave.
func (r *Reducer) allLeaving() []*pb.ServerLeaving {
	var list []*pb.ServerLeaving
	for _, s := range r.servers.sorted {
		if s.wants.Leaving {
			list = append(list, s.leavingProto())
		}
	}
	return list
}

func (s *server) leavingProto() *pb.ServerLeaving {
	return &pb.ServerLeaving{Server: s.pb.Id, IncarnationHash: s.lifeHash()}
}

// heardOthersLeaving takes what other entries know. pass tells that others are to be told.
func (r *Reducer) heardOthersLeaving(list []*pb.ServerLeaving, pass bool) {
	for _, told := range list {
		s := r.servers.lifeByHash(told.GetServer(), told.GetIncarnationHash())
		if s == nil || s.wants.Leaving {
			continue
		}
		r.heardLeaving(s, "another entry was told that it leaves")
		s.leaveIsNew = pass
	}
}
