package peek

import (
	"net"
	"testing"
	"time"
)

// patience ends a test that hangs; it judges nothing.
const patience = 10 * time.Second

func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialled, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialled.Close(); _ = accepted.Close() })
	return accepted.(*net.TCPConn), dialled.(*net.TCPConn)
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("still not: %s", what)
}

// A caller gives up while its request runs. Unless that is noticed the engine
// works on for nobody until the answer can't be written.
func TestGoneCallerIsNoticedWhileNobodyReads(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { _ = c.Close() },
		"resets": func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			gone := make(chan struct{})
			stop := Watch(near, func() { close(gone) })
			defer stop()
			leave(far)
			select {
			case <-gone:
			case <-time.After(patience):
				t.Fatal("the caller's end went unnoticed")
			}
		})
	}
}

// A caller sends its next request before it has the answer to the first: the
// watch must neither take a byte of it nor call it gone.
func TestWatchTakesNoBytes(t *testing.T) {
	near, far := pair(t)
	stop := Watch(near, func() { t.Error("called gone") })
	if _, err := far.Write([]byte("next")); err != nil {
		t.Fatal(err)
	}
	until(t, "the bytes are there", func() bool { return !Idle(near) })
	stop()
	buf := make([]byte, 8)
	if n, err := near.Read(buf); err != nil || string(buf[:n]) != "next" {
		t.Fatalf("read %q, %v", buf[:n], err)
	}
}

// A watch that is stopped leaves the connection as it was.
func TestStoppedWatchLeavesTheConnectionUsable(t *testing.T) {
	near, far := pair(t)
	Watch(near, func() { t.Error("called gone") })()
	if !Idle(near) {
		t.Fatal("an idle connection is not quiet")
	}
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if n, err := near.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatalf("read %d, %v", n, err)
	}
	_ = far.Close()
	until(t, "a closed connection is not quiet", func() bool { return !Idle(near) })
}
