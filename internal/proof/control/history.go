package control

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// history collects operations of many clients.
type history struct {
	began time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func newHistory() *history { return &history{began: time.Now()} }

// do runs one operation and records it. One whose answer never came may take
// effect at any time after its call, or never.
func (h *history) do(client int, input any, run func() (output any, answered bool)) {
	call := time.Since(h.began).Nanoseconds()
	output, answered := run()
	back := time.Since(h.began).Nanoseconds()
	if !answered {
		back = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: back})
}

func (h *history) operations() []porcupine.Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]porcupine.Operation(nil), h.ops...)
}

// answered counts the operations that got an answer.
func (h *history) answered() int {
	n := 0
	for _, op := range h.operations() {
		if op.Return != math.MaxInt64 {
			n++
		}
	}
	return n
}

// opTimeout bounds one operation with its retries: an election and a hand-over.
const opTimeout = 3 * time.Second

func withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, opTimeout)
}
