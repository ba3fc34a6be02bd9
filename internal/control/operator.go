package control

import (
	"fmt"
	"log/slog"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// onApplyDeclaration checks that the digest matches the objects before the declaration is
// proposed. Conflicts between operators are decided when the command is applied.
func (r *Reducer) onApplyDeclaration(id uint64, req *pb.ApplyRequest) {
	d := req.GetDeclaration()
	if size := proto.Size(d); r.cfg.MaxDeclarationBytes > 0 && size > r.cfg.MaxDeclarationBytes {
		r.log(slog.LevelWarn, "declaration too large", Field{"revision", d.GetRevision()}, Field{"bytes", size},
			Field{"limit_bytes", r.cfg.MaxDeclarationBytes}, Field{"document_bytes", len(d.GetDocument())})
		r.reply(id, nil, invalid(fmt.Sprintf("the declaration is too large: it takes %d bytes in control's log, of %d that its memory and disk allow",
			size, r.cfg.MaxDeclarationBytes)))
		return
	}
	declaration.SortObjects(d.GetObjects())
	switch {
	case d.GetRevision() == 0:
		r.reply(id, nil, invalid("the declaration has no revision"))
		return
	case d.GetAuthor() == "":
		r.reply(id, nil, invalid("the declaration has no author"))
		return
	case declaration.Digest(d.GetObjects()) != d.GetDigest():
		r.reply(id, nil, invalid("the digest does not fit the objects"))
		return
	}
	cmd := &pb.Command{Op: &pb.Command_Apply{Apply: req}}
	refused := func(reason consensus.RefusalReason) { r.onApplyRefused(id, d, reason) }
	r.start(cmd, &proposal{refused: refused, done: func(answer proto.Message, ok bool) {
		r.replyApplied(id, answer, ok)
		if resp, is := answer.(*pb.ApplyResponse); is && ok {
			r.log(slog.LevelInfo, "declaration", Field{"revision", d.GetRevision()}, Field{"base", d.GetBase()},
				Field{"author", d.GetAuthor()}, Field{"accepted", resp.GetAccepted()},
				Field{"repeated", resp.GetRepeated()}, Field{"refusal", resp.GetRefusal()})
		}
	}})
}

// onApplyRefused answers a declaration that the log did not take.
func (r *Reducer) onApplyRefused(id uint64, d *pb.Declaration, reason consensus.RefusalReason) {
	if reason != consensus.Overloaded {
		r.reply(id, nil, r.notLeader())
		return
	}
	r.log(slog.LevelWarn, "declaration refused: too much waits to be committed", Field{"revision", d.GetRevision()}, Field{"bytes", proto.Size(d)})
	r.reply(id, nil, errLogBusy)
}

func (r *Reducer) onDrain(id uint64, req *pb.DrainRequest) {
	if r.state.servers[req.GetServer()] == nil && !r.state.drained[req.GetServer()] {
		r.reply(id, nil, invalid("no backend server "+req.GetServer()+" is known"))
		return
	}
	r.log(slog.LevelInfo, "drain", Field{"server", req.GetServer()}, Field{"drained", req.GetDrained()})
	r.proposeCall(id, &pb.Command{Op: &pb.Command_Drain{Drain: req}})
}

// onChangeRole proposes an operator's order. A repeated request id returns the existing
// order in its latest state.
func (r *Reducer) onChangeRole(id uint64, req *pb.ChangeRoleRequest) {
	if known := r.state.requests.find(req.GetRequestId()); known.GetOrder() != nil {
		r.reply(id, &pb.ChangeRoleResponse{Order: proto.CloneOf(known.GetOrder())}, nil)
		return
	}
	sv := r.state.servers[req.GetServer()]
	switch {
	case req.GetRequestId() == "":
		r.reply(id, nil, invalid("the call has no request id"))
		return
	case sv == nil:
		r.reply(id, nil, invalid("no backend server "+req.GetServer()+" is known"))
		return
	case req.GetRole() == pb.EngineRole_ENGINE_ROLE_UNSPECIFIED:
		r.reply(id, nil, invalid("the call names no role"))
		return
	}
	order := &pb.Order{
		Id: req.GetRequestId(), Server: req.GetServer(), Incarnation: sv.info.GetIncarnation(),
		Kind: pb.OrderKind_ORDER_KIND_SET_ROLE, Role: req.GetRole(), Reason: "operator",
	}
	r.proposeOrder(order, func(answer *pb.ChangeRoleResponse, ok bool) {
		r.replyApplied(id, answer, ok)
	})
}

// onChangeReplica adds or removes one member of the control group.
func (r *Reducer) onChangeReplica(id uint64, req *pb.ChangeReplicaRequest) {
	member := req.GetMember()
	replicaID := member.GetIdentity().GetId()
	if replicaID == 0 {
		r.reply(id, nil, invalid("the replica id is missing"))
		return
	}
	switch req.GetChange() {
	case pb.ReplicaChange_REPLICA_CHANGE_ADD:
		if member.GetAddress() == "" {
			r.reply(id, nil, invalid("the replica's address is missing"))
			return
		}
		r.proposeMembership(id, consensus.MembershipChange{Add: member})
	case pb.ReplicaChange_REPLICA_CHANGE_REMOVE:
		r.proposeMembership(id, consensus.MembershipChange{RemoveID: replicaID})
	default:
		r.reply(id, nil, invalid("the change is neither add nor remove"))
		return
	}
	r.log(slog.LevelInfo, "replica change requested", Field{"change", req.GetChange().String()}, Field{"replica", replicaID})
}

// status returns what operators see: the state with the leader's leases and loads.
func (r *Reducer) status() *pb.StatusResponse {
	resp := &pb.StatusResponse{
		Revision: r.state.Revision(), ViewVersion: r.state.ViewVersion(),
		Term: r.term, Leader: r.leader,
		RoleChanges: r.state.roleChanges, OpenClaims: r.state.claims.countRunning(),
	}
	for _, e := range r.state.sortedEntries() {
		info := proto.CloneOf(e.info)
		if t := r.lead.entries[info.GetIdentity().GetName()]; t != nil {
			info.Revision, info.ViewVersion = t.revision, t.knownVersion
		}
		resp.Entries = append(resp.Entries, info)
	}
	for _, sv := range r.state.sortedServers() {
		resp.Servers = append(resp.Servers, r.serverStatus(sv))
	}
	for _, suspect := range r.state.suspects.sorted() {
		if suspect.GetVersion() > 0 {
			resp.Quarantine = append(resp.Quarantine, quarantineOf(suspect))
		}
	}
	return resp
}

func (r *Reducer) serverStatus(sv *server) *pb.ServerStatus {
	id := sv.info.GetId()
	st := &pb.ServerStatus{Server: r.state.serverView(sv)}
	if o := r.state.unresolved(id); o != nil {
		st.Unresolved = proto.CloneOf(o)
	}
	if t := r.lead.servers[id]; t != nil {
		st.Load = t.load
		st.LeaseLeftMs = uint32(max(0, (t.leaseUntil - r.now).Milliseconds()))
	}
	return st
}

func (r *Reducer) replicas() *pb.ListReplicasResponse {
	st := r.node.Status()
	resp := &pb.ListReplicasResponse{CommitIndex: st.Commit, Term: st.Term}
	for _, m := range r.members.GetMembers() {
		id := m.GetIdentity().GetId()
		rs := &pb.ReplicaStatus{Member: m, Leader: id == r.leader}
		for _, p := range st.Replicas {
			if p.ID == id {
				rs.MatchIndex, rs.RecentlyActive = p.Match, p.Active
				rs.SilentMs = uint32(p.SinceLastContact.Milliseconds())
			}
		}
		resp.Replicas = append(resp.Replicas, rs)
	}
	return resp
}
