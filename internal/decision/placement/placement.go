// Package placement picks the backend server for a request.
//
// It answers load that is uneven over servers: prompts that share a prefix, a
// server that has become slow, reports that are older than what was sent since.
// Filters take out servers that can't or should not get the work; a cost in
// seconds, the same unit for everything, is worked out for those that are left:
// the wait behind their prefill, the own prefill less what their cache holds, the
// own decode at their fill, and the transfer of KV cache where prefill and decode
// are at two engines. The lowest cost wins; among servers of nearly the same
// cost the request's id decides, so that nine entries with the same reports do
// not all choose the same server.
//
// Without it the least loaded server of the last report gets everything until
// the next report (herding), a slow server gets as much as the others, and a
// dossier's follow-up question prefills 60,000 tokens again.
//
// docs/design/placement.md has the ways weighed and the figures.
package placement

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Choice is where a request goes.
type Choice struct {
	// Server runs it, or only its decode when Prefill is set.
	Server *decision.Server
	// Prefill is the engine that prefills first, nil when Server does.
	Prefill *decision.Server
	// FetchFrom is the engine from which the reader fetches the parts that it lacks, nil
	// where it reads all that it does not hold.
	FetchFrom *decision.Server
	// UncachedTokens is how many tokens of the prompt are to be read there, as far as is
	// known: the others are in the server's cache.
	UncachedTokens int
	// NewKVTokens is how many tokens come into the reader's memory: those that it reads, and
	// those that it fetches.
	NewKVTokens int
	// TokensAhead is how many tokens are read before it there.
	TokensAhead float64
	// FirstTokenSeconds is the time to the first token that is to be expected,
	// PrefillSeconds the part of it that its own prompt takes, in seconds.
	FirstTokenSeconds, PrefillSeconds float64
	Reason                            string
	Figures                           []decision.Figure
}

// Result is how an attempt at a server went.
type Result struct {
	// Failed: it ended without a whole answer through the server's fault.
	Failed bool
	// FirstToken is the time to the first token; zero when not known.
	FirstToken time.Duration
	// ExpectedFirstToken is the time to the first token that the choice reckoned with;
	// zero when not known.
	ExpectedFirstToken time.Duration
	// DecodeTime is the time from the first token to the last, for Tokens tokens.
	DecodeTime time.Duration
	Tokens     int
	// TotalTime is the whole time, for plain services.
	TotalTime time.Duration
}

// Picker is not safe for concurrent use; the reducer's goroutine owns it.
type Picker struct {
	limits limits
	cache  *prefixIndex
	// scratch holds how many blocks of the prompt each server has, reach how many it has
	// once it has fetched what another one holds; both are used again for each pick.
	scratch, reach []int
	// seen holds how many blocks each server is known to have, homes not counted.
	seen   []int
	inflow inflow
}

// New gives a picker without history.
func New() *Picker {
	return &Picker{limits: newLimits(), cache: newPrefixIndex()}
}

// Pick chooses a server, or none when no server has room. The fleet is only
// read; the choice points into it.
func (p *Picker) Pick(now time.Duration, w *decision.Work, fleet *decision.Fleet) (Choice, bool) {
	p.limits.align(fleet)
	from := p.source(now, w, fleet)
	held := p.held(now, w, fleet, from)
	reach := p.reachable(held, from)
	b := p.scan(now, w, fleet, held, reach)
	pair := b.pair(w, held)
	switch {
	case b.whole.index < 0 && pair.decode < 0:
		return Choice{}, false
	case pair.decode >= 0 && (b.whole.index < 0 || pair.cost < b.whole.cost):
		server := &fleet.Servers[pair.decode]
		has := p.firstHeld(w, fleet, from, reach, pair.prefill)
		before, own, first := firstToken(now, w, &fleet.Servers[pair.prefill], fleet, has)
		return Choice{
			Server: server, Prefill: &fleet.Servers[pair.prefill], UncachedTokens: unread(w, has),
			NewKVTokens: unread(w, held[pair.prefill]),
			FetchFrom:   from.server(fleet, held, reach, pair.prefill),
			TokensAhead: before, FirstTokenSeconds: first, PrefillSeconds: own,
			Reason:  "lowest cost: prefill and decode apart",
			Figures: p.figures(pair.cost, reach[pair.prefill], pair.decode, server),
		}, true
	default:
		server := &fleet.Servers[b.whole.index]
		has := p.firstHeld(w, fleet, from, reach, b.whole.index)
		before, own, first := firstToken(now, w, server, fleet, has)
		return Choice{
			Server: server, Reason: "lowest cost", UncachedTokens: unread(w, has),
			NewKVTokens: unread(w, held[b.whole.index]),
			FetchFrom:   from.server(fleet, held, reach, b.whole.index),
			TokensAhead: before, FirstTokenSeconds: first, PrefillSeconds: own,
			Figures: p.figures(b.whole.cost, reach[b.whole.index], b.whole.index, server),
		}, true
	}
}

func (p *Picker) figures(cost float64, held, index int, server *decision.Server) []decision.Figure {
	return []decision.Figure{
		{Name: "cost_seconds", Value: cost},
		{Name: "cached_blocks", Value: float64(held)},
		{Name: "limit", Value: p.limits.aligned[index].slots(server)},
		{Name: "own_there", Value: float64(server.InFlight.Requests)},
		{Name: "others_running", Value: server.EstimatedPeerRunning},
		{Name: "others_waiting", Value: server.EstimatedPeerWaiting},
	}
}

// RecordSent notes that the choice was carried out: the server that reads the prompt will
// hold it. One that only decodes does so once it has the KV cache: call RecordCached then.
func (p *Picker) RecordSent(now time.Duration, w *decision.Work, choice Choice) {
	reader := choice.Server
	if choice.Prefill != nil {
		reader = choice.Prefill
	}
	p.RecordCached(now, reader.ID, w)
	if reader.ReportsCountsOnly {
		p.inflow.add(now, float64(choice.NewKVTokens))
	}
}

// RecordCached notes that a server has, or is about to have, the prompt's KV cache.
func (p *Picker) RecordCached(now time.Duration, server string, w *decision.Work) {
	p.RecordCachedBlocks(now, server, w.Prefix)
}

// RecordCachedBlocks notes that a server is known to have read these first parts of a prompt.
func (p *Picker) RecordCachedBlocks(now time.Duration, server string, chain []uint64) {
	p.cache.add(now, server, chain)
}

// Observe adapts the server's concurrency limit to how an attempt went.
func (p *Picker) Observe(now time.Duration, server string, result Result) {
	p.limits.observe(now, server, result)
}

// ApplyCacheEvents takes in a server's cache events. They come late and with gaps;
// with a gap nothing more is done than what the events say, since a block that
// is wrongly believed to be there costs its prefill and no error.
func (p *Picker) ApplyCacheEvents(now time.Duration, server string, events []engineapi.CacheEvent) {
	for _, e := range events {
		if e.Dropped {
			p.cache.drop(server, e.Hash)
			continue
		}
		p.cache.addBlock(now, server, e.Hash)
	}
}

// Forget drops what is known of a server: it is gone or has a new incarnation.
func (p *Picker) Forget(server string) {
	p.limits.forget(server)
	p.cache.forget(server)
}
