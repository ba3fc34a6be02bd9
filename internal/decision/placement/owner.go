package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// ownersPerRole is the number of owners of a prefix among the engines of each role. With two,
// another owner is left when one is busy or gone; this needs a fleet whose memory holds all
// prefixes several times over.
const ownersPerRole = 1

// scoredServer is a server with its rendezvous hash score for a prefix.
type scoredServer struct {
	index int
	score uint64
}

// owners are the indices in the fleet of the servers that own a prompt's shared prefix.
type owners []int

// prefixOwners returns the servers that are assumed to have the shared prefix of a prompt cached.
//
// Many prompts share long prefixes, each requested a few times a minute through all entries. A
// single entry sees hardly any prefix twice, so its own history does not help, and every engine
// would prefill every prefix. With rendezvous hashing all entries send a prefix to the same
// engines without communication; an owner counts as having the prefix from the first request on.
// The cost still decides whether the owner is chosen: it is skipped if its queue takes longer
// than the prefill on another server.
//
// Prefixes that are too short to be reported between entries have an owner in each group of
// entries, because saving so little prefill does not justify using a server that another group
// prefers. A server that announces a rate limit owns no prefix while others are available: its
// prompts would be prefilled elsewhere whenever it is throttled.
func prefixOwners(w *decision.Work, fleet *decision.Fleet) owners {
	if w.SharedBlocks == 0 || w.SharedBlocks > len(w.Prefix) {
		return nil
	}
	unlimited := ownersAmong(w, fleet, func(s *decision.Server) bool { return s.RateLimit == 0 && s.Serves(w) })
	if len(unlimited) > 0 {
		return unlimited
	}
	return ownersAmong(w, fleet, func(s *decision.Server) bool { return s.ServesNowOrLater(w) })
}

// ownersAmong returns the owners among the eligible servers.
func ownersAmong(w *decision.Work, fleet *decision.Fleet, eligible func(*decision.Server) bool) owners {
	var prefill, others [ownersPerRole]scoredServer
	key, ownGroupOnly := w.Prefix[w.SharedBlocks-1], !decision.ReportsPrefix(w)
	for i := range fleet.Servers {
		s := &fleet.Servers[i]
		if !eligible(s) || ownGroupOnly && s.PreferredByOtherGroup {
			continue
		}
		h := scoredServer{index: i, score: mixHash(key, xxhash.Sum64String(s.ID)) | 1}
		if s.Role == engineapi.RolePrefill {
			insertByScore(&prefill, h)
		} else {
			insertByScore(&others, h)
		}
	}
	var out owners
	for _, h := range append(prefill[:], others[:]...) {
		if h.score > 0 {
			out = append(out, h.index)
		}
	}
	return out
}

// cacheEntryTTL returns how long a server is assumed to hold a block after its last known use.
func (o owners) cacheEntryTTL(index int) time.Duration {
	if len(o) == 0 || slices.Contains(o, index) {
		return blockTTL
	}
	return copyTTL
}

// insertByScore keeps the servers with the highest scores.
func insertByScore(best *[ownersPerRole]scoredServer, h scoredServer) {
	for i := range best {
		if h.score > best[i].score {
			best[i], h = h, best[i]
		}
	}
}

func mixHash(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
