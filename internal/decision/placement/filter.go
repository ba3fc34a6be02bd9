package placement

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// Bounds on bulk work at one server. Without them a burst of dossiers takes all
// slots and memory for a minute, and a clerk's question finds no place however
// urgent it is: an engine's priorities order what has a slot, they don't free one.
const (
	// bulkSlots is the part of the slots that bulk work may fill.
	bulkSlots = 0.75
	// bulkSlotsRanked takes its place at engines that begin requests in the order of
	// rank, as those do that report counts only: a slot that falls free goes to urgent
	// work first, and with 100 streams one falls free each 20 ms.
	bulkSlotsRanked = 0.95
	// queuedDecodes is how many times its places an engine that ranks may get to decode: it
	// begins them by rank as places fall free. Held at the entries instead, work that is read
	// already waits for word of a free place, and the place for the work.
	queuedDecodes = 2
	// bulkMemory is the part of the KV memory that bulk work may fill; a
	// question takes a fiftieth of what a dossier does.
	bulkMemory = 0.9
	// bulkBacklog is how much prefill may wait at a server before bulk work
	// waits in the entry's queue instead, where it can still go elsewhere: more
	// than the second of a report's lag, so that no server idles.
	bulkBacklog = 3 * time.Second
)

// part says which part of a request a server is to do.
type part int

const (
	both part = iota
	prefillEnd
	decodeEnd
)

// hasRoom tells whether the server has a slot, memory and, for bulk work, no
// long prefill backlog.
func hasRoom(w *decision.Work, server *decision.Server, l *load, slots float64, p part) bool {
	bulk := w.Class == declaration.ClassBulk && w.Kind != declaration.KindPlain
	if bulk {
		slots = max(1, slots*bulkSlotsOf(server))
	}
	if p == decodeEnd && server.ReportsCountsOnly {
		slots *= queuedDecodes
	}
	if l.requests >= slots {
		return false
	}
	if !bulk {
		return fitsMemory(w, server, l, 1)
	}
	waits := l.prefill > bulkBacklog.Seconds()*server.PrefillRate()
	if p != decodeEnd && w.KVTokens == 0 && waits {
		return false
	}
	return fitsMemory(w, server, l, bulkMemory)
}

func bulkSlotsOf(server *decision.Server) float64 {
	if server.ReportsCountsOnly {
		return bulkSlotsRanked
	}
	return bulkSlots
}

// fitsMemory tells whether the request's KV cache fits; an empty server takes any
// that its engine takes.
func fitsMemory(w *decision.Work, server *decision.Server, l *load, share float64) bool {
	if server.Load.KVTokens == 0 || l.requests == 0 {
		return true
	}
	need := float64(w.PromptTokens + w.OutputTokens)
	return l.kv+need <= share*float64(server.Load.KVTokens)
}
