package consensus

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// crashAll ends all replicas; from then on a message takes up to maxDelay, and none of before arrives.
func (c *cluster) crashAll(maxDelay time.Duration) {
	for _, id := range c.ids {
		c.crash(c.hosts[id])
	}
	c.packets, c.maxDelay = nil, maxDelay
}

// restartWithSlowMessages ends all replicas of a group of five at once, and starts them again in a
// network in which a message takes up to maxDelay.
func restartWithSlowMessages(seed uint64, maxDelay time.Duration) *cluster {
	c := newCluster(seed, 5)
	c.run(3 * time.Second)
	c.crashAll(maxDelay)
	for _, id := range c.ids {
		c.start(c.hosts[id])
	}
	return c
}

// Guards against a group that elects nobody, or whose leaders step down at once, while a round of
// votes takes longer than an election timeout, as on replicas that get little processor time.
func TestSlowReplicasElectALeaderInTime(t *testing.T) {
	t.Parallel()
	const (
		maxDelay = 900 * time.Millisecond
		// bound is the shortest time in which a deployment's users want service back.
		bound = 12 * time.Second
		seeds = 40
	)
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := restartWithSlowMessages(seed, maxDelay)
			for end := c.now + bound; c.leader() == nil; c.run(20 * time.Millisecond) {
				if c.now >= end || len(c.violations) > 0 {
					t.Fatalf("no ready leader within %v; violations %v", bound, c.violations)
				}
			}
		})
	}
}

// Guards against a leader that notices late that it is cut off, since an answer to its election came late.
func TestLeaderForgetsASlowElection(t *testing.T) {
	c := newCluster(1, 3)
	c.run(3 * time.Second)
	n := c.leader().node
	n.roundTrip = 4 * time.Second
	c.run(time.Second)
	if n.answerTimeout() != n.cfg.ElectionTimeout {
		t.Errorf("the leader waits %v for answers that take %v", n.answerTimeout(), n.roundTrip)
	}
}

// Guards against a vote that counts in a later term than its own, or after another leader was
// heard of in its term.
func TestLateVoteCountsInItsTermOnly(t *testing.T) {
	c := newCluster(1, 3)
	c.run(3 * time.Second)
	n := c.leader().node
	other := c.ids[0]
	if other == n.cfg.ID {
		other = c.ids[1]
	}
	vote := func(term uint64) Receive {
		return Receive{Message: voteResponse(other, n.cfg.ID, term), Incarnation: c.hosts[other].disk.identity.Incarnation}
	}
	n.stepDown()
	n.startPreVote()
	n.Step(n.now, vote(n.term))
	if n.role == leader {
		t.Fatal("a replica that has stepped down leads again in its term by a late vote")
	}
	n.startElection(false)
	n.Step(n.now, vote(n.term-1))
	if n.role == leader || len(n.votes) > 0 {
		t.Fatal("a vote of an earlier term counts")
	}
	n.becomeFollower(n.term, other)
	n.Step(n.now, vote(n.term))
	if n.role == leader {
		t.Fatal("a vote counts after another leader of the term was heard of")
	}
}

func voteResponse(from, to, term uint64) *pb.Message {
	return &pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_VOTE_RESPONSE, From: from, To: to, Term: term}
}

// Guards against two voters, the third being lost, that both stand for election and split their
// votes round after round.
func TestTwoVotersElectALeaderInTime(t *testing.T) {
	t.Parallel()
	const (
		seeds, busyDelay = 1000, 100 * time.Millisecond
		// replacement is the silence after which a leader replaces a voter, and the time to do it.
		replacement = 1800 * time.Millisecond
		bound       = successorTime - replacement
	)
	for seed := uint64(1); seed <= seeds; seed++ {
		c := newCluster(seed, 3)
		c.run(time.Second)
		c.crashAll(busyDelay)
		for _, id := range c.ids[1:] {
			c.start(c.hosts[id])
		}
		for end := c.now + bound; c.leader() == nil; c.run(20 * time.Millisecond) {
			if c.now >= end {
				t.Errorf("seed %d: no leader within %v", seed, bound)
				break
			}
		}
	}
}

// Guards against a group whose replicas wait for seconds after messages are quick again, since they remember how
// slow the votes of their elections were.
func TestGroupElectsSoonAfterSlowMessagesEnd(t *testing.T) {
	t.Parallel()
	const (
		quick = 20 * time.Millisecond
		// bound is what the users ask for.
		bound = 3 * time.Second
		seeds = 300
	)
	for _, slow := range []struct{ delay, lasts time.Duration }{
		{50 * time.Millisecond, 2 * time.Second}, {900 * time.Millisecond, 2 * time.Second}, {900 * time.Millisecond, 5 * time.Second},
		{2 * time.Second, 2 * time.Second}, {2 * time.Second, 5 * time.Second},
		{4 * time.Second, 2 * time.Second}, {4 * time.Second, 5 * time.Second},
	} {
		t.Run(fmt.Sprint(slow.delay, " for ", slow.lasts), func(t *testing.T) {
			t.Parallel()
			longest := time.Duration(0)
			for seed := uint64(1); seed <= seeds; seed++ {
				longest = max(longest, timeToLeaderAfterSlowMessages(t, seed, slow.delay, slow.lasts, quick))
			}
			if longest > bound {
				t.Errorf("no leader for up to %v after messages are quick again", longest)
			}
			t.Logf("longest %v", longest)
		})
	}
}

// timeToLeaderAfterSlowMessages restarts two of three voters up to 3 s apart, with messages that take up to delay for a
// while and then up to quick, and returns how long there is no leader from then on.
func timeToLeaderAfterSlowMessages(t *testing.T, seed uint64, delay, lasts, quick time.Duration) time.Duration {
	t.Helper()
	const (
		maxApart = 3 * time.Second
		patience = 20 * time.Second
		step     = 20 * time.Millisecond
	)
	c := newCluster(seed, 3)
	c.run(time.Second)
	c.crashAll(delay)
	c.start(c.hosts[c.ids[1]])
	c.run(time.Duration(c.random.Int64N(int64(maxApart))))
	c.start(c.hosts[c.ids[2]])
	c.run(lasts)
	c.maxDelay = quick
	begun := c.now
	for c.leader() == nil && c.now < begun+patience && len(c.violations) == 0 {
		c.run(step)
	}
	if len(c.violations) > 0 {
		t.Fatalf("seed %d: %v", seed, c.violations)
	}
	return c.now - begun
}
