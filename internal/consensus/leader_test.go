package consensus

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// answer steps the leader on a message that the other replica is said to send.
func (c *cluster) answer(l, other *host, m *pb.Message) {
	m.From, m.To = other.id, l.id
	c.step(l, Receive{Message: m, Incarnation: other.disk.folder.Incarnation})
}

// elect lets the replica win the next election by the other's votes alone.
func (c *cluster) elect(t *testing.T, h, other *host) {
	t.Helper()
	for c.now < 20*time.Second {
		c.run(simStep)
		switch h.node.role {
		case preCandidate:
			c.answer(h, other, &pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE, Term: h.node.term + 1})
		case candidate:
			c.answer(h, other, &pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_VOTE_RESPONSE, Term: h.node.term})
		case leader:
			return
		}
	}
	t.Fatal("not elected")
}

// A user sees an accepted change gone. A leader appended it in an earlier term and
// was cut off; elected again, it counted the replicas that hold it by then and said
// accepted. But a leader that never saw it may still be elected and overwrite it,
// as long as nothing of the newer term is on a quorum.
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
	c.elect(t, l, other)
	c.run(20 * time.Millisecond)
	if l.node.log.commit >= earlier {
		t.Fatalf("index %d is committed before anybody else has it", earlier)
	}
	taken := func(index uint64) {
		c.answer(l, other, &pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, Term: l.node.term, Index: index})
	}
	taken(earlier)
	if l.node.log.commit >= earlier {
		t.Errorf("index %d of an earlier term is committed by counting", earlier)
	}
	taken(l.node.log.lastIndex())
	if l.node.log.commit != l.node.log.lastIndex() {
		t.Errorf("committed %d of %d once the own term's entry is on a quorum", l.node.log.commit, l.node.log.lastIndex())
	}
}

// An engine gets orders of two leaders. A leader's heartbeat was answered at once,
// but the answer was long on its way; meanwhile its sender's own wait for a leader
// went on, and it elected another. Counted from the answer, the old leader's lease
// would still run.
func TestLeaseCountsFromWhenTheHeartbeatWasSent(t *testing.T) {
	c := newCluster(22, 3)
	c.run(2 * time.Second)
	l := c.leader()
	for _, id := range c.ids {
		if id != l.id {
			c.blocked[link{id, l.id}] = true
		}
	}
	for round := l.node.lead.rounds.last; l.node.lead.rounds.last == round; {
		c.run(simStep)
	}
	round := l.node.lead.rounds.last
	sent, _ := l.node.lead.rounds.sent(round)
	c.run(60 * time.Millisecond)
	for _, id := range c.ids {
		if id != l.id {
			c.answer(l, c.hosts[id], &pb.Message{
				Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE, Term: l.node.term, Context: round,
			})
		}
	}
	if got, want := l.node.leaseEnd(), sent+l.node.cfg.LeaseDuration; got != want {
		t.Errorf("lease until %v, want %v: it was sent at %v and answered at %v", got, want, sent, l.node.now)
	}
}
