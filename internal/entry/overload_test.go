package entry

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// fullServer is the load of a plain service with one server left: calls come faster than
// its places are free, each with what its caller has left at its second try.
type fullServer struct {
	*world
	callTime time.Duration
	ends     map[string]time.Duration
	running  map[string]Dispatch
	due      map[string]time.Duration
	came     map[string]time.Duration
	refused  int
	answered int
	// held sums up which part of their time refused calls were kept.
	held float64
}

// callTimes are those of servers of several speeds.
var callTimes = []time.Duration{15 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond}

func newFullServer(t *testing.T, callTime time.Duration) *fullServer {
	return &fullServer{
		world: newWorld(t), callTime: callTime, ends: make(map[string]time.Duration),
		running: make(map[string]Dispatch), due: make(map[string]time.Duration), came: make(map[string]time.Duration),
	}
}

const (
	fullPlaces = 2
	// fullTick is the longest between two ticks of a loaded entry, fullFor how long calls come.
	fullTick = 20 * time.Millisecond
	fullFor  = 20 * time.Second
)

// A plain service has one server left and gets more calls than it can take. Some have to be
// turned away; a caller that comes back has 0.6 to 1 s left. The refusal of a call that waited
// left the entry at the call's deadline or a tick after it, when its caller had gone: of seven
// calls in a row at one entry six had no answer ("how":"caller gone","ms":939,"attempts":0) and
// one was refused 642 ms after it came, at its deadline. Here no refusal may leave so late.
func TestWaitingCallIsRefusedBeforeItsDeadline(t *testing.T) {
	for _, callTime := range callTimes {
		t.Run(callTime.String(), func(t *testing.T) {
			s := newFullServer(t, callTime)
			s.play(t)
			if s.refused == 0 {
				t.Fatal("no call was refused: nothing is shown")
			}
		})
	}
}

// The same load: what the one server left can't take is known from how slowly calls leave the
// queue. Refused as it comes, a caller has most of its time left to come back; by the usual
// time of a call and the server's places alone, refused calls were kept for 0.7 of 0.8 s
// where a call takes three times as long as usual. No place may stay empty for it.
func TestCallsBeyondAFullServiceAreRefusedEarly(t *testing.T) {
	const (
		mostHeld    = 0.25
		leastServed = 0.95
	)
	for _, callTime := range callTimes {
		t.Run(callTime.String(), func(t *testing.T) {
			s := newFullServer(t, callTime)
			s.play(t)
			if held := s.held / float64(s.refused); held > mostHeld {
				t.Errorf("a refused call is kept for %.2f of its time, want %.2f at most", held, mostHeld)
			}
			room := fullPlaces * fullFor.Seconds() / callTime.Seconds()
			if served := float64(s.answered) / room; served < leastServed {
				t.Errorf("%.2f of what the server can do are served, want %.2f", served, leastServed)
			}
		})
	}
}

func (s *fullServer) play(t *testing.T) {
	server := testServer(0, pb.ServerState_SERVER_STATE_SERVING)
	server.Kind, server.Services, server.Model, server.Slots = pb.ServerKind_SERVER_KIND_PLAIN, []string{"lookups"}, "", fullPlaces
	s.view(server)
	// Twice what the places can do.
	every := s.callTime / fullPlaces / 2
	next, calls := s.now, 0
	for end := s.now + fullFor; s.now < end; s.after(time.Millisecond) {
		if s.now >= next {
			s.check(t, s.step(s.call(calls)))
			calls, next = calls+1, next+every
		}
		s.endCalls(t)
		if s.now%fullTick == 0 {
			s.check(t, s.renew())
			s.check(t, s.step(Tick{}))
		}
	}
}

// call is a caller's second try: 0.6 to 1 s are left to it.
func (s *fullServer) call(n int) RequestArrived {
	id := fmt.Sprintf("call-%d", n)
	a := s.arrival(id, "")
	a.HardDeadline, a.Work.LateIsOfUse = true, true
	a.Work.Kind, a.Work.Class, a.Work.Service, a.Work.Model = declaration.KindPlain, declaration.ClassLookup, "lookups", ""
	a.Work.PromptTokens, a.Work.OutputTokens = 0, 0
	a.Work.FirstTokenBy = s.now + 150*time.Millisecond
	a.Work.FinishBy = s.now + time.Duration(600+n%5*100)*time.Millisecond
	s.due[id], s.came[id] = a.Work.FinishBy, s.now
	return a
}

func (s *fullServer) endCalls(t *testing.T) {
	for _, id := range sortedKeys(s.running) {
		if s.now < s.ends[id] {
			continue
		}
		d := s.running[id]
		delete(s.running, id)
		s.answered++
		s.check(t, s.ended(d, func(ev *AttemptEnded) { ev.Complete, ev.Elapsed = true, s.callTime }))
	}
}

func (s *fullServer) check(t *testing.T, effects []Effect) {
	for _, d := range pick[Dispatch](effects) {
		s.running[d.RequestID], s.ends[d.RequestID] = d, s.now+s.callTime
	}
	for _, e := range pick[Refuse](effects) {
		s.refused++
		came := s.came[e.RequestID]
		s.held += float64(s.now-came) / float64(s.due[e.RequestID]-came)
		if late := s.now - s.due[e.RequestID]; late >= 0 {
			t.Fatalf("%s is refused %v after its deadline: its caller has gone", e.RequestID, late)
		}
	}
}
