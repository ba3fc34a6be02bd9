package listen

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// failingListener returns a temporary error before each connection.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures.Add(1)%2 == 1 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

func newListener(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

func mustDial(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a process that exits because it has no file descriptor left for a connection:
// HTTP servers return on any error of Accept.
func TestListenerSurvivesAcceptErrors(t *testing.T) {
	ln := LimitListener(&failingListener{Listener: newListener(t)}, Limit{}, slog.New(slog.DiscardHandler))
	for range 3 {
		caller, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := ln.Accept()
		if err != nil {
			t.Fatalf("Accept: %v", err)
		}
		_ = accepted.Close()
		_ = caller.Close()
	}
	_ = ln.Close()
	if _, err := ln.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after Close: %v", err)
	}
}

// Guards against more open connections than the limit, and against closing a connection that is
// in use in favour of a new one.
func TestIdlestConnectionIsClosedAtLimit(t *testing.T) {
	ln := LimitListener(newListener(t), Limit{Connections: 2}, slog.New(slog.DiscardHandler))
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
			accepted <- c
		}
	}()
	dial := func() net.Conn { return mustDial(t, ln) }
	active := dial()
	<-accepted
	dial()
	idle := <-accepted
	time.Sleep(2 * minIdleTime)
	if _, err := active.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(minIdleTime / 4)
	dial()
	<-accepted
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the idle connection was kept: %v", err)
	}
	if n := ln.count(); n != 2 {
		t.Errorf("%d connections are open", n)
	}
}

// Guards against a connection that is closed in favour of a new one while its request waits for a slow answer,
// and against a new one that gets silence where all others are in use.
func TestBusyConnectionsStayAndNewOnesAreRefusedAtOnce(t *testing.T) {
	var closed []bool
	limit := Limit{Connections: 1, Refusal: []byte("full"), OnClosed: func(refused bool) { closed = append(closed, refused) }}
	ln := LimitListener(newListener(t), limit, slog.New(slog.DiscardHandler))
	dial := func() net.Conn { return mustDial(t, ln) }
	dial()
	busy, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	Mark(busy, Busy)
	time.Sleep(2 * minIdleTime)
	refused := dial()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := ln.Accept()
		accepted <- c
	}()
	if answer, err := io.ReadAll(refused); string(answer) != "full" || err != nil {
		t.Errorf("the new connection got %q, %v", answer, err)
	}
	if _, err := busy.Write([]byte("x")); err != nil {
		t.Errorf("the busy connection: %v", err)
	}
	Mark(busy, Idle)
	time.Sleep(2 * minIdleTime)
	dial()
	if c := <-accepted; c == nil {
		t.Error("no connection is accepted once the other one is idle")
	}
	if _, err := busy.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the idle connection was kept: %v", err)
	}
	if !slices.Equal(closed, []bool{true, false}) {
		t.Errorf("reported %v", closed)
	}
}

// Guards against callers that hold all connections by requests that never end, a byte at a time.
func TestConnectionWithAnUnfinishedRequestYields(t *testing.T) {
	ln := LimitListener(newListener(t), Limit{Connections: 1}, slog.New(slog.DiscardHandler))
	caller := mustDial(t, ln)
	arriving, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	Mark(arriving, Arriving)
	for range 8 {
		if _, err := caller.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := arriving.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(minIdleTime / 4)
	}
	go func() { _, _ = ln.Accept() }()
	mustDial(t, ln)
	_ = arriving.SetReadDeadline(time.Now().Add(10 * minIdleTime))
	if _, err := arriving.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the connection was kept: %v", err)
	}
}
