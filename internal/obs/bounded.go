package obs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// boundedLines takes up some seconds of lines at the peak, in at most a few MB.
	boundedLines = 8192
	// flushFor bounds how long the last lines are waited for at the end.
	flushFor = time.Second
)

// NonBlockingWriter is a writer of log lines that never blocks. Standard output can block
// for as long as its reader is paused, and whoever logs would stand still with
// it. When the buffer is full, lines are dropped, and the next one that is
// written after them tells how many.
type NonBlockingWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewNonBlockingWriter writes to w from a goroutine of its own until Close.
func NewNonBlockingWriter(w io.Writer) *NonBlockingWriter {
	b := &NonBlockingWriter{lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go b.run(w)
	return b
}

func (b *NonBlockingWriter) run(w io.Writer) {
	defer close(b.done)
	told := uint64(0)
	for line := range b.lines {
		if line == nil {
			return
		}
		if n := b.dropped.Load(); n > told {
			line = fmt.Appendf(line, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", n-told)
			told = n
		}
		// There is nowhere to tell of an error of the log itself.
		_, _ = w.Write(line)
	}
}

// Write takes one line, or drops it when the buffer is full. It gives no error.
func (b *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped so far.
func (b *NonBlockingWriter) Dropped() uint64 { return b.dropped.Load() }

// Close waits for the lines that are left, for a bounded time.
func (b *NonBlockingWriter) Close() {
	timeout := time.After(flushFor)
	select {
	case b.lines <- nil:
	case <-timeout:
		return
	}
	select {
	case <-b.done:
	case <-timeout:
	}
}
