package placement

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// load is the estimated current load of a server.
type load struct {
	requests            float64
	prefillTokens       float64 // tokens that wait for prefill
	urgentPrefillTokens float64 // tokens whose prefill urgent work has to wait for
	decodeTokens        float64 // tokens still to be decoded
	kvTokens            float64 // tokens of KV memory in use
}

// otherEntriesFactor is how much each of the other entries is assumed to have sent since the last
// report, relative to what this entry has sent. With 1 a single request would count nine times on
// nine entries, and a server just used would be avoided; with 0 each of the nine entries would
// fill the same free slots.
const otherEntriesFactor = 0.3

// estimateLoad corrects the report for its age: it subtracts what the server has processed since
// and adds what was sent since. Otherwise every request between two reports would go to the same
// server.
func estimateLoad(now time.Duration, w *decision.Work, server *decision.Server, entries int) load {
	report, sent := &server.Load, &server.InFlight
	age := max(0, (now - server.ReportedAt).Seconds())
	scale := 1 + otherEntriesFactor*float64(max(1, entries)-1)
	l := load{
		requests: float64(report.Running+report.Queued) + scale*float64(sent.RequestsSinceReport),
		prefillTokens: max(0, float64(report.QueuedPrefillTokens)-age*server.PrefillRate()) +
			scale*float64(sent.PrefillTokensSinceReport),
		decodeTokens: max(0, float64(report.RunningDecodeTokens)-age*server.DecodeRate()) +
			scale*float64(sent.DecodeTokensSinceReport),
		kvTokens: float64(report.KVUsed) + scale*float64(sent.KVTokensSinceReport),
	}
	l.urgentPrefillTokens = scale * float64(sent.UrgentPrefillTokens)
	if server.ReportsCountsOnly {
		return loadFromCounts(w, server)
	}
	l.requests = max(l.requests, float64(sent.Requests))
	return l
}

// loadFromCounts returns the load of a server that reports counts only. Both prefill fields hold
// the tokens that are prefilled before this request.
func loadFromCounts(w *decision.Work, server *decision.Server) load {
	sent := &server.InFlight
	tokensAhead := server.PrefillTokensAhead(w)
	return load{
		requests:            server.PeerRequests() + float64(sent.Requests),
		prefillTokens:       tokensAhead,
		urgentPrefillTokens: tokensAhead,
		decodeTokens:        float64(sent.DecodeTokens),
		kvTokens:            server.PeerKVTokens() + float64(sent.KVTokens),
	}
}
