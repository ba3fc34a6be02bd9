package placement

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// Limits on bulk work at one server. Without them a burst of long prompts takes all slots and
// memory for a minute, and an urgent request finds no slot: an engine's priorities order the
// requests that have a slot but free none.
const (
	// bulkSlotShare is the share of the slots that bulk work may fill.
	bulkSlotShare = 0.75
	// bulkSlotShareByRank is the same at engines that start requests by rank, which are the ones
	// that report counts only. There urgent work gets the next slot that becomes free, and with
	// 100 streams one becomes free every 20 ms.
	bulkSlotShareByRank = 0.95
	// decodeQueueFactor is how many requests an engine that starts them by rank may have for
	// decode, as a multiple of its slots. If they were held back at the entries instead,
	// prefilled requests would wait for the report of a free slot while the slot is idle.
	decodeQueueFactor = 2
	// bulkMemoryShare is the share of the KV memory that bulk work may fill; an urgent request
	// takes about a fiftieth of the memory of a bulk request.
	bulkMemoryShare = 0.9
	// maxBulkPrefillWait is the prefill backlog of a server above which bulk work waits in the
	// entry's queue instead, where it can still go to another server. It exceeds the one second
	// by which reports lag, so that no server runs idle.
	maxBulkPrefillWait = 3 * time.Second
)

// phase tells which part of a request a server is to run.
type phase int

const (
	prefillAndDecode phase = iota
	prefillOnly
	decodeOnly
)

// hasCapacity reports whether the server has a free slot, enough memory and, for bulk work, no
// long prefill backlog.
func hasCapacity(w *decision.Work, server *decision.Server, l *load, slots float64, p phase) bool {
	bulk := w.Class == declaration.ClassBulk && w.Kind != declaration.KindPlain
	if bulk {
		slots = max(1, slots*bulkSlotShareOf(server))
	}
	if p == decodeOnly && server.ReportsCountsOnly {
		slots *= decodeQueueFactor
	}
	if l.requests >= slots {
		return false
	}
	if !bulk {
		return fitsKVMemory(w, server, l, 1)
	}
	backlogged := l.prefillTokens > maxBulkPrefillWait.Seconds()*server.PrefillRate()
	if p != decodeOnly && w.KVTokens == 0 && backlogged {
		return false
	}
	return fitsKVMemory(w, server, l, bulkMemoryShare)
}

func bulkSlotShareOf(server *decision.Server) float64 {
	if server.ReportsCountsOnly {
		return bulkSlotShareByRank
	}
	return bulkSlotShare
}

// fitsKVMemory reports whether the request's KV cache fits. An empty server accepts any request
// that its engine accepts.
func fitsKVMemory(w *decision.Work, server *decision.Server, l *load, share float64) bool {
	if server.Load.KVTokens == 0 || l.requests == 0 {
		return true
	}
	need := float64(w.PromptTokens + w.OutputTokens)
	return l.kvTokens+need <= share*float64(server.Load.KVTokens)
}
