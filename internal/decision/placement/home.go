package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// homesPerPrefix is how many engines of each role are the homes of a prefix: with
// two, one that is busy or gone leaves another, and a fleet that holds the
// prefixes several times over still has room for both copies.
const homesPerPrefix = 1

// home is a server with its rank for a prefix.
type home struct {
	index int
	score uint64
}

// homes are the indices of a prompt's homes in the fleet.
type homes []int

// homesOf gives the servers that count as holding the shared parts of a prompt.
//
// It answers prompts that share long parts, each asked for a few times a minute
// by callers of all entries. An entry alone sees hardly any part twice, so what it
// remembers of its own sends helps nobody: every engine reads every part. By rank
// of a hash all entries send a part to the same engines without a word between
// them; a home that does not hold it yet does so from the first request on. That
// a home is chosen is still a matter of cost: one with a longer queue than the
// reading elsewhere takes is passed by. Parts that are too short to be told of have a home
// in each group of entries: for them no prompt is worth a server that others send to first.
// A server that takes few requests by its own word is the home of none while others are there:
// its prompts would be read elsewhere whenever it is closed.
func homesOf(w *decision.Work, fleet *decision.Fleet) homes {
	if w.SharedBlocks == 0 || w.SharedBlocks > len(w.Prefix) {
		return nil
	}
	serving := homesAmong(w, fleet, func(s *decision.Server) bool { return s.RateLimit == 0 && s.Serves(w) })
	if len(serving) > 0 {
		return serving
	}
	return homesAmong(w, fleet, func(s *decision.Server) bool { return s.ServesNowOrLater(w) })
}

// homesAmong gives the homes among the servers that may be.
func homesAmong(w *decision.Work, fleet *decision.Fleet, mayBe func(*decision.Server) bool) homes {
	var prefill, whole [homesPerPrefix]home
	key, ownOnly := w.Prefix[w.SharedBlocks-1], !decision.ReportsPrefix(w)
	for i := range fleet.Servers {
		s := &fleet.Servers[i]
		if !mayBe(s) || ownOnly && s.PreferredByOtherGroup {
			continue
		}
		h := home{index: i, score: mix(key, xxhash.Sum64String(s.ID)) | 1}
		if s.Role == engineapi.RolePrefill {
			insert(&prefill, h)
		} else {
			insert(&whole, h)
		}
	}
	var out homes
	for _, h := range append(prefill[:], whole[:]...) {
		if h.score > 0 {
			out = append(out, h.index)
		}
	}
	return out
}

// believe is how long a server is believed to hold a block without news.
func (h homes) believe(index int) time.Duration {
	if len(h) == 0 || slices.Contains(h, index) {
		return believeFor
	}
	return believeCopy
}

// insert keeps the homes with the highest scores.
func insert(best *[homesPerPrefix]home, h home) {
	for i := range best {
		if h.score > best[i].score {
			best[i], h = h, best[i]
		}
	}
}

// mix makes one hash of two.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
