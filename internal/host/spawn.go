package host

import (
	"os"

	"github.com/sourcegraph/conc/panics"

	"goldcrestseam.dev/goldcrestseam/internal/obs"
)

// Spawn runs f in a new goroutine and logs a panic in it at once. Package conc would
// hold the panic back until the process ends, and the request would hang without a
// visible cause.
func (h *Host) Spawn(f func()) {
	h.tasks.Go(func() { h.CatchPanic(f) })
}

// CatchPanic runs f and reports whether it returned without a panic. A panic is logged with
// its stack and with attrs, and counted. One request may fail without harm to the others.
func (h *Host) CatchPanic(f func(), attrs ...any) bool {
	r := panics.Try(f)
	if r == nil {
		return true
	}
	h.Log.Error(obs.LineTaskPanicked, append([]any{"panic", r.String()}, attrs...)...)
	h.Metrics.Scope.Counter("panics").Inc(1)
	return false
}

// exitPanicked is the exit code that the Go runtime uses for panics.
const exitPanicked = 2

// ExitOnPanic runs a loop that the entry can't work without. After a panic the loop's
// state can't be trusted, so the process exits and callers continue at other entries.
// An entry with a stopped reducer would keep them waiting forever.
func (h *Host) ExitOnPanic(f func()) {
	if r := panics.Try(f); r != nil {
		h.Log.Error("background loop panicked; exiting", "panic", r.String())
		os.Exit(exitPanicked)
	}
}
