package placement

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// maxBlocks bounds the index. A block takes some 120 bytes: 8 MB in all.
const maxBlocks = 1 << 16

// holdersPerBlock bounds the servers that are remembered per block; more do not
// make the choice better and would make hot prefixes costly.
const holdersPerBlock = 4

// believeFor is how long a block is believed to be cached without news. Cache
// events come late and with gaps, so a dropped block may never be told of.
const believeFor = 5 * time.Minute

// believeCopy takes its place for shared parts at servers that are not their homes.
//
// A home gets a part's requests of all entries and so keeps it. Another server got it
// once, past a busy home, and drops it after some seconds for what it reads since:
// believed for minutes, such copies draw prompts that are then read whole while they count
// as almost read. Engines of 450,000 tokens that read 14,000 others a second keep a part
// for some 30 s; of 4, 8 and 300 s, 8 s gave the best mean worth on six days of two sites.
const believeCopy = 8 * time.Second

// holder is a server that is believed to hold a block.
type holder struct {
	server string
	at     time.Duration
}

type block struct {
	hash       uint64
	holders    []holder
	prev, next *block
}

// prefixIndex knows which server holds which prompt blocks, the block used last
// at the front. Hashes are salted by member, so members never share one.
type prefixIndex struct {
	blocks map[uint64]*block
	// list is the ring's anchor.
	list block
}

func newPrefixIndex() *prefixIndex {
	x := &prefixIndex{blocks: make(map[uint64]*block)}
	x.list.prev, x.list.next = &x.list, &x.list
	return x
}

func (x *prefixIndex) add(now time.Duration, server string, chain []uint64) {
	for _, hash := range chain {
		x.addBlock(now, server, hash)
	}
}

func (x *prefixIndex) addBlock(now time.Duration, server string, hash uint64) {
	b := x.blocks[hash]
	if b == nil {
		x.makeRoom()
		b = &block{hash: hash}
		x.blocks[hash] = b
	} else {
		b.unlink()
	}
	x.toFront(b)
	b.set(now, server)
}

func (x *prefixIndex) makeRoom() {
	if len(x.blocks) < maxBlocks {
		return
	}
	oldest := x.list.prev
	oldest.unlink()
	delete(x.blocks, oldest.hash)
}

func (b *block) unlink() {
	b.prev.next, b.next.prev = b.next, b.prev
}

func (x *prefixIndex) toFront(b *block) {
	b.prev, b.next = &x.list, x.list.next
	b.prev.next, b.next.prev = b, b
}

func (b *block) set(now time.Duration, server string) {
	oldest := 0
	for i := range b.holders {
		if b.holders[i].server == server {
			b.holders[i].at = now
			return
		}
		if b.holders[i].at < b.holders[oldest].at {
			oldest = i
		}
	}
	if len(b.holders) < holdersPerBlock {
		b.holders = append(b.holders, holder{server, now})
		return
	}
	b.holders[oldest] = holder{server, now}
}

func (x *prefixIndex) drop(server string, hash uint64) {
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

func (x *prefixIndex) forget(server string) {
	for hash := range x.blocks {
		x.drop(server, hash)
	}
}

// held gives for each server of the fleet how many leading blocks of the prompt
// it is believed to hold; from is the source of its shared parts. The result is valid
// until the next call.
//
// A home is believed to hold the shared parts from the first request on, so that all go
// there. Where entries tell each other what was read, and none has told of these, the home
// has yet to read them: firstHeld tells how much the chosen one really has.
func (p *Picker) held(now time.Duration, w *decision.Work, fleet *decision.Fleet, from source) []int {
	if len(p.scratch) != len(fleet.Servers) {
		p.scratch = make([]int, len(fleet.Servers))
	}
	clear(p.scratch)
	homes := homesOf(w, fleet)
	for depth, hash := range w.Prefix {
		b := p.cache.blocks[hash]
		if b == nil {
			break
		}
		for _, h := range b.holders {
			i, ok := p.limits.indexOf(fleet, h.server)
			if ok && p.scratch[i] == depth && now-h.at < p.believes(now, w, fleet, homes, i) {
				p.scratch[i] = depth + 1
			}
		}
	}
	if from.index >= 0 {
		return p.scratch
	}
	p.seen = append(p.seen[:0], p.scratch...)
	for _, i := range homes {
		p.scratch[i] = max(p.scratch[i], w.SharedBlocks)
	}
	return p.scratch
}

// believes is how long that server is believed to hold a block without news. Where parts
// are fetched engines hold many copies, and no server has a part for being its home.
func (p *Picker) believes(now time.Duration, w *decision.Work, fleet *decision.Fleet, homes homes, index int) time.Duration {
	if fetches(w, fleet) {
		return p.inflow.keeps(now, fleet, index)
	}
	return homes.believe(index)
}

// firstHeld is how many leading blocks the reader has or fetches, for reckoning how long it
// reads.
func (p *Picker) firstHeld(w *decision.Work, fleet *decision.Fleet, from source, reach []int, reader int) int {
	if from.index < 0 && fetches(w, fleet) {
		return p.seen[reader]
	}
	return reach[reader]
}
