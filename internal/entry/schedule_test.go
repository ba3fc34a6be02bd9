package entry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// schedule is one random history of an entry with lost, doubled and late
// events, and what was seen of the reducer's effects.
type schedule struct {
	*world
	rt       *rapid.T
	arrivals int
	finals   map[string]int
	running  map[string]Dispatch
	// sent keeps all dispatches, for late words about them.
	sent []Dispatch
	// left names servers that said or were said to leave.
	left map[string]bool
	// confirmed is when each server last said that it serves.
	confirmed map[string]time.Duration
	sentAt    time.Duration
}

const scheduleServers = 4

// Every request gets exactly one final answer, refused ones in the step in
// which they arrive; no new work goes to a server that leaves, or on a stale
// view to one that has not just confirmed itself - whatever is lost, doubled
// or late.
func TestAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &schedule{
			world: newWorld(rt), rt: rt, finals: make(map[string]int), running: make(map[string]Dispatch),
			left: make(map[string]bool), confirmed: make(map[string]time.Duration),
		}
		s.newView()
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			s.randomEvent()
		}
		s.drain()
	})
}

func (s *schedule) randomEvent() {
	s.after(time.Duration(rapid.IntRange(0, 400).Draw(s.rt, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 9).Draw(s.rt, "event") {
	case 0, 1, 2:
		s.newRequest()
	case 3, 4:
		s.endOne()
	case 5:
		s.lateWord()
	case 6:
		s.serverWord()
	case 7:
		s.newView()
	case 8:
		s.sentAt = s.now
		s.check(s.renew())
	default:
		s.check(s.step(Tick{}))
	}
}

func (s *schedule) newRequest() {
	id := fmt.Sprintf("r%d", s.arrivals)
	s.arrivals++
	s.finals[id] = 0
	ev := s.arrival(id, rapid.SampledFrom([]string{"hotels", "importers"}).Draw(s.rt, "member"))
	ev.Retry = RetryRule(rapid.IntRange(0, 2).Draw(s.rt, "repeat"))
	ev.Fingerprint = rapid.Uint64Range(0, 20).Draw(s.rt, "content")
	s.check(s.step(ev))
	if rapid.Bool().Draw(s.rt, "doubled") && s.finals[id] == 0 {
		s.check(s.step(ev))
	}
}

func (s *schedule) endOne() {
	if len(s.running) == 0 {
		return
	}
	d := s.running[rapid.SampledFrom(sortedKeys(s.running)).Draw(s.rt, "running")]
	s.finishAttempt(d, rapid.IntRange(0, 5).Draw(s.rt, "how"))
}

func (s *schedule) finishAttempt(d Dispatch, how int) {
	ev := AttemptEnded{RequestID: d.RequestID, Attempt: d.Attempt, Outcome: outcome.Unknown}
	ev.AtPrefillServer = how > 0 && d.PrefillServer != "" && d.Attempt%2 == 0
	switch how {
	case 0:
		ev.Complete, ev.Outcome = true, outcome.Ran
	case 1:
		ev.Outcome = outcome.NotRun
	case 2:
		ev.ServerDied = true
	case 3:
		ev.StreamUnknown = true
	case 4:
		s.running = without(s.running, d.RequestID)
		s.check(s.step(CallerDisconnected{RequestID: d.RequestID}))
		return
	}
	s.running = without(s.running, d.RequestID)
	s.check(s.step(ev))
}

func without(m map[string]Dispatch, id string) map[string]Dispatch {
	delete(m, id)
	return m
}

// lateWord doubles a word about an attempt that may be over long since.
func (s *schedule) lateWord() {
	if len(s.sent) == 0 {
		return
	}
	d := rapid.SampledFrom(s.sent).Draw(s.rt, "sent")
	if s.running[d.RequestID].Attempt == d.Attempt {
		s.check(s.step(AttemptProgress{RequestID: d.RequestID, Attempt: d.Attempt, Tokens: 5}))
		return
	}
	s.check(s.step(AttemptEnded{RequestID: d.RequestID, Attempt: d.Attempt, Complete: true, Outcome: outcome.Ran}))
}

func (s *schedule) serverWord() {
	i := rapid.IntRange(0, scheduleServers-1).Draw(s.rt, "server")
	id := fmt.Sprintf("engine-%d", i)
	state := engineapi.StateServing
	if rapid.IntRange(0, 9).Draw(s.rt, "leaves") == 0 {
		state = engineapi.StateLeaving
		s.left[id] = true
	}
	if state == engineapi.StateServing {
		s.confirmed[id] = s.now
	}
	s.check(s.said(i, state))
}

func (s *schedule) newView() {
	servers := serving(scheduleServers)
	for _, p := range servers {
		p.Role = pb.EngineRole(rapid.IntRange(1, 3).Draw(s.rt, "role"))
		if s.left[p.Id] || rapid.IntRange(0, 19).Draw(s.rt, "view leaves") == 0 {
			p.State = pb.ServerState_SERVER_STATE_LEAVING
			s.left[p.Id] = true
		}
	}
	s.sentAt = s.now
	s.check(s.view(servers...))
}

func (s *schedule) check(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Dispatch:
			s.checkDispatch(e)
		case Refuse:
			s.final(e.RequestID)
		case Finish:
			s.final(e.RequestID)
		}
	}
}

func (s *schedule) checkDispatch(d Dispatch) {
	if s.finals[d.RequestID] > 0 {
		s.rt.Fatalf("%s is dispatched after its final answer", d.RequestID)
	}
	if !d.Reconnect {
		confirmed, ok := s.confirmed[d.Server]
		stale := s.now >= s.sentAt+1500*time.Millisecond
		if s.left[d.Server] || s.left[d.PrefillServer] || (stale && (!ok || s.now-confirmed >= confirmationTime)) {
			s.rt.Fatalf("new work for %s: left %v, stale %v", d.Server, s.left[d.Server], stale)
		}
	}
	s.running[d.RequestID] = d
	s.sent = append(s.sent, d)
}

func (s *schedule) final(id string) {
	s.finals[id]++
	delete(s.running, id)
	if s.finals[id] > 1 {
		s.rt.Fatalf("%s got %d final answers", id, s.finals[id])
	}
}

// drain lets everything end: what runs finishes, what waits passes its deadline.
func (s *schedule) drain() {
	for range 200 {
		for _, id := range sortedKeys(s.running) {
			s.finishAttempt(s.running[id], 0)
		}
		s.after(second)
		s.check(s.step(Tick{}))
	}
	for i := range s.arrivals {
		if id := fmt.Sprintf("r%d", i); s.finals[id] != 1 {
			s.rt.Fatalf("%s got %d final answers", id, s.finals[id])
		}
	}
}
