package consensus

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func TestThreeReplicasElectAndCommit(t *testing.T) {
	c := newCluster(1, 3)
	c.run(2 * time.Second)
	l := c.leader()
	if l == nil {
		t.Fatal("no leader after 2s")
	}
	before := c.applied
	for range 50 {
		c.propose(l)
		c.run(3 * time.Millisecond)
	}
	c.read(l)
	c.run(time.Second)
	if len(c.faults) > 0 {
		t.Fatal(c.faults)
	}
	for _, id := range c.ids {
		if h := c.hosts[id]; h.applied < before+50 {
			t.Errorf("replica %d applied %d, want at least %d", id, h.applied, before+50)
		}
	}
	if c.done == 0 || l.leaseUntil <= c.now {
		t.Errorf("%d reads done, lease until %v at %v", c.done, l.leaseUntil, c.now)
	}
}

// An operator sees a group of two without a leader for good, with both replicas
// up. The leader was told to remove itself, appended that, and was killed before
// the other had it. The other needs its vote, which it refuses: its own log is
// longer; but it did not stand either, since its own list leaves it out.
func TestReplicaWithUncommittedOwnRemovalStandsForElection(t *testing.T) {
	c := newCluster(3, 3)
	c.size = 2
	c.run(2 * time.Second)
	l := c.leader()
	other, third := c.ids[l.id%3], c.ids[(l.id+1)%3]
	c.step(l, ProposeMembership{Change: MembershipChange{RemoveID: third}})
	c.run(300 * time.Millisecond)
	c.blocked[link{l.id, other}] = true
	c.step(l, ProposeMembership{Change: MembershipChange{RemoveID: l.id}})
	c.run(100 * time.Millisecond)
	if findMember(l.disk.lastList(), l.id) != nil {
		t.Fatal("the removal is not in the leader's log")
	}
	c.crash(l)
	clear(c.blocked)
	c.start(l)
	c.run(3 * time.Second)
	if now := c.leader(); len(c.faults) > 0 || now == nil || now.id != other {
		t.Fatalf("leader %v, faults %v", now, c.faults)
	}
}

// An operator sees a control replica crash in a loop: a process of another
// version, or a broken one that holds the key, sends it messages that make no
// sense. Whatever their fields say, a replica must not panic.
func TestGarbageDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(1, 3)
		c.run(time.Second)
		h := c.hosts[rapid.Uint64Range(1, 3).Draw(t, "replica")]
		small := rapid.Uint64Range(0, 12)
		for range 20 {
			m := &pb.Message{
				Kind: pb.MessageKind(rapid.Int32Range(0, 14).Draw(t, "kind")),
				From: small.Draw(t, "from"), To: h.id, Term: small.Draw(t, "term"),
				LogTerm: small.Draw(t, "log term"), Index: small.Draw(t, "index"), Commit: small.Draw(t, "commit"),
				Reject: rapid.Bool().Draw(t, "reject"), RejectHint: small.Draw(t, "hint"),
				Context: small.Draw(t, "context"), ChunkOffset: small.Draw(t, "offset"), Force: rapid.Bool().Draw(t, "force"),
			}
			for range rapid.IntRange(0, 3).Draw(t, "entries") {
				m.Entries = append(m.Entries, &pb.LogEntry{
					Index: small.Draw(t, "entry index"), Term: small.Draw(t, "entry term"),
					Kind: pb.LogEntryKind(rapid.Int32Range(0, 2).Draw(t, "entry kind")),
					Data: rapid.SliceOfN(rapid.Byte(), 0, 6).Draw(t, "data"),
				})
			}
			if rapid.Bool().Draw(t, "snapshot") {
				m.Snapshot = &pb.SnapshotMeta{Index: small.Draw(t, "at"), Size: small.Draw(t, "size"), Membership: &pb.Membership{Members: make([]*pb.ReplicaMember, 1)}}
				m.Chunk = rapid.SliceOfN(rapid.Byte(), 0, 6).Draw(t, "chunk")
			}
			c.step(h, Receive{Message: m})
			c.step(h, Tick{})
			for h.node != nil && len(h.writes) > 0 {
				c.sync(h)
			}
		}
	})
}

// A user sees accepted changes gone. A control VM lost its disk and was replaced;
// at the very moment when the new replica got its vote, a second VM lost its disk,
// and the rest elected a leader. Had the new replica voted before it held all that
// was committed, the leader could lack some of it.
func TestSecondReplicaLostRightAfterRepair(t *testing.T) {
	for name, loseLeader := range map[string]bool{"a follower": false, "the leader": true} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 20; seed++ {
				secondLoss(t, seed, loseLeader)
			}
		})
	}
}

func secondLoss(t *testing.T, seed uint64, loseLeader bool) {
	c := newCluster(seed, 3)
	c.run(2 * time.Second)
	l := c.leader()
	first, second := c.hosts[c.ids[l.id%3]], c.hosts[c.ids[(l.id+1)%3]]
	if loseLeader {
		second = l
	}
	c.lose(first)
	for repaired := false; !repaired; c.run(simStep) {
		members := l.node.members.current()
		repaired = len(members.Removed) == 1 && len(voterIDs(members)) == 3
		if c.now > 20*time.Second {
			t.Fatalf("seed %d: the group is not repaired: %v", seed, members)
		}
	}
	before := c.applied
	c.lose(second)
	c.run(5 * time.Second)
	now := c.leader()
	if len(c.faults) > 0 || now == nil || now.applied <= before {
		t.Fatalf("seed %d: leader %v, applied before %d, faults %v", seed, now, before, c.faults)
	}
}

// A user sees two replicas act as leader, or something accepted gone: a replica
// voted while a leader's lease may run, or for a log that lacks what it holds. Each
// case is one way in which it may be asked to.
func TestVotesThatMustBeRefused(t *testing.T) {
	const later = 10
	cases := map[string]struct {
		// prepare gives the replica that is asked.
		prepare func(c *cluster, l, other *host) *host
		behind  bool
	}{
		"leader": {prepare: func(_ *cluster, l, _ *host) *host { return l }},
		"leader that stepped down under its last lease": {prepare: func(c *cluster, l, other *host) *host {
			c.step(l, Receive{Message: &pb.Message{
				Kind: pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, From: other.id, To: l.id, Term: l.node.term + 1, Reject: true,
			}})
			return l
		}},
		"follower that hears the leader": {prepare: func(_ *cluster, _, other *host) *host { return other }},
		"follower that heard the leader before a restart": {prepare: func(c *cluster, _, other *host) *host {
			c.crash(other)
			c.start(other)
			return other
		}},
		"follower whose log holds more": {behind: true, prepare: func(c *cluster, l, other *host) *host {
			c.crash(l)
			c.cut(other.id, true)
			c.run(600 * time.Millisecond)
			return other
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(5, 3)
			c.run(2 * time.Second)
			l := c.leader()
			asked := tc.prepare(c, l, c.hosts[c.ids[l.id%3]])
			vote := &pb.Message{
				Kind: pb.MessageKind_MESSAGE_KIND_VOTE, From: c.ids[(l.id+1)%3], To: asked.id,
				Term: asked.node.term + later, Index: asked.node.log.lastIndex(), LogTerm: asked.node.log.lastTerm(),
			}
			if tc.behind {
				vote.Index--
			}
			c.step(asked, Receive{Message: vote})
			if asked.node.vote == vote.From && asked.node.term == vote.Term {
				t.Error("it voted")
			}
		})
	}
}

// An operator sees two halves of a group each go on alone. A leader was cut off with
// a removal that only it had; the next leader, told to remove another replica before
// it had committed anything, appended that. Each list had a quorum without the other.
func TestNewLeaderChangesNothingBeforeItsOwnCommit(t *testing.T) {
	c := newCluster(7, 4)
	c.run(2 * time.Second)
	old := c.leader()
	c.cut(old.id, true)
	c.step(old, ProposeMembership{Change: MembershipChange{RemoveID: c.ids[old.id%4]}})
	for c.now < 10*time.Second {
		c.run(simStep)
		for _, id := range c.ids {
			h := c.hosts[id]
			if h == old || h.node.role != leader || h.node.log.matches(h.node.log.commit, h.node.term) {
				continue
			}
			for _, e := range h.node.Step(c.local(h), ProposeMembership{ID: 1, Change: MembershipChange{RemoveID: old.id}}) {
				if r, ok := e.(ProposalRefused); ok && r.Reason == NotReady {
					return
				}
			}
			t.Fatal("the change was not refused")
		}
	}
	t.Fatal("no new leader was met before its own commit")
}

// A user sees two leaders. Two VMs of three lost their disks one after the other and
// were replaced, but both start again with their first settings, and the one that is
// left answers their HELLO, since their old lives are removed. Found by TestSchedules
// with seed 11.
func TestEmptiedReplicasFormNoGroupOfTheirOwn(t *testing.T) {
	c := newCluster(9, 3)
	c.run(2 * time.Second)
	l := c.leader()
	boot := l.disk.bootstrap
	for _, id := range []uint64{c.ids[l.id%3], c.ids[(l.id+1)%3]} {
		c.addHost(uint64(len(c.ids)+1), nil)
		c.crash(c.hosts[id])
		c.lost[id] = true
		c.run(5 * time.Second)
	}
	for _, id := range []uint64{c.ids[l.id%3], c.ids[(l.id+1)%3]} {
		h := c.hosts[id]
		h.removed = false
		c.wipe(h, boot)
		c.start(h)
	}
	c.run(5 * time.Second)
	for _, id := range []uint64{c.ids[l.id%3], c.ids[(l.id+1)%3]} {
		if n := c.hosts[id].node; n != nil && (n.formation.formed || n.term > 0 && findMember(n.members.current(), id) != nil) {
			t.Errorf("replica %d counts itself as formed", id)
		}
	}
	if len(c.faults) > 0 {
		t.Fatal(c.faults)
	}
}
