package obs

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// Nobody reads the process's standard output. Whoever logs must go on as if
// someone did, and memory must stay bounded.
func TestLogNeverBlocksWithoutAReader(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	b := NewNonBlockingWriter(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * boundedLines {
			_, _ = b.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a write blocked")
	}
	if b.Dropped() < 8*boundedLines {
		t.Fatalf("%d lines dropped: the buffer has no bound", b.Dropped())
	}
}

// A line was dropped: the log itself says so.
func TestLogTellsWhatItDropped(t *testing.T) {
	var out bytes.Buffer
	b := &NonBlockingWriter{lines: make(chan []byte, 1), done: make(chan struct{})}
	_, _ = b.Write([]byte("first\n"))
	_, _ = b.Write([]byte("lost\n"))
	go b.run(&out)
	b.Close()
	if got := out.String(); !strings.Contains(got, "first\n") || !strings.Contains(got, `"lines":1`) || strings.Contains(got, "lost\n") {
		t.Fatalf("log: %q", got)
	}
}
