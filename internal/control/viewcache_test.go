package control

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// A list of control replicas that changes without the view changing must reach
// the entries: with a stale cached answer they would go on asking a replica
// that was replaced.
func TestCachedViewFollowsVersionAndMembership(t *testing.T) {
	s := NewState()
	var c viewCache
	first := c.get(s, 0, []string{"a"})
	if c.get(s, 0, []string{"b"}) != first {
		t.Fatal("the same version was worked out twice")
	}
	c.reset()
	if got := c.get(s, 0, []string{"b"}).GetControl(); len(got) != 1 || got[0] != "b" {
		t.Fatalf("control %v after reset, want [b]", got)
	}
	s.changes.version = 7
	fresh := c.get(s, 3, nil)
	want := s.View(3)
	want.LeaseMs = fresh.GetLeaseMs()
	if !proto.Equal(fresh, want) {
		t.Fatalf("cached %v, want %v", fresh, want)
	}
}

func TestCachedViewsAreBounded(t *testing.T) {
	s := NewState()
	var c viewCache
	for known := range uint64(3 * maxCachedViews) {
		c.get(s, known, nil)
	}
	if len(c.byKnown) > maxCachedViews {
		t.Fatalf("%d answers kept, at most %d", len(c.byKnown), maxCachedViews)
	}
}

// All entries of a fleet ask for the whole view at once: it is packed once for all of them,
// and anew when the view changes. An entry of an earlier release gets it as it is.
func TestWholeViewIsPackedOnce(t *testing.T) {
	w := newWorld(t)
	first := func(name string, packed bool) *pb.WatchResponse {
		id := w.send(&pb.WatchRequest{ClusterId: cluster, Entry: entryIdentity(name, "1"), TakesPacked: packed})
		resp, ok := w.replies[id].Response.(*pb.WatchResponse)
		if !ok {
			t.Fatalf("%s got %+v", name, w.replies[id])
		}
		return resp
	}
	first("entry-1", true)
	a := first("entry-1", true)
	if b := first("entry-1", true); a != b || len(a.GetPacked()) == 0 {
		t.Fatalf("the same view was packed twice, or not at all: %v", a)
	}
	whole, err := rpc.UnpackView(a)
	if err != nil || len(whole.GetEntries()) != 1 {
		t.Fatalf("unpacked %v, %v", whole, err)
	}
	if plain := first("entry-2", false); len(plain.GetPacked()) != 0 || !plain.GetFull() {
		t.Errorf("an entry that reads no packed view got %v", plain)
	}
	if c := first("entry-1", true); c == a {
		t.Error("the view has changed, its packed answer has not")
	}
}
