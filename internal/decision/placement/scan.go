package placement

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// candidate is a server with its cost in seconds; its index is -1 for none.
type candidate struct {
	index int
	cost  float64
}

// consider takes the server if it is cheaper, or of about equal cost and first in tie-break
// order.
func (c *candidate) consider(index int, cost float64, requestHash uint32) {
	better := c.index < 0 || cost < c.cost*(1-equalCostTolerance)
	tie := !better && cost < c.cost*(1+equalCostTolerance) && tieBreakOrder(requestHash, index) < tieBreakOrder(requestHash, c.index)
	if better || tie {
		c.index, c.cost = index, cost
	}
}

// candidates are the cheapest servers for running the whole request and, by role, for its prefill
// and its decode.
type candidates struct {
	singleServer          candidate
	prefill, mixedPrefill candidate
	decode, mixedDecode   candidate
}

// enginePair is a pair of engines for prefill and decode with its cost; the indices are -1 for
// none.
type enginePair struct {
	prefill, decode int
	cost            float64
}

// evaluateServers computes the cost of every server once.
func (p *Picker) evaluateServers(now time.Duration, w *decision.Work, fleet *decision.Fleet, cached, reachable []int) candidates {
	none := candidate{index: -1}
	found := candidates{none, none, none, none, none}
	requestHash := hashID(w.RequestID)
	for i := range fleet.Servers {
		server := &fleet.Servers[i]
		if !server.Serves(w) {
			continue
		}
		s := evaluation{picker: p, work: w, server: server, index: i, cachedBlocks: cached[i], reachableBlocks: reachable[i]}
		s.load = estimateLoad(now, w, server, fleet.Entries)
		s.slots = p.limits.aligned[i].allowedSlots(server)
		s.remotePenalty = dataCentrePenalty(fleet, server)
		s.evaluate(&found, requestHash)
	}
	return found
}

// evaluation is the state of evaluating one server.
type evaluation struct {
	picker *Picker
	work   *decision.Work
	server *decision.Server
	index  int
	// cachedBlocks is how many leading blocks the server has cached, reachableBlocks how many it
	// has after a fetch.
	cachedBlocks, reachableBlocks int
	load                          load
	slots                         float64
	remotePenalty                 float64
}

// evaluate considers the server for the phases that its role serves.
func (s *evaluation) evaluate(c *candidates, requestHash uint32) {
	if s.work.Kind == declaration.KindPlain {
		if s.hasCapacity(prefillAndDecode) {
			c.singleServer.consider(s.index, s.remotePenalty+plainServiceCost(s.picker.limits.aligned[s.index], s.server, s.load), requestHash)
		}
		return
	}
	if s.work.KVTokens > 0 {
		s.evaluateImport(c, requestHash)
		return
	}
	switch s.server.Role {
	case engineapi.RolePrefill:
		if s.hasCapacity(prefillOnly) {
			c.prefill.consider(s.index, s.remotePenalty+s.prefillCost(), requestHash)
		}
	case engineapi.RoleDecode:
		if s.hasCapacity(decodeOnly) {
			c.decode.consider(s.index, s.remotePenalty+s.decodeCost(), requestHash)
		}
	default:
		s.evaluateMixed(c, requestHash)
	}
}

// evaluateImport considers a server for continuing from imported KV cache.
func (s *evaluation) evaluateImport(c *candidates, requestHash uint32) {
	if s.server.Role != engineapi.RolePrefill && s.hasCapacity(decodeOnly) {
		c.singleServer.consider(s.index, s.remotePenalty+s.decodeCost()+s.kvImportTime(), requestHash)
	}
}

// evaluateMixed considers a mixed engine for the whole request and for either phase, so that a
// fleet with too few engines of one role can use the other role's engines together with mixed
// ones.
func (s *evaluation) evaluateMixed(c *candidates, requestHash uint32) {
	if !s.hasCapacity(decodeOnly) {
		return
	}
	decode := s.remotePenalty + s.decodeCost()
	c.mixedDecode.consider(s.index, decode, requestHash)
	if s.hasCapacity(prefillAndDecode) {
		prefill := s.prefillCost()
		c.singleServer.consider(s.index, decode+prefill, requestHash)
		c.mixedPrefill.consider(s.index, s.remotePenalty+prefill, requestHash)
	}
}

// kvImportTime returns the time in seconds to transfer the KV cache to this server.
func (s *evaluation) kvImportTime() float64 {
	if s.work.EngineSpeed.KVTransferRate > 0 {
		return kvTransferTime(s.work, s.cachedBlocks)
	}
	return float64(s.work.KVTokens) / defaultKVTransferRate
}

func (s *evaluation) hasCapacity(p phase) bool {
	return hasCapacity(s.work, s.server, &s.load, s.slots, p)
}

func (s *evaluation) prefillCost() float64 {
	cost := prefillCost(s.work, s.server, s.load, s.reachableBlocks) + fetchCost(s.work, s.server, s.cachedBlocks, s.reachableBlocks)
	if s.server.PreferredByOtherGroup {
		cost += otherGroupPrefillPenalty
	}
	return cost
}

func (s *evaluation) decodeCost() float64 {
	cost := s.picker.decodeCost(s.index, s.work, s.server, s.load)
	if s.server.PreferredByOtherGroup {
		cost += otherGroupDecodePenalty
	}
	return cost
}

// bestPair combines the cheapest engines for prefill and decode and adds the KV cache transfer.
func (c *candidates) bestPair(w *decision.Work, cached []int) enginePair {
	best := enginePair{prefill: -1, decode: -1}
	best.consider(c.prefill, c.decode)
	best.consider(c.prefill, c.mixedDecode)
	best.consider(c.mixedPrefill, c.decode)
	if best.decode >= 0 {
		best.cost += kvTransferTime(w, cached[best.decode])
	}
	return best
}

// consider takes the pair if it is cheaper.
func (p *enginePair) consider(prefill, decode candidate) {
	if prefill.index < 0 || decode.index < 0 {
		return
	}
	if cost := prefill.cost + decode.cost; p.decode < 0 || cost < p.cost {
		*p = enginePair{prefill: prefill.index, decode: decode.index, cost: cost}
	}
}
