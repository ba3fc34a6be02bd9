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
	before := c.maxApplied
	for range 50 {
		c.propose(l)
		c.run(3 * time.Millisecond)
	}
	c.read(l)
	c.run(time.Second)
	if len(c.violations) > 0 {
		t.Fatal(c.violations)
	}
	for _, id := range c.ids {
		if h := c.hosts[id]; h.applied < before+50 {
			t.Errorf("replica %d applied %d, want at least %d", id, h.applied, before+50)
		}
	}
	if c.readsDone == 0 || l.leaseUntil <= c.now {
		t.Errorf("%d reads done, lease until %v at %v", c.readsDone, l.leaseUntil, c.now)
	}
}

// Guards against a group of two that never elects a leader though both replicas
// run. The leader appends its own removal and is killed before the other replica
// receives it. The other needs the leader's vote, which is refused, since the
// leader's log is longer. So the leader must campaign itself, though its own list
// no longer contains it.
func TestReplicaWithUncommittedOwnRemovalStandsForElection(t *testing.T) {
	c := newCluster(3, 3)
	c.targetVoters = 2
	c.run(2 * time.Second)
	l := c.leader()
	other, third := c.ids[l.id%3], c.ids[(l.id+1)%3]
	c.step(l, ProposeMembership{Change: MembershipChange{RemoveID: third}})
	c.run(300 * time.Millisecond)
	c.blocked[link{l.id, other}] = true
	c.step(l, ProposeMembership{Change: MembershipChange{RemoveID: l.id}})
	c.run(100 * time.Millisecond)
	if findMember(l.disk.latestMembership(), l.id) != nil {
		t.Fatal("the removal is not in the leader's log")
	}
	c.crash(l)
	clear(c.blocked)
	c.start(l)
	c.run(3 * time.Second)
	if newLeader := c.leader(); len(c.violations) > 0 || newLeader == nil || newLeader.id != other {
		t.Fatalf("leader %v, violations %v", newLeader, c.violations)
	}
}

// Guards against a control replica that crashes in a loop on invalid messages from
// a process of another version, or from a faulty one that has the key. No message,
// whatever its fields, may cause a panic.
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
			for h.node != nil && len(h.pendingWrites) > 0 {
				c.finishWrite(h)
			}
		}
	})
}

// Guards against losing accepted changes. A control VM loses its disk and its
// replica is replaced; when the new replica has just been promoted to a voter, a
// second VM loses its disk and the others elect a leader. If the new replica could
// vote before it held all committed entries, that leader might lack some of them.
func TestSecondReplicaLostRightAfterRepair(t *testing.T) {
	for name, loseLeader := range map[string]bool{"a follower": false, "the leader": true} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 20; seed++ {
				checkSecondDiskLoss(t, seed, loseLeader)
			}
		})
	}
}

func checkSecondDiskLoss(t *testing.T, seed uint64, loseLeader bool) {
	c := newCluster(seed, 3)
	c.run(2 * time.Second)
	l := c.leader()
	first, second := c.hosts[c.ids[l.id%3]], c.hosts[c.ids[(l.id+1)%3]]
	if loseLeader {
		second = l
	}
	c.loseDisk(first)
	for repaired := false; !repaired; c.run(simStep) {
		members := l.node.members.current()
		repaired = len(members.Removed) == 1 && len(voterIDs(members)) == 3
		if c.now > 20*time.Second {
			t.Fatalf("seed %d: the group is not repaired: %v", seed, members)
		}
	}
	before := c.maxApplied
	c.loseDisk(second)
	c.run(5 * time.Second)
	newLeader := c.leader()
	if len(c.violations) > 0 || newLeader == nil || newLeader.applied <= before {
		t.Fatalf("seed %d: leader %v, applied before %d, violations %v", seed, newLeader, before, c.violations)
	}
}

// Guards against two leaders and lost entries: a replica must not vote while a
// leader's lease may be valid, nor for a log that lacks entries it holds. Each case
// is one way in which such a vote request may arrive.
func TestVotesThatMustBeRefused(t *testing.T) {
	const termsAhead = 10
	cases := map[string]struct {
		// prepare returns the replica that receives the vote request.
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
			c.setIsolated(other.id, true)
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
				Term: asked.node.term + termsAhead, Index: asked.node.log.lastIndex(), LogTerm: asked.node.log.lastTerm(),
			}
			if tc.behind {
				vote.Index--
			}
			c.step(asked, Receive{Message: vote})
			if asked.node.votedFor == vote.From && asked.node.term == vote.Term {
				t.Error("the replica voted")
			}
		})
	}
}

// Guards against two disjoint quorums. A leader is partitioned with a removal that
// only it has appended. The next leader is asked to remove another replica before
// it has committed an entry of its term; if it appended that, each list would have
// a quorum without the other.
func TestNewLeaderChangesNothingBeforeItsOwnCommit(t *testing.T) {
	c := newCluster(7, 4)
	c.run(2 * time.Second)
	old := c.leader()
	c.setIsolated(old.id, true)
	c.step(old, ProposeMembership{Change: MembershipChange{RemoveID: c.ids[old.id%4]}})
	for c.now < 10*time.Second {
		c.run(simStep)
		for _, id := range c.ids {
			h := c.hosts[id]
			if h == old || h.node.role != leader || h.node.log.matches(h.node.log.commit, h.node.term) {
				continue
			}
			for _, e := range h.node.Step(c.localTime(h), ProposeMembership{ID: 1, Change: MembershipChange{RemoveID: old.id}}) {
				if r, ok := e.(ProposalRefused); ok && r.Reason == NotReady {
					return
				}
			}
			t.Fatal("the change was not refused")
		}
	}
	t.Fatal("no new leader was seen before its first commit")
}

// Guards against two leaders. Two VMs of three lose their disks one after the other
// and are replaced, but both restart with their original bootstrap settings. The
// remaining replica answers their HELLO, since their old incarnations were removed.
// Found by TestSchedules with seed 11.
func TestEmptiedReplicasFormNoGroupOfTheirOwn(t *testing.T) {
	c := newCluster(9, 3)
	c.run(2 * time.Second)
	l := c.leader()
	bootstrap := l.disk.bootstrap
	for _, id := range []uint64{c.ids[l.id%3], c.ids[(l.id+1)%3]} {
		c.addHost(uint64(len(c.ids)+1), nil)
		c.crash(c.hosts[id])
		c.lostDisks[id] = true
		c.run(5 * time.Second)
	}
	for _, id := range []uint64{c.ids[l.id%3], c.ids[(l.id+1)%3]} {
		h := c.hosts[id]
		h.removed = false
		c.wipe(h, bootstrap)
		c.start(h)
	}
	c.run(5 * time.Second)
	for _, id := range []uint64{c.ids[l.id%3], c.ids[(l.id+1)%3]} {
		if n := c.hosts[id].node; n != nil && (n.handshake.formed || n.term > 0 && findMember(n.members.current(), id) != nil) {
			t.Errorf("replica %d counts itself as formed", id)
		}
	}
	if len(c.violations) > 0 {
		t.Fatal(c.violations)
	}
}
