// Package origin remembers at which server streams began, so that a caller who takes one up at
// another entry gets the rest from the same software.
package origin

import (
	"sync"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

const (
	// maxOrigins bounds a Store. The oldest origin is dropped first.
	maxOrigins = 1 << 15
	// maxKeyBytes bounds the names in a Key, which callers choose.
	maxKeyBytes = 512
)

// Key identifies a stream: the member that it runs for, empty for none, and the id of the request
// that began it.
type Key struct{ Member, RequestID string }

// String returns the key in a form that is different for different keys.
func (k Key) String() string { return k.Member + "\x00" + k.RequestID }

// Store holds origins until they expire. It is safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	byKey map[Key]entry
	// order holds the keys by when they were first added.
	order []Key
}

type entry struct {
	origin  decision.Origin
	expires time.Duration
	// expected is set until the stream is known to have begun.
	expected bool
	// ambiguous is set if streams of the same key began, or were expected, at servers that don't fit together.
	ambiguous bool
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{byKey: make(map[Key]entry)} }

// Put stores an origin until the time given as now plus keep. Times are since boot. Keys that are
// too long are not stored: their streams can't be resumed.
func (s *Store) Put(k Key, o decision.Origin, now, keep time.Duration) {
	s.put(k, entry{origin: o, expires: now + keep}, now)
}

// Expect stores where a stream is expected to begin, like Put. Where the stream began in fact replaces it.
func (s *Store) Expect(k Key, o decision.Origin, now, keep time.Duration) {
	s.put(k, entry{origin: o, expires: now + keep, expected: true}, now)
}

func (s *Store) put(k Key, e entry, now time.Duration) {
	if len(k.Member)+len(k.RequestID) > maxKeyBytes {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	old, known := s.byKey[k]
	switch {
	case !known:
		s.order = append(s.order, k)
	case old.expected && !e.expected:
	default:
		e.ambiguous = old.ambiguous || !Fit(old.origin, e.origin)
		e.expected = old.expected && e.expected
	}
	e.expires = max(old.expires, e.expires)
	s.byKey[k] = e
}

// Fit reports whether the same servers may go on with what began at both origins.
func Fit(a, b decision.Origin) bool {
	return a.Pool == b.Pool && a.Version == b.Version && (a.Version != "" || a.Incarnation == b.Incarnation)
}

// expire drops what has expired, and the oldest origins if there are too many. An origin that is
// kept longer than later ones holds those up, for as long as there is room.
func (s *Store) expire(now time.Duration) {
	n := 0
	for n < len(s.order) && (s.byKey[s.order[n]].expires <= now || len(s.order)-n >= maxOrigins) {
		delete(s.byKey, s.order[n])
		n++
	}
	s.order = s.order[n:]
}

// Get returns the origin of a stream, if it is known. It is not if a caller has used the key for
// several streams that began at servers which don't fit together.
func (s *Store) Get(k Key, now time.Duration) (decision.Origin, bool) {
	o, _, known := s.get(k, now)
	return o, known
}

// get is Get, and reports whether the origin is only expected.
func (s *Store) get(k Key, now time.Duration) (o decision.Origin, expected, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.byKey[k]
	if !known || e.ambiguous || e.expires <= now {
		return decision.Origin{}, false, false
	}
	return e.origin, e.expected, true
}
