package placement

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// equalCostTolerance is the relative difference up to which costs count as equal.
const equalCostTolerance = 0.05

// remoteDataCentrePenalty is the cost in seconds of a server in another data centre: a
// millisecond each way, and a lost server there is more likely to be noticed only by its silence.
const remoteDataCentrePenalty = 0.005

// uncachedTokens returns how many prompt tokens a server must prefill if it has the given number of
// leading blocks cached.
func uncachedTokens(w *decision.Work, cachedBlocks int) int {
	return max(0, w.PromptTokens-w.PrefixTokens(cachedBlocks))
}

// estimateFirstToken returns the tokens that a server prefills before this prompt, the time that
// the prompt's own prefill takes there, and the time until both are done, in seconds.
func estimateFirstToken(now time.Duration, w *decision.Work, server *decision.Server, fleet *decision.Fleet, cachedBlocks int) (tokensAhead, prefillSeconds, firstTokenSeconds float64) {
	l := estimateLoad(now, w, server, fleet.Entries)
	tokensAhead = l.prefillTokens
	if w.Class != declaration.ClassBulk {
		tokensAhead = l.urgentPrefillTokens
	}
	rate := max(1, server.PrefillRate())
	prefillSeconds = server.PrefillOverheadSeconds + float64(uncachedTokens(w, cachedBlocks))/rate
	return tokensAhead, prefillSeconds, prefillSeconds + tokensAhead/rate
}

// kvTransferTime returns the time in seconds to transfer the prompt's KV cache to an engine that
// has its leading blocks cached. If the sizes of the blocks are unknown, the whole KV cache is
// transferred.
func kvTransferTime(w *decision.Work, cachedBlocks int) float64 {
	if w.BlockTokens == nil {
		cachedBlocks = 0
	}
	rate := w.EngineSpeed.KVTransferRate
	if rate <= 0 {
		rate = defaultKVTransferRate
	}
	return float64(uncachedTokens(w, cachedBlocks)) / rate
}

// defaultKVTransferRate is how many tokens' KV cache two engines transfer a second: 160 kB a
// token over 25 Gbit/s.
const defaultKVTransferRate = 20000

// plainServiceCost returns the duration of a call, including the wait for the calls before it.
func plainServiceCost(limit *serverLimit, server *decision.Server, l load) float64 {
	callTime := limit.tokenTime
	if callTime == 0 {
		callTime = 0.01
	}
	return callTime * (1 + l.requests/float64(max(1, server.Slots)))
}

// bulkPrefillWeight is how much more a token of the request's own prefill counts than a token
// queued before it, because all later requests wait for it. Without it each request goes to the
// engine where it alone finishes first, and prefills 13,000 shared tokens again to avoid a
// shorter queue; during bursts this leaves the engines no time for anything else.
const bulkPrefillWeight = 6

// prefillInterference is how much the cost of prefill grows with each running stream, at an
// engine that interleaves prefill with decode steps: every stream stalls for that long. Without
// it long prompts are prefilled beside twenty streams while prefill engines are idle; the streams
// take twice as long and hold their memory twice as long, and later requests wait for memory.
const prefillInterference = 0.2

// prefillCost returns the wait behind the server's prefill backlog plus the prefill of the tokens
// that are not cached there. This bounds cache affinity by what it saves: a server that has the
// prefix but a queue longer than the saved prefill is not chosen.
func prefillCost(w *decision.Work, server *decision.Server, l load, cachedBlocks int) float64 {
	rate := max(1, server.PrefillRate())
	wait := l.prefillTokens / rate
	if w.Class != declaration.ClassBulk {
		wait = l.urgentPrefillTokens / rate
	}
	prefill := float64(uncachedTokens(w, cachedBlocks)) / rate
	if server.ReportsCountsOnly && w.Class == declaration.ClassBulk {
		prefill *= bulkPrefillWeight
	}
	if server.ReportsCountsOnly && server.Role == engineapi.RoleMixed {
		prefill *= 1 + prefillInterference*l.requests
	}
	return wait + prefill
}

// decodeCost returns the request's own decode time at the server's occupancy. A step takes longer
// with more streams and with prefill beside it; requests beyond the slots wait for the ones before
// them.
func (p *Picker) decodeCost(i int, w *decision.Work, server *decision.Server, l load) float64 {
	slots := float64(max(1, server.Slots))
	occupancy := min(1, max((l.requests+1)/slots, kvMemoryShare(w, server, l)))
	perToken := slots / max(1, server.DecodeRate()) * (singleStreamStepShare + (1-singleStreamStepShare)*occupancy)
	slowdown := 1 / max(minFactor, p.limits.aligned[i].factor)
	if server.Role == engineapi.RoleMixed {
		slowdown *= mixedDecodeWeight
	}
	if server.ReportsCountsOnly {
		// Only such servers are sent more requests than they have slots.
		slowdown *= max(1, (l.requests+1)/slots)
	}
	return float64(w.OutputTokens) * perToken * slowdown
}

// kvMemoryShare returns the share of the server's KV memory that is in use once the request is
// added; 0 if the size of the memory is unknown.
func kvMemoryShare(w *decision.Work, server *decision.Server, l load) float64 {
	if server.Load.KVTokens == 0 || !server.ReportsCountsOnly {
		return 0
	}
	return (l.kvTokens + float64(w.PromptTokens+w.OutputTokens)) / float64(server.Load.KVTokens)
}

// mixedDecodeWeight is how much more a stream counts at a mixed engine than its own decode time
// there: while a stream decodes, the engine prefills at less than half of its rate. Without it
// streams go to idle mixed engines while decode engines have free slots, and the mixed engines
// are not available when prefill needs them.
const mixedDecodeWeight = 2

// singleStreamStepShare is the time of a step with one stream as a share of the time of a step
// with a full batch.
const singleStreamStepShare = 0.56

// otherGroupPrefillPenalty is the cost in seconds of prefill at a server that another group of
// entries prefers: about the time until reports of that group's requests arrive. Without it all
// groups pick the same idle servers within that time and queue behind each other's prompts; with
// a higher value prompts wait at the group's own servers while others are idle.
const otherGroupPrefillPenalty = 0.05

// otherGroupDecodePenalty is the same for decode. It is smaller, because one more stream slows
// the others down only a little and blocks none of them.
const otherGroupDecodePenalty = 0.005

// dataCentrePenalty returns the cost in seconds of a server outside the entry's data centre.
func dataCentrePenalty(fleet *decision.Fleet, server *decision.Server) float64 {
	if fleet.DataCentre == "" || server.DataCentre == fleet.DataCentre {
		return 0
	}
	return remoteDataCentrePenalty
}

// tieBreakOrder orders servers differently for each request.
func tieBreakOrder(requestHash uint32, index int) uint32 {
	h := (requestHash ^ uint32(index)) * 2654435761
	return h ^ h>>15
}

// hashID hashes a request id with FNV-1a.
func hashID(id string) uint32 {
	hash := uint32(2166136261)
	for i := range len(id) {
		hash = (hash ^ uint32(id[i])) * 16777619
	}
	return hash
}
