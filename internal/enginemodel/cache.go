package enginemodel

import (
	"container/list"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// keptCacheEvents is the minimum number of recent events that are kept. Above twice that number
// the oldest ones are dropped; readers of CacheEvents see a gap.
const keptCacheEvents = 1024

// blockKey identifies a cached block. The salt isolates members from each other.
type blockKey struct {
	salt string
	hash uint64
}

// cache is the prefix cache. It evicts the least recently used blocks.
type cache struct {
	capacity     int // blocks
	lru          *list.List
	blocks       map[blockKey]*list.Element
	recordEvents bool
	events       []engineapi.CacheEvent
	seq          uint64
}

func newCache(tokens int, recordEvents bool) *cache {
	return &cache{
		capacity: max(1, tokens/engineapi.BlockTokens), lru: list.New(),
		blocks: make(map[blockKey]*list.Element), recordEvents: recordEvents,
	}
}

// cachedBlocks returns how many leading blocks of the chain are cached.
func (c *cache) cachedBlocks(salt string, chain []uint64) int {
	for i, hash := range chain {
		if c.blocks[blockKey{salt, hash}] == nil {
			return i
		}
	}
	return len(chain)
}

// store adds the blocks of the chain, the last one first, so that leading blocks,
// which more prompts share, are evicted last.
func (c *cache) store(salt string, chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.storeBlock(blockKey{salt, chain[i]})
	}
	for c.lru.Len() > c.capacity {
		last := c.lru.Back()
		key := c.lru.Remove(last).(blockKey)
		delete(c.blocks, key)
		c.recordEvent(key, true)
	}
}

func (c *cache) storeBlock(key blockKey) {
	if e := c.blocks[key]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[key] = c.lru.PushFront(key)
	c.recordEvent(key, false)
}

func (c *cache) recordEvent(key blockKey, dropped bool) {
	if !c.recordEvents {
		return
	}
	c.seq++
	c.events = append(c.events, engineapi.CacheEvent{Seq: c.seq, Salt: key.salt, Hash: key.hash, Dropped: dropped})
	if len(c.events) > 2*keptCacheEvents {
		c.events = append(c.events[:0], c.events[keptCacheEvents:]...)
	}
}

func (c *cache) usedRatio() float64 { return float64(c.lru.Len()) / float64(c.capacity) }

// eventsAfter returns the stored events with a larger sequence number.
func (c *cache) eventsAfter(seq uint64) engineapi.CacheEvents {
	out := engineapi.CacheEvents{Next: c.seq + 1}
	for _, e := range c.events {
		if e.Seq > seq {
			out.Events = append(out.Events, e)
		}
	}
	return out
}
