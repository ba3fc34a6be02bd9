package placement

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// candidate is a server with its cost in seconds; index -1 for none.
type candidate struct {
	index int
	cost  float64
}

// offer takes the server if it costs less, or alike and is first by rank.
func (c *candidate) offer(index int, cost float64, turn uint32) {
	better := c.index < 0 || cost < c.cost*(1-near)
	alike := !better && cost < c.cost*(1+near) && rank(turn, index) < rank(turn, c.index)
	if better || alike {
		c.index, c.cost = index, cost
	}
}

// best are the best candidates for the whole work and for both ends of a pair, by
// role.
type best struct {
	whole                 candidate
	prefill, mixedPrefill candidate
	decode, mixedDecode   candidate
}

// pair is a candidate with prefill and decode at two servers; -1 for none.
type pair struct {
	prefill, decode int
	cost            float64
}

// scan looks once at every server.
func (p *Picker) scan(now time.Duration, w *decision.Work, fleet *decision.Fleet, held, reach []int) best {
	none := candidate{index: -1}
	b := best{none, none, none, none, none}
	turn := spread(w.RequestID)
	for i := range fleet.Servers {
		server := &fleet.Servers[i]
		if !server.Serves(w) {
			continue
		}
		s := scored{picker: p, work: w, server: server, index: i, held: held[i], reach: reach[i]}
		s.load = loadOf(now, w, server, fleet.Entries)
		s.slots = p.limits.aligned[i].slots(server)
		s.far = distance(fleet, server)
		s.offer(&b, turn)
	}
	return b
}

// scored is one server while it is looked at.
type scored struct {
	picker *Picker
	work   *decision.Work
	server *decision.Server
	index  int
	// held is how many parts it has, reach how many with those that it would fetch.
	held, reach int
	load        load
	slots       float64
	far         float64
}

// offer offers the server for the parts that its role does.
func (s *scored) offer(b *best, turn uint32) {
	if s.work.Kind == declaration.KindPlain {
		if s.room(both) {
			b.whole.offer(s.index, s.far+plainCost(s.picker.limits.aligned[s.index], s.server, s.load), turn)
		}
		return
	}
	if s.work.KVTokens > 0 {
		s.offerImport(b, turn)
		return
	}
	switch s.server.Role {
	case engineapi.RolePrefill:
		if s.room(prefillEnd) {
			b.prefill.offer(s.index, s.far+s.prefill(), turn)
		}
	case engineapi.RoleDecode:
		if s.room(decodeEnd) {
			b.decode.offer(s.index, s.far+s.decode(), turn)
		}
	default:
		s.offerMixed(b, turn)
	}
}

// offerImport offers a server that goes on from imported KV cache.
func (s *scored) offerImport(b *best, turn uint32) {
	if s.server.Role != engineapi.RolePrefill && s.room(decodeEnd) {
		b.whole.offer(s.index, s.far+s.decode()+s.importTime(), turn)
	}
}

// offerMixed: a mixed engine can do the whole or be either end, so that a fleet
// that is short of one role still uses the other.
func (s *scored) offerMixed(b *best, turn uint32) {
	if !s.room(decodeEnd) {
		return
	}
	decode := s.far + s.decode()
	b.mixedDecode.offer(s.index, decode, turn)
	if s.room(both) {
		prefill := s.prefill()
		b.whole.offer(s.index, decode+prefill, turn)
		b.mixedPrefill.offer(s.index, s.far+prefill, turn)
	}
}

// importTime is how long the KV cache takes to get there, in seconds.
func (s *scored) importTime() float64 {
	if s.work.EngineSpeed.KVTransferRate > 0 {
		return moveTime(s.work, s.held)
	}
	return float64(s.work.KVTokens) / kvTokenRate
}

func (s *scored) room(p part) bool { return hasRoom(s.work, s.server, &s.load, s.slots, p) }

func (s *scored) prefill() float64 {
	cost := prefillCost(s.work, s.server, s.load, s.reach) + fetchCost(s.work, s.server, s.held, s.reach)
	if s.server.PreferredByOtherGroup {
		cost += othersFirstPenalty
	}
	return cost
}

func (s *scored) decode() float64 {
	cost := s.picker.decodeCost(s.index, s.work, s.server, s.load)
	if s.server.PreferredByOtherGroup {
		cost += othersFirstDecode
	}
	return cost
}

// pair joins the ends that cost least, with the transfer of the KV cache.
func (b *best) pair(w *decision.Work, held []int) pair {
	out := pair{prefill: -1, decode: -1}
	out.join(b.prefill, b.decode)
	out.join(b.prefill, b.mixedDecode)
	out.join(b.mixedPrefill, b.decode)
	if out.decode >= 0 {
		out.cost += moveTime(w, held[out.decode])
	}
	return out
}

// join takes both ends when they cost less.
func (p *pair) join(prefill, decode candidate) {
	if prefill.index < 0 || decode.index < 0 {
		return
	}
	if cost := prefill.cost + decode.cost; p.decode < 0 || cost < p.cost {
		*p = pair{prefill: prefill.index, decode: decode.index, cost: cost}
	}
}
