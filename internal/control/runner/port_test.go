package runner

import (
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Guards against calls that a replica holds long after their callers have asked another one.
func TestCallIsNotHeldLongerThanItsCallerWaits(t *testing.T) {
	still := newLoop(nil, slog.New(slog.DiscardHandler), tally.NoopScope)
	still.group.Store(&group{members: &pb.Membership{}, leads: true})
	port := &Port{loop: still}
	for name, call := range map[string]func() error{
		"a server's word":       func() error { return port.Announce(t.Context(), &pb.Announcement{}, 1) },
		"a server's last word":  func() error { return port.Leave(t.Context(), "life-1") },
		"an operator's reading": func() error { _, err := port.Declaration(t.Context()); return err },
	} {
		began := time.Now()
		if err := call(); err == nil {
			t.Errorf("%s: answered by a replica that stands still", name)
		}
		if held := time.Since(began); held > 2*time.Second {
			t.Errorf("%s: held for %v, its caller waits %v", name, held, callersWait)
		}
	}
}
