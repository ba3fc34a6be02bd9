package forwarder

import (
	"bufio"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// echoServer starts a server that echoes every line, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer conn.Close()
				lines := bufio.NewReader(conn)
				for line, err := lines.ReadString('\n'); err == nil; line, err = lines.ReadString('\n') {
					_, _ = conn.Write([]byte(line))
				}
			})
		}
	})
	t.Cleanup(func() { _ = ln.Close(); wg.Wait() })
	return ln.Addr().String()
}

// roundTrip sends a line and reports whether it came back before the timeout.
func roundTrip(t *testing.T, conn net.Conn, timeout time.Duration) bool {
	t.Helper()
	if _, err := conn.Write([]byte("x\n")); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	n, err := conn.Read(make([]byte, 8))
	return err == nil && n == 2
}

func TestBlackholedOpenConnectionsLeaveNewOnesWorking(t *testing.T) {
	f, err := Listen("127.0.0.1:0", echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", f.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	oldConn := dial()
	if !roundTrip(t, oldConn, 5*time.Second) {
		t.Fatal("the forwarder does not forward")
	}
	f.BlackholeOpenConnections()
	if roundTrip(t, oldConn, 100*time.Millisecond) {
		t.Fatal("the blackholed connection still forwards bytes")
	}
	if !roundTrip(t, dial(), 5*time.Second) {
		t.Fatal("a new connection does not forward bytes")
	}
	f.SetMode(Mode{Refuse: true})
	if roundTrip(t, dial(), 100*time.Millisecond) {
		t.Fatal("a refusing forwarder forwards bytes")
	}
}

// Guards against a cut that concerns other clients too, leaves out new connections, or doesn't end.
func TestCutConcernsOneClient(t *testing.T) {
	f, err := Listen("127.0.0.1:0", echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", f.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	port := func(conn net.Conn) int { return conn.LocalAddr().(*net.TCPAddr).Port }
	cut, other := dial(), dial()
	if !roundTrip(t, cut, 5*time.Second) || !roundTrip(t, other, 5*time.Second) {
		t.Fatal("the forwarder does not forward")
	}
	var newer sync.Map
	f.Cut(func() map[int]bool {
		ports := map[int]bool{port(cut): true}
		newer.Range(func(p, _ any) bool { ports[p.(int)] = true; return true })
		return ports
	}, Mode{BlackholeToClient: true})
	if roundTrip(t, cut, 100*time.Millisecond) {
		t.Error("the client that is cut off gets bytes")
	}
	if !roundTrip(t, other, 5*time.Second) {
		t.Error("another client is cut off too")
	}
	for n := range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		from := l.Addr().(*net.TCPAddr)
		_ = l.Close()
		if n == 0 {
			newer.Store(from.Port, true)
		}
		conn, err := (&net.Dialer{LocalAddr: from}).Dial("tcp", f.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if got := roundTrip(t, conn, 300*time.Millisecond); got != (n == 1) {
			t.Errorf("new connection %d: forwarded %v", n, got)
		}
	}
	f.Cut(nil, Mode{})
	if !roundTrip(t, dial(), 5*time.Second) {
		t.Error("the cut doesn't end")
	}
	if roundTrip(t, cut, 100*time.Millisecond) {
		t.Error("a connection that has lost bytes goes on")
	}
}
