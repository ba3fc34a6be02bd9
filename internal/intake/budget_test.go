package intake

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

func newBudget(size int) *Budget {
	return NewBudget(size, tally.NoopScope, slog.New(slog.DiscardHandler))
}

// stalling is a body whose first bytes come at once and whose others never do.
type stalling struct {
	first       io.Reader
	interrupted chan struct{}
}

func newStalling(bytes int) *stalling {
	return &stalling{first: strings.NewReader(strings.Repeat("x", bytes)), interrupted: make(chan struct{})}
}

func (s *stalling) Read(p []byte) (int, error) {
	if n, err := s.first.Read(p); err == nil {
		return n, nil
	}
	<-s.interrupted
	return 0, io.ErrClosedPipe
}

func (s *stalling) source(length int) Source {
	return Source{Reader: s, Length: length, Interrupt: func() { close(s.interrupted) }}
}

// read reads in another goroutine and returns where the error comes.
func read(b *Budget, s Source, limit int) chan error {
	result := make(chan error, 1)
	go func() {
		_, err := b.Read(s, limit)
		result <- err
	}()
	return result
}

func text(n int) Source {
	return Source{Reader: strings.NewReader(strings.Repeat("x", n)), Length: n}
}

// Guards against memory that is taken for a body as it is announced.
func TestAnnouncedBytesTakeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(1 << 20)
		s := newStalling(10)
		result := read(b, s.source(512<<10), 1<<20)
		synctest.Wait()
		if b.used > firstBytes {
			t.Errorf("%d bytes are taken for 10", b.used)
		}
		close(s.interrupted)
		if err := <-result; !errorx.IsOfType(err, Broken) || b.used != 0 {
			t.Errorf("%v, %d bytes taken", err, b.used)
		}
	})
}

// Guards against bodies that stall just short of their end and keep others out.
func TestStalledBodyIsGivenUpForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(200 << 10)
		first, second := newStalling(80<<10), newStalling(40<<10)
		firstResult := read(b, first.source(80<<10+1), 1<<20)
		time.Sleep(10 * time.Millisecond)
		secondResult := read(b, second.source(40<<10+1), 1<<20)
		synctest.Wait()
		if _, err := b.Read(text(60<<10), 1<<20); !errorx.IsOfType(err, NoMemory) {
			t.Fatalf("%v while none has stalled", err)
		}
		time.Sleep(stallTime)
		body, err := b.Read(text(60<<10), 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		if err := <-firstResult; !errorx.IsOfType(err, NoMemory) {
			t.Errorf("the one that stalled for the longest ended with %v", err)
		}
		body.Release()
		close(second.interrupted)
		if err := <-secondResult; !errorx.IsOfType(err, Broken) {
			t.Errorf("the other one ended with %v", err)
		}
		if b.used != 0 || b.large != 0 || b.largeBodies != 0 {
			t.Errorf("%+v is left", b)
		}
	})
}

// Guards against a body of legal size that is refused for good since it is larger than its part of the budget.
func TestSingleBodyIsAlwaysTaken(t *testing.T) {
	b := newBudget(64 << 10)
	body, err := b.Read(text(1<<20), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Read(text(SmallBytes+1), 1<<20); !errorx.IsOfType(err, NoMemory) {
		t.Errorf("a second large one: %v", err)
	}
	body.Release()
	body.Release()
	if b.used != 0 {
		t.Errorf("%d bytes are left", b.used)
	}
}

// Guards against large bodies that keep small ones out.
func TestSmallBodiesHaveAPartOfTheirOwn(t *testing.T) {
	const quarter = 256 << 10
	b := newBudget(4 * quarter)
	for range 20 {
		if _, err := b.Read(text(100<<10), 1<<20); err != nil {
			break
		}
	}
	for n := range quarter / SmallBytes {
		if _, err := b.Read(text(SmallBytes), 1<<20); err != nil {
			t.Fatalf("small body %d: %v", n, err)
		}
	}
}

// Guards against a body that is cut short, or has more bytes than its limit, and counts as whole.
func TestBodyIsWholeOrRefused(t *testing.T) {
	b := newBudget(1 << 20)
	for name, c := range map[string]struct {
		source Source
		limit  int
		want   *errorx.Type
	}{
		"whole":                 {text(30000), 30000, nil},
		"announced over limit":  {Source{Length: 30001}, 30000, TooLarge},
		"chunked at the limit":  {Source{Reader: strings.NewReader(strings.Repeat("x", 30000)), Length: -1}, 30000, nil},
		"chunked over limit":    {Source{Reader: strings.NewReader(strings.Repeat("x", 30001)), Length: -1}, 30000, TooLarge},
		"cut short":             {Source{Reader: strings.NewReader("x"), Length: 2}, 30000, Broken},
		"reader that fails":     {Source{Reader: io.MultiReader(strings.NewReader("x"), failing{}), Length: -1}, 30000, Broken},
		"reader without an end": {Source{Reader: empty{}, Length: -1}, 30000, Broken},
		"none":                  {Source{Length: -2}, 30000, nil},
	} {
		body, err := b.Read(c.source, c.limit)
		if c.want == nil && err != nil || c.want != nil && !errorx.IsOfType(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
		if err == nil {
			body.Release()
		}
		if b.used != 0 {
			t.Errorf("%s: %d bytes are left", name, b.used)
		}
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("failed") }

type empty struct{}

func (empty) Read([]byte) (int, error) { return 0, nil }

// Guards against bytes that are lost or mixed up while the buffer grows, whatever the pieces are.
func TestBodyIsAsItWasSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.Byte(), 0, 40000).Draw(t, "sent")
		piece := rapid.IntRange(1, 5000).Draw(t, "piece")
		length := len(sent)
		if rapid.Bool().Draw(t, "chunked") {
			length = -1
		}
		b := newBudget(1 << 20)
		body, err := b.Read(Source{Reader: &pieces{left: sent, size: piece}, Length: length}, 40000)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(body.Bytes(), sent) {
			t.Fatalf("%d bytes of %d", len(body.Bytes()), len(sent))
		}
		if b.used > 2*max(len(sent), firstBytes) && length < 0 || length >= 0 && b.used > len(sent) {
			t.Fatalf("%d bytes taken for %d", b.used, len(sent))
		}
	})
}

// pieces reads at most size bytes at a time.
type pieces struct {
	left []byte
	size int
}

func (p *pieces) Read(to []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, io.EOF
	}
	n := copy(to[:min(len(to), p.size)], p.left)
	p.left = p.left[n:]
	return n, nil
}
