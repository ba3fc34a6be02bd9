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

// randomSchedule is one random history of an entry with lost, duplicated and late events, and
// what was seen of the reducer's effects.
type randomSchedule struct {
	*harness
	rt       *rapid.T
	arrivals int
	finals   map[string]int
	running  map[string]Dispatch
	// sent keeps all dispatches, for late events about them.
	sent []Dispatch
	// leaving names the servers that reported themselves leaving or that a view showed as
	// leaving.
	leaving map[string]bool
	// confirmed is when each server last reported itself serving.
	confirmed map[string]time.Duration
	sentAt    time.Duration
}

const scheduleServers = 4

// Each request must get exactly one final answer. No new work may go to a leaving server or, on
// a stale view, to a server that has not just confirmed itself. This must hold whatever events
// are lost, duplicated or late.
func TestAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &randomSchedule{
			harness: newHarness(rt), rt: rt, finals: make(map[string]int), running: make(map[string]Dispatch),
			leaving: make(map[string]bool), confirmed: make(map[string]time.Duration),
		}
		s.newView()
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			s.randomEvent()
		}
		s.endAll()
	})
}

func (s *randomSchedule) randomEvent() {
	s.advance(time.Duration(rapid.IntRange(0, 400).Draw(s.rt, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 9).Draw(s.rt, "event") {
	case 0, 1, 2:
		s.newRequest()
	case 3, 4:
		s.endRandomAttempt()
	case 5:
		s.lateEvent()
	case 6:
		s.serverStateEvent()
	case 7:
		s.newView()
	case 8:
		s.sentAt = s.now
		s.check(s.renew())
	default:
		s.check(s.step(Tick{}))
	}
}

func (s *randomSchedule) newRequest() {
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

func (s *randomSchedule) endRandomAttempt() {
	if len(s.running) == 0 {
		return
	}
	d := s.running[rapid.SampledFrom(sortedKeys(s.running)).Draw(s.rt, "running")]
	s.finishAttempt(d, rapid.IntRange(0, 5).Draw(s.rt, "how"))
}

func (s *randomSchedule) finishAttempt(d Dispatch, how int) {
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

// lateEvent repeats an event about an attempt that may have ended long ago.
func (s *randomSchedule) lateEvent() {
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

func (s *randomSchedule) serverStateEvent() {
	i := rapid.IntRange(0, scheduleServers-1).Draw(s.rt, "server")
	id := fmt.Sprintf("engine-%d", i)
	state := engineapi.StateServing
	if rapid.IntRange(0, 9).Draw(s.rt, "leaves") == 0 {
		state = engineapi.StateLeaving
		s.leaving[id] = true
	}
	if state == engineapi.StateServing {
		s.confirmed[id] = s.now
	}
	s.check(s.reportState(i, state))
}

func (s *randomSchedule) newView() {
	servers := serving(scheduleServers)
	for _, p := range servers {
		p.Role = pb.EngineRole(rapid.IntRange(1, 3).Draw(s.rt, "role"))
		if s.leaving[p.Id] || rapid.IntRange(0, 19).Draw(s.rt, "view leaves") == 0 {
			p.State = pb.ServerState_SERVER_STATE_LEAVING
			s.leaving[p.Id] = true
		}
	}
	s.sentAt = s.now
	s.check(s.view(servers...))
}

func (s *randomSchedule) check(effects []Effect) {
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

func (s *randomSchedule) checkDispatch(d Dispatch) {
	if s.finals[d.RequestID] > 0 {
		s.rt.Fatalf("%s is dispatched after its final answer", d.RequestID)
	}
	if !d.Reconnect {
		confirmed, ok := s.confirmed[d.Server]
		stale := s.now >= s.sentAt+1500*time.Millisecond
		if s.leaving[d.Server] || s.leaving[d.PrefillServer] || (stale && (!ok || s.now-confirmed >= confirmationTime)) {
			s.rt.Fatalf("new work for %s: leaving %v, stale %v", d.Server, s.leaving[d.Server], stale)
		}
	}
	s.running[d.RequestID] = d
	s.sent = append(s.sent, d)
}

func (s *randomSchedule) final(id string) {
	s.finals[id]++
	delete(s.running, id)
	if s.finals[id] > 1 {
		s.rt.Fatalf("%s got %d final answers", id, s.finals[id])
	}
}

// endAll ends everything: running attempts finish, and waiting requests pass their deadlines.
func (s *randomSchedule) endAll() {
	for range 200 {
		for _, id := range sortedKeys(s.running) {
			s.finishAttempt(s.running[id], 0)
		}
		s.advance(second)
		s.check(s.step(Tick{}))
	}
	for i := range s.arrivals {
		if id := fmt.Sprintf("r%d", i); s.finals[id] != 1 {
			s.rt.Fatalf("%s got %d final answers", id, s.finals[id])
		}
	}
}
