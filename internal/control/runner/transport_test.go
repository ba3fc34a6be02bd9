package runner

import (
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
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
