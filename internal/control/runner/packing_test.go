package runner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

var takesPacked = &pb.WatchRequest{TakesPacked: true}

// packedAnswer returns the answer for an entry that can unpack.
func packedAnswer(t *testing.T, p *viewPacker, resp *pb.WatchResponse) *pb.WatchResponse {
	t.Helper()
	got, err := p.pack(takesPacked, resp)
	if err != nil {
		t.Fatal(err)
	}
	unpacked, err := rpc.UnpackView(got)
	if err != nil || !proto.Equal(unpacked, resp) {
		t.Fatalf("the unpacked answer differs, or unpacking failed: %v", err)
	}
	return got
}

// manyRoutes returns a view of that many routes, with names as hard to compress as random
// ones.
func manyRoutes(version uint64, routes int) *pb.WatchResponse {
	rng := rand.New(rand.NewPCG(1, 2))
	d := &declaration.Declaration{Revision: 2}
	for range routes {
		host, prefix := fmt.Sprintf("%06x.example", rng.Uint32()>>8), fmt.Sprintf("/%08x/", rng.Uint32())
		d.HostRoutes = append(d.HostRoutes, declaration.HostRoute{
			Name: host + prefix, Host: host, Prefix: prefix, Profile: "urgent-0-400ms-3s", Repeat: declaration.RepeatResumed,
			Stream: true, Timeout: 3 * time.Second, MaxRuns: 2, Targets: []declaration.RouteTarget{{Service: "huvo11a", Weight: 1}},
		})
	}
	return &pb.WatchResponse{
		Version: version, Revision: d.Revision, KnownVersion: version - 1, LeaseMs: 1500,
		Objects: d.ToProto().GetObjects(), Control: []string{"10.0.0.1:1"},
	}
}

// Guards against a change of many routes that occupies the leader's network link for longer
// than a change may take to be in force.
func TestChangeOfManyRoutesFitsTheLeadersLink(t *testing.T) {
	const (
		entries, routes = 330, 1920
		// 1 Gbit/s, half of it for this change, which must be in force within 2 s.
		maxBytes = 1_000_000_000 / 8 / 2 * 2
	)
	p, change := newViewPacker(), manyRoutes(7, routes)
	bytes := 0
	for range entries {
		bytes += proto.Size(packedAnswer(t, p, change))
	}
	if bytes > maxBytes {
		t.Errorf("%d bytes for %d entries, at most %d", bytes, entries, maxBytes)
	}
}

// Guards against an answer that is packed separately for each of hundreds of entries, and
// against a packed answer for an entry of an earlier release that can't unpack it.
func TestAnswerIsPackedOnce(t *testing.T) {
	p, view := newViewPacker(), manyRoutes(7, 100)
	a, b := packedAnswer(t, p, view), packedAnswer(t, p, view)
	if len(a.GetPacked()) == 0 || &a.GetPacked()[0] != &b.GetPacked()[0] {
		t.Error("the same answer was packed twice, or not at all")
	}
	if got, err := p.pack(&pb.WatchRequest{}, view); err != nil || got != view {
		t.Errorf("an entry that can't unpack got %v, %v", got, err)
	}
	changed := proto.CloneOf(view)
	changed.Version, changed.Revision, changed.Objects[0].Content = 8, 3, []byte(`{"name":"other"}`)
	packedAnswer(t, p, changed)
	few := &pb.WatchResponse{Version: 9, Servers: []*pb.BackendServer{{Id: "s"}}}
	if got, err := p.pack(takesPacked, few); err != nil || got != few {
		t.Errorf("a small answer became %v, %v", got, err)
	}
}

// Guards against thousands of routes that are packed again whenever an entry starts or
// stops.
func TestObjectsArePackedOnceWhileEntriesComeAndGo(t *testing.T) {
	p, view := newViewPacker(), manyRoutes(7, 1000)
	packedAnswer(t, p, view)
	objects := p.objects[len(view.GetObjects())]
	for version := range uint64(100) {
		next := proto.CloneOf(view)
		next.Version = 8 + version
		next.Entries = []*pb.EntryInfo{{Identity: &pb.EntryIdentity{Name: fmt.Sprint("entry-", version)}}}
		packedAnswer(t, p, next)
	}
	if len(p.objects) != 1 || p.objects[len(view.GetObjects())] != objects {
		t.Error("the objects were packed again")
	}
	if len(p.views) > maxPackedParts {
		t.Errorf("%d packed answers are cached", len(p.views))
	}
}
