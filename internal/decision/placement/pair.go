package placement

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// end is a candidate for one end of a pair.
type end struct {
	index int
	cost  float64
}

var noEnd = end{index: -1}

// ends are the best candidates for both ends, by role.
type ends struct {
	prefill, mixedPrefill end
	decode, mixedDecode   end
}

// pickPair takes the best engine for each end and adds the transfer of the KV
// cache. A mixed engine can be either end, so a fleet that is short of one role
// still uses the other.
func (p *Picker) pickPair(now time.Duration, w *decision.Work, fleet *decision.Fleet, held []int) pair {
	none := pair{prefill: -1, decode: -1}
	if w.Kind == declaration.KindPlain || w.KVTokens > 0 {
		return none
	}
	e := p.bestEnds(now, w, fleet, held)
	best := join(none, e.prefill, e.decode)
	best = join(best, e.prefill, e.mixedDecode)
	best = join(best, e.mixedPrefill, e.decode)
	if best.decode < 0 {
		return none
	}
	best.cost += float64(w.PromptTokens) / kvTokenRate
	best.held = held[best.prefill]
	return best
}

// join gives the pair of both ends when it costs less than best.
func join(best pair, prefill, decode end) pair {
	if prefill.index < 0 || decode.index < 0 {
		return best
	}
	cost := prefill.cost + decode.cost
	if best.decode >= 0 && best.cost <= cost {
		return best
	}
	return pair{prefill: prefill.index, decode: decode.index, cost: cost}
}

func (p *Picker) bestEnds(now time.Duration, w *decision.Work, fleet *decision.Fleet, held []int) ends {
	e := ends{noEnd, noEnd, noEnd, noEnd}
	turn := spread(w.RequestID)
	for i := range fleet.Servers {
		server := &fleet.Servers[i]
		if !server.Serves(w) {
			continue
		}
		l := loadOf(now, server, fleet.Entries)
		slots := p.limits.aligned[i].slots(server)
		far := distance(fleet, server)
		if server.Role != engineapi.RoleDecode && hasRoom(w, server, &l, slots, prefillEnd) {
			e.prefillEnd(server.Role).offer(i, prefillCost(w, server, l, held[i])+far, turn)
		}
		if server.Role != engineapi.RolePrefill && hasRoom(w, server, &l, slots, decodeEnd) {
			e.decodeEnd(server.Role).offer(i, p.decodeCost(i, w, server, l)+far, turn)
		}
	}
	return e
}

func (e *ends) prefillEnd(role engineapi.Role) *end {
	if role == engineapi.RolePrefill {
		return &e.prefill
	}
	return &e.mixedPrefill
}

func (e *ends) decodeEnd(role engineapi.Role) *end {
	if role == engineapi.RoleDecode {
		return &e.decode
	}
	return &e.mixedDecode
}

// offer takes the candidate if it is better, or alike and first by rank.
func (e *end) offer(index int, cost float64, turn uint32) {
	better := e.index < 0 || cost < e.cost*(1-near)
	alike := !better && cost < e.cost*(1+near) && rank(turn, index) < rank(turn, e.index)
	if better || alike {
		e.index, e.cost = index, cost
	}
}

func (p *Picker) pairChoice(fleet *decision.Fleet, c pair) Choice {
	server := &fleet.Servers[c.decode]
	return Choice{
		Server:  server,
		Prefill: &fleet.Servers[c.prefill],
		Reason:  "lowest cost: prefill and decode apart",
		Figures: p.figures(c.cost, c.held, c.decode, server),
	}
}

func (p *Picker) wholeChoice(fleet *decision.Fleet, c whole) Choice {
	server := &fleet.Servers[c.index]
	return Choice{Server: server, Reason: "lowest cost", Figures: p.figures(c.cost, c.held, c.index, server)}
}

func (p *Picker) figures(cost float64, held, index int, server *decision.Server) []decision.Figure {
	return []decision.Figure{
		{Name: "cost_seconds", Value: cost},
		{Name: "cached_blocks", Value: float64(held)},
		{Name: "limit", Value: p.limits.aligned[index].slots(server)},
	}
}
