package server

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/standin/answer"
)

const (
	// blockTokens is how many tokens one block of the prefix cache holds.
	blockTokens = 64
	blockBytes  = blockTokens * 4
	// eventLag is how late cache events are published.
	eventLag = 300 * time.Millisecond
	// eventGap: each event whose number divides by it is lost.
	eventGap = 7
	// maxEvents bounds the events that are kept.
	maxEvents = 2048
)

type block struct {
	salt string
	hash uint64
}

type timedEvent struct {
	at    time.Time
	event engineapi.CacheEvent
}

// prefixCache holds blocks of prompt prefixes, the least recently used dropped.
type prefixCache struct {
	size   int
	used   map[block]uint64
	clock  uint64
	seq    uint64
	events []timedEvent
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, used: make(map[block]uint64)}
}

// use gives how many tokens of the text's prefix are cached and caches it all.
func (c *prefixCache) use(salt, text string) int {
	hits, missed := 0, false
	chain := xxhash.New()
	for at := 0; at+blockBytes <= len(text); at += blockBytes {
		_, _ = chain.WriteString(text[at : at+blockBytes])
		b := block{salt: salt, hash: chain.Sum64()}
		c.clock++
		if _, ok := c.used[b]; ok && !missed {
			hits++
		} else if !ok {
			missed = true
			c.publish(b, false)
		}
		c.used[b] = c.clock
	}
	c.evict()
	return hits * blockTokens
}

func (c *prefixCache) evict() {
	if len(c.used) <= c.size {
		return
	}
	blocks := make([]block, 0, len(c.used))
	for b := range c.used {
		blocks = append(blocks, b)
	}
	slices.SortFunc(blocks, func(x, y block) int { return int(int64(c.used[x]) - int64(c.used[y])) })
	// A tenth is dropped at once, so that not every request sorts.
	for _, b := range blocks[:len(blocks)-c.size*9/10] {
		delete(c.used, b)
		c.publish(b, true)
	}
}

func (c *prefixCache) publish(b block, dropped bool) {
	c.seq++
	if c.seq%eventGap == 0 {
		return
	}
	c.events = append(c.events, timedEvent{at: time.Now(), event: engineapi.CacheEvent{
		Seq: c.seq, Salt: b.salt, Hash: b.hash, Dropped: dropped,
	}})
	if len(c.events) > maxEvents {
		c.events = slices.Clone(c.events[len(c.events)-maxEvents/2:])
	}
}

func (c *prefixCache) share() float64 { return float64(len(c.used)) / float64(max(c.size, 1)) }

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	answer := engineapi.CacheEvents{Next: after + 1}
	s.mu.Lock()
	for _, e := range s.cache.events {
		if e.event.Seq > after && time.Since(e.at) >= eventLag {
			answer.Events = append(answer.Events, e.event)
			answer.Next = e.event.Seq + 1
		}
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

// kvCopy is KV cache as it is exported and imported: what text it stands for.
type kvCopy struct {
	Digest uint64 `json:"digest"`
	Salt   string `json:"salt"`
	Tokens int    `json:"tokens"`
}

func newKVCopy(req engineapi.CompletionRequest, text string) kvCopy {
	return kvCopy{
		Digest: xxhash.Sum64String(req.Prompt + text), Salt: req.CacheSalt,
		Tokens: answer.PromptTokens(req.Prompt + text),
	}
}

// covers tells whether the copy is of this request's member and text.
func (k kvCopy) covers(req engineapi.CompletionRequest) bool {
	return k == newKVCopy(req, req.GeneratedText)
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, st := range s.streams {
		if key.requestID != r.PathValue("id") {
			continue
		}
		text := st.request.GeneratedText
		for _, token := range st.from(0).tokens {
			text += token
		}
		writeJSON(w, http.StatusOK, newKVCopy(st.request, text))
		return
	}
	http.Error(w, "no such request", http.StatusNotFound)
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var copied kvCopy
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&copied); err != nil {
		http.Error(w, "not KV cache", http.StatusBadRequest)
		return
	}
	handle := "kv-" + strconv.FormatUint(copied.Digest, 16)
	s.mu.Lock()
	s.kv[handle] = copied
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, engineapi.KVImported{Handle: handle, Tokens: copied.Tokens})
}
