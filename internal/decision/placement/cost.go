package placement

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// near is the part of the cost within which servers count as alike.
const near = 0.05

// remotePenalty is the cost in seconds of another data centre: a millisecond
// each way, and its loss is more likely seen as silence.
const remotePenalty = 0.005

// unread is how many tokens of the prompt a server must read that holds its first
// parts.
func unread(w *decision.Work, held int) int { return max(0, w.PromptTokens-w.PrefixTokens(held)) }

// firstToken gives the tokens that a server reads before the prompt, the time that the
// prompt itself takes there, and the time until it has read both, in seconds.
func firstToken(now time.Duration, w *decision.Work, server *decision.Server, fleet *decision.Fleet, held int) (before, own, first float64) {
	l := loadOf(now, w, server, fleet.Entries)
	before = l.prefill
	if w.Class != declaration.ClassBulk {
		before = l.urgent
	}
	rate := max(1, server.PrefillRate())
	own = server.PrefillOverheadSeconds + float64(unread(w, held))/rate
	return before, own, own + before/rate
}

// moveTime is how long the KV cache takes from one engine to another that holds
// the prompt's first parts, in seconds. Where parts are not told apart, all of it
// moves.
func moveTime(w *decision.Work, held int) float64 {
	if w.BlockTokens == nil {
		held = 0
	}
	rate := w.EngineSpeed.KVTransferRate
	if rate <= 0 {
		rate = kvTokenRate
	}
	return float64(unread(w, held)) / rate
}

// kvTokenRate is how many tokens' KV cache move between two engines a second:
// 160 kB a token over 25 Gbit/s.
const kvTokenRate = 20000

// plainCost is the time of a call with the others before it.
func plainCost(known *limit, server *decision.Server, l load) float64 {
	time := known.tokenTime
	if time == 0 {
		time = 0.01
	}
	return time * (1 + l.requests/float64(max(1, server.Slots)))
}

// readingPrice is how much more an own token to read counts than one that is read
// before it: all that come after wait for it. Without it each request takes the
// engine where it alone is done first, and reads 13,000 shared tokens anew to save
// itself a queue of less; in bursts the engines then have no time for anything else.
const readingPrice = 6

// besideReading is how much more reading costs for each stream beside it, at an
// engine that reads between the tokens of its streams: all of them stand still
// for that long. Without it dossiers are read beside twenty streams while
// prefill engines idle; the streams take twice as long, hold their memory twice as
// long, and what comes next waits for memory.
const besideReading = 0.2

// prefillCost is the wait behind the server's prefill and the own prefill
// without the blocks that it holds. Affinity is so bounded by what it saves: a
// server with the prefix and a longer queue than that is not chosen.
func prefillCost(w *decision.Work, server *decision.Server, l load, held int) float64 {
	rate := max(1, server.PrefillRate())
	wait := l.prefill / rate
	if w.Class != declaration.ClassBulk {
		wait = l.urgent / rate
	}
	reading := float64(unread(w, held)) / rate
	if server.ReportsCountsOnly && w.Class == declaration.ClassBulk {
		reading *= readingPrice
	}
	if server.ReportsCountsOnly && server.Role == engineapi.RoleMixed {
		reading *= 1 + besideReading*l.requests
	}
	return wait + reading
}

// decodeCost is the own decode at the server's fill. A step takes longer with
// more streams, and with prefill beside it; beyond its places work waits for those before it.
func (p *Picker) decodeCost(i int, w *decision.Work, server *decision.Server, l load) float64 {
	slots := float64(max(1, server.Slots))
	fill := min(1, max((l.requests+1)/slots, memoryFill(w, server, l)))
	perToken := slots / max(1, server.DecodeRate()) * (stepBase + (1-stepBase)*fill)
	slow := 1 / max(minFactor, p.limits.aligned[i].factor)
	if server.Role == engineapi.RoleMixed {
		slow *= interference
	}
	if server.ReportsCountsOnly {
		// Only such servers get more than they have places for.
		slow *= max(1, (l.requests+1)/slots)
	}
	return float64(w.OutputTokens) * perToken * slow
}

// memoryFill is the part of the server's KV memory that is taken with the work;
// 0 where its size is not known.
func memoryFill(w *decision.Work, server *decision.Server, l load) float64 {
	if server.Load.KVTokens == 0 || !server.ReportsCountsOnly {
		return 0
	}
	return (l.kv + float64(w.PromptTokens+w.OutputTokens)) / float64(server.Load.KVTokens)
}

// interference is how much more a stream counts at a mixed engine than its own
// time there: as long as one decodes, that engine prefills at less than half of
// its rate. Without it streams go to idle mixed engines while decode engines have
// slots, and the band is not there when prefill needs it.
const interference = 2

// stepBase is the part of a full batch's step that one stream alone takes.
const stepBase = 0.56

// othersFirstPenalty is the cost in seconds of reading at a server that another group sends
// to first: about as long as word of what that group has sent takes to come. Without it all
// groups take the same idle servers in that time, and each finds the others' prompts there;
// with more, prompts wait at the own ones beside idle ones of others.
const othersFirstPenalty = 0.05

// othersFirstDecode takes its place for what is decoded there: a stream more slows the
// others down a little and stands in no one's way.
const othersFirstDecode = 0.005

// distance is the cost of another data centre.
func distance(fleet *decision.Fleet, server *decision.Server) float64 {
	if fleet.DataCentre == "" || server.DataCentre == fleet.DataCentre {
		return 0
	}
	return remotePenalty
}

// rank orders servers differently for each request.
func rank(turn uint32, index int) uint32 {
	h := (turn ^ uint32(index)) * 2654435761
	return h ^ h>>15
}

// spread gives a number that only depends on the id (FNV-1a).
func spread(id string) uint32 {
	hash := uint32(2166136261)
	for i := range len(id) {
		hash = (hash ^ uint32(id[i])) * 16777619
	}
	return hash
}
