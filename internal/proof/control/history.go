package control

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// history records the operations of concurrent clients.
type history struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func newHistory() *history { return &history{start: time.Now()} }

// record runs one operation and records it. An operation without an answer gets no
// end time, since it may take effect at any time after its call, or never.
func (h *history) record(client int, input any, operation func() (output any, answered bool)) {
	called := time.Since(h.start).Nanoseconds()
	output, answered := operation()
	returned := time.Since(h.start).Nanoseconds()
	if !answered {
		returned = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: input, Call: called, Output: output, Return: returned})
}

func (h *history) operations() []porcupine.Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]porcupine.Operation(nil), h.ops...)
}

// answered returns the number of operations that got an answer.
func (h *history) answered() int {
	n := 0
	for _, op := range h.operations() {
		if op.Return != math.MaxInt64 {
			n++
		}
	}
	return n
}

// opTimeout bounds one operation with its retries. It allows for an election and a
// leadership transfer.
const opTimeout = 3 * time.Second

func withOpTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, opTimeout)
}
