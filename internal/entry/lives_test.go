package entry

import (
	"testing"
	"time"

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
