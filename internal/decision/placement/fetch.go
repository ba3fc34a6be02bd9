package placement

import (
	"math"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// fetchOverhead is what a fetch takes beside its bytes, in seconds: the engines say 2 ms;
// the rest is for a source that has dropped the part, which is then read.
const fetchOverhead = 0.005

// source is the engine that is known to hold most of a prompt's first parts.
//
// It answers prompts whose shared parts are long beside links that are fast: a part of
// 5,400 tokens is read in 72 ms and fetched in 2. Without it such a prompt waits at the
// engine that holds the part while others idle, or reads it anew: at 6 engines in a burst
// a tenth of all that was read had been read before.
type source struct{ index, parts int }

// fetches tells whether parts of the work's prompt are fetched at all. Among many entries
// that don't report to each other what was read, each knows of few copies: fetched from those,
// parts were read again three times as often, since no home got all requests for them.
func fetches(w *decision.Work, fleet *decision.Fleet) bool {
	return fleet.PrefixReportsEnabled && w.EngineSpeed.KVTransferRate > 0 && decision.ReportsPrefix(w)
}

// source gives the engine to fetch from; index -1 for none. Only engines that have been
// seen to read the part count, by this entry or by another one's report: a part's home that
// has not read it yet would have nothing to give, and the part be read where it is not
// looked for.
func (p *Picker) source(now time.Duration, w *decision.Work, fleet *decision.Fleet) source {
	best := source{index: -1}
	if !fetches(w, fleet) {
		return best
	}
	var at time.Duration
	for depth := w.SharedBlocks; depth > 0 && best.index < 0; depth-- {
		b := p.cache.blocks[w.Prefix[depth-1]]
		if b == nil {
			continue
		}
		for _, h := range b.holders {
			i, ok := p.limits.indexOf(fleet, h.server)
			if ok && fleet.Servers[i].Serves(w) && now-h.at < p.inflow.keeps(now, fleet, i) && (best.index < 0 || h.at > at) {
				best, at = source{index: i, parts: depth}, h.at
			}
		}
	}
	return best
}

const (
	// believeFetch bounds how long an engine counts as a source after it was last seen to
	// use the part.
	believeFetch = 30 * time.Second
	// inflowTime is the time constant of the rate at which tokens come into memory: about as
	// long as memory keeps what comes in. A shorter one follows single prompts where an entry
	// sends one every few seconds.
	inflowTime = 15 * time.Second
)

// inflow is the rate at which this entry's prompts put tokens into engines' memory.
//
// Parts that were used longest ago yield to what comes in. An engine that is believed to
// hold what it has dropped gives nothing; a copy that is forgotten too soon is read again.
type inflow struct {
	tokens float64
	at     time.Duration
}

func (f *inflow) add(now time.Duration, tokens float64) {
	f.tokens = f.decayed(now) + tokens
	f.at = now
}

func (f *inflow) decayed(now time.Duration) float64 {
	return f.tokens * math.Exp(-(now-f.at).Seconds()/inflowTime.Seconds())
}

// keeps is how long that engine keeps a part that is not used: until what comes in has
// filled the memory that running requests leave, if all entries send as much as this one
// and the engines that read share it.
func (f *inflow) keeps(now time.Duration, fleet *decision.Fleet, index int) time.Duration {
	server := &fleet.Servers[index]
	if server.Load.KVTokens == 0 {
		return believeFetch
	}
	memory := max(0, float64(server.Load.KVTokens)-server.PeerKVTokens()-float64(server.InFlight.KVTokens))
	readers := 0
	for i := range fleet.Servers {
		if s := &fleet.Servers[i]; s.Usable && s.Model == server.Model && s.Role == server.Role {
			readers++
		}
	}
	perSecond := f.decayed(now) / inflowTime.Seconds() * float64(max(1, fleet.Entries)) / float64(max(1, readers))
	if perSecond < 1 {
		return believeFetch
	}
	return min(believeFetch, time.Duration(memory/perSecond*float64(time.Second)))
}

// reachable gives how many parts each server has once it has fetched from the source.
func (p *Picker) reachable(held []int, from source) []int {
	p.reach = append(p.reach[:0], held...)
	if from.index < 0 {
		return p.reach
	}
	for i := range p.reach {
		p.reach[i] = max(p.reach[i], from.parts)
	}
	return p.reach
}

// server gives the engine that the reader fetches from; nil if it holds as much itself.
func (s source) server(fleet *decision.Fleet, held, reach []int, reader int) *decision.Server {
	if s.index < 0 || s.index == reader || reach[reader] <= held[reader] {
		return nil
	}
	return &fleet.Servers[s.index]
}

// copyPrice is what a copy of a part counts beside the time of its fetch, as a share of the
// time in which the part is read: in the reader's memory it takes the place of others, which
// are read again then. Without it parts are copied to pass by queues of some milliseconds,
// until no engine has room for those that it is the only one to hold.
const copyPrice = 0.25

// fetchCost is how long the parts beyond those held take to fetch, and the price of their
// copy, in seconds.
func fetchCost(w *decision.Work, server *decision.Server, held, reach int) float64 {
	if reach <= held {
		return 0
	}
	tokens := float64(w.PrefixTokens(reach) - w.PrefixTokens(held))
	return fetchOverhead + tokens/w.EngineSpeed.KVTransferRate + copyPrice*tokens/max(1, server.PrefillRate())
}
