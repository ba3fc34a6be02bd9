package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// cachePollInterval is how often engines are polled for cache events. Engines publish them
	// with a delay anyway, and the next request of a conversation usually comes later than that.
	cachePollInterval = 2 * time.Second
	// cachePollIdleLimit is how long after its last use an engine is still polled. Members
	// return to a prefix within minutes. Engines that only other entries use do not matter to
	// this entry's placement.
	cachePollIdleLimit = time.Minute
	// maxCachePolls bounds the engines polled in one round. With 16 polls every 2 s an entry
	// spends about 0.2% of a core on them in the largest fleet.
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

// cacheCursor records up to where an engine's cache events are known.
type cacheCursor struct {
	// usedAt is when this entry last dispatched to the engine, zero if never.
	usedAt time.Duration
	// lastSequence is the last known sequence number.
	lastSequence uint64
	// polledAt is when the engine was last polled.
	polledAt time.Duration
}

// pollCaches polls the engines that this entry uses for their cache events, in round-robin
// order.
//
// Without the events an entry knows only of the prefixes that it sent itself. The long prompt of
// a caller that moves to another entry would be prefilled again on another engine, and prefixes
// that an engine has evicted would count as cached for minutes.
func (r *Reducer) pollCaches() {
	if r.now-r.lastCachePoll < cachePollInterval {
		return
	}
	r.lastCachePoll = r.now
	servers := r.servers.sorted
	remaining := maxCachePolls
	for i := range servers {
		s := servers[(r.nextCachePoll+i)%len(servers)]
		if !s.cachePollDue(r.now) {
			continue
		}
		if remaining == 0 {
			r.nextCachePoll = (r.nextCachePoll + i) % len(servers)
			return
		}
		remaining--
		s.cache.polledAt = r.now
		r.emit(PollCache{Server: s.pb.Id, Incarnation: s.pb.Incarnation, Address: s.pb.Address, After: s.cache.lastSequence})
	}
}

func (s *server) cachePollDue(now time.Duration) bool {
	used := s.cache.usedAt > 0 && now-s.cache.usedAt < cachePollIdleLimit
	return used && s.pb.Kind == pb.ServerKind_SERVER_KIND_MODEL && now-s.cache.polledAt >= cachePollInterval
}

// cacheReported applies cache events. It drops an answer that belongs to another incarnation or
// that was overtaken by a later one.
func (r *Reducer) cacheReported(ev CacheReported) {
	s := r.servers.incarnation(ev.Server, ev.Incarnation)
	if s == nil || ev.Events.Next <= s.cache.lastSequence {
		return
	}
	r.decisions.picker.ApplyCacheEvents(r.now, ev.Server, ev.Events.Events)
	s.cache.lastSequence = ev.Events.Next - 1
}
