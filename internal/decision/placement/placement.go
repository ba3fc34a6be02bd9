// Package placement picks the backend server for a request.
//
// It balances load where prompts share prefixes, where a server has become slow, and where load
// reports are older than the requests sent since. Filters exclude servers that cannot or should
// not take the request. Each remaining server gets a cost in seconds: the wait behind its prefill
// backlog, the prefill of the tokens that its cache lacks, the decode time at its occupancy, and
// the KV cache transfer if prefill and decode run on different engines. The lowest cost wins.
// Among servers of nearly equal cost a hash of the request id decides, so that nine entries (the
// gateway processes that callers connect to) with the same reports do not all choose the same
// server.
//
// Otherwise the server that was least loaded in the last report would get every request until the
// next report (herding), a slow server would get as many requests as the others, and a follow-up
// question on a document of 60,000 tokens would prefill it again.
//
// docs/design/placement.md describes the alternatives considered and the measurements.
package placement

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Choice is the result of a placement decision.
type Choice struct {
	// Server runs the request, or only its decode when Prefill is set.
	Server *decision.Server
	// Prefill is the engine that runs the prefill when it is not Server; nil otherwise.
	Prefill *decision.Server
	// FetchFrom is the engine from which the prefilling engine fetches KV cache blocks that it
	// lacks; nil if it computes all of them itself.
	FetchFrom *decision.Server
	// UncachedTokens is the estimated number of prompt tokens that the prefilling engine has to
	// compute; the others are in its cache or are fetched.
	UncachedTokens int
	// NewKVTokens is how many tokens are added to the prefilling engine's KV cache, computed or
	// fetched.
	NewKVTokens int
	// TokensAhead is how many prompt tokens that engine prefills before this prompt.
	TokensAhead float64
	// FirstTokenSeconds is the expected time to the first token. PrefillSeconds is the part of it
	// that this prompt's own prefill takes.
	FirstTokenSeconds, PrefillSeconds float64
	Reason                            string
	Figures                           []decision.Figure
}

// Result is the outcome of an attempt at a server.
type Result struct {
	// Failed tells that the attempt ended without a complete answer through the server's fault.
	Failed bool
	// FirstToken is the time to the first token; zero if unknown.
	FirstToken time.Duration
	// ExpectedFirstToken is the time to the first token that the choice was based on; zero if
	// unknown.
	ExpectedFirstToken time.Duration
	// DecodeTime is the time from the first token to the last one, for Tokens tokens.
	DecodeTime time.Duration
	Tokens     int
	// TotalTime is the duration of the whole call; it is used for plain services.
	TotalTime time.Duration
}

// Picker chooses servers and keeps what is known of their caches and speed. It is not safe for
// concurrent use; the reducer's goroutine owns it.
type Picker struct {
	limits serverLimits
	cache  *prefixIndex
	// cachedBuf holds for each server how many leading blocks of the prompt it is assumed to have
	// cached, reachableBuf how many it has after a fetch from another engine. Both are reused by
	// every pick.
	cachedBuf, reachableBuf []int
	// observedBuf is cachedBuf without the assumption that owners of a prefix hold it.
	observedBuf []int
	kvInflow    tokenInflow
}

// New returns a picker without history.
func New() *Picker {
	return &Picker{limits: newServerLimits(), cache: newPrefixIndex()}
}

// Pick chooses a server; it returns false if no server has capacity. It does not modify the
// fleet, and the choice points into it.
//
// KV caches that servers of different builds write don't fit together, so the engines of a choice
// run the same one.
func (p *Picker) Pick(now time.Duration, w *decision.Work, fleet *decision.Fleet) (Choice, bool) {
	p.limits.alignWith(fleet)
	best, cheapest := Choice{}, candidate{index: -1}
	requestHash := hashID(w.RequestID)
	for _, version := range softwareVersions(w, fleet) {
		within := *w
		within.SoftwareVersion = &version
		choice, found := p.pickWithin(now, &within, fleet)
		if found.index < 0 {
			continue
		}
		cheapest.consider(found.index, found.cost, requestHash)
		if cheapest.index == found.index {
			best = choice
		}
	}
	return best, cheapest.index >= 0
}

// softwareVersions returns the builds that the servers run which can serve the request.
func softwareVersions(w *decision.Work, fleet *decision.Fleet) []string {
	var versions []string
	for i := range fleet.Servers {
		if s := &fleet.Servers[i]; s.Serves(w) && !slices.Contains(versions, s.SoftwareVersion) {
			versions = append(versions, s.SoftwareVersion)
		}
	}
	return versions
}

// pickWithin chooses among servers of one build. It also returns the chosen server with its cost;
// the index is -1 if none has capacity.
func (p *Picker) pickWithin(now time.Duration, w *decision.Work, fleet *decision.Fleet) (Choice, candidate) {
	source := p.findFetchSource(now, w, fleet)
	cached := p.cachedBlocks(now, w, fleet, source)
	reachable := p.reachableBlocks(cached, source)
	candidates := p.evaluateServers(now, w, fleet, cached, reachable)
	chosen, prefiller, reason := candidates.singleServer, candidates.singleServer.index, "lowest cost"
	pair := candidates.bestPair(w, cached)
	if pair.decode >= 0 && (chosen.index < 0 || pair.cost < chosen.cost) {
		chosen, prefiller = candidate{index: pair.decode, cost: pair.cost}, pair.prefill
		reason = "lowest cost: prefill and decode on separate engines"
	}
	if chosen.index < 0 {
		return Choice{}, chosen
	}
	server := &fleet.Servers[chosen.index]
	prefillerBlocks := p.blocksAtPrefill(w, fleet, source, reachable, prefiller)
	tokensAhead, prefillSeconds, firstTokenSeconds := estimateFirstToken(now, w, &fleet.Servers[prefiller], fleet, prefillerBlocks)
	choice := Choice{
		Server: server, Reason: reason, UncachedTokens: uncachedTokens(w, prefillerBlocks),
		NewKVTokens: uncachedTokens(w, cached[prefiller]),
		FetchFrom:   source.serverFor(fleet, cached, reachable, prefiller),
		TokensAhead: tokensAhead, FirstTokenSeconds: firstTokenSeconds, PrefillSeconds: prefillSeconds,
		Figures: p.figures(chosen.cost, reachable[prefiller], chosen.index, server),
	}
	if prefiller != chosen.index {
		choice.Prefill = &fleet.Servers[prefiller]
	}
	return choice, chosen
}

func (p *Picker) figures(cost float64, cached, index int, server *decision.Server) []decision.Figure {
	return []decision.Figure{
		{Name: "cost_seconds", Value: cost},
		{Name: "cached_blocks", Value: float64(cached)},
		{Name: "limit", Value: p.limits.aligned[index].allowedSlots(server)},
		{Name: "own_there", Value: float64(server.InFlight.Requests)},
		{Name: "others_running", Value: server.EstimatedPeerRunning},
		{Name: "others_waiting", Value: server.EstimatedPeerWaiting},
	}
}

// RecordSent records that the choice was carried out: the engine that prefills the prompt will
// have it cached. An engine that only decodes has it once the KV cache has arrived; call
// RecordCached then.
func (p *Picker) RecordSent(now time.Duration, w *decision.Work, choice Choice) {
	prefiller := choice.Server
	if choice.Prefill != nil {
		prefiller = choice.Prefill
	}
	p.RecordCached(now, prefiller.ID, w)
	if prefiller.ReportsCountsOnly {
		p.kvInflow.add(now, float64(choice.NewKVTokens))
	}
}

// RecordCached records that a server has the prompt's KV cache or is about to have it.
func (p *Picker) RecordCached(now time.Duration, server string, w *decision.Work) {
	p.RecordCachedBlocks(now, server, w.Prefix)
}

// RecordCachedBlocks records that a server is known to have these leading blocks of a prompt.
func (p *Picker) RecordCachedBlocks(now time.Duration, server string, prefix []uint64) {
	p.cache.add(now, server, prefix)
}

// Observe adapts the server's concurrency limit to the outcome of an attempt.
func (p *Picker) Observe(now time.Duration, server string, result Result) {
	p.limits.observe(now, server, result)
}

// ApplyCacheEvents applies a server's cache events. They arrive late and with gaps. A gap needs
// no special treatment: a block that is wrongly assumed to be cached costs its prefill and causes
// no error.
func (p *Picker) ApplyCacheEvents(now time.Duration, server string, events []engineapi.CacheEvent) {
	for _, e := range events {
		if e.Dropped {
			p.cache.removeHolder(server, e.Hash)
			continue
		}
		p.cache.addBlock(now, server, e.Hash)
	}
}

// Forget drops everything known of a server that is gone or has a new incarnation.
func (p *Picker) Forget(server string) {
	p.limits.forget(server)
	p.cache.removeServer(server)
}
