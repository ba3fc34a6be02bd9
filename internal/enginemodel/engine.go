package enginemodel

import (
	"math"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("enginemodel")

var (
	// Changing is returned while the engine is unavailable during a role change.
	Changing = Namespace.NewType("changing")
	// Busy is returned for a role change while the engine has requests.
	Busy = Namespace.NewType("busy")
	// Duplicate is returned if the engine already has a request with that id.
	Duplicate = Namespace.NewType("duplicate")
)

// Never is the time of an event that will not occur.
const Never = time.Duration(math.MaxInt64)

// Engine is a simulated engine. It is not safe for concurrent use.
type Engine struct {
	cfg              Config
	role             engineapi.Role
	now              time.Duration
	byID             map[string]*stream
	streams          []*stream // all streams, in the order in which they run
	usedSlots        int
	reservedKVTokens int
	lastSeq          uint64
	cache            *cache
	// exportableKVTokens holds the KV cache sizes of finished PrefillOnly requests by id.
	exportableKVTokens map[string]int
	// nextRole is the new role during a role change, which ends at roleChangeEnd.
	nextRole      engineapi.Role
	roleChangeEnd time.Duration
	samples       []sample
	progress      []Progress
}

// New returns an idle engine at time now.
func New(now time.Duration, cfg Config, role engineapi.Role) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{
		cfg: cfg, role: role, now: now, byID: make(map[string]*stream),
		cache: newCache(cfg.CacheTokens, cfg.RecordCacheEvents), exportableKVTokens: make(map[string]int),
	}
}

// Role returns the current role. During a role change it is the old one.
func (e *Engine) Role() engineapi.Role { return e.role }

// ChangingRole reports whether a role change is in progress.
func (e *Engine) ChangingRole() bool { return e.nextRole != "" }

// Len returns the number of requests on the engine, running and queued.
func (e *Engine) Len() int { return len(e.streams) }

// Config returns the configuration including defaults.
func (e *Engine) Config() Config { return e.cfg }

// SetSlowdown sets the factor by which the engine is slower than a healthy one. It is at
// least 1.
func (e *Engine) SetSlowdown(factor float64) { e.cfg.Slowdown = max(1, factor) }

// Submit adds a request. The engine must have been advanced to now. Errors:
// Changing, Duplicate.
func (e *Engine) Submit(now time.Duration, r Request) error {
	if e.ChangingRole() {
		return Changing.New("to %s", e.nextRole)
	}
	if e.byID[r.ID] != nil {
		return Duplicate.New("%s", r.ID)
	}
	e.lastSeq++
	s := newStream(now, r, e.lastSeq, e.cache.cachedBlocks(r.Salt, r.Prefix), e.cfg.KVImportRate)
	e.byID[r.ID] = s
	e.streams = insertOrdered(e.streams, s)
	e.assignSlots()
	return nil
}

// Cancel removes a request. It returns false if there is none with that id.
func (e *Engine) Cancel(id string) bool {
	s := e.byID[id]
	if s == nil {
		return false
	}
	e.remove(s)
	e.assignSlots()
	return true
}

// KVTokens returns the size of a request's KV cache in tokens. The request must be
// past its prefill, or a finished PrefillOnly request that has not been released.
func (e *Engine) KVTokens(id string) (int, bool) {
	if s := e.byID[id]; s != nil && s.prefillLeft <= tokenEpsilon {
		return s.req.PromptTokens + s.req.GeneratedTokens + int(s.producedTokens+tokenEpsilon), true
	}
	tokens, ok := e.exportableKVTokens[id]
	return tokens, ok
}

// ReleaseKV frees the KV cache of a finished PrefillOnly request.
func (e *Engine) ReleaseKV(id string) { delete(e.exportableKVTokens, id) }

// SetRole starts a role change. Errors: Changing, Busy.
func (e *Engine) SetRole(now time.Duration, role engineapi.Role) error {
	if e.ChangingRole() {
		return Changing.New("to %s", e.nextRole)
	}
	if len(e.streams) > 0 {
		return Busy.New("%d requests", len(e.streams))
	}
	e.nextRole, e.roleChangeEnd = role, now+e.cfg.RoleChangeTime
	return nil
}

// CacheEvents returns the cache events after a sequence number. There are none
// without Config.RecordCacheEvents.
func (e *Engine) CacheEvents(after uint64) engineapi.CacheEvents { return e.cache.eventsAfter(after) }

// assignSlots assigns free slots to queued requests in order. A request whose KV
// cache does not fit blocks those behind it, so that long requests don't starve.
func (e *Engine) assignSlots() {
	for _, s := range e.streams {
		if s.running {
			continue
		}
		if e.usedSlots >= e.cfg.Slots || (e.usedSlots > 0 && e.reservedKVTokens+s.reservedKVTokens > e.cfg.KVTokens) {
			return
		}
		s.running = true
		e.usedSlots++
		e.reservedKVTokens += s.reservedKVTokens
	}
}

func (e *Engine) remove(s *stream) {
	delete(e.byID, s.req.ID)
	for i := range e.streams {
		if e.streams[i] == s {
			e.streams = append(e.streams[:i], e.streams[i+1:]...)
			break
		}
	}
	if s.running {
		e.usedSlots--
		e.reservedKVTokens -= s.reservedKVTokens
	}
}
