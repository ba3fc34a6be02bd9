package placement

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// load is a server's load as it is reckoned to be now.
type load struct {
	requests float64
	prefill  float64 // tokens that wait for prefill
	urgent   float64 // those of them that urgent work waits for
	decode   float64 // tokens that are still to be decoded
	kv       float64 // tokens of KV memory in use
}

// others is how much of what this entry sent since the last report each of the
// other entries is reckoned to have sent too. With 1 a single request would
// count nine times and a server just used would be shunned; with 0 nine entries
// would each fill the same free slots.
const others = 0.3

// loadOf corrects the report for its lag: what the server has worked off since
// is taken away, what was sent since is added. Without that every request
// between two reports goes to the same server.
func loadOf(now time.Duration, w *decision.Work, server *decision.Server, entries int) load {
	report, sent := &server.Load, &server.InFlight
	age := max(0, (now - server.ReportedAt).Seconds())
	scale := 1 + others*float64(max(1, entries)-1)
	l := load{
		requests: float64(report.Running+report.Queued) + scale*float64(sent.RequestsSinceReport),
		prefill: max(0, float64(report.QueuedPrefillTokens)-age*server.PrefillRate()) +
			scale*float64(sent.PrefillTokensSinceReport),
		decode: max(0, float64(report.RunningDecodeTokens)-age*server.DecodeRate()) +
			scale*float64(sent.DecodeTokensSinceReport),
		kv: float64(report.KVUsed) + scale*float64(sent.KVTokensSinceReport),
	}
	l.urgent = scale * float64(sent.UrgentPrefillTokens)
	if server.ReportsCountsOnly {
		return countedLoad(w, server)
	}
	l.requests = max(l.requests, float64(sent.Requests))
	return l
}

// countedLoad is the load of a server that reports counts only; prefill and urgent are
// what is read before the work.
func countedLoad(w *decision.Work, server *decision.Server) load {
	sent := &server.InFlight
	prefill := server.PrefillTokensAhead(w)
	return load{
		requests: server.PeerRequests() + float64(sent.Requests),
		prefill:  prefill,
		urgent:   prefill,
		decode:   float64(sent.DecodeTokens),
		kv:       server.PeerKVTokens() + float64(sent.KVTokens),
	}
}
