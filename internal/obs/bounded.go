package obs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// bufferedLines holds a few seconds of log lines at peak load, in a few MB at most.
	bufferedLines = 8192
	// flushTimeout bounds the writing of the buffered lines in Close.
	flushTimeout = time.Second
)

// NonBlockingWriter writes log lines without ever blocking the caller. Standard output
// can block for as long as its reader is paused, which would block every goroutine that
// logs. When the buffer is full, lines are dropped, and a line that is written later
// reports how many.
type NonBlockingWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewNonBlockingWriter returns a writer that writes to w in a separate goroutine until Close.
func NewNonBlockingWriter(w io.Writer) *NonBlockingWriter {
	b := &NonBlockingWriter{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go b.run(w)
	return b
}

func (b *NonBlockingWriter) run(w io.Writer) {
	defer close(b.done)
	reported := uint64(0)
	for line := range b.lines {
		if line == nil {
			return
		}
		if n := b.dropped.Load(); n > reported {
			line = fmt.Appendf(line, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", n-reported)
			reported = n
		}
		// A failure to write the log can't be logged.
		_, _ = w.Write(line)
	}
}

// Write buffers one line, or drops it if the buffer is full. It never returns an error.
func (b *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped so far.
func (b *NonBlockingWriter) Dropped() uint64 { return b.dropped.Load() }

// Close writes the buffered lines. It gives up after flushTimeout.
func (b *NonBlockingWriter) Close() {
	timeout := time.After(flushTimeout)
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
