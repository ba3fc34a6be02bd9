package consensus

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Guards against a learner that is never promoted though it runs and is reachable.
// It was started, its folder was emptied and its id was added; then a delayed
// response of the first incarnation arrives. If that incarnation were recorded in
// the member list, the running one would be refused.
func TestLateResponseOfAnEarlierIncarnationBindsNoLearner(t *testing.T) {
	c := newCluster(11, 3)
	c.run(2 * time.Second)
	h := c.addHost(4, nil)
	earlier := proto.Clone(h.disk.identity).(*pb.ReplicaIdentity)
	c.crash(h)
	c.targetVoters = 4
	l := c.leader()
	for findMember(l.node.CommittedMembership(), h.id) == nil && c.now < 10*time.Second {
		c.run(simStep)
	}
	c.wipe(h, nil)
	c.start(h)
	delayed := &pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE, From: h.id, To: l.id, Term: l.node.term,
	}
	earlier.PastNonces = nil
	c.deliver(packet{from: earlier, to: &pb.ReplicaIdentity{Id: l.id}, m: delayed})
	c.propose(l)
	c.run(5 * time.Second)
	member := findMember(l.node.members.current(), h.id)
	if len(c.violations) > 0 || member.GetRole() != pb.ReplicaRole_REPLICA_ROLE_VOTER {
		t.Fatalf("replica %d with incarnation %s is %v, violations %v", h.id, h.disk.identity.Incarnation, member, c.violations)
	}
	if member.Identity.Incarnation != h.disk.identity.Incarnation {
		t.Errorf("the list contains incarnation %s, but %s runs", member.Identity.Incarnation, h.disk.identity.Incarnation)
	}
}

// Guards against a group that can't commit after a repair. A change that lists a
// learner's incarnation is appended but not committed, and another incarnation
// under that id acknowledges all entries. If these responses counted, the leader
// would promote the listed incarnation, which holds nothing and does not run.
func TestResponsesOfAnUnlistedIncarnationAreIgnored(t *testing.T) {
	c := newCluster(12, 3)
	c.run(2 * time.Second)
	l := c.leader()
	c.step(l, ProposeMembership{Change: MembershipChange{Add: &pb.ReplicaMember{
		Identity: &pb.ReplicaIdentity{Id: 4, Incarnation: "named"}, Address: "4",
	}}})
	if !l.node.members.pending(l.node.log.commit) {
		t.Fatal("the change is committed already")
	}
	c.step(l, Receive{Incarnation: "other", Message: &pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, From: 4, To: l.id,
		Term: l.node.term, Index: l.node.log.lastIndex(),
	}})
	if pr := l.node.leaderState.progress[4]; pr == nil || pr.match != 0 || pr.answeredInTerm {
		t.Errorf("the response was counted: %+v", pr)
	}
}
