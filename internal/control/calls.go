package control

import (
	"log/slog"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// clusterRequest is the interface that all requests of the Control and Operator services
// share.
type clusterRequest interface {
	proto.Message
	GetClusterId() string
}

// onCall handles an RPC. It first rejects calls with another cluster's id; the rest is
// served only by a leader that is ready, except for introductions and views without a lease.
func (r *Reducer) onCall(c Call) {
	req, ok := c.Request.(clusterRequest)
	if !ok || req.GetClusterId() != r.cfg.Cluster {
		r.log(slog.LevelWarn, "call rejected: cluster id does not match",
			Field{"call", string(c.Request.ProtoReflect().Descriptor().Name())})
		r.reply(c.ID, nil, invalid("the cluster id is not "+r.cfg.Cluster))
		return
	}
	if introduction, ok := req.(*pb.IntroduceRequest); ok {
		r.onIntroduce(c.ID, introduction)
		return
	}
	if r.lead == nil {
		r.answerWithoutLead(c.ID, req)
		return
	}
	r.dispatch(c.ID, req)
}

// answerWithoutLead answers a call at a replica that does not lead.
func (r *Reducer) answerWithoutLead(id uint64, req clusterRequest) {
	if watch, ok := req.(*pb.WatchRequest); ok {
		r.answerWithoutLease(id, watch.GetKnownVersion())
		return
	}
	r.reply(id, nil, r.notLeader())
}

func (r *Reducer) dispatch(id uint64, req clusterRequest) {
	switch q := req.(type) {
	case *pb.WatchRequest:
		r.onWatch(id, q)
	case *pb.ReportRequest:
		r.onReport(id, q)
	case *pb.ClaimRequest:
		r.onClaim(id, q)
	case *pb.SettleRequest:
		r.onSettle(id, q)
	case *pb.ApplyRequest:
		r.onApplyDeclaration(id, q)
	case *pb.GetDeclarationRequest:
		r.readCall(id, func() proto.Message {
			return &pb.GetDeclarationResponse{Declaration: r.state.declared.proto}
		})
	case *pb.StatusRequest:
		r.readCall(id, func() proto.Message { return r.status() })
	case *pb.DrainRequest:
		r.onDrain(id, q)
	case *pb.ChangeRoleRequest:
		r.onChangeRole(id, q)
	case *pb.ListReplicasRequest:
		r.readCall(id, func() proto.Message { return r.replicas() })
	case *pb.ChangeReplicaRequest:
		r.onChangeReplica(id, q)
	case *pb.JoinRequest:
		r.onJoin(id, q)
	case *pb.HandOverRequest:
		r.onHandOver(id, q)
	default:
		r.reply(id, nil, invalid("unknown call"))
	}
}

func (r *Reducer) onClaim(id uint64, req *pb.ClaimRequest) {
	if len(req.GetClaims()) > MaxClaimBatch {
		r.reply(id, nil, invalid("too many claims in one call"))
		return
	}
	for _, c := range req.GetClaims() {
		if c.GetMember() == "" || c.GetRequestId() == "" || c.GetOwner().GetIncarnation() == "" {
			r.reply(id, nil, invalid("a claim lacks member, request id or owner"))
			return
		}
	}
	r.proposeCall(id, &pb.Command{Op: &pb.Command_Claim{Claim: req}})
}

func (r *Reducer) onSettle(id uint64, req *pb.SettleRequest) {
	if len(req.GetSettlements()) > MaxClaimBatch {
		r.reply(id, nil, invalid("too many settlements in one call"))
		return
	}
	r.proposeCall(id, &pb.Command{Op: &pb.Command_Settle{Settle: req}})
}
