package listen

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
)

// Guards against a process that ends at its start because the killed one before it still listens.
func TestOpenWaitsForATakenAddress(t *testing.T) {
	earlier := newListener(t)
	var lines bytes.Buffer
	time.AfterFunc(200*time.Millisecond, func() { _ = earlier.Close() })
	ln, err := Open(context.Background(), earlier.Addr().String(), slog.New(slog.NewJSONHandler(&lines, nil)))
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	for _, line := range []string{"the address is taken; trying again", "the address is free now"} {
		if strings.Count(lines.String(), line) != 1 {
			t.Errorf("not one line %q in %s", line, &lines)
		}
	}
}

// Guards against a process that waits without end, or ends without saying why, where another one keeps
// its address.
func TestOpenEndsWithAnAddressThatStaysTaken(t *testing.T) {
	const retryTime = 200 * time.Millisecond
	taken := newListener(t).Addr().String()
	start := time.Now()
	_, err := open(context.Background(), taken, slog.New(slog.DiscardHandler), retryTime)
	if waited := time.Since(start); waited < retryTime || !errorx.IsOfType(err, AddressTaken) || !strings.Contains(err.Error(), taken) {
		t.Errorf("after %v: %v", waited, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := open(ctx, taken, slog.New(slog.DiscardHandler), time.Hour); err == nil {
		t.Error("no error after the context's end")
	}
}
