// Package replicas decides how a control group mends itself.
//
// It answers replicas that are lost one after the other: a VM is replaced by an
// empty one at another address, or comes back with an empty disk. A group that
// waits for an operator bears as many losses as it was laid out for and then
// stands still; what it has confirmed can't be read any more.
//
// A new replica first learns everything and then votes, and only then is a lost
// one taken off the list: so the voters that are left are a quorum at every step
// of which the old ones were.
package replicas

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lostAfter is how long a voter may be silent before another one takes its
	// place: longer than a restart with a slow start, shorter than the time after
	// which the next one may be lost.
	lostAfter = 2500 * time.Millisecond
	// learnerLostAfter is the same for a learner, which costs no quorum while it is
	// away, but keeps others from being added.
	learnerLostAfter = 4 * time.Second
)

// Member is one replica on the list.
type Member struct {
	ID      uint64
	Address string
	Voter   bool
	// Leader is the leader, which decides.
	Leader bool
	// SilentFor is how long the leader has not heard it.
	SilentFor time.Duration
}

// Joiner is a replica that waits to be added.
type Joiner struct {
	ID      uint64
	Address string
}

// Group is what the leader knows.
type Group struct {
	// TargetVoters is how many the group is to have.
	TargetVoters int
	Members      []Member
	Joiners      []Joiner
}

// Change is the next change of the list: Add, if it is set, or Remove.
type Change struct {
	Add    *Joiner
	Remove uint64
	Reason string
}

// NextChange gives the next change, false for none. The same group gives the same change.
func NextChange(g Group) (Change, bool) {
	if m := g.lostLearner(); m != nil {
		return Change{Remove: m.ID, Reason: "the learner is lost"}, true
	}
	lost := g.lostVoter()
	if lost != nil && g.voters() > g.TargetVoters {
		return Change{Remove: lost.ID, Reason: "another voter has taken the lost one's place"}, true
	}
	if g.learners() > 0 || lost == nil && g.voters() >= g.TargetVoters {
		return Change{}, false
	}
	j := g.joiner()
	if j == nil {
		return Change{}, false
	}
	reason := "the group lacks voters"
	if lost != nil {
		reason = "a voter is lost"
	}
	return Change{Add: j, Reason: reason}, true
}

// replaced tells whether another life has the member's address: its folder is
// lost for good.
func (g *Group) replaced(m *Member) bool {
	return slices.ContainsFunc(g.Joiners, func(j Joiner) bool { return j.Address == m.Address && j.ID != m.ID })
}

func (g *Group) lostLearner() *Member {
	for i := range g.Members {
		m := &g.Members[i]
		if !m.Voter && (g.replaced(m) || m.SilentFor >= learnerLostAfter) {
			return m
		}
	}
	return nil
}

// lostVoter gives the voter that is lost for good if there is one, else the one
// that has been silent longest, if for long enough.
func (g *Group) lostVoter() *Member {
	var lost *Member
	for i := range g.Members {
		m := &g.Members[i]
		switch {
		case !m.Voter || m.Leader:
		case g.replaced(m):
			return m
		case m.SilentFor >= lostAfter && (lost == nil || m.SilentFor > lost.SilentFor):
			lost = m
		}
	}
	return lost
}

func (g *Group) voters() int {
	n := 0
	for _, m := range g.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

func (g *Group) learners() int { return len(g.Members) - g.voters() }

// joiner gives the one to add: of those that are not on the list yet the first by
// address.
func (g *Group) joiner() *Joiner {
	var first *Joiner
	for i := range g.Joiners {
		j := &g.Joiners[i]
		known := slices.ContainsFunc(g.Members, func(m Member) bool { return m.ID == j.ID })
		if !known && (first == nil || cmp.Less(j.Address, first.Address)) {
			first = j
		}
	}
	return first
}
