package control

import (
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func (h *harness) heartbeat(server, incarnation string) []string {
	h.t.Helper()
	return call[*pb.ReportResponse](h, &pb.ReportRequest{
		ClusterId: cluster, Entry: entryIdentity("e1", "1"),
		Heartbeats: []*pb.Heartbeat{{Server: server, IncarnationHash: xxhash.Sum64String(incarnation)}},
	}).GetTellInFull()
}

func TestHeartbeatRenewsServerLease(t *testing.T) {
	h := newHarness(t)
	h.addEntry("e1")
	h.engine("checks-1")
	h.repeatedAnnouncements = nil
	for range 8 {
		h.advance(time.Second)
		if unknown := h.heartbeat("checks-1", "i1"); len(unknown) != 0 {
			t.Fatalf("a full announcement of a known server is requested: %v", unknown)
		}
	}
	if got := h.server("checks-1").GetState(); got != pb.ServerState_SERVER_STATE_SERVING {
		t.Fatalf("state %v, want serving", got)
	}
}

// A new leader gets only heartbeats of an engine with an order whose outcome it does not
// know. It must request the full announcement.
func TestNewLeaderRequestsFullAnnouncements(t *testing.T) {
	h := newHarness(t)
	h.addEntry("e1")
	h.engine("checks-1")
	h.stepDown(2)
	h.becomeLeader(3)
	for _, incarnation := range []string{"i1", "i2"} {
		if got := h.heartbeat("checks-1", incarnation); !slices.Equal(got, []string{"checks-1"}) {
			t.Fatalf("incarnation %s: requests %v, want checks-1", incarnation, got)
		}
	}
}
