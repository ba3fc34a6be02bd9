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
	// Changing: the engine is away for a change of role.
	Changing = Namespace.NewType("changing")
	// Busy: a change of role was asked for while requests run.
	Busy = Namespace.NewType("busy")
	// Duplicate: a request with that id is there already.
	Duplicate = Namespace.NewType("duplicate")
)

// Never is the time of an event that does not come.
const Never = time.Duration(math.MaxInt64)

// Engine is not safe for concurrent use.
type Engine struct {
	cfg   Config
	role  engineapi.Role
	now   time.Duration
	byID  map[string]*stream
	order []*stream // all streams, the first to run first
	slots int       // in use
	kv    int       // tokens reserved
	seq   uint64
	cache *cache
	// exports has the tokens of finished PrefillOnly requests by id.
	exports map[string]int
	// next is the role that a change leads to, done when it ends.
	next    engineapi.Role
	done    time.Duration
	samples []sample
	out     []Progress
}

// New gives an idle engine at time now.
func New(now time.Duration, cfg Config, role engineapi.Role) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{
		cfg: cfg, role: role, now: now, byID: make(map[string]*stream),
		cache: newCache(cfg.CacheTokens, cfg.RecordCacheEvents), exports: make(map[string]int),
	}
}

// Role is the present role, the old one while a change goes on.
func (e *Engine) Role() engineapi.Role { return e.role }

// ChangingRole tells whether a change of role goes on.
func (e *Engine) ChangingRole() bool { return e.next != "" }

// Len is the number of requests at the engine.
func (e *Engine) Len() int { return len(e.order) }

// Config gives the configuration with its defaults filled in.
func (e *Engine) Config() Config { return e.cfg }

// SetSlowdown changes the factor by which the engine is slower than a healthy one.
func (e *Engine) SetSlowdown(factor float64) { e.cfg.Slowdown = max(1, factor) }

// Submit takes a request; time must have been advanced to now. Errors:
// Changing, Duplicate.
func (e *Engine) Submit(now time.Duration, r Request) error {
	if e.ChangingRole() {
		return Changing.New("to %s", e.next)
	}
	if e.byID[r.ID] != nil {
		return Duplicate.New("%s", r.ID)
	}
	e.seq++
	s := newStream(now, r, e.seq, e.cache.held(r.Salt, r.Prefix), e.cfg.KVImportRate)
	e.byID[r.ID] = s
	e.order = insert(e.order, s)
	e.fill()
	return nil
}

// Cancel takes a request out; false when it is not there.
func (e *Engine) Cancel(id string) bool {
	s := e.byID[id]
	if s == nil {
		return false
	}
	e.remove(s)
	e.fill()
	return true
}

// KVTokens is how many tokens of KV cache a request has here, running or
// finished with PrefillOnly and not exported yet.
func (e *Engine) KVTokens(id string) (int, bool) {
	if s := e.byID[id]; s != nil && s.prefill <= tiny {
		return s.req.PromptTokens + s.req.GeneratedTokens + int(s.produced+tiny), true
	}
	tokens, ok := e.exports[id]
	return tokens, ok
}

// ReleaseKV forgets the KV cache of a finished PrefillOnly request.
func (e *Engine) ReleaseKV(id string) { delete(e.exports, id) }

// SetRole begins a change of role. Errors: Changing, Busy.
func (e *Engine) SetRole(now time.Duration, role engineapi.Role) error {
	if e.ChangingRole() {
		return Changing.New("to %s", e.next)
	}
	if len(e.order) > 0 {
		return Busy.New("%d requests", len(e.order))
	}
	e.next, e.done = role, now+e.cfg.RoleChangeTime
	return nil
}

// CacheEvents gives the cache events after a sequence number; without
// Config.RecordCacheEvents there are none.
func (e *Engine) CacheEvents(after uint64) engineapi.CacheEvents { return e.cache.after(after) }

// fill gives free slots to waiting requests in order. One whose KV cache does
// not fit holds those behind it back, so that long work is not passed forever.
func (e *Engine) fill() {
	for _, s := range e.order {
		if s.running {
			continue
		}
		if e.slots >= e.cfg.Slots || (e.slots > 0 && e.kv+s.kv > e.cfg.KVTokens) {
			return
		}
		s.running = true
		e.slots++
		e.kv += s.kv
	}
}

func (e *Engine) remove(s *stream) {
	delete(e.byID, s.req.ID)
	for i := range e.order {
		if e.order[i] == s {
			e.order = append(e.order[:i], e.order[i+1:]...)
			break
		}
	}
	if s.running {
		e.slots--
		e.kv -= s.kv
	}
}
