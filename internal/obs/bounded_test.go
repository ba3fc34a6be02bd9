package obs

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against goroutines that block in the log, and against a buffer that grows
// without bound, when nothing reads the process's standard output.
func TestWriterNeverBlocksWithoutReader(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	nw := NewNonBlockingWriter(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * bufferedLines {
			_, _ = nw.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Write blocked")
	}
	if nw.Dropped() < 8*bufferedLines {
		t.Fatalf("only %d lines dropped: the buffer is larger than bufferedLines", nw.Dropped())
	}
}

// Guards against log lines that are dropped without a trace in the log.
func TestLogReportsDroppedLines(t *testing.T) {
	var out bytes.Buffer
	nw := &NonBlockingWriter{lines: make(chan []byte, 1), done: make(chan struct{})}
	_, _ = nw.Write([]byte("first\n"))
	_, _ = nw.Write([]byte("lost\n"))
	go nw.run(&out)
	nw.Close()
	if got := out.String(); !strings.Contains(got, "first\n") || !strings.Contains(got, `"lines":1`) || strings.Contains(got, "lost\n") {
		t.Fatalf("log: %q", got)
	}
}
