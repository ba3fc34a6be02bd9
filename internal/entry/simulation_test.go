package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// crowdWay is how long a message takes, one way.
	crowdWay = time.Millisecond
	// crowdTick is how often entries let time pass.
	crowdTick = 20 * time.Millisecond
	// crowdSilence is how long an entry waits for one that does not answer.
	crowdSilence = 100 * time.Millisecond
)

// crowd plays many entries before few servers in virtual time. Servers answer with what says
// gives for their place in the list.
type crowd struct {
	t       *testing.T
	now     time.Duration
	worlds  []*world
	dead    map[string]bool
	later   []laterStep
	says    func(server string) backpressure.Word
	works   time.Duration
	arrived map[string][]arrivalAt
	// told is when each entry first passed on an answer with a limit, by server and entry.
	told    map[string]map[string]time.Duration
	refused []refusal
	whole   int
	// longest is the longest that a caller waited for its final answer.
	longest time.Duration
	sent    int
	// change puts what is asked in place of a usual request.
	change func(*RequestArrived)
}

// arrivalAt is the arrival of a request at a server, told: from an entry that was told of its
// limit half a second before.
type arrivalAt struct {
	at   time.Duration
	told bool
}

type laterStep struct {
	at time.Duration
	do func()
}

// refusal is one that a caller got.
type refusal struct {
	at, took, retryAfter time.Duration
	message              string
}

func newCrowd(t *testing.T, entries int, servers []*pb.BackendServer, says func(string) backpressure.Word) *crowd {
	c := &crowd{
		t: t, now: second, dead: make(map[string]bool), says: says, works: 30 * time.Millisecond,
		arrived: make(map[string][]arrivalAt), told: make(map[string]map[string]time.Duration),
	}
	for _, s := range servers {
		s.Slots = 64
	}
	list := manyEntries(entries)
	for i := range list {
		w := groupWorld(t, list, i, servers...)
		w.r.cfg.MaxStreams = 1000
		c.worlds = append(c.worlds, w)
	}
	return c
}

func (c *crowd) at(after time.Duration, do func()) {
	c.later = append(c.later, laterStep{c.now + after, do})
}

// step lets an entry take an event and carries out its effects.
func (c *crowd) step(w *world, ev Event) {
	w.now = c.now
	for _, e := range w.step(ev) {
		c.carryOut(w, e)
	}
}

func (c *crowd) byAddress(address string) *world {
	i := slices.IndexFunc(c.worlds, func(w *world) bool { return w.r.cfg.Identity.PeerAddress == address })
	return c.worlds[i]
}

func (c *crowd) carryOut(w *world, e Effect) {
	switch e := e.(type) {
	case Dispatch:
		if e.PrefillServer != "" {
			c.reach(w, e.PrefillServer, func() { c.step(w, PrefillDone{RequestID: e.RequestID, Attempt: e.Attempt}) })
			return
		}
		c.run(w, e.RequestID, e.Attempt, e.Server)
	case DecodeAt:
		c.run(w, e.RequestID, e.Attempt, e.Server)
	case Finish:
		c.whole++
		c.longest = max(c.longest, c.waited(e.RequestID))
	case Refuse:
		c.refuse(w, e)
	case RequestPermit:
		c.ask(w, e)
	case ReportToPeers:
		for _, address := range e.Addresses {
			if peer := c.byAddress(address); !c.dead[peer.r.cfg.Identity.Name] {
				c.at(crowdWay, func() { c.step(peer, PeerReported{Request: e.Request}) })
			}
		}
	}
}

// reach lets a request arrive at a server, which answers after its work.
func (c *crowd) reach(w *world, server string, ended func()) {
	sent := c.now
	c.at(crowdWay, func() {
		told, known := c.told[server][w.r.cfg.Identity.Name]
		c.arrived[server] = append(c.arrived[server], arrivalAt{c.now, known && c.now-told >= second/2})
		c.at(c.works, func() {
			word := c.says(server)
			if word.Rate > 0 {
				c.tell(server, w.r.cfg.Identity.Name)
			}
			c.step(w, ServerReported{Server: server, Incarnation: "life-1", FromResponse: true, SentAt: sent, Backpressure: word})
			ended()
		})
	})
}

func (c *crowd) tell(server, entry string) {
	if c.told[server] == nil {
		c.told[server] = make(map[string]time.Duration)
	}
	if _, known := c.told[server][entry]; !known {
		c.told[server][entry] = c.now
	}
}

func (c *crowd) run(w *world, id string, attempt uint32, server string) {
	c.reach(w, server, func() {
		c.step(w, AttemptEnded{RequestID: id, Attempt: attempt, Complete: true, Outcome: outcome.Ran})
	})
}

// waited is how long a request has been under way.
func (c *crowd) waited(id string) time.Duration {
	var began time.Duration
	if _, err := fmt.Sscanf(id, "r%d", &began); err != nil {
		c.t.Fatalf("%s: %v", id, err)
	}
	return c.now - began
}

func (c *crowd) refuse(_ *world, e Refuse) {
	took := c.waited(e.RequestID)
	c.longest = max(c.longest, took)
	c.refused = append(c.refused, refusal{c.now, took, e.Refusal.RetryAfter, e.Refusal.Message})
}

// ask brings a question for permits to its entry and the answer back.
func (c *crowd) ask(w *world, e RequestPermit) {
	peer := c.byAddress(e.Address)
	if c.dead[peer.r.cfg.Identity.Name] {
		c.at(crowdSilence, func() {
			c.step(w, PermitTimedOut{Address: e.Address, Server: e.Server, Incarnation: e.Incarnation})
		})
		return
	}
	c.at(crowdWay, func() {
		peer.now = c.now
		for _, out := range peer.step(PermitRequested{Key: "k", Request: e.Request}) {
			if a, ok := out.(AnswerPermit); ok {
				c.at(crowdWay, func() {
					c.step(w, PermitAnswered{Server: e.Server, Incarnation: e.Incarnation, Answer: a.Answer})
				})
				continue
			}
			c.carryOut(peer, out)
		}
	})
}

// play offers so many requests a second, spread over the entries that live.
func (c *crowd) play(during time.Duration, perSecond float64) {
	rng := rand.New(rand.NewPCG(1, uint64(len(c.worlds))))
	for end := c.now + during; c.now < end; c.now += time.Millisecond {
		due := c.later
		c.later = nil
		for _, s := range due {
			if s.at <= c.now {
				s.do()
			} else {
				c.later = append(c.later, s)
			}
		}
		if rng.Float64() < perSecond/1000 {
			c.arrive(c.worlds[rng.IntN(len(c.worlds))])
		}
		if c.now%crowdTick == 0 {
			for _, w := range c.worlds {
				w.now = c.now
				for _, e := range w.renew() {
					c.carryOut(w, e)
				}
				c.step(w, Tick{})
			}
		}
	}
}

func (c *crowd) arrive(w *world) {
	if c.dead[w.r.cfg.Identity.Name] {
		return
	}
	c.sent++
	w.now = c.now
	c.refreshSum(w)
	a := w.arrival(fmt.Sprintf("r%d.%d", c.now, c.sent), "")
	a.HardDeadline, a.MaxRuns = true, 2
	a.Work.FirstTokenBy, a.Work.FinishBy, a.Work.LateIsOfUse = c.now+400*time.Millisecond, c.now+4*second, true
	if c.change != nil {
		c.change(&a)
	}
	c.step(w, a)
}

// refreshSum brings an entry its aggregator's sum, where it has one.
func (c *crowd) refreshSum(w *world) {
	address := w.r.peers.group.aggregatorAddress(c.now)
	if address == "" {
		return
	}
	peer := c.byAddress(address)
	peer.now = c.now
	for _, e := range peer.step(SumRequested{Key: "k", Request: &pb.PeerSumRequest{ClusterId: "test", Entry: w.r.cfg.Identity.Name}}) {
		if a, ok := e.(AnswerSum); ok && a.Sum != nil {
			c.step(w, SumReceived{SentAt: c.now, Sum: a.Sum})
			continue
		}
		c.carryOut(peer, e)
	}
}

// most is what a server got in the worst 4 s from entries that it had told.
func (c *crowd) most(server string) int {
	most, first := 0, 0
	list := slices.DeleteFunc(slices.Clone(c.arrived[server]), func(a arrivalAt) bool { return !a.told })
	for last := range list {
		for list[last].at-list[first].at >= 4*second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// allowed is what a server with that limit bears in 4 s.
func allowed(rate float64) int { return int(1.5*rate*4) + 5 }
