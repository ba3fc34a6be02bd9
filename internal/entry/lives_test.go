package entry

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/incarnation"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// namedServer returns a server that keeps its name when it starts again.
func namedServer(i int, startMS int64) *pb.BackendServer {
	s := testServer(i, pb.ServerState_SERVER_STATE_SERVING)
	s.Incarnation = incarnation.ID("i-"+s.Id, startMS)
	return s
}

// crashUnder lets a server crash under a request, which then goes to the others known.
func (w *harness) crashUnder(d Dispatch) {
	w.startAttempt(d)
	w.advance(20 * time.Millisecond)
	w.endAttempt(d, serverDied)
}

func (w *harness) suspectNamed(id string) *suspect {
	return w.r.suspects.byKey[w.r.requests[id].key()]
}

// Guards against an answer of the next life of an engine that takes back the crash of the one before: an
// engine that is back under its name answers probes before control knows of its start.
func TestAnswerOfTheNextLifeTakesBackNoCrash(t *testing.T) {
	for after, want := range map[time.Duration]int{aliveProofDelay: 0, restartTime: 1, 2 * time.Second: 1} {
		w := newHarness(t)
		server := namedServer(0, 1000)
		w.view(server)
		w.arrive("r1")
		w.crashUnder(w.singleDispatch())
		w.advance(after)
		w.step(ServerReported{Server: server.Id, Incarnation: server.Incarnation, State: engineapi.StateServing})
		if got := len(w.suspectNamed("r1").deaths); got != want {
			t.Errorf("an answer %v after the crash: charged with %d crashes, want %d", after, got, want)
		}
	}
}

// Guards against crashes of lives that control doesn't know yet being taken for the one before, and against
// an engine that ends again and again: one engine alone convicts a request only with its third end.
func TestLivesOfOneEngineCountApartAndLess(t *testing.T) {
	w := newHarness(t)
	server := namedServer(0, 1000)
	w.view(server)
	w.arrive("r1")
	for life, want := range []int{4, 6, 8} {
		s := w.r.servers.byID[server.Id]
		q := w.r.requests["r1"]
		if life > 0 {
			w.advance(2 * time.Second)
			w.renew()
			w.step(ServerReported{Server: server.Id, Incarnation: server.Incarnation, State: engineapi.StateServing})
			w.r.held, q.pendingEnd = nil, nil
		}
		if q.server == nil {
			w.r.dispatch(q, s, placement.Choice{Reason: "test"}, false)
		}
		w.crashUnder(Dispatch{RequestID: "r1", Attempt: q.attempt})
		if q = w.r.requests["r1"]; q == nil {
			if life < 2 {
				t.Fatalf("refused after %d ends of one engine", life+1)
			}
			return
		}
		if got := w.suspectNamed("r1").score(); got != want {
			t.Errorf("after %d ends of one engine: score %d, want %d", life+1, got, want)
		}
	}
	t.Error("not refused after three ends of one engine")
}

// Guards against a request that goes to the next life of the engine that has just ended under it, which is
// empty and so the cheapest.
func TestNextLifeOfAFailedEngineIsAvoided(t *testing.T) {
	w := newHarness(t)
	w.view(namedServer(0, 1000), namedServer(1, 1000))
	w.arrive("r1")
	d := w.singleDispatch()
	w.crashUnder(d)
	index := int(d.Server[len(d.Server)-1] - '0')
	w.delta(&pb.WatchResponse{Servers: []*pb.BackendServer{namedServer(index, 5000)}})
	w.r.suspects = newSuspectTable()
	fleet := w.r.fleet(w.r.requests["r1"])
	for _, s := range fleet.Servers {
		if s.ID == d.Server && s.Usable {
			t.Errorf("the next life of %s is usable, which has just failed the request", s.ID)
		}
	}
}

// Guards against a request whose crashes are all in doubt, as other servers end beside it: it runs again only
// once none does, and one at a time.
func TestRequestInDoubtWaitsForCalm(t *testing.T) {
	w := newHarness(t)
	w.view(serving(6)...)
	arrival := w.arrival("r1", "hotels")
	doubted := w.r.suspects.add(quarantineKey{member: "hotels", fingerprint: arrival.Fingerprint})
	for _, death := range []string{"engine-0/life-0", "engine-1/life-0", "engine-2/life-0"} {
		doubted.deaths[death] = charge{score: veryDoubtfulScore}
	}
	w.r.suspects.crashes.add("engine-5/life-0", w.now)
	w.step(arrival)
	again := w.arrival("r2", "hotels")
	again.Fingerprint = arrival.Fingerprint
	w.step(again)
	sent := 0
	for start := w.now; w.now < start+otherCrashesPeriod+maxTrialSpread; {
		w.advance(100 * time.Millisecond)
		w.renew()
		sent += len(effectsOf[Dispatch](w.effects))
		if sent > 0 && w.now < start+otherCrashesPeriod {
			t.Fatalf("sent %v after the crash of another server", w.now-start)
		}
	}
	if sent != 1 {
		t.Errorf("sent %d times once no other servers crash, want once", sent)
	}
}
