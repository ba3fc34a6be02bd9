package host

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// newHost returns an entry that has a configuration and no reachable control replica, and that
// passes effects to applyEffect.
func newHost(t *testing.T, applyEffect func(entry.Effect)) *Host {
	t.Helper()
	h, err := New(&settings.Entry{
		Common: settings.Common{
			Cluster: "test", Name: "entry-a1", Control: []string{"127.0.0.1:1"}, Auth: settings.Auth{TrustedNetwork: true},
		},
		PeerAddress: "127.0.0.1:0", MaxStreams: 10,
	}, slog.New(slog.DiscardHandler), "127.0.0.1:2")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.peerListener.Close() })
	h.Start(entry.Config{}, applyEffect)
	h.loop.publish(&entry.Snapshot{Declaration: &declaration.Declaration{}})
	return h
}

func awaitNotReadyReason(t *testing.T, h *Host, want NotReadyReason) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if h.NotReadyReason() == want {
			return
		}
	}
	t.Fatalf("NotReadyReason() = %q, want %q", h.NotReadyReason(), want)
}

// Guards against an entry that keeps reporting ready, because it has a configuration, while
// its control goroutine is blocked and no request is decided, so that callers keep coming.
func TestStalledControlLoopMakesEntryNotReady(t *testing.T) {
	unblock := make(chan struct{})
	h := newHost(t, func(entry.Effect) {})
	h.loop.applyEffect = func(entry.Effect) { <-unblock }
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); h.loop.run(ctx) }()
	awaitNotReadyReason(t, h, "")
	// Without a view the reducer refuses the request. Its LogDecision effect blocks the loop.
	h.Post(entry.RequestArrived{})
	awaitNotReadyReason(t, h, ControlLoopStalled)
	close(unblock)
	// The reducer itself has no configuration and publishes that once it runs again.
	awaitNotReadyReason(t, h, NoConfiguration)
	stop()
	<-ended
}

// Guards against an entry that reports ready while its accept loop waits for a worker for the
// last connection: open connections are still served, but no new one is accepted.
func TestStalledAcceptLoopMakesEntryNotReady(t *testing.T) {
	h := newHost(t, func(entry.Effect) {})
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	ln := h.CallerListener(tcp)
	caller, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if reason := h.NotReadyReason(); reason != "" {
		t.Fatalf("not ready right after an accept: %s", reason)
	}
	awaitNotReadyReason(t, h, AcceptLoopStalled)
	go func() { _, _ = ln.Accept() }()
	awaitNotReadyReason(t, h, "")
}

// Guards against an entry that keeps running without its caller listener after the accept
// loop has panicked or returned unexpectedly.
func TestEntryEndsWithItsListener(t *testing.T) {
	for name, serve := range map[string]func() error{
		"panics":     func() error { panic("a fault of the loop") },
		"just ends":  func() error { return nil },
		"with error": func() error { return net.ErrClosed },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, func(entry.Effect) {})
			result := make(chan error, 1)
			go func() {
				result <- h.Run(context.Background(), Frontend{
					Serve: []func() error{serve}, OpenRequests: func() int { return 0 }, CancelRequests: func() {}, Shutdown: func(context.Context) {},
				})
			}()
			select {
			case err := <-result:
				if err == nil || !strings.Contains(err.Error(), "listener") {
					t.Fatalf("Run returned %v, want a listener error", err)
				}
			case <-time.After(testTimeout):
				t.Fatal("the entry keeps running without its listener")
			}
		})
	}
}

// Guards against an entry that stays not ready after its process was frozen: the work that was
// interrupted lasts as long as the freeze, and the timer must be zero again once it ends.
func TestBusyTimerResetsAtEnd(t *testing.T) {
	var b busyTimer
	if b.busyFor() != 0 {
		t.Fatal("busy before any work began")
	}
	b.begin(clock.SinceBoot() - time.Minute)
	if took := b.busyFor(); took < time.Minute {
		t.Fatalf("busy for %v, want at least a minute", took)
	}
	b.end()
	if b.busyFor() != 0 {
		t.Fatal("busy after the work ended")
	}
}

// Guards against an entry that is not ready without saying for how long, or what control answered.
func TestNotReadyTellsItsAgeAndControlsAnswers(t *testing.T) {
	h := newHost(t, func(entry.Effect) {})
	h.loop.publish(&entry.Snapshot{})
	if reason, _ := h.NotReady(); reason != NoConfiguration {
		t.Fatalf("reason %q, want %q", reason, NoConfiguration)
	}
	const waited = 30 * time.Millisecond
	time.Sleep(waited)
	if _, age := h.NotReady(); age < waited {
		t.Errorf("not ready for %v, want at least %v", age, waited)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waited)
	defer cancel()
	_ = h.Control.Call(ctx, waited, func(context.Context, Replica) error { return twirp.Unavailable.Error("knows no leader") })
	if refusals := h.Control.Refusals(); !strings.Contains(refusals["127.0.0.1:1"], "knows no leader") {
		t.Errorf("control's refusals are %v", refusals)
	}
}
