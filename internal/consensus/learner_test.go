package consensus

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// An operator sees a new replica stay a learner for good, though it runs and is
// reached. It was started, its folder was emptied and it was added by its id; then
// an answer of the emptied life came late. The list named that life for the learner,
// and the one that runs was refused. A schedule of TestSchedules with seed 23 met it.
func TestLateAnswerOfAnEarlierLifeBindsNoLearner(t *testing.T) {
	c := newCluster(11, 3)
	c.run(2 * time.Second)
	h := c.addHost(4, nil)
	early := proto.Clone(h.disk.folder).(*pb.ReplicaIdentity)
	c.crash(h)
	c.size = 4
	l := c.leader()
	for findMember(l.node.CommittedMembership(), h.id) == nil && c.now < 10*time.Second {
		c.run(simStep)
	}
	c.wipe(h, nil)
	c.start(h)
	late := &pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE, From: h.id, To: l.id, Term: l.node.term,
	}
	early.PastNonces = nil
	c.deliver(packet{from: early, to: &pb.ReplicaIdentity{Id: l.id}, m: late})
	c.propose(l)
	c.run(5 * time.Second)
	member := findMember(l.node.members.current(), h.id)
	if len(c.faults) > 0 || member.GetRole() != pb.ReplicaRole_REPLICA_ROLE_VOTER {
		t.Fatalf("replica %d of life %s is %v, faults %v", h.id, h.disk.folder.Incarnation, member, c.faults)
	}
	if member.Identity.Incarnation != h.disk.folder.Incarnation {
		t.Errorf("the list names %s, %s runs", member.Identity.Incarnation, h.disk.folder.Incarnation)
	}
}

// An operator sees a group that can't commit after a repair. A change that names a
// learner's life was appended, and before it was committed another life under that
// id answered for everything; the leader made the named one, which holds nothing and
// does not run, a voter on that word.
func TestAnswersOfALifeThatIsNotNamedCountNowhere(t *testing.T) {
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
	if pr := l.node.lead.progress[4]; pr == nil || pr.match != 0 || pr.heard {
		t.Errorf("the answer counts: %+v", pr)
	}
}
