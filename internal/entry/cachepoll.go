package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// cachePollEvery is how often engines are asked for cache events. They
	// are published late anyway; a conversation's next question comes after
	// more than that.
	cachePollEvery = 2 * time.Second
	// cachePollAfterUse is for how long after an engine was last used its
	// events are worth a call: members come back to prefixes within minutes,
	// but other entries' engines are of no use to this one's choices.
	cachePollAfterUse = time.Minute
	// maxCachePolls bounds the engines asked in one round; at 16 each 2 s an
	// entry spends some 0.2% of a core on it in the largest fleet.
	maxCachePolls = 16
)

// PollCache asks an engine for the cache events after a sequence number.
type PollCache struct {
	Server      string
	Incarnation string
	Address     string
	After       uint64
}

func (PollCache) isEffect() {}

// CacheReported is an engine's answer to PollCache.
type CacheReported struct {
	Server      string
	Incarnation string
	Events      engineapi.CacheEvents
}

func (CacheReported) isEvent() {}

// cacheFollower keeps how far an engine's cache events are known.
type cacheFollower struct {
	// usedAt is when this entry last sent work there, zero if never.
	usedAt time.Duration
	// after is the last sequence number known.
	after uint64
	// askedAt is when it was last asked.
	askedAt time.Duration
}

// pollCaches asks the engines that this entry uses for their cache events, the
// longest not asked first in turn.
//
// Without them an entry knows only the prefixes that it sent itself: a caller
// that comes to another entry would have its dossier prefilled again at another
// engine, and prefixes that an engine has dropped would be believed for minutes.
func (r *Reducer) pollCaches() {
	if r.now-r.lastCachePoll < cachePollEvery {
		return
	}
	r.lastCachePoll = r.now
	servers := r.servers.sorted
	left := maxCachePolls
	for i := range servers {
		s := servers[(r.nextCachePoll+i)%len(servers)]
		if !s.cachePollDue(r.now) {
			continue
		}
		if left == 0 {
			r.nextCachePoll = (r.nextCachePoll + i) % len(servers)
			return
		}
		left--
		s.cache.askedAt = r.now
		r.emit(PollCache{Server: s.pb.Id, Incarnation: s.pb.Incarnation, Address: s.pb.Address, After: s.cache.after})
	}
}

func (s *server) cachePollDue(now time.Duration) bool {
	used := s.cache.usedAt > 0 && now-s.cache.usedAt < cachePollAfterUse
	return used && s.pb.Kind == pb.ServerKind_SERVER_KIND_MODEL && now-s.cache.askedAt >= cachePollEvery
}

// cacheReported takes events over. An answer of another life, or one that was
// overtaken by a later one, is dropped.
func (r *Reducer) cacheReported(ev CacheReported) {
	s := r.servers.life(ev.Server, ev.Incarnation)
	if s == nil || ev.Events.Next <= s.cache.after {
		return
	}
	r.decide.picker.ApplyCacheEvents(r.now, ev.Server, ev.Events.Events)
	s.cache.after = ev.Events.Next - 1
}
