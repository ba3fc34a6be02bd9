package replicas

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	// The same verdict every time; a flag on the command line still counts.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func voters(n int) []Member {
	var list []Member
	for i := range n {
		list = append(list, Member{ID: uint64(i + 1), Address: fmt.Sprintf("10.0.0.%d:1", i+1), Voter: true, Leader: i == 0})
	}
	return list
}

// A VM is lost for good and an empty one comes at another address. The new replica
// is added first; the lost one goes only once the new one votes.
func TestLostVoterIsReplacedOnlyByAVoter(t *testing.T) {
	g := Group{TargetVoters: 3, Members: voters(3), Joiners: []Joiner{{ID: 9, Address: "10.0.0.9:1"}}}
	g.Members[2].SilentFor = lostAfter
	c, ok := NextChange(g)
	if !ok || c.Add == nil || c.Add.ID != 9 {
		t.Fatalf("first change %+v, %v; want the new one added", c, ok)
	}
	g.Members = append(g.Members, Member{ID: 9, Address: "10.0.0.9:1"})
	if c, ok := NextChange(g); ok {
		t.Fatalf("while it learns: %+v; want no change", c)
	}
	g.Members[3].Voter = true
	if c, ok := NextChange(g); !ok || c.Remove != 3 {
		t.Fatalf("once it votes: %+v, %v; want 3 removed", c, ok)
	}
}

// A replica comes back at its address with an empty disk, and asks under a new
// life: the old one is known to be lost, however short its silence was.
func TestWipedReplicaIsLostAtOnce(t *testing.T) {
	g := Group{TargetVoters: 3, Members: voters(3), Joiners: []Joiner{{ID: 9, Address: "10.0.0.2:1"}}}
	if c, ok := NextChange(g); !ok || c.Add == nil || c.Add.ID != 9 {
		t.Fatalf("change %+v, %v; want the new life added", c, ok)
	}
}

// Replicas restart, or are silent for a moment, and nobody waits to take their
// place, or somebody waits while all are there: the list stays as it is.
func TestSoundGroupIsLeftAlone(t *testing.T) {
	for name, g := range map[string]Group{
		"one silent, nobody waits": {TargetVoters: 3, Members: func() []Member { m := voters(3); m[1].SilentFor = time.Minute; return m }()},
		"one waits, all are there": {TargetVoters: 3, Members: voters(3), Joiners: []Joiner{{ID: 9, Address: "10.0.0.9:1"}}},
		"silent for a moment": {
			TargetVoters: 3, Members: func() []Member { m := voters(3); m[1].SilentFor = lostAfter - 1; return m }(),
			Joiners: []Joiner{{ID: 9, Address: "10.0.0.9:1"}},
		},
	} {
		if c, ok := NextChange(g); ok {
			t.Errorf("%s: %+v", name, c)
		}
	}
}

// VMs are lost, wiped and replaced in any order, never more at once than the group
// bears. At every step the voters that live are a quorum of the list, no live
// voter is removed, and in the end the group has all its voters again.
func TestGroupOutlivesLossesOneAfterTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := rapid.IntRange(1, 2).Draw(t, "bears")
		s := &sim{t: t, f: f, g: Group{TargetVoters: 2*f + 1, Members: voters(2*f + 1)}, nextID: 100, alive: map[uint64]bool{}}
		for _, m := range s.g.Members {
			s.alive[m.ID] = true
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.step()
		}
		for range 20 {
			s.settle()
		}
		s.check()
		if n := s.liveVoters(); n != s.g.TargetVoters || s.g.voters() != s.g.TargetVoters {
			t.Fatalf("in the end %d of %d voters live, the list has %d", n, s.g.TargetVoters, s.g.voters())
		}
	})
}

// sim plays a group: members on the list, which of them live, who waits.
type sim struct {
	t      *rapid.T
	f      int
	g      Group
	nextID uint64
	alive  map[uint64]bool
}

func (s *sim) step() {
	if rapid.Bool().Draw(s.t, "a loss") && s.lost() < s.f && s.g.learners() == 0 {
		s.lose(rapid.IntRange(0, len(s.g.Members)-1).Draw(s.t, "who"), rapid.Bool().Draw(s.t, "same address"))
	}
	s.settle()
	s.check()
}

// lose takes a replica away for good; an empty one comes in its place. The leader
// is never drawn: another one would lead then.
func (s *sim) lose(i int, sameAddress bool) {
	m := &s.g.Members[i]
	if m.Leader || !s.alive[m.ID] || !m.Voter {
		return
	}
	s.alive[m.ID] = false
	s.nextID++
	address := m.Address
	if !sameAddress {
		address = fmt.Sprintf("10.1.0.%d:1", s.nextID)
	}
	s.g.Joiners = append(s.g.Joiners, Joiner{ID: s.nextID, Address: address})
	s.alive[s.nextID] = true
}

// settle lets time pass and the decided change come about.
func (s *sim) settle() {
	for i := range s.g.Members {
		m := &s.g.Members[i]
		m.SilentFor = 0
		if !s.alive[m.ID] {
			m.SilentFor = time.Minute
		}
		m.Voter = m.Voter || s.alive[m.ID]
	}
	c, ok := NextChange(s.g)
	switch {
	case !ok:
	case c.Add != nil:
		s.g.Members = append(s.g.Members, Member{ID: c.Add.ID, Address: c.Add.Address})
	default:
		s.remove(c.Remove)
	}
	var waiting []Joiner
	for _, j := range s.g.Joiners {
		if s.member(j.ID) == nil {
			waiting = append(waiting, j)
		}
	}
	s.g.Joiners = waiting
}

func (s *sim) remove(id uint64) {
	if s.alive[id] {
		s.t.Fatalf("live replica %d removed", id)
	}
	for i := range s.g.Members {
		if s.g.Members[i].ID == id {
			s.g.Members = append(s.g.Members[:i:i], s.g.Members[i+1:]...)
			return
		}
	}
	s.t.Fatalf("replica %d removed that is no member", id)
}

func (s *sim) member(id uint64) *Member {
	for i := range s.g.Members {
		if s.g.Members[i].ID == id {
			return &s.g.Members[i]
		}
	}
	return nil
}

func (s *sim) lost() int {
	n := 0
	for _, m := range s.g.Members {
		if m.Voter && !s.alive[m.ID] {
			n++
		}
	}
	return n
}

func (s *sim) liveVoters() int { return s.g.voters() - s.lost() }

func (s *sim) check() {
	if quorum := s.g.voters()/2 + 1; s.liveVoters() < quorum {
		s.t.Fatalf("%d of %d voters live: no quorum", s.liveVoters(), s.g.voters())
	}
}
