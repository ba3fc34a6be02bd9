package enginemodel

import (
	"container/list"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// maxCacheEvents bounds the events that are kept for CacheEvents; older ones
// are the gaps that readers see.
const maxCacheEvents = 1024

// blockKey names a cached block. The salt keeps members apart.
type blockKey struct {
	salt string
	hash uint64
}

// cache is the prefix cache: blocks, the one used last at the front.
type cache struct {
	capacity int // blocks
	order    *list.List
	blocks   map[blockKey]*list.Element
	record   bool
	events   []engineapi.CacheEvent
	seq      uint64
}

func newCache(tokens int, record bool) *cache {
	return &cache{
		capacity: max(1, tokens/engineapi.BlockTokens), order: list.New(),
		blocks: make(map[blockKey]*list.Element), record: record,
	}
}

// held is how many leading blocks of the chain are cached.
func (c *cache) held(salt string, chain []uint64) int {
	for i, hash := range chain {
		if c.blocks[blockKey{salt, hash}] == nil {
			return i
		}
	}
	return len(chain)
}

// store puts the chain in, its last block first, so that the leading blocks
// that more prompts share are dropped last.
func (c *cache) store(salt string, chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.storeBlock(blockKey{salt, chain[i]})
	}
	for c.order.Len() > c.capacity {
		last := c.order.Back()
		key := c.order.Remove(last).(blockKey)
		delete(c.blocks, key)
		c.note(key, true)
	}
}

func (c *cache) storeBlock(key blockKey) {
	if e := c.blocks[key]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[key] = c.order.PushFront(key)
	c.note(key, false)
}

func (c *cache) note(key blockKey, dropped bool) {
	if !c.record {
		return
	}
	c.seq++
	c.events = append(c.events, engineapi.CacheEvent{Seq: c.seq, Salt: key.salt, Hash: key.hash, Dropped: dropped})
	if len(c.events) > 2*maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents:]...)
	}
}

func (c *cache) used() float64 { return float64(c.order.Len()) / float64(c.capacity) }

// after gives the events that are still kept with a larger sequence number.
func (c *cache) after(seq uint64) engineapi.CacheEvents {
	out := engineapi.CacheEvents{Next: c.seq + 1}
	for _, e := range c.events {
		if e.Seq > seq {
			out.Events = append(out.Events, e)
		}
	}
	return out
}
