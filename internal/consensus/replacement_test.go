package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/replicas"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// sweepEvery is how often the simulated leader looks at its group, joinEvery how often a
	// replica asks to be added.
	sweepEvery = 200 * time.Millisecond
	joinEvery  = 500 * time.Millisecond
	// joinerExpiry is how long a replica counts as waiting after it has last asked.
	joinerExpiry = 3 * time.Second
	// successorTime is how long users give a new machine, and one that is back, before the next
	// one may be lost.
	successorTime = 4 * time.Second
	// serviceBack is the time within which users want service back.
	serviceBack = 12 * time.Second
)

// maintainedGroup is a group whose leader replaces lost voters by replicas that ask to be added.
type maintainedGroup struct {
	*cluster
	voters int
	// askedAt is when a replica last asked the present leader to be added.
	askedAt     map[uint64]time.Duration
	leaderTerm  uint64
	nextAskAt   time.Duration
	nextSweepAt time.Duration
}

func newMaintainedGroup(seed uint64, voters int) *maintainedGroup {
	g := &maintainedGroup{cluster: newCluster(seed, voters), voters: voters}
	// The simulated operator changes nothing.
	g.targetVoters = 0
	// The group runs as deployed; in pieces of a few bytes a snapshot would take seconds.
	g.cfg = Config{Seed: seed, MaxVoters: voters}
	for _, id := range g.ids {
		g.crash(g.hosts[id])
		g.start(g.hosts[id])
	}
	return g
}

func (g *maintainedGroup) runFor(d time.Duration) {
	// Time stands still once an invariant is violated.
	for end := g.now + d; g.now < end && len(g.violations) == 0; g.run(5 * simStep) {
		l := g.leader()
		if l == nil {
			continue
		}
		if l.node.term != g.leaderTerm {
			g.leaderTerm, g.askedAt = l.node.term, make(map[uint64]time.Duration)
		}
		if g.now >= g.nextAskAt {
			g.nextAskAt = g.now + joinEvery
			g.ask(l)
		}
		if g.now >= g.nextSweepAt && l.node.LeaseUntil() > g.localTime(l) {
			g.nextSweepAt = g.now + sweepEvery
			g.sweep(l)
		}
	}
}

// ask lets replicas that are not members ask to be added. One that was removed starts again as a new one.
func (g *maintainedGroup) ask(l *host) {
	for _, id := range slices.Clone(g.ids) {
		h := g.hosts[id]
		if h.removed || h.node != nil && l.node.IsRemoved(h.disk.identity) {
			g.crash(h)
			h.gone = true
			h.removed = false
			id = slices.Max(g.ids) + 1
			h = g.addHost(id, nil)
		}
		if h.node != nil && findMember(h.node.members.current(), id) == nil && findMember(l.node.members.current(), id) == nil {
			g.askedAt[id] = g.now
		}
	}
}

func (g *maintainedGroup) sweep(l *host) {
	group := replicas.Group{TargetVoters: g.voters}
	for _, r := range l.node.Status().Replicas {
		group.Members = append(group.Members, replicas.Member{
			ID: r.ID, Address: fmt.Sprint(r.ID), Voter: r.Voter, Leader: r.ID == l.id, SilentFor: r.SinceLastContact, CaughtUp: r.CaughtUp,
		})
	}
	for _, id := range g.ids {
		at, asked := g.askedAt[id]
		if asked && g.now-at <= joinerExpiry && findMember(l.node.members.current(), id) == nil {
			group.Joiners = append(group.Joiners, replicas.Joiner{ID: id, Address: fmt.Sprint(id)})
		}
	}
	c, ok := replicas.NextChange(group)
	if !ok {
		return
	}
	change := MembershipChange{RemoveID: c.Remove, PromoteID: c.Promote}
	if c.Add != nil {
		identity := &pb.ReplicaIdentity{Id: c.Add.ID, Incarnation: g.hosts[c.Add.ID].disk.identity.Incarnation}
		change = MembershipChange{Add: &pb.ReplicaMember{Identity: identity, Address: c.Add.Address}}
	}
	g.step(l, ProposeMembership{Change: change})
}

// loseForGood ends a replica that never comes back.
func (g *maintainedGroup) loseForGood(id uint64) { g.crash(g.hosts[id]) }

// draw returns a random time up to d.
func (g *maintainedGroup) draw(d time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(d)))
}

// Guards against a group that loses its quorum for good, since a lost voter is not replaced yet
// when users may already lose the next one: all replicas have restarted in between.
func TestLostVoterIsReplacedBeforeTheNextLoss(t *testing.T) {
	t.Parallel()
	const seeds, busyDelay = 600, 100 * time.Millisecond
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			g := newMaintainedGroup(seed, 3)
			g.runFor(3 * time.Second)
			if seed%2 == 0 {
				g.maxDelay = busyDelay
			}
			lost := g.ids[g.random.IntN(len(g.ids))]
			g.loseForGood(lost)
			g.runFor(g.draw(3 * time.Second))
			g.addHost(slices.Max(g.ids)+1, nil)
			g.runFor(g.draw(3 * time.Second))
			var running []uint64
			for _, id := range g.ids {
				if id != lost {
					running = append(running, id)
					g.crash(g.hosts[id])
				}
			}
			g.runFor(g.draw(time.Second))
			for _, id := range running {
				g.start(g.hosts[id])
			}
			g.runFor(successorTime)
			second := running[g.random.IntN(len(running))]
			members := g.hosts[running[0]].node.members.current()
			g.loseForGood(second)
			for end := g.now + serviceBack; g.leader() == nil; g.runFor(sweepEvery) {
				if g.now >= end || len(g.violations) > 0 {
					t.Fatalf("no leader within %v of the loss of %d, after that of %d: violations %v, voters %v", serviceBack, second, lost, g.violations, voterIDs(members))
				}
			}
		})
	}
}

// Guards against a group that gets worse with each loss: voters, learners and spares are lost one after the
// other, each once the one before has been made up for, and all restart in between.
func TestGroupBearsOneLossAfterTheOther(t *testing.T) {
	t.Parallel()
	const (
		seeds, rounds, maxSpares = 300, 5, 3
		busyDelay                = 60 * time.Millisecond
	)
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			g := newMaintainedGroup(seed, 3)
			for range seed % maxSpares {
				g.addHost(slices.Max(g.ids)+1, nil)
			}
			g.runFor(3 * time.Second)
			if seed%2 == 0 {
				g.maxDelay = busyDelay
			}
			for round := range rounds {
				g.loseAndReplace()
				for end := g.now + serviceBack - successorTime; g.leader() == nil; g.runFor(sweepEvery) {
					if g.now >= end || len(g.violations) > 0 {
						t.Fatalf("round %d: no leader: violations %v", round, g.violations)
					}
				}
			}
		})
	}
}

// loseAndReplace loses one of the running replicas, starts another, restarts all in half of the cases, and
// waits for the successor's time.
func (g *maintainedGroup) loseAndReplace() {
	running := g.running()
	g.loseForGood(running[g.random.IntN(len(running))])
	g.runFor(g.draw(3 * time.Second))
	g.addHost(slices.Max(g.ids)+1, nil)
	if g.random.IntN(2) == 0 {
		g.runFor(g.draw(2 * time.Second))
		running = g.running()
		for _, id := range running {
			g.crash(g.hosts[id])
		}
		g.runFor(g.draw(time.Second))
		for _, id := range running {
			g.start(g.hosts[id])
		}
	}
	g.runFor(successorTime)
}

func (g *maintainedGroup) running() []uint64 {
	return slices.DeleteFunc(slices.Clone(g.ids), func(id uint64) bool { return g.hosts[id].node == nil })
}

// Guards against a group that ends with a new machine: it is lost while the voter that it is to replace is still
// listed, and must not have counted yet.
func TestGroupBearsTheLossOfALearnerDuringAReplacement(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		g := newMaintainedGroup(seed, 3)
		g.runFor(3 * time.Second)
		follower := g.ids[0]
		if g.leader().id == follower {
			follower = g.ids[1]
		}
		learner := g.addHost(slices.Max(g.ids)+1, nil)
		g.loseForGood(follower)
		for end := g.now + successorTime; learner.node.Status().Standing != StandingLearner || g.leader() == nil || !caughtUpAt(g.leader(), learner.id); g.runFor(5 * simStep) {
			if g.now >= end {
				t.Fatalf("seed %d: no learner", seed)
			}
		}
		g.runFor(50 * time.Millisecond)
		g.loseForGood(learner.id)
		g.runFor(successorTime)
		if g.leader() == nil {
			t.Fatalf("seed %d: no leader after the loss of the learner", seed)
		}
	}
}

func caughtUpAt(l *host, id uint64) bool {
	return slices.ContainsFunc(l.node.Status().Replicas, func(r ReplicaStatus) bool { return r.ID == id && r.CaughtUp })
}
