package traffic

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// A replica receives a stream's text in deltas. If a delta is lost, late or
// duplicated, or the peer has restarted, the replica must not differ from the
// text that the caller got. Otherwise the stream would resume at a wrong
// position.
func TestDeltasRebuildRecordText(t *testing.T) {
	own := newStreamRecord(&pb.StreamRecord{Member: "hotels", RequestId: "r-1", WireId: "w", Body: []byte("body")})
	replica := newRecordStore()
	own.setDispatched(entry.Dispatch{Server: "engine-1", EngineAttempt: 1})
	first := own.snapshot()
	if !replica.storeReplica(first, time.Now()) {
		t.Fatal("the initial record was not stored")
	}
	own.acknowledged("holder", first)

	own.setProgress([]byte("abcd"), 4)
	second := own.delta()
	own.setProgress([]byte("abcdefgh"), 8)
	third := own.delta()
	for _, p := range []*pb.StreamRecord{third, second, third} {
		if !replica.storeReplica(p, time.Now()) {
			t.Fatalf("delta %v was not stored", p)
		}
	}
	own.acknowledged("holder", third)
	if got := replica.lookup("hotels", "r-1"); got.Text != "abcdefgh" || got.Tokens != 8 || string(got.Body) != "body" {
		t.Fatalf("replica %v", got)
	}
	own.setProgress([]byte("abcdefghij"), 10)
	lastDelta := own.delta()
	if lastDelta.Text != "ij" || len(lastDelta.Body) != 0 {
		t.Fatalf("the delta carries %q and %d bytes of body", lastDelta.Text, len(lastDelta.Body))
	}
	if newRecordStore().storeReplica(lastDelta, time.Now()) {
		t.Fatal("a restarted peer accepted a delta without the initial record")
	}
	outdated := newRecordStore()
	outdated.storeReplica(first, time.Now())
	if outdated.storeReplica(lastDelta, time.Now()) {
		t.Fatal("a peer accepted a delta that leaves a gap")
	}
	if replica.lookup("importers", "r-1") != nil {
		t.Fatal("another member's lookup found the record")
	}
}
