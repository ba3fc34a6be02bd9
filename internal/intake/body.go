package intake

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

const (
	// firstBytes is the first buffer of a body. As the bytes come it grows by announcedGrowth up to an announced length, and
	// by unknownGrowth without one.
	firstBytes      = 4 << 10
	announcedGrowth = 4
	unknownGrowth   = 2
	// maxEmptyReads is how many reads in a row may bring nothing before the reader counts as broken.
	maxEmptyReads = 100
)

// Source is where a body comes from.
type Source struct {
	// Reader reads the body; nil if there is none.
	Reader io.Reader
	// Length is the announced length in bytes, negative if none is.
	Length int
	// Interrupt lets the Read in progress, and later ones, fail.
	Interrupt func()
}

// Body is the body of one request, for which the budget has taken memory until Release.
type Body struct {
	budget *Budget
	bytes  []byte
	// taken is what it takes of the budget; givenUp is set once that was taken back. Both are guarded by the budget's mu.
	taken   int
	givenUp bool
	// grownAt is when it had last grown by progressBytes, since the budget's start.
	grownAt   atomic.Int64
	interrupt func()
}

// Bytes returns the body. It must not be used after Release.
func (b *Body) Bytes() []byte { return b.bytes }

// Release gives the memory back. It may be called again.
func (b *Body) Release() {
	b.bytes = nil
	b.budget.release(b)
}

// large returns what the body takes if it is not small.
func (b *Body) large() int {
	if b.taken <= SmallBytes {
		return 0
	}
	return b.taken
}

// Read reads a body of at most limit bytes. Errors: TooLarge, NoMemory, Broken.
func (b *Budget) Read(s Source, limit int) (*Body, error) {
	body := &Body{budget: b, interrupt: s.Interrupt}
	if s.Length > limit {
		return nil, TooLarge.New("the body has %d bytes, at most %d are taken", s.Length, limit)
	}
	if s.Reader == nil || s.Length == 0 {
		return body, nil
	}
	body.grownAt.Store(int64(time.Since(b.start)))
	b.begin(body)
	err := body.fill(s, limit)
	if ended := b.end(body); ended != nil {
		err = ended
	}
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// fill reads until the end of the body. Errors: TooLarge, NoMemory, Broken.
func (b *Body) fill(s Source, limit int) error {
	largest, growth := limit, unknownGrowth
	if s.Length >= 0 {
		largest, growth = s.Length, announcedGrowth
	}
	marked, empty := 0, 0
	for {
		room, err := b.room(largest, growth)
		if err != nil {
			return err
		}
		n, err := s.Reader.Read(room)
		if len(b.bytes)+n > largest {
			return TooLarge.New("the body has more than %d bytes", largest)
		}
		b.bytes = b.bytes[:len(b.bytes)+n]
		if len(b.bytes)-marked >= progressBytes {
			marked = len(b.bytes)
			b.grownAt.Store(int64(time.Since(b.budget.start)))
		}
		if empty++; n > 0 {
			empty = 0
		}
		switch {
		case errors.Is(err, io.EOF) && len(b.bytes) < s.Length:
			return Broken.New("the body ends after %d of %d bytes", len(b.bytes), s.Length)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return Broken.Wrap(err, "the body can't be read")
		case empty > maxEmptyReads:
			return Broken.Wrap(io.ErrNoProgress, "the body can't be read")
		}
	}
}

// room returns where the next bytes are read to: what is free of the buffer, which grows up to largest, and then a byte that
// tells a body beyond it. Errors: NoMemory.
func (b *Body) room(largest, growth int) ([]byte, error) {
	if len(b.bytes) == largest {
		return make([]byte, 1), nil
	}
	if len(b.bytes) == cap(b.bytes) {
		if err := b.grow(min(largest, max(firstBytes, growth*cap(b.bytes)))); err != nil {
			return nil, err
		}
	}
	return b.bytes[len(b.bytes):cap(b.bytes)], nil
}

// grow replaces the buffer by one of size bytes. Errors: NoMemory.
func (b *Body) grow(size int) error {
	if err := b.budget.take(b, size-cap(b.bytes)); err != nil {
		return err
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}
