package entry

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// overloadedService simulates a plain service with one server left. Calls come at twice the rate
// that its slots can handle. Each has as much time left as a caller's second attempt.
type overloadedService struct {
	*harness
	callTime  time.Duration
	endsAt    map[string]time.Duration
	running   map[string]Dispatch
	deadlines map[string]time.Duration
	arrivedAt map[string]time.Duration
	refused   int
	answered  int
	// waitedFraction sums up for what fraction of their time refused calls were kept waiting.
	waitedFraction float64
}

// callTimes are those of services of different speeds.
var callTimes = []time.Duration{15 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond}

func newOverloadedService(t *testing.T, callTime time.Duration) *overloadedService {
	return &overloadedService{
		harness: newHarness(t), callTime: callTime, endsAt: make(map[string]time.Duration),
		running: make(map[string]Dispatch), deadlines: make(map[string]time.Duration), arrivedAt: make(map[string]time.Duration),
	}
}

const (
	overloadSlots = 2
	// overloadTick is the longest time between two ticks of a loaded entry, overloadDuration how
	// long calls arrive.
	overloadTick     = 20 * time.Millisecond
	overloadDuration = 20 * time.Second
)

// Guards against refusals that leave the entry at the deadline of a waiting call or a tick
// later, when its caller has already disconnected. A plain service has one server left and gets
// more calls than its slots can take, so that some must be refused. At its second attempt a
// caller has 0.6 to 1 s left.
func TestWaitingCallIsRefusedBeforeItsDeadline(t *testing.T) {
	for _, callTime := range callTimes {
		t.Run(callTime.String(), func(t *testing.T) {
			s := newOverloadedService(t, callTime)
			s.run(t)
			if s.refused == 0 {
				t.Fatal("no call was refused, so that the test shows nothing")
			}
		})
	}
}

// Guards against refusals that leave the caller too little time for a retry. How much the server
// can't handle is known from how slowly calls leave the queue. By the usual call time and the
// number of slots alone, refused calls were kept for 0.7 of 0.8 s where calls took three times
// as long as usual. The early refusals must leave no slot idle.
func TestCallsBeyondAFullServiceAreRefusedEarly(t *testing.T) {
	const (
		maxWaitedFraction = 0.25
		minServed         = 0.95
	)
	for _, callTime := range callTimes {
		t.Run(callTime.String(), func(t *testing.T) {
			s := newOverloadedService(t, callTime)
			s.run(t)
			if waited := s.waitedFraction / float64(s.refused); waited > maxWaitedFraction {
				t.Errorf("a refused call waits for %.2f of its time, want %.2f at most", waited, maxWaitedFraction)
			}
			capacity := overloadSlots * overloadDuration.Seconds() / callTime.Seconds()
			if served := float64(s.answered) / capacity; served < minServed {
				t.Errorf("%.2f of the server's capacity is used, want %.2f", served, minServed)
			}
		})
	}
}

func (s *overloadedService) run(t *testing.T) {
	server := testServer(0, pb.ServerState_SERVER_STATE_SERVING)
	server.Kind, server.Services, server.Model, server.Slots = pb.ServerKind_SERVER_KIND_PLAIN, []string{"lookups"}, "", overloadSlots
	s.view(server)
	// Twice the rate that the slots can handle.
	interval := s.callTime / overloadSlots / 2
	next, calls := s.now, 0
	for end := s.now + overloadDuration; s.now < end; s.advance(time.Millisecond) {
		if s.now >= next {
			s.check(t, s.step(s.call(calls)))
			calls, next = calls+1, next+interval
		}
		s.endCalls(t)
		if s.now%overloadTick == 0 {
			s.check(t, s.renew())
			s.check(t, s.step(Tick{}))
		}
	}
}

// call is a caller's second attempt with 0.6 to 1 s left.
func (s *overloadedService) call(n int) RequestArrived {
	id := fmt.Sprintf("call-%d", n)
	a := s.arrival(id, "")
	a.HardDeadline, a.Work.SoftFirstTokenDeadline = true, true
	a.Work.Kind, a.Work.Class, a.Work.Service, a.Work.Model = declaration.KindPlain, declaration.ClassLookup, "lookups", ""
	a.Work.PromptTokens, a.Work.OutputTokens = 0, 0
	a.Work.FirstTokenBy = s.now + 150*time.Millisecond
	a.Work.FinishBy = s.now + time.Duration(600+n%5*100)*time.Millisecond
	s.deadlines[id], s.arrivedAt[id] = a.Work.FinishBy, s.now
	return a
}

func (s *overloadedService) endCalls(t *testing.T) {
	for _, id := range sortedKeys(s.running) {
		if s.now < s.endsAt[id] {
			continue
		}
		d := s.running[id]
		delete(s.running, id)
		s.answered++
		s.check(t, s.endAttempt(d, func(ev *AttemptEnded) { ev.Complete, ev.Elapsed = true, s.callTime }))
	}
}

func (s *overloadedService) check(t *testing.T, effects []Effect) {
	for _, d := range effectsOf[Dispatch](effects) {
		s.running[d.RequestID], s.endsAt[d.RequestID] = d, s.now+s.callTime
	}
	for _, e := range effectsOf[Refuse](effects) {
		s.refused++
		arrivedAt := s.arrivedAt[e.RequestID]
		s.waitedFraction += float64(s.now-arrivedAt) / float64(s.deadlines[e.RequestID]-arrivedAt)
		if late := s.now - s.deadlines[e.RequestID]; late >= 0 {
			t.Fatalf("%s is refused %v after its deadline, when its caller has disconnected", e.RequestID, late)
		}
	}
}
