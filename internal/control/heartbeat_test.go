package control

import (
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func (w *world) heartbeat(server, incarnation string) []string {
	w.t.Helper()
	return ask[*pb.ReportResponse](w, &pb.ReportRequest{
		ClusterId: cluster, Entry: entryIdentity("e1", "1"),
		Heartbeats: []*pb.Heartbeat{{Server: server, IncarnationHash: xxhash.Sum64String(incarnation)}},
	}).GetTellInFull()
}

func TestHeartbeatKeepsAServer(t *testing.T) {
	w := newWorld(t)
	w.addEntry("e1")
	w.engine("checks-1")
	w.announced = nil
	for range 8 {
		w.advance(time.Second)
		if unknown := w.heartbeat("checks-1", "i1"); len(unknown) != 0 {
			t.Fatalf("a known server is asked for: %v", unknown)
		}
	}
	if got := w.server("checks-1").GetState(); got != pb.ServerState_SERVER_STATE_SERVING {
		t.Fatalf("state %v, want serving", got)
	}
}

// A leader dies; its successor hears only heartbeats of an engine whose order it
// does not know the end of. It must ask for the whole announcement.
func TestNewLeaderAsksForWholeAnnouncements(t *testing.T) {
	w := newWorld(t)
	w.addEntry("e1")
	w.engine("checks-1")
	w.follow(2)
	w.lead(3)
	for _, incarnation := range []string{"i1", "i2"} {
		if got := w.heartbeat("checks-1", incarnation); !slices.Equal(got, []string{"checks-1"}) {
			t.Fatalf("incarnation %s: asks for %v, want checks-1", incarnation, got)
		}
	}
}
