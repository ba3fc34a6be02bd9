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
	nw := &NonBlockingWriter{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go nw.run(w)
	return nw
}

func (nw *NonBlockingWriter) run(w io.Writer) {
	defer close(nw.done)
	reported := uint64(0)
	for line := range nw.lines {
		if line == nil {
			return
		}
		if n := nw.dropped.Load(); n > reported {
			line = fmt.Appendf(line, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", n-reported)
			reported = n
		}
		// A failure to write the log can't be logged.
		_, _ = w.Write(line)
	}
}

// Write buffers one line, or drops it if the buffer is full. It never returns an error.
func (nw *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case nw.lines <- append([]byte(nil), line...):
	default:
		nw.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped so far.
func (nw *NonBlockingWriter) Dropped() uint64 { return nw.dropped.Load() }

// Close writes the buffered lines. It gives up after flushTimeout.
func (nw *NonBlockingWriter) Close() {
	timeout := time.After(flushTimeout)
	select {
	case nw.lines <- nil:
	case <-timeout:
		return
	}
	select {
	case <-nw.done:
	case <-timeout:
	}
}
