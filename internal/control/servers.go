package control

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/incarnation"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// maxPastIncarnations is how many replaced incarnations of one server are remembered.
	// An announcement that is late by more restarts than this is far older than the
	// entries' report interval.
	maxPastIncarnations = 8
	// goneRetention is how long a GONE server stays in the view before it is removed.
	goneRetention = 5 * time.Minute
	// orderedRetention is the same for a server that was sent an order: the longest
	// order_pause that settings allow. If the server were removed earlier, it could come
	// back and get an order while a copy of the old one is in flight.
	orderedRetention = time.Hour
	// maxServers bounds the servers that may register: nearly four times the intended fleet
	// size, so that announcements with made-up ids can't fill memory.
	maxServers = 10_000
)

// server is the record of a backend server as it announced itself. The view shows CHANGING
// instead of SERVING while an order is unresolved.
type server struct {
	info             *pb.BackendServer
	version          uint64
	pastIncarnations []string
	goneMS           int64
}

// applyRegister applies the leader's registrations. The leader decides which incarnation holds
// an address (see rival); one that is known to have started earlier never replaces another.
func (s *State) applyRegister(r *pb.RegisterServers) {
	for _, info := range r.GetServers() {
		if info.GetId() != "" {
			s.registerServer(info)
		}
	}
}

func (s *State) registerServer(info *pb.BackendServer) {
	sv := s.servers[info.GetId()]
	if sv == nil && len(s.servers) >= maxServers {
		return
	}
	if sv == nil {
		sv = &server{}
		s.servers[info.GetId()] = sv
	}
	if incarnation.Before(info.GetIncarnation(), sv.info.GetIncarnation()) {
		return
	}
	if previous := sv.info; previous != nil && previous.GetIncarnation() != info.GetIncarnation() {
		s.replaceIncarnation(sv, info.GetIncarnation())
	}
	sv.info = proto.CloneOf(info)
	sv.info.Drained, sv.info.ChecksFencing = false, false
	sv.goneMS = 0
	if info.GetState() == pb.ServerState_SERVER_STATE_GONE {
		sv.goneMS = s.nowMS
	}
	s.bumpViewVersion()
	sv.version = s.index
	s.abandonOrder(info)
}

// recorded returns the committed record, nil if there is none.
func (sv *server) recorded() *pb.BackendServer {
	if sv == nil {
		return nil
	}
	return sv.info
}

// replaceIncarnation remembers the incarnation that another one replaces. If it had left, it
// must not serve again.
func (s *State) replaceIncarnation(sv *server, next string) {
	previous := sv.info.GetIncarnation()
	sv.pastIncarnations = slices.DeleteFunc(slices.Clone(sv.pastIncarnations), func(id string) bool { return id == next })
	sv.pastIncarnations = appendIncarnation(sv.pastIncarnations, previous)
	if sv.hasLeft(previous) {
		s.departed.add(previous, s.nowMS)
	}
}

// wasReplaced reports whether another incarnation took the address of that one.
func (sv *server) wasReplaced(incarnationID string) bool {
	return sv != nil && slices.Contains(sv.pastIncarnations, incarnationID)
}

// hasLeft reports whether that incarnation is the current one and has said that it leaves.
// Records of builds without the field show it only until the server is GONE.
func (sv *server) hasLeft(incarnationID string) bool {
	return sv.info.GetIncarnation() == incarnationID &&
		(sv.info.GetLeft() || sv.info.GetState() == pb.ServerState_SERVER_STATE_LEAVING)
}

// bumpServerVersion marks the server as changed in the version that is being applied.
func (s *State) bumpServerVersion(id string) {
	if sv := s.servers[id]; sv != nil {
		s.bumpViewVersion()
		sv.version = s.index
	}
}

// bumpAllServerVersions marks all servers as changed: a declaration decides which of them
// check fencing tokens.
func (s *State) bumpAllServerVersions() {
	for _, sv := range s.servers {
		sv.version = s.index
	}
}

// serverView returns the server as it appears in the view.
func (s *State) serverView(sv *server) *pb.BackendServer {
	b := proto.CloneOf(sv.info)
	b.Left, b.Sequence = false, 0
	b.Drained = s.drained[b.GetId()]
	b.ChecksFencing = s.checksFencing(b.GetId())
	unresolved := s.unresolved(b.GetId())
	if unresolved != nil && b.GetState() == pb.ServerState_SERVER_STATE_SERVING {
		b.State = pb.ServerState_SERVER_STATE_CHANGING
	}
	return b
}

func (s *State) checksFencing(id string) bool {
	return s.declared.parsed != nil && s.declared.parsed.ChecksFencing(id)
}

// applyDrain sets or clears an operator's drain. A repeated call is answered but not
// applied again, since another operator may have cleared the drain meanwhile.
func (s *State) applyDrain(r *pb.DrainRequest) *pb.DrainResponse {
	id := r.GetServer()
	if s.requests.find(r.GetRequestId()) == nil {
		s.requests.remember(&pb.OperatorRequest{Id: r.GetRequestId(), Server: id})
		if r.GetDrained() {
			s.drained[id] = true
		} else {
			delete(s.drained, id)
		}
		s.bumpServerVersion(id)
	}
	sv := s.servers[id]
	if sv == nil {
		return &pb.DrainResponse{Server: &pb.BackendServer{Id: id, Drained: s.drained[id]}}
	}
	return &pb.DrainResponse{Server: s.serverView(sv)}
}

// serverExpired reports whether a server has been GONE for longer than its retention.
func (s *State) serverExpired(id string, sv *server, nowMS int64) bool {
	keep := goneRetention
	if o := s.orders[id]; o != nil && o.sentTerm() != 0 {
		keep = orderedRetention
	}
	return sv.goneMS != 0 && nowMS-sv.goneMS >= keep.Milliseconds()
}

// expireServers removes servers that have been GONE for longer than their retention.
func (s *State) expireServers() {
	var gone []string
	for id, sv := range s.servers {
		if s.serverExpired(id, sv, s.nowMS) {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		delete(s.servers, id)
		delete(s.orders, id)
		s.bumpViewVersion()
		s.changes.addTombstone(&pb.Tombstone{Server: id})
	}
}
