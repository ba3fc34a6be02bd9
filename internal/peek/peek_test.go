package peek

import (
	"net"
	"testing"
	"time"
)

// testTimeout ends a test that hangs. No assertion depends on it.
const testTimeout = 10 * time.Second

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

func until(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", condition)
}

// Guards against a caller whose disconnect is not noticed while its request runs: the engine
// would go on working for no one until the answer can't be written.
func TestClosedConnectionIsNoticedWithoutReading(t *testing.T) {
	for name, disconnect := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { _ = c.Close() },
		"resets": func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			noticed := make(chan struct{})
			stop := Watch(near, func() { close(noticed) })
			defer stop()
			disconnect(far)
			select {
			case <-noticed:
			case <-time.After(testTimeout):
				t.Fatal("the disconnect was not noticed")
			}
		})
	}
}

// Guards against a watch that consumes bytes of a request that the caller sends before it has
// the answer to the first, or that takes such a caller for disconnected.
func TestWatchConsumesNoBytes(t *testing.T) {
	near, far := pair(t)
	stop := Watch(near, func() { t.Error("onClose called") })
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

// Guards against a stopped watch that leaves the connection unusable.
func TestStoppedWatchLeavesTheConnectionUsable(t *testing.T) {
	near, far := pair(t)
	Watch(near, func() { t.Error("onClose called") })()
	if !Idle(near) {
		t.Fatal("an idle connection is not reported as idle")
	}
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if n, err := near.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatalf("read %d, %v", n, err)
	}
	_ = far.Close()
	until(t, "a closed connection is not idle", func() bool { return !Idle(near) })
}
