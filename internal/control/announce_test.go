package control

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// announcementOf returns an announcement as a server sends it directly to control.
func announcementOf(id, incarnation string, state pb.ServerState) *pb.Announcement {
	return &pb.Announcement{Server: &pb.BackendServer{
		Id: id, Incarnation: incarnation, Address: id, Kind: pb.ServerKind_SERVER_KIND_PLAIN,
		Services: []string{"portal"}, State: state,
	}}
}

func (h *harness) announce(a *pb.Announcement, sequence uint64) uint64 {
	h.nextID++
	h.step(Announce{ID: h.nextID, Announcement: proto.CloneOf(a), Sequence: sequence})
	return h.nextID
}

func (h *harness) leave(incarnation string) uint64 {
	h.nextID++
	h.step(Leave{ID: h.nextID, Incarnation: incarnation})
	return h.nextID
}

// A server reports that it is leaving and stops once that is confirmed. If the leader
// confirmed before the commit and then died, the next leader would still send requests to a
// server that has stopped.
func TestLeavingIsConfirmedOnlyOnceCommitted(t *testing.T) {
	h := newHarness(t)
	h.announce(announcementOf("a", "life-1", serving), 1)
	h.node.commitsBlocked = true
	id := h.announce(announcementOf("a", "life-1", leaving), 2)
	if r, ok := h.replies[id]; ok {
		t.Fatalf("confirmed before the commit: %v, %v", r.Response, r.Err)
	}
	h.stepDown(2)
	if r, ok := h.replies[id]; !ok || r.Err == nil {
		t.Fatalf("the leader stepped down: answered %v, error %v; want an error", ok, r.Err)
	}
}

// A delayed heartbeat arrives after the announcement that the server is leaving, or after
// its Leave. Neither may make the server serve again.
func TestOutOfOrderAnnouncementsAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.announce(announcementOf("a", "life-1", serving), 1)
	h.announce(announcementOf("a", "life-1", leaving), 5)
	h.clock += 6 * time.Second
	id := h.announce(announcementOf("a", "life-1", serving), 4)
	if got := h.state("a"); got != leaving || h.replies[id].Err != nil {
		t.Fatalf("late heartbeat: %v, error %v", got, h.replies[id].Err)
	}
	h.announce(announcementOf("b", "life-2", serving), 1)
	h.leave("life-2")
	if got := h.state("b"); got != leaving {
		t.Fatalf("after its Leave: %v", got)
	}
	h.clock += 6 * time.Second
	h.announce(announcementOf("b", "life-2", serving), 99)
	if got := h.state("b"); got != leaving {
		t.Fatalf("after a heartbeat that arrived after the Leave: %v", got)
	}
}

// A server crashes and restarts at its address; a heartbeat of its earlier incarnation
// arrives late. The new incarnation stays in force.
func TestEarlierIncarnationIsNotRestored(t *testing.T) {
	h := newHarness(t)
	h.announce(announcementOf("a", "life-1", serving), 7)
	h.advance(holderSilence)
	h.announce(announcementOf("a", "life-2", serving), 1)
	if id := h.announce(announcementOf("a", "life-1", leaving), 8); h.replies[id].Err != nil {
		t.Fatalf("the late announcement is not answered: %v", h.replies[id].Err)
	}
	if got := h.server("a"); got.GetIncarnation() != "life-2" || got.GetState() != serving {
		t.Fatalf("server in force: %v", got)
	}
}

// A server that this leader has no announcement of sends a Leave: there is nothing to undo,
// and the server must get its answer at once.
func TestUnknownServerMayLeave(t *testing.T) {
	h := newHarness(t)
	id := h.leave("nobody")
	if r, ok := h.replies[id]; !ok || r.Err != nil {
		t.Fatalf("answered %v, error %v", ok, r.Err)
	}
}

// A server is told to shut down right after its start. Its Leave overtakes its first
// announcement, which arrives 0.1 s later. If the late announcement registered the server
// as serving, requests would still reach it 2.2 s after it was told that none would come.
// Its next incarnation is registered as usual.
func TestServerThatLeftBeforeAnnouncingIsNotRegistered(t *testing.T) {
	h := newHarness(t)
	h.leave("life-1")
	h.clock += 100 * time.Millisecond
	if id := h.announce(announcementOf("a", "life-1", serving), 1); h.replies[id].Err != nil {
		t.Fatalf("the late announcement is not answered: %v", h.replies[id].Err)
	}
	if got := h.state("a"); got == serving {
		t.Fatal("a server that has left is registered as serving")
	}
	h.announce(announcementOf("a", "life-2", serving), 1)
	if got := h.server("a"); got.GetIncarnation() != "life-2" || got.GetState() != serving {
		t.Fatalf("its next incarnation: %v", got)
	}
}

// A follower must refuse the announcement with the leader's address instead of confirming
// it.
func TestFollowerRejectsAnnouncements(t *testing.T) {
	h := newHarness(t)
	h.stepDown(2)
	id := h.announce(announcementOf("a", "life-1", serving), 1)
	if r := h.replies[id]; r.Err == nil {
		t.Fatal("a follower confirmed an announcement")
	}
}

// Operators number their changes from one sequence and don't know of each other. The
// highest revision wins, whatever its base. A revision that arrives late or again is
// confirmed, changes nothing, and is not returned by GetDeclaration.
func TestNewestDeclarationWins(t *testing.T) {
	h := newHarness(t)
	apply := func(revision uint64, mark string) *pb.ApplyResponse {
		d := testDeclaration(revision, 0, "operator", mark)
		d.Document = []byte(mark)
		return call[*pb.ApplyResponse](h, &pb.ApplyRequest{ClusterId: cluster, Declaration: d, NewestWins: true})
	}
	for _, tc := range []struct {
		revision uint64
		mark     string
		inForce  string
		repeated bool
	}{
		{5, "five", "five", false}, {3, "three", "five", true}, {5, "other", "five", true}, {9, "nine", "nine", false},
	} {
		r := apply(tc.revision, tc.mark)
		if !r.GetAccepted() || r.GetRepeated() != tc.repeated {
			t.Fatalf("revision %d: %v", tc.revision, r)
		}
		got := call[*pb.GetDeclarationResponse](h, &pb.GetDeclarationRequest{ClusterId: cluster})
		if string(got.GetDeclaration().GetDocument()) != tc.inForce {
			t.Fatalf("after revision %d %q is in force, want %q", tc.revision, got.GetDeclaration().GetDocument(), tc.inForce)
		}
	}
}
