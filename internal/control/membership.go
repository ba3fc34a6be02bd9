package control

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/decision/replicas"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// joinerTimeout is how long a replica counts as waiting after its last Join call: it calls
// several times a second.
const joinerTimeout = 3 * time.Second

// stoppingValidity is how long a replica counts as about to stop after its last HandOver call: it calls
// several times a second.
const stoppingValidity = time.Second

// joiner is a replica that waits to be added to the group.
type joiner struct {
	member     *pb.ReplicaMember
	lastSeenAt time.Duration
}

// onJoin records a replica that waits to be added. An address has one replica: the newest
// incarnation there replaces the earlier one.
func (r *Reducer) onJoin(id uint64, req *pb.JoinRequest) {
	m := req.GetMember()
	if m.GetIdentity().GetId() == 0 || m.GetIdentity().GetIncarnation() == "" || m.GetAddress() == "" {
		r.reply(id, nil, invalid("the replica's id, incarnation or address is missing"))
		return
	}
	if r.node.IsRemoved(m.GetIdentity()) {
		// Added while it was away, and removed since it was silent, it has no member list and so speaks to nobody who
		// could tell it. If it waited, the group would try to add it, and no other one, for good.
		r.log(slog.LevelWarn, "removed replica asks to join", Field{"replica", m.GetIdentity().GetId()}, Field{"address", m.GetAddress()})
		r.reply(id, &pb.JoinResponse{Term: r.term, Replicas: memberAddresses(r.members), Removed: true}, nil)
		return
	}
	if r.lead.joiners[m.GetAddress()] == nil {
		r.log(slog.LevelInfo, "replica is waiting to join", Field{"replica", m.GetIdentity().GetId()},
			Field{"address", m.GetAddress()}, Field{"mends", r.cfg.TargetVoters > 0})
	}
	r.lead.joiners[m.GetAddress()] = &joiner{member: proto.CloneOf(m), lastSeenAt: r.now}
	r.lead.introductions.recordAsked(m.GetAddress(), r.now)
	r.reply(id, &pb.JoinResponse{Term: r.term, Replicas: memberAddresses(r.members)}, nil)
}

// onHandOver records that a replica is about to stop, and answers whether another one can take its place.
//
// Failure: a voter's machine is removed as planned, its successor has long been there and waits. Until the silence has
// lasted, the group bears one loss less than it should.
func (r *Reducer) onHandOver(id uint64, req *pb.HandOverRequest) {
	group := r.node.Status()
	isVoter, waiting := false, group.Replacing || len(r.lead.joiners) > 0
	for _, s := range group.Replicas {
		isVoter = isVoter || s.ID == req.GetReplica() && s.Voter
		waiting = waiting || !s.Voter && s.Active
	}
	successor := isVoter && waiting && r.cfg.TargetVoters > 0
	if successor {
		r.lead.stoppingAt[req.GetReplica()] = r.now
	}
	r.log(slog.LevelInfo, "replica is about to stop", Field{"replica", req.GetReplica()}, Field{"successor", successor})
	r.reply(id, &pb.HandOverResponse{Successor: successor}, nil)
}

// isStopping reports whether a replica has said of late that it is about to stop.
func (r *Reducer) isStopping(id uint64) bool {
	at, ok := r.lead.stoppingAt[id]
	return ok && r.now-at < stoppingValidity
}

// reconcileMembership proposes the next change that brings the member list to the target
// number of reachable voters.
func (r *Reducer) reconcileMembership() {
	if r.cfg.TargetVoters == 0 || r.lead.membershipChangePending || r.node.Status().Replacing {
		return
	}
	maps.DeleteFunc(r.lead.joiners, func(_ string, j *joiner) bool { return r.now-j.lastSeenAt > joinerTimeout })
	g := r.replicaGroup()
	r.observeGroup(g)
	c, ok := replicas.NextChange(g)
	if !ok {
		return
	}
	change := consensus.MembershipChange{RemoveID: c.Remove, PromoteID: c.Promote}
	id := c.Remove
	if c.Add != nil {
		id = c.Add.ID
		change = consensus.MembershipChange{Add: proto.CloneOf(r.lead.joiners[c.Add.Address].member)}
	}
	r.log(slog.LevelWarn, "control group membership change proposed", Field{"add", c.Add != nil}, Field{"replica", id},
		Field{"successor", c.Promote}, Field{"reason", c.Reason}, Field{"voters_wanted", r.cfg.TargetVoters})
	r.proposeReconciledMembership(change)
}

func (r *Reducer) proposeReconciledMembership(change consensus.MembershipChange) {
	lead := r.lead
	lead.membershipChangePending = true
	r.nextID++
	r.proposals[r.nextID] = &proposal{
		done: func(proto.Message, bool) { lead.membershipChangePending = false },
		refused: func(reason consensus.RefusalReason) {
			lead.membershipChangePending = false
			r.log(slog.LevelInfo, "control group membership change refused; will be retried", Field{"reason", membershipError(reason).Error()})
		},
	}
	r.stepNode(consensus.ProposeMembership{ID: r.nextID, Change: change})
}

// replicaGroup returns the input of the membership decision.
func (r *Reducer) replicaGroup() replicas.Group {
	g := replicas.Group{TargetVoters: r.cfg.TargetVoters}
	status := make(map[uint64]consensus.ReplicaStatus)
	for _, s := range r.node.Status().Replicas {
		status[s.ID] = s
	}
	for _, m := range r.members.GetMembers() {
		id := m.GetIdentity().GetId()
		g.Members = append(g.Members, replicas.Member{
			ID: id, Address: m.GetAddress(), Voter: m.GetRole() != pb.ReplicaRole_REPLICA_ROLE_LEARNER,
			Leader: id == r.cfg.ID, SilentFor: status[id].SinceLastContact, CaughtUp: status[id].CaughtUp,
			Leaving: r.isStopping(id),
		})
	}
	for _, address := range slices.Sorted(maps.Keys(r.lead.joiners)) {
		j := r.lead.joiners[address].member
		g.Joiners = append(g.Joiners, replicas.Joiner{ID: j.GetIdentity().GetId(), Address: address})
	}
	return g
}
