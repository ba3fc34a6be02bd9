package traffic

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// A holder is told of a stream's text piece by piece. If a piece is lost, comes
// late or twice, or the holder has restarted, it must not hold another text than
// the caller got: the stream would go on from a wrong place.
func TestRenewalsBuildTheText(t *testing.T) {
	own := newStreamRecord(&pb.StreamRecord{Member: "hotels", RequestId: "r-1", WireId: "w", Body: []byte("body")})
	holder := newRecordStore()
	own.dispatched(entry.Dispatch{Server: "engine-1", EngineAttempt: 1})
	first := own.whole()
	if !holder.remember(first, time.Now()) {
		t.Fatal("the first word was not kept")
	}
	own.taken("holder", first)

	own.progress([]byte("abcd"), 4)
	second := own.renewal()
	own.progress([]byte("abcdefgh"), 8)
	third := own.renewal()
	for _, p := range []*pb.StreamRecord{third, second, third} {
		if !holder.remember(p, time.Now()) {
			t.Fatalf("renewal %v was not kept", p)
		}
	}
	own.taken("holder", third)
	if got := holder.lookup("hotels", "r-1"); got.Text != "abcdefgh" || got.Tokens != 8 || string(got.Body) != "body" {
		t.Fatalf("held %v", got)
	}
	own.progress([]byte("abcdefghij"), 10)
	last := own.renewal()
	if last.Text != "ij" || len(last.Body) != 0 {
		t.Fatalf("the renewal carries %q and %d bytes of body", last.Text, len(last.Body))
	}
	if newRecordStore().remember(last, time.Now()) {
		t.Fatal("a restarted holder took a renewal of what it does not hold")
	}
	behind := newRecordStore()
	behind.remember(first, time.Now())
	if behind.remember(last, time.Now()) {
		t.Fatal("a holder took a renewal that leaves a gap")
	}
	if holder.lookup("importers", "r-1") != nil {
		t.Fatal("another member's look-up found the record")
	}
}
