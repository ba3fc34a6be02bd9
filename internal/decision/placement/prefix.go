package placement

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// maxBlocks bounds the index. A block takes some 120 bytes: 8 MB in all.
const maxBlocks = 1 << 16

// holdersPerBlock bounds the servers that are remembered per block. More would not improve the
// choice and would make lookups of frequently used prefixes expensive.
const holdersPerBlock = 4

// blockTTL is how long a block is assumed to be cached after its last known use. Cache events
// arrive late and with gaps, so the eviction of a block may never be reported.
const blockTTL = 5 * time.Minute

// copyTTL is the same for shared prefixes at servers that do not own them.
//
// An owner gets the requests for a prefix from all entries and so keeps it. Another server got it
// once, while the owner was busy, and evicts it within seconds in favour of newer prompts. If
// such copies were trusted for minutes, prompts would be sent there as if almost all of their
// prefix were cached, and then be prefilled completely. An engine with 450,000 tokens of memory
// that prefills 14,000 other tokens a second keeps a block for some 30 s. A TTL of 8 s gives a
// higher mean value of the answers than one of 4 s or 300 s.
const copyTTL = 8 * time.Second

// holder is a server that is assumed to have a block cached.
type holder struct {
	server   string
	lastSeen time.Duration
}

type block struct {
	hash       uint64
	holders    []holder
	prev, next *block
}

// prefixIndex records which server has which prompt blocks cached, in least-recently-used order
// with the latest block at the front. Hashes are salted by member, so members never share a
// block.
type prefixIndex struct {
	blocks map[uint64]*block
	// lru is the sentinel node of the circular list.
	lru block
}

func newPrefixIndex() *prefixIndex {
	x := &prefixIndex{blocks: make(map[uint64]*block)}
	x.lru.prev, x.lru.next = &x.lru, &x.lru
	return x
}

func (x *prefixIndex) add(now time.Duration, server string, prefix []uint64) {
	for _, hash := range prefix {
		x.addBlock(now, server, hash)
	}
}

func (x *prefixIndex) addBlock(now time.Duration, server string, hash uint64) {
	b := x.blocks[hash]
	if b == nil {
		x.evictOldest()
		b = &block{hash: hash}
		x.blocks[hash] = b
	} else {
		b.unlink()
	}
	x.toFront(b)
	b.addHolder(now, server)
}

func (x *prefixIndex) evictOldest() {
	if len(x.blocks) < maxBlocks {
		return
	}
	oldest := x.lru.prev
	oldest.unlink()
	delete(x.blocks, oldest.hash)
}

func (b *block) unlink() {
	b.prev.next, b.next.prev = b.next, b.prev
}

func (x *prefixIndex) toFront(b *block) {
	b.prev, b.next = &x.lru, x.lru.next
	b.prev.next, b.next.prev = b, b
}

func (b *block) addHolder(now time.Duration, server string) {
	oldest := 0
	for i := range b.holders {
		if b.holders[i].server == server {
			b.holders[i].lastSeen = now
			return
		}
		if b.holders[i].lastSeen < b.holders[oldest].lastSeen {
			oldest = i
		}
	}
	if len(b.holders) < holdersPerBlock {
		b.holders = append(b.holders, holder{server, now})
		return
	}
	b.holders[oldest] = holder{server, now}
}

func (x *prefixIndex) removeHolder(server string, hash uint64) {
	b := x.blocks[hash]
	if b == nil {
		return
	}
	for i := range b.holders {
		if b.holders[i].server == server {
			b.holders = append(b.holders[:i], b.holders[i+1:]...)
			return
		}
	}
}

func (x *prefixIndex) removeServer(server string) {
	for hash := range x.blocks {
		x.removeHolder(server, hash)
	}
}

// cachedBlocks returns for each server of the fleet how many leading blocks of the prompt it is
// assumed to have cached; source is the engine from which shared blocks can be fetched. The
// result is valid until the next call.
//
// An owner is assumed to hold the shared prefix from the first request on, so that all requests
// for it go there. If entries report prefilled prefixes to each other and none has reported this
// one, the owner still has to prefill it; blocksAtPrefill returns how much the chosen server
// really has.
func (p *Picker) cachedBlocks(now time.Duration, w *decision.Work, fleet *decision.Fleet, source fetchSource) []int {
	if len(p.cachedBuf) != len(fleet.Servers) {
		p.cachedBuf = make([]int, len(fleet.Servers))
	}
	clear(p.cachedBuf)
	owners := prefixOwners(w, fleet)
	for depth, hash := range w.Prefix {
		b := p.cache.blocks[hash]
		if b == nil {
			break
		}
		for _, h := range b.holders {
			i, ok := p.limits.indexOf(fleet, h.server)
			if ok && p.cachedBuf[i] == depth && now-h.lastSeen < p.cacheEntryTTL(now, w, fleet, owners, i) {
				p.cachedBuf[i] = depth + 1
			}
		}
	}
	if source.index >= 0 {
		return p.cachedBuf
	}
	p.observedBuf = append(p.observedBuf[:0], p.cachedBuf...)
	for _, i := range owners {
		p.cachedBuf[i] = max(p.cachedBuf[i], w.SharedBlocks)
	}
	return p.cachedBuf
}

// cacheEntryTTL returns how long a server is assumed to hold a block after its last known use. If
// blocks are fetched, engines hold many copies, and an owner is treated like any other server.
func (p *Picker) cacheEntryTTL(now time.Duration, w *decision.Work, fleet *decision.Fleet, owners owners, index int) time.Duration {
	if fetchAllowed(w, fleet) {
		return p.kvInflow.retention(now, fleet, index)
	}
	return owners.cacheEntryTTL(index)
}

// blocksAtPrefill returns how many leading blocks the prefilling engine has cached or fetches,
// to estimate the duration of the prefill.
func (p *Picker) blocksAtPrefill(w *decision.Work, fleet *decision.Fleet, source fetchSource, reachable []int, prefiller int) int {
	if source.index < 0 && fetchAllowed(w, fleet) {
		return p.observedBuf[prefiller]
	}
	return reachable[prefiller]
}
