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

// joinerKept is how long a replica that asked to join counts as waiting: it asks
// several times a second.
const joinerKept = 3 * time.Second

// joiner is a replica that waits to be added.
type joiner struct {
	member *pb.ReplicaMember
	at     time.Duration
}

// onJoin notes a replica that waits. One address has one replica: the newest life
// there counts.
func (r *Reducer) onJoin(id uint64, req *pb.JoinRequest) {
	m := req.GetMember()
	if m.GetIdentity().GetId() == 0 || m.GetIdentity().GetIncarnation() == "" || m.GetAddress() == "" {
		r.reply(id, nil, invalid("the replica's id, incarnation or address is missing"))
		return
	}
	if r.lead.joiners[m.GetAddress()] == nil {
		r.log(slog.LevelInfo, "replica waits to join", Field{"replica", m.GetIdentity().GetId()},
			Field{"address", m.GetAddress()}, Field{"mends", r.cfg.TargetVoters > 0})
	}
	r.lead.joiners[m.GetAddress()] = &joiner{member: proto.CloneOf(m), at: r.now}
	r.reply(id, &pb.JoinResponse{}, nil)
}

// mend makes the next change of the member list that the group needs.
func (r *Reducer) mend() {
	if r.cfg.TargetVoters == 0 || r.lead.mending {
		return
	}
	maps.DeleteFunc(r.lead.joiners, func(_ string, j *joiner) bool { return r.now-j.at > joinerKept })
	c, ok := replicas.NextChange(r.group())
	if !ok {
		return
	}
	change := consensus.MembershipChange{RemoveID: c.Remove}
	id := c.Remove
	if c.Add != nil {
		id = c.Add.ID
		change = consensus.MembershipChange{Add: proto.CloneOf(r.lead.joiners[c.Add.Address].member)}
	}
	r.log(slog.LevelWarn, "group mends itself", Field{"add", c.Add != nil}, Field{"replica", id},
		Field{"reason", c.Reason}, Field{"voters_wanted", r.cfg.TargetVoters})
	r.proposeMend(change)
}

func (r *Reducer) proposeMend(change consensus.MembershipChange) {
	lead := r.lead
	lead.mending = true
	r.nextID++
	r.proposals[r.nextID] = &proposal{
		done: func(proto.Message, bool) { lead.mending = false },
		refused: func(reason consensus.RefusalReason) {
			lead.mending = false
			r.log(slog.LevelInfo, "member list not changed yet", Field{"reason", membershipError(reason).Error()})
		},
	}
	r.stepNode(consensus.ProposeMembership{ID: r.nextID, Change: change})
}

// group is what the decision on the member list sees.
func (r *Reducer) group() replicas.Group {
	g := replicas.Group{TargetVoters: r.cfg.TargetVoters}
	silent := make(map[uint64]time.Duration)
	for _, s := range r.node.Status().Replicas {
		silent[s.ID] = s.SinceLastContact
	}
	for _, m := range r.members.GetMembers() {
		id := m.GetIdentity().GetId()
		g.Members = append(g.Members, replicas.Member{
			ID: id, Address: m.GetAddress(), Voter: m.GetRole() == pb.ReplicaRole_REPLICA_ROLE_VOTER,
			Leader: id == r.cfg.ID, SilentFor: silent[id],
		})
	}
	for _, address := range slices.Sorted(maps.Keys(r.lead.joiners)) {
		j := r.lead.joiners[address].member
		g.Joiners = append(g.Joiners, replicas.Joiner{ID: j.GetIdentity().GetId(), Address: address})
	}
	return g
}
