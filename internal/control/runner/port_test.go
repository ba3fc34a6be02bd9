package runner

import (
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Guards against calls that a replica holds long after their callers have asked another
// one.
func TestCallIsNotHeldLongerThanItsCallerWaits(t *testing.T) {
	stalled := newLoop(nil, slog.New(slog.DiscardHandler), tally.NoopScope)
	stalled.group.Store(&group{members: &pb.Membership{}, isLeader: true})
	port := &Port{loop: stalled}
	for name, call := range map[string]func() error{
		"a server's announcement": func() error { return port.Announce(t.Context(), &pb.Announcement{}, 1) },
		"a server's leave":        func() error { return port.Leave(t.Context(), "life-1") },
		"an operator's read":      func() error { _, err := port.Declaration(t.Context()); return err },
	} {
		startedAt := time.Now()
		if err := call(); err == nil {
			t.Errorf("%s: answered by a replica whose loop does not run", name)
		}
		if held := time.Since(startedAt); held > 2*time.Second {
			t.Errorf("%s: held for %v, its caller waits %v", name, held, callerTimeout)
		}
	}
}
