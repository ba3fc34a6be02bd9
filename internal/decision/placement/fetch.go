package placement

import (
	"math"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// fetchOverhead is the duration of a fetch besides its transfer time, in seconds. Engines report
// 2 ms; the rest covers sources that have evicted the blocks, which then have to be prefilled.
const fetchOverhead = 0.005

// fetchSource is the engine from which the leading blocks of a prompt can be fetched: its index
// in the fleet and how many blocks it has.
//
// Fetching pays off where shared prefixes are long and links are fast: 5,400 tokens are prefilled
// in 72 ms and fetched in 2 ms. Without it such a prompt waits at the engine that has the prefix
// while other engines are idle, or prefills it again: in a burst on 6 engines a tenth of all
// prefilled tokens have been prefilled before.
type fetchSource struct{ index, blocks int }

// fetchAllowed reports whether blocks of the request's prompt may be fetched at all. If entries
// do not report to each other which prefixes were prefilled where, each entry knows few of the
// copies. Fetching from those makes engines prefill the same prefixes three times as often, since
// no owner gets all requests for them.
func fetchAllowed(w *decision.Work, fleet *decision.Fleet) bool {
	return fleet.PrefixReportsEnabled && w.EngineSpeed.KVTransferRate > 0 && decision.ReportsPrefix(w)
}

// findFetchSource returns the engine to fetch from; its index is -1 if there is none. Only
// engines that were observed to prefill the blocks count, by this entry or in another entry's
// report. An owner that has not prefilled them yet would have nothing to send, and the blocks
// would end up cached where nobody looks for them.
func (p *Picker) findFetchSource(now time.Duration, w *decision.Work, fleet *decision.Fleet) fetchSource {
	best := fetchSource{index: -1}
	if !fetchAllowed(w, fleet) {
		return best
	}
	var newest time.Duration
	for depth := w.SharedBlocks; depth > 0 && best.index < 0; depth-- {
		b := p.cache.blocks[w.Prefix[depth-1]]
		if b == nil {
			continue
		}
		for _, h := range b.holders {
			i, ok := p.limits.indexOf(fleet, h.server)
			if ok && fleet.Servers[i].Serves(w) && now-h.lastSeen < p.kvInflow.retention(now, fleet, i) && (best.index < 0 || h.lastSeen > newest) {
				best, newest = fetchSource{index: i, blocks: depth}, h.lastSeen
			}
		}
	}
	return best
}

const (
	// maxFetchAge bounds how long an engine counts as a source after its last known use of the
	// blocks.
	maxFetchAge = 30 * time.Second
	// inflowTimeConstant is the time constant of the rate at which tokens are added to KV memory:
	// about as long as memory retains what is added. A shorter one would follow single prompts
	// where an entry sends one every few seconds.
	inflowTimeConstant = 15 * time.Second
)

// tokenInflow estimates the rate at which this entry's prompts add tokens to the KV memory of
// engines.
//
// Added tokens evict the blocks that were used least recently. A fetch from an engine that has
// evicted the blocks gets nothing; a copy that is forgotten too soon is prefilled again.
type tokenInflow struct {
	tokens float64
	at     time.Duration
}

func (f *tokenInflow) add(now time.Duration, tokens float64) {
	f.tokens = f.decayed(now) + tokens
	f.at = now
}

func (f *tokenInflow) decayed(now time.Duration) float64 {
	return f.tokens * math.Exp(-(now-f.at).Seconds()/inflowTimeConstant.Seconds())
}

// retention returns how long an engine keeps a block that is not used: until added tokens have
// filled the memory that running requests leave free. It assumes that all entries send as much as
// this one and that the engines of the same model and role share it evenly.
func (f *tokenInflow) retention(now time.Duration, fleet *decision.Fleet, index int) time.Duration {
	server := &fleet.Servers[index]
	if server.Load.KVTokens == 0 {
		return maxFetchAge
	}
	memory := max(0, float64(server.Load.KVTokens)-server.PeerKVTokens()-float64(server.InFlight.KVTokens))
	sharing := 0
	for i := range fleet.Servers {
		if s := &fleet.Servers[i]; s.Usable && s.Model == server.Model && s.Role == server.Role {
			sharing++
		}
	}
	perSecond := f.decayed(now) / inflowTimeConstant.Seconds() * float64(max(1, fleet.Entries)) / float64(max(1, sharing))
	if perSecond < 1 {
		return maxFetchAge
	}
	return min(maxFetchAge, time.Duration(memory/perSecond*float64(time.Second)))
}

// reachableBlocks returns how many leading blocks each server has after a fetch from the source.
func (p *Picker) reachableBlocks(cached []int, source fetchSource) []int {
	p.reachableBuf = append(p.reachableBuf[:0], cached...)
	if source.index < 0 {
		return p.reachableBuf
	}
	for i := range p.reachableBuf {
		p.reachableBuf[i] = max(p.reachableBuf[i], source.blocks)
	}
	return p.reachableBuf
}

// serverFor returns the engine that the prefilling engine fetches from; nil if it has as many
// blocks itself.
func (s fetchSource) serverFor(fleet *decision.Fleet, cached, reachable []int, prefiller int) *decision.Server {
	if s.index < 0 || s.index == prefiller || reachable[prefiller] <= cached[prefiller] {
		return nil
	}
	return &fleet.Servers[s.index]
}

// copyWeight is the cost of another copy of a block besides its fetch time, as a share of the
// time to prefill the block. The copy evicts other blocks from the engine's memory, which are
// then prefilled again. Without it blocks are copied to avoid queues of a few milliseconds, until
// engines have no room for the blocks that only they hold.
const copyWeight = 0.25

// fetchCost returns the time in seconds to fetch the blocks that are not cached, plus the cost of
// holding another copy of them.
func fetchCost(w *decision.Work, server *decision.Server, cached, reachable int) float64 {
	if reachable <= cached {
		return 0
	}
	tokens := float64(w.PrefixTokens(reachable) - w.PrefixTokens(cached))
	return fetchOverhead + tokens/w.EngineSpeed.KVTransferRate + copyWeight*tokens/max(1, server.PrefillRate())
}
