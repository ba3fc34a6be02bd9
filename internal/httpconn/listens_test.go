package httpconn

import (
	"context"
	"net"
	"testing"
	"time"
)

// resetFirst resets the first connections to a listener, n of them, and keeps the later ones open.
func resetFirst(t *testing.T, n int, then func(net.Listener)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for i := 0; ; i++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if i >= n {
				t.Cleanup(func() { _ = conn.Close() })
				continue
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			if i == n-1 && then != nil {
				then(ln)
			}
		}
	}()
	return ln.Addr().String()
}

// Guards against a live server that is taken for dead since it ended a connection, and against a
// dead one that is taken for alive since its kernel still accepted a connection.
func TestOnlyRefusedConnectionsShowThatNothingListens(t *testing.T) {
	closeListener := func(ln net.Listener) { _ = ln.Close() }
	for _, c := range []struct {
		name    string
		resets  int
		then    func(net.Listener)
		nothing bool
	}{
		{"listens", 0, nil, false},
		{"resets one connection", 1, nil, false},
		{"resets all connections", 1 << 20, nil, false},
		{"resets one and ends", 1, closeListener, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := New()
			address := resetFirst(t, c.resets, c.then)
			if got := client.NothingListens(context.Background(), address, 0); got != c.nothing {
				t.Errorf("nothing listens: %v", got)
			}
		})
	}
}

// Guards against a server that is taken for dead since the entry has as many connections to it as
// it may have, or since it does not answer.
func TestNothingListensNeedsAnAnswer(t *testing.T) {
	client := New()
	address := resetFirst(t, 0, nil)
	if !client.reserve(address, 1) {
		t.Fatal("no connection may be opened")
	}
	if client.NothingListens(context.Background(), address, 1) {
		t.Error("nothing listens, without a try")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	if client.NothingListens(ctx, address, 0) {
		t.Error("nothing listens, without an answer")
	}
}

// Guards against a connection that is opened in vain: the next request uses it.
func TestOpenedConnectionIsKept(t *testing.T) {
	client := New()
	address := resetFirst(t, 0, nil)
	if client.NothingListens(context.Background(), address, 0) {
		t.Fatal("nothing listens")
	}
	cn := client.takeIdle(address)
	if cn == nil {
		t.Fatal("the connection was closed")
	}
	client.discard(cn)
}
