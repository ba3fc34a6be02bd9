// Package intake reads the bodies of requests within a budget of memory that all requests of a process share.
//
// The HTTP library takes memory for a body as soon as its length is announced, and reads it whole before a handler runs.
// With that, peers decide how much memory the process uses. Here a body takes its part of the budget as its bytes come.
package intake

import (
	"log/slog"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("intake")

var (
	// TooLarge is the type of errors about a body that is larger than one request's may be.
	TooLarge = Namespace.NewType("too_large")
	// NoMemory is the type of errors about a body for which the budget has no room, or no longer.
	NoMemory = Namespace.NewType("no_memory")
	// Broken is the type of errors about a body that can't be read to its end.
	Broken = Namespace.NewType("broken")
)

const (
	// SmallBytes is the size up to which a body is small. Larger ones leave smallShare of the budget to small ones.
	SmallBytes = 16 << 10
	smallShare = 0.25
	// stallTime is how long a body must not have grown by progressBytes to be given up in favour of another one.
	stallTime     = 200 * time.Millisecond
	progressBytes = 4 << 10
	// RetryAfter is when a request that was refused for lack of memory may come again.
	RetryAfter = time.Second
	// logInterval is the least time between two lines of one kind.
	logInterval = time.Second
)

// Budget bounds the memory of a process for the bodies of requests, from their first byte until they are released. At the
// bound, the body that has stalled for the longest is given up in favour of one that comes; if none has stalled, the new one
// is refused. A single body is always taken, so that none of legal size is refused for good. It is safe for concurrent use.
type Budget struct {
	size             int
	log              *slog.Logger
	refused, givenUp tally.Counter
	held             tally.Gauge
	lines            rate.Sometimes
	start            time.Time

	mu sync.Mutex
	// used is what all bodies take, large what those take of it that are not small, and largeBodies how many these are.
	used, large, largeBodies int
	// reading are the bodies that are not read to their end.
	reading map[*Body]struct{}
}

// NewBudget returns a budget of size bytes. Scope gets its metrics.
func NewBudget(size int, scope tally.Scope, log *slog.Logger) *Budget {
	return &Budget{
		size: size, log: log, reading: make(map[*Body]struct{}), lines: rate.Sometimes{First: 1, Interval: logInterval}, start: time.Now(),
		refused: scope.Counter("body_memory_refused"), givenUp: scope.Counter("body_memory_given_up"), held: scope.Gauge("body_memory_bytes"),
	}
}

// HasRoom reports whether a body of that many bytes could be taken now.
func (b *Budget) HasRoom(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fits(&Body{}, bytes) || b.longestStalled(nil, bytes > SmallBytes) != nil
}

// fits reports whether a body may take that many bytes more. The caller holds mu.
func (b *Budget) fits(body *Body, bytes int) bool {
	if body.taken+bytes <= SmallBytes {
		return b.used+bytes <= b.size
	}
	others := b.largeBodies
	if body.large() > 0 {
		others--
	}
	large := b.large - body.large() + body.taken + bytes
	return others == 0 || b.used+bytes <= b.size && large <= int((1-smallShare)*float64(b.size))
}

// take adds bytes to what the body takes. Errors: NoMemory.
func (b *Budget) take(body *Body, bytes int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.givenUp {
		return errGivenUp()
	}
	for !b.fits(body, bytes) {
		stalled := b.longestStalled(body, body.taken+bytes > SmallBytes)
		if stalled == nil {
			b.refused.Inc(1)
			b.logState("a body is refused for lack of memory")
			return NoMemory.New("the bodies of other requests take the memory; try again")
		}
		b.giveUp(stalled)
	}
	b.add(body, bytes)
	return nil
}

func errGivenUp() error {
	return NoMemory.New("the body has stalled while others need its memory")
}

// add changes what a body takes. The caller holds mu.
func (b *Budget) add(body *Body, bytes int) {
	before := body.large()
	body.taken += bytes
	after := body.large()
	b.used += bytes
	b.large += after - before
	switch {
	case before == 0 && after > 0:
		b.largeBodies++
	case before > 0 && after == 0:
		b.largeBodies--
	}
	b.held.Update(float64(b.used))
}

// longestStalled returns the body that has not grown for the longest, nil if none has stalled. With large, only bodies
// count that take more than a small one. The caller holds mu.
func (b *Budget) longestStalled(except *Body, large bool) *Body {
	var found *Body
	before := time.Since(b.start) - stallTime
	for body := range b.reading {
		grown := time.Duration(body.grownAt.Load())
		if body != except && grown < before && (!large || body.large() > 0) {
			found, before = body, grown
		}
	}
	return found
}

// giveUp takes the memory of a body back and ends its reading. The caller holds mu.
func (b *Budget) giveUp(body *Body) {
	b.givenUp.Inc(1)
	b.logState("a body that has stalled is given up for its memory")
	body.givenUp = true
	delete(b.reading, body)
	b.add(body, -body.taken)
	body.interrupt()
}

func (b *Budget) logState(what string) {
	b.lines.Do(func() {
		b.log.Warn(what, "bytes", b.used, "limit", b.size, "reading", len(b.reading), "large", b.largeBodies)
	})
}

// begin adds a body whose bytes are about to come.
func (b *Budget) begin(body *Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading[body] = struct{}{}
}

// end records that a body is read to its end. Errors: NoMemory if it has been given up.
func (b *Budget) end(body *Body) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, body)
	if body.givenUp {
		return errGivenUp()
	}
	return nil
}

// release gives back what a body takes.
func (b *Budget) release(body *Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, body)
	b.add(body, -body.taken)
}
