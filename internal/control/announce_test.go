package control

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// word is a server's own announcement, told to control directly.
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

// A server says that it leaves and stops once that is confirmed. If the leader
// confirmed before the commit and died then, the next one would go on sending
// work to a server that is gone.
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

// A heartbeat is delayed on its way and comes after the word that the server
// leaves, and after its last word. Neither makes the server serve again.
func TestOutOfOrderAnnouncementsAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.announce(announcementOf("a", "life-1", serving), 1)
	h.announce(announcementOf("a", "life-1", leaving), 5)
	h.clock += 2 * staleServingPeriod
	id := h.announce(announcementOf("a", "life-1", serving), 4)
	if got := h.state("a"); got != leaving || h.replies[id].Err != nil {
		t.Fatalf("late heartbeat: %v, error %v", got, h.replies[id].Err)
	}
	h.announce(announcementOf("b", "life-2", serving), 1)
	h.leave("life-2")
	if got := h.state("b"); got != leaving {
		t.Fatalf("after its last word: %v", got)
	}
	h.clock += 2 * staleServingPeriod
	h.announce(announcementOf("b", "life-2", serving), 99)
	if got := h.state("b"); got != leaving {
		t.Fatalf("a heartbeat after the last word: %v", got)
	}
}

// A server crashes and starts again at its address; a heartbeat of its earlier
// life arrives late. The new life stays in force.
func TestEarlierIncarnationIsNotRestored(t *testing.T) {
	h := newHarness(t)
	h.announce(announcementOf("a", "life-1", serving), 7)
	h.announce(announcementOf("a", "life-2", serving), 1)
	if id := h.announce(announcementOf("a", "life-1", leaving), 8); h.replies[id].Err != nil {
		t.Fatalf("the late word is not answered: %v", h.replies[id].Err)
	}
	if got := h.server("a"); got.GetIncarnation() != "life-2" || got.GetState() != serving {
		t.Fatalf("in force: %v", got)
	}
}

// A server whose word this leader never heard tells that it leaves: there is
// nothing to take back, and it must not wait for an answer.
func TestUnknownServerMayLeave(t *testing.T) {
	h := newHarness(t)
	id := h.leave("nobody")
	if r, ok := h.replies[id]; !ok || r.Err != nil {
		t.Fatalf("answered %v, error %v", ok, r.Err)
	}
}

// A server starts and is told to go at once. Its last word overtakes its first
// announcement; control confirms it though it knows no such server, and the announcement
// comes 0.1 s later. It registered the server as serving, and requests went on to it 2.2 s
// after it had been told that nothing would come. Its next life is another matter.
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
		t.Fatalf("its next life: %v", got)
	}
}

// A follower sends the call to the leader in place of answering it.
func TestFollowerRejectsAnnouncements(t *testing.T) {
	h := newHarness(t)
	h.stepDown(2)
	id := h.announce(announcementOf("a", "life-1", serving), 1)
	if r := h.replies[id]; r.Err == nil {
		t.Fatal("a follower confirmed a word")
	}
}

// Operators number their changes from one sequence and don't know of each other.
// The highest counts, whatever it was written against; one that comes late or
// again is confirmed, changes nothing, and is not read back.
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
		force    string
		repeated bool
	}{
		{5, "five", "five", false}, {3, "three", "five", true}, {5, "other", "five", true}, {9, "nine", "nine", false},
	} {
		r := apply(tc.revision, tc.mark)
		if !r.GetAccepted() || r.GetRepeated() != tc.repeated {
			t.Fatalf("revision %d: %v", tc.revision, r)
		}
		got := call[*pb.GetDeclarationResponse](h, &pb.GetDeclarationRequest{ClusterId: cluster})
		if string(got.GetDeclaration().GetDocument()) != tc.force {
			t.Fatalf("after revision %d %q is read back, want %q", tc.revision, got.GetDeclaration().GetDocument(), tc.force)
		}
	}
}
