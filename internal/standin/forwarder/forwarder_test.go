package forwarder

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// echoServer sends every line back.
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

// says sends a line and tells whether it came back within the time.
func says(t *testing.T, conn net.Conn, within time.Duration) bool {
	t.Helper()
	if _, err := conn.Write([]byte("x\n")); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(within))
	n, err := conn.Read(make([]byte, 8))
	return err == nil && n == 2
}

func TestOpenConnectionsGoSilentWhileNewOnesWork(t *testing.T) {
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
	old := dial()
	if !says(t, old, 5*time.Second) {
		t.Fatal("nothing passes")
	}
	f.BlackholeOpenConnections()
	if says(t, old, 100*time.Millisecond) {
		t.Fatal("the open connection still passes")
	}
	if !says(t, dial(), 5*time.Second) {
		t.Fatal("a new connection does not pass")
	}
	f.SetMode(Mode{Refuse: true})
	if says(t, dial(), 100*time.Millisecond) {
		t.Fatal("a refusing forwarder passes bytes")
	}
}
