package runner

import (
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/store"
)

func largeMessage(bytes int) *pb.Message { return &pb.Message{Chunk: make([]byte, bytes)} }

// Guards against messages to a replica that does not take them which hold the entries of a log that was
// cut, and against calls that are larger than a replica accepts.
func TestQueuedMessagesAreBoundedByBytes(t *testing.T) {
	q := &sendQueue{messages: make(chan *pb.Message, sendQueueLength)}
	for range 40 {
		q.put(largeMessage(1 << 20))
	}
	if n := len(q.messages); n != 7 {
		t.Errorf("%d messages of 1 MiB wait", n)
	}
	for len(q.messages) > 0 {
		size := 0
		for _, m := range q.takeBatch(<-q.messages) {
			size += len(m.GetChunk())
		}
		if size > maxBatchBytes+1<<20 || size > maxCallBytes {
			t.Errorf("a call of %d bytes", size)
		}
	}
	if left := q.bytes.Load(); left != 0 {
		t.Errorf("%d bytes are counted in an empty queue", left)
	}
	q.put(largeMessage(maxQueuedBytes + 1))
	if len(q.messages) != 1 {
		t.Error("a message over the bound is never sent")
	}
}

// Guards against answers that are refused after each snapshot, which begins a new boot, until they are
// repeated: the first message of a boot introduces it.
func TestFirstMessageOfABootIntroducesIt(t *testing.T) {
	o := store.Options{Dir: t.TempDir(), Cluster: "c", ReplicaID: 1, Bootstrap: &pb.Membership{}}
	st, _, err := store.Open(o)
	if err != nil {
		t.Fatal(err)
	}
	defer st.Close()
	peer := &pb.ReplicaIdentity{}
	answer := []*pb.Message{{Kind: pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE}}
	q, bulk := &sendQueue{}, &sendQueue{key: queueKey{bulk: true}}
	for n := range uint64(3) {
		id := q.senderIdentity(st, answer)
		if n > 0 {
			if err := consensus.CheckPeer(id, peer, nil); err != nil {
				t.Errorf("boot %d: %v", id.GetBoot(), err)
			}
		}
		peer, q.introducedBoot = id, id.GetBoot()
		if again := q.senderIdentity(st, answer); len(again.GetPastNonces()) > 0 || again.GetBoot() != id.GetBoot() {
			t.Errorf("the history is sent again: %v", again)
		}
		if id := bulk.senderIdentity(st, answer); len(id.GetPastNonces()) > 0 {
			t.Errorf("the history is sent with entries, which need none: %v", id)
		}
		meta := &pb.SnapshotMeta{Index: n + 1}
		consensus.SetSnapshotChecksum(meta, nil)
		if err := st.SaveSnapshot(meta, nil); err != nil {
			t.Fatal(err)
		}
	}
}
