package listen

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// failing gives an error that may pass before each connection.
type failing struct {
	net.Listener
	failures atomic.Int64
}

func (f *failing) Accept() (net.Conn, error) {
	if f.failures.Add(1)%2 == 1 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

func listener(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// Guards against a process that ends since it has no descriptor left for a connection: servers
// end their loop with any error of Accept.
func TestListenerOutlivesAcceptErrors(t *testing.T) {
	ln := LimitListener(&failing{Listener: listener(t)}, 0, slog.New(slog.DiscardHandler))
	for range 3 {
		caller, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		taken, err := ln.Accept()
		if err != nil {
			t.Fatalf("no connection: %v", err)
		}
		_ = taken.Close()
		_ = caller.Close()
	}
	_ = ln.Close()
	if _, err := ln.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after its end: %v", err)
	}
}

// Guards against more connections than there are descriptors for, and against one that is in
// use and is closed for a newer one.
func TestIdlestConnectionMakesRoom(t *testing.T) {
	ln := LimitListener(listener(t), 2, slog.New(slog.DiscardHandler))
	taken := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
			taken <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	used := dial()
	<-taken
	dial()
	idle := <-taken
	time.Sleep(2 * idleFor)
	if _, err := used.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(idleFor / 4)
	dial()
	<-taken
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the idle connection was kept: %v", err)
	}
	if n := ln.count(); n != 2 {
		t.Errorf("%d connections are held", n)
	}
}
