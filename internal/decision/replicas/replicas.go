// Package replicas decides how a control group replaces lost replicas.
//
// Replicas can be lost one after the other: a VM is replaced by an empty one at another address,
// or restarts with an empty disk. A group that waits for an operator stops as soon as more
// replicas are lost than it tolerates, and the data that it has committed can no longer be read.
//
// A new replica joins as a learner. Once it has caught up, it takes the place of the lost voter in one change, in
// which quorums of before and after it both count. So the group bears as much within the change as before
// it: the lost voter may only be without power, and what is new may be lost again. A replacement that is interrupted
// goes on without its leader's memory: the member list says what is left to be done.
package replicas

import (
	"cmp"
	"slices"
	"time"
)

const (
	// voterLostAfter is how long a voter may be silent before another replica replaces it: longer
	// than a restart, and short enough that an election that needs a second round, this, and the
	// replacement end before the next voter may be lost, 4 s after the last restart.
	voterLostAfter = 1500 * time.Millisecond
	// prepareAfter is how long a voter may be silent before a replica is added as a learner: it costs
	// no quorum, and catching up takes as long as it takes. If the voter answers again, the
	// learner stays, and is at hand for the next loss.
	prepareAfter = 500 * time.Millisecond
	// learnerLostAfter is voterLostAfter for a learner, which costs no quorum while it is silent but
	// keeps others from being added.
	learnerLostAfter = 4 * time.Second
)

// Member is one replica in the member list.
type Member struct {
	ID      uint64
	Address string
	Voter   bool
	// Leader tells that the member is the leader, which makes the decision.
	Leader bool
	// SilentFor is how long the leader has received nothing from the member.
	SilentFor time.Duration
	// CaughtUp tells that a learner has synced all that is committed, and answers.
	CaughtUp bool
	// Leaving tells that the member's process is about to end as planned.
	Leaving bool
}

// Joiner is a replica that waits to be added.
type Joiner struct {
	ID      uint64
	Address string
}

// Group is the leader's view of the group.
type Group struct {
	// TargetVoters is how many voters the group is configured to have.
	TargetVoters int
	Members      []Member
	Joiners      []Joiner
}

// Change is the next change of the member list: an addition if Add is set, otherwise a removal, in which the learner
// Promote, if set, takes the voter's place.
type Change struct {
	Add     *Joiner
	Remove  uint64
	Promote uint64
	Reason  string
}

// NextChange returns the next change, or false for none. It depends on nothing but the group.
func NextChange(g Group) (Change, bool) {
	if m := g.lostLearner(); m != nil {
		return Change{Remove: m.ID, Reason: "the learner is lost"}, true
	}
	lost, successor := g.lostVoter(), g.successor()
	switch {
	case lost == nil:
	case g.voterCount() > g.TargetVoters:
		return Change{Remove: lost.ID, Reason: "the group has a voter too many, and this one is lost"}, true
	case g.voterCount() == g.TargetVoters && successor != nil:
		return Change{Remove: lost.ID, Promote: successor.ID, Reason: "a replica that has caught up takes the place of a voter that is lost or leaves"}, true
	}
	if g.learnerCount() > 0 || g.suspectedVoter() == nil && g.voterCount() >= g.TargetVoters {
		return Change{}, false
	}
	j := g.nextJoiner()
	if j == nil {
		return Change{}, false
	}
	reason := "the group has fewer voters than configured"
	if g.voterCount() >= g.TargetVoters {
		reason = "a voter is silent, and may be lost"
	}
	return Change{Add: j, Reason: reason}, true
}

// Wait is what a group that is not whole waits for.
type Wait string

const (
	// WaitNone: the group has its voters, or the next change can be made.
	WaitNone Wait = ""
	// WaitSilence: a voter is silent, but not for long enough to be replaced.
	WaitSilence Wait = "a voter's silence to last"
	// WaitJoiner: no replica asks to be added.
	WaitJoiner Wait = "a replica that asks to be added"
	// WaitLearner: the replica that was added has not caught up.
	WaitLearner Wait = "the learner to catch up"
)

// Waiting returns what the group waits for, given its members that don't answer now.
func Waiting(g Group, silent int) Wait {
	_, changing := NextChange(g)
	switch {
	case changing:
		return WaitNone
	case g.learnerCount() > 0 && g.successor() == nil:
		return WaitLearner
	case silent == 0 && g.voterCount() >= g.TargetVoters:
		return WaitNone
	case g.learnerCount() > 0:
		return WaitSilence
	}
	return WaitJoiner
}

// addressTaken reports whether a replica with another id is at the member's address: it waits to
// join, or is a learner. The member's data directory is then lost for good.
func (g *Group) addressTaken(m *Member) bool {
	return slices.ContainsFunc(g.Joiners, func(j Joiner) bool { return j.Address == m.Address && j.ID != m.ID }) ||
		slices.ContainsFunc(g.Members, func(o Member) bool { return o.Address == m.Address && o.ID != m.ID && m.Voter && !o.Voter })
}

// successor returns a learner that can take a voter's place, nil for none.
func (g *Group) successor() *Member {
	i := slices.IndexFunc(g.Members, func(m Member) bool { return !m.Voter && m.CaughtUp })
	if i < 0 {
		return nil
	}
	return &g.Members[i]
}

// lostLearner returns a learner that is lost, nil for none. While another replica could take the place
// of a voter that may be lost, a silent learner must not be in its way.
func (g *Group) lostLearner() *Member {
	longEnough := learnerLostAfter
	if g.suspectedVoter() != nil && g.nextJoiner() != nil {
		longEnough = voterLostAfter
	}
	for i := range g.Members {
		m := &g.Members[i]
		if !m.Voter && (g.addressTaken(m) || m.SilentFor >= longEnough) {
			return m
		}
	}
	return nil
}

// lostVoter returns the voter to replace, nil for none.
func (g *Group) lostVoter() *Member { return g.silentVoter(voterLostAfter) }

// suspectedVoter returns a voter that may have to be replaced, nil for none.
func (g *Group) suspectedVoter() *Member { return g.silentVoter(prepareAfter) }

// silentVoter returns a voter that is lost for good if there is one; otherwise the one that has
// been silent longest, if that is long enough; otherwise one that leaves.
func (g *Group) silentVoter(longEnough time.Duration) *Member {
	var silent, leaving *Member
	for i := range g.Members {
		m := &g.Members[i]
		switch {
		case !m.Voter || m.Leader:
		case g.addressTaken(m):
			return m
		case m.SilentFor >= longEnough && (silent == nil || m.SilentFor > silent.SilentFor):
			silent = m
		case m.Leaving:
			leaving = m
		}
	}
	return cmp.Or(silent, leaving)
}

func (g *Group) voterCount() int {
	n := 0
	for _, m := range g.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

func (g *Group) learnerCount() int { return len(g.Members) - g.voterCount() }

// nextJoiner returns the replica to add: the first by address of those that are not in the member
// list.
func (g *Group) nextJoiner() *Joiner {
	var first *Joiner
	for i := range g.Joiners {
		candidate := &g.Joiners[i]
		member := slices.ContainsFunc(g.Members, func(m Member) bool { return m.ID == candidate.ID })
		if !member && (first == nil || cmp.Less(candidate.Address, first.Address)) {
			first = candidate
		}
	}
	return first
}
