package host

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// newHost gives an entry without control that holds a configuration and carries effects
// out by carryOut.
func newHost(t *testing.T, carryOut func(entry.Effect)) *Host {
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
	t.Cleanup(func() { _ = h.others.Close() })
	h.Start(entry.Config{}, carryOut)
	h.loop.publish(&entry.Snapshot{Declaration: &declaration.Declaration{}})
	return h
}

func untilNotReady(t *testing.T, h *Host, want NotReadyReason) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if h.NotReadyReason() == want {
			return
		}
	}
	t.Fatalf("still %q, want %q", h.NotReadyReason(), want)
}

// The control goroutine of an entry waits for something that never comes: no request is
// decided on any more. The entry had learned a configuration once and would say for ever
// that it is ready, so that callers go on coming to it.
func TestEntryThatDecidesNothingIsNotReady(t *testing.T) {
	goOn := make(chan struct{})
	h := newHost(t, func(entry.Effect) {})
	h.loop.carryOut = func(entry.Effect) { <-goOn }
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); h.loop.run(ctx) }()
	untilNotReady(t, h, "")
	// Without a view the reducer refuses it, and the line of that is carried out.
	h.Post(entry.RequestArrived{})
	untilNotReady(t, h, ControlLoopStalled)
	close(goOn)
	// The reducer itself has learned none, and says so as soon as it goes on.
	untilNotReady(t, h, NoConfiguration)
	stop()
	<-ended
}

// The loop that accepts callers' connections waits for a worker that takes the last one:
// open connections are served on and no new one is taken, while the entry says that it is
// ready.
func TestEntryThatTakesNoConnectionIsNotReady(t *testing.T) {
	h := newHost(t, func(entry.Effect) {})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	ln := h.CallerListener(inner)
	caller, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if why := h.NotReadyReason(); why != "" {
		t.Fatalf("not ready at once: %s", why)
	}
	untilNotReady(t, h, AcceptLoopStalled)
	go func() { _, _ = ln.Accept() }()
	untilNotReady(t, h, "")
}

// A listener's loop panics, or ends though nobody asked it to. The panic was kept until the
// end of the process and the entry lived on without its callers' listener, without a line.
func TestEntryEndsWithItsListener(t *testing.T) {
	for name, serve := range map[string]func() error{
		"panics":     func() error { panic("a fault of the loop") },
		"just ends":  func() error { return nil },
		"with error": func() error { return net.ErrClosed },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, func(entry.Effect) {})
			ran := make(chan error, 1)
			go func() {
				ran <- h.Run(context.Background(), Frontend{
					Serve: []func() error{serve}, CancelRequests: func() {}, Shutdown: func(context.Context) {},
				})
			}()
			select {
			case err := <-ran:
				if err == nil || !strings.Contains(err.Error(), "listener") {
					t.Fatalf("ended with %v", err)
				}
			case <-time.After(patience):
				t.Fatal("the entry lives on without its listener")
			}
		})
	}
}

// A frozen process comes back: what it was doing has taken as long as the freeze, and is
// not done for that long any more once it goes on.
func TestBusyEndsWithItsWork(t *testing.T) {
	var b busy
	if b.busyFor() != 0 {
		t.Fatal("busy before anything began")
	}
	b.begin(clock.SinceBoot() - time.Minute)
	if took := b.busyFor(); took < time.Minute {
		t.Fatalf("busy for %v of a minute", took)
	}
	b.end()
	if b.busyFor() != 0 {
		t.Fatal("busy after the end")
	}
}
