package host

import (
	"os"

	"github.com/sourcegraph/conc/panics"

	"goldcrestseam.dev/goldcrestseam/internal/obs"
)

// Spawn runs f on a goroutine of its own. A panic in it is logged at once:
// conc would keep it until the end of the process and nobody would know why a
// request hangs.
func (h *Host) Spawn(f func()) {
	h.tasks.Go(func() { h.CatchPanic(f) })
}

// CatchPanic runs f and tells whether it came to its end. A panic is logged with its stack
// and counted: the work of one request may fail without the others'.
func (h *Host) CatchPanic(f func(), about ...any) bool {
	r := panics.Try(f)
	if r == nil {
		return true
	}
	h.Log.Error(obs.LineTaskPanicked, append([]any{"panic", r.String()}, about...)...)
	h.Metrics.Scope.Counter("panics").Inc(1)
	return false
}

// exitPanicked is the exit code of Go's own panics.
const exitPanicked = 2

// ExitOnPanic runs a loop that the entry can't do without. After a panic its state
// can't be trusted and the process ends: callers go on at other entries, while
// an entry whose reducer stands still would hold them for ever.
func (h *Host) ExitOnPanic(f func()) {
	if r := panics.Try(f); r != nil {
		h.Log.Error("a loop panicked; the entry ends", "panic", r.String())
		os.Exit(exitPanicked)
	}
}
