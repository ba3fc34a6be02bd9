package consensus

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// respond steps the leader on a message that appears to come from the other
// replica.
func (c *cluster) respond(l, other *host, m *pb.Message) {
	m.From, m.To = other.id, l.id
	c.step(l, Receive{Message: m, Incarnation: other.disk.identity.Incarnation})
}

// electWithVoteOf runs until the replica wins an election by the other's votes
// alone.
func (c *cluster) electWithVoteOf(t *testing.T, h, other *host) {
	t.Helper()
	for c.now < 20*time.Second {
		c.run(simStep)
		switch h.node.role {
		case preCandidate:
			c.respond(h, other, &pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE, Term: h.node.term + 1})
		case candidate:
			c.respond(h, other, &pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_VOTE_RESPONSE, Term: h.node.term})
		case leader:
			return
		}
	}
	t.Fatal("not elected")
}

// Guards against losing an accepted change. A leader appended it in an earlier term
// and was partitioned; elected again, it counts the replicas that hold the entry
// and commits it. A leader that never received the entry may still be elected and
// overwrite it, as long as a quorum holds no entry of the newer term.
func TestEntryOfAnEarlierTermIsNotCommittedByCounting(t *testing.T) {
	c := newCluster(21, 3)
	c.run(2 * time.Second)
	l := c.leader()
	other := c.hosts[c.ids[l.id%3]]
	for _, id := range c.ids {
		if id != l.id {
			c.crash(c.hosts[id])
		}
	}
	c.propose(l)
	c.run(20 * time.Millisecond)
	earlier := l.node.log.lastIndex()
	c.crash(l)
	c.start(l)
	c.electWithVoteOf(t, l, other)
	c.run(20 * time.Millisecond)
	if l.node.log.commit >= earlier {
		t.Fatalf("index %d is committed before any other replica has it", earlier)
	}
	acknowledge := func(index uint64) {
		c.respond(l, other, &pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, Term: l.node.term, Index: index})
	}
	acknowledge(earlier)
	if l.node.log.commit >= earlier {
		t.Errorf("index %d of an earlier term is committed by counting", earlier)
	}
	acknowledge(l.node.log.lastIndex())
	if l.node.log.commit != l.node.log.lastIndex() {
		t.Errorf("committed %d of %d once a quorum has the entry of the current term", l.node.log.commit, l.node.log.lastIndex())
	}
}

// Guards against two leaders that both give orders to an engine. A leader's
// heartbeat is answered at once, but the response is delayed. Meanwhile the
// follower's election timeout expires and it elects another leader. A lease counted
// from the response would still be valid at the old leader.
func TestLeaseCountsFromWhenTheHeartbeatWasSent(t *testing.T) {
	c := newCluster(22, 3)
	c.run(2 * time.Second)
	l := c.leader()
	for _, id := range c.ids {
		if id != l.id {
			c.blocked[link{id, l.id}] = true
		}
	}
	for round := l.node.leaderState.rounds.last; l.node.leaderState.rounds.last == round; {
		c.run(simStep)
	}
	round := l.node.leaderState.rounds.last
	sent, _ := l.node.leaderState.rounds.sendTime(round)
	c.run(60 * time.Millisecond)
	for _, id := range c.ids {
		if id != l.id {
			c.respond(l, c.hosts[id], &pb.Message{
				Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE, Term: l.node.term, Context: round,
			})
		}
	}
	if got, want := l.node.leaseEnd(), sent+l.node.cfg.LeaseDuration; got != want {
		t.Errorf("lease until %v, want %v: it was sent at %v and answered at %v", got, want, sent, l.node.now)
	}
}
