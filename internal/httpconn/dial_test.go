package httpconn

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// deaf gives an address whose connections are never opened: its queue of new ones is
// full and nobody takes any.
func deaf(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// told collects what a call's owner hears of its dial.
type told struct {
	mu   sync.Mutex
	list []bool
}

func (d *told) tell(slow bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, slow)
}

func (d *told) String() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprint(d.list)
}

func callTo(address string, d *told) Call {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + address + "/")
	return Call{Address: address, Request: req, Slow: d.tell}
}

// A server's VM is dark: that its connections take long is told at once, not only when
// the attempt gives up, and that the attempt has ended is told after it.
func TestSlowDialIsToldEarly(t *testing.T) {
	var d told
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	address := deaf(t)
	go func() {
		time.Sleep(2 * slowDial)
		if got := d.String(); got != "[true]" {
			t.Errorf("after %v: told %s", 2*slowDial, got)
		}
	}()
	if _, err := New().Do(ctx, callTo(address, &d)); err == nil {
		t.Fatal("an answer")
	}
	if got := d.String(); got != "[true false]" {
		t.Fatalf("told %s", got)
	}
}

// A server that is there is never called slow.
func TestQuickDialIsNotTold(t *testing.T) {
	p := newPeer(t, func(conn net.Conn, n int, req *http.Request) bool {
		_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	var d told
	a, err := New().Do(context.Background(), callTo(p.address, &d))
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	time.Sleep(slowDial + 50*time.Millisecond)
	if got := d.String(); got != "[]" {
		t.Fatalf("told %s", got)
	}
}
