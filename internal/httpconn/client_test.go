package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

// testTimeout ends a test that hangs. No assertion depends on it.
const testTimeout = 10 * time.Second

// peer is a server that writes raw bytes. script writes the response to request n of one
// connection and returns false to close the connection.
type peer struct {
	address string
	conns   atomic.Int32
}

func newPeer(t *testing.T, script func(conn net.Conn, n int, req *http.Request) bool) *peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	p := &peer{address: ln.Addr().String()}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if !script(conn, n, req) {
						return
					}
				}
			}()
		}
	}()
	return p
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// call sends a request and reads the complete response.
func call(t *testing.T, c *Client, p *peer, change func(*Call)) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod("POST")
	req.Header.SetRequestURI("/x")
	req.Header.SetHost("h")
	req.SetBodyString("body")
	outgoing := Call{Address: p.address, Request: req}
	if change != nil {
		change(&outgoing)
	}
	resp, err := c.Do(ctx, outgoing)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// Guards against a body that is read wrongly: framed by a length, by chunks with a trailer or by
// the close of the connection, or preceded by a 1xx head. Only the first two framings, without
// "Connection: close", leave a connection that can be reused.
func TestBodiesOfEveryFraming(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		conns  int32
	}{
		"length":  {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour", 1},
		"chunks":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nfo\r\n2\r\nur\r\n0\r\nX-Trailer: 1\r\n\r\n", 1},
		"to end":  {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfour", 2},
		"closing": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfour", 2},
		"early":   {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour", 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				write(conn, c.answer)
				return c.conns == 1
			})
			client := New()
			for range 2 {
				if body, err := call(t, client, p, nil); err != nil || body != "four" {
					t.Fatalf("body %q, %v", body, err)
				}
			}
			if got := p.conns.Load(); got != c.conns {
				t.Errorf("%d connections, want %d", got, c.conns)
			}
		})
	}
}

// Guards against a truncated response that passes for a complete one, and against an error of
// the wrong type: the type says whether the request may have run.
func TestBrokenResponsesAreClassified(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		kind   *errorx.Type
	}{
		"no answer":           {"", Closed},
		"half a head":         {"HTTP/1.1 200 OK\r\nContent-Le", Broken},
		"half a body":         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfour", Broken},
		"half a chunk":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nfour", Broken},
		"no last chunk":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", Broken},
		"no answer but bytes": {"what is this\r\n\r\n", Broken},
	} {
		p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
			write(conn, c.answer)
			return false
		})
		if _, err := call(t, New(), p, nil); !errorx.IsOfType(err, c.kind) {
			t.Errorf("%s: %v, want %v", name, err, c.kind)
		}
	}
	noListener := newPeer(t, nil)
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	noListener.address = ln.Addr().String()
	_ = ln.Close()
	if _, err := call(t, New(), noListener, nil); !errorx.IsOfType(err, Refused) || !ProcessGone(err) {
		t.Errorf("no listener: %v", err)
	}
}

// Guards against a crash that goes unnoticed. While a process dies, the kernel completes
// connections to it for some milliseconds and then resets them, in part before the client has
// seen them open.
func TestConnectionResetWhileOpenedShowsDeath(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().(*net.TCPAddr)
	client := New()
	client.dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			target := &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}
			if err := syscall.Connect(int(fd), target); !errors.Is(err, syscall.EINPROGRESS) {
				t.Errorf("connect: %v", err)
			}
			_ = ln.Close()
		})
	}
	_, err = call(t, client, &peer{address: address.String()}, nil)
	if !errorx.IsOfType(err, NotSent) || errorx.IsOfType(err, Refused) || !ProcessGone(err) {
		t.Errorf("reset while opened: %v", err)
	}
}

// Guards against a request on an idle connection that the server has closed or on which it has
// sent unrequested bytes: the request would be lost, or get a response to another request.
func TestUnusableIdleConnectionIsNotReused(t *testing.T) {
	for name, extra := range map[string]string{
		"closed": "", "second answer": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan bool, 1)
			p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour")
				time.Sleep(10 * time.Millisecond)
				write(conn, extra)
				written <- true
				return extra != ""
			})
			client := New()
			for range 3 {
				if body, err := call(t, client, p, nil); err != nil || body != "four" {
					t.Fatalf("body %q, %v", body, err)
				}
				<-written
				time.Sleep(10 * time.Millisecond)
			}
			if n := p.conns.Load(); n != 3 {
				t.Errorf("%d connections, want 3", n)
			}
		})
	}
}

// Guards against a late response to an earlier request that is taken for the one to this
// request: it must be skipped. On a new connection it can't be a late one, and the call must
// fail.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	id := func(n string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 1\r\n\r\n%s", n, n)
	}
	p := newPeer(t, func(conn net.Conn, n int, req *http.Request) bool {
		if n == 0 {
			write(conn, id(req.Header.Get("X-Id")))
			return true
		}
		write(conn, id("1")+id(req.Header.Get("X-Id")))
		return true
	})
	matchID := func(n string) func(*Call) {
		return func(outgoing *Call) {
			outgoing.Request.Header.Set("X-Id", n)
			outgoing.Matches = func(h *fasthttp.ResponseHeader) bool { return string(h.Peek("X-Id")) == n }
		}
	}
	client := New()
	for _, n := range []string{"1", "2"} {
		if body, err := call(t, client, p, matchID(n)); err != nil || body != n {
			t.Fatalf("request %s: %q, %v", n, body, err)
		}
	}
	wrong := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool { write(conn, id("9")); return true })
	if _, err := call(t, client, wrong, matchID("1")); !errorx.IsOfType(err, Mismatched) {
		t.Fatalf("response to another request on a new connection: %v", err)
	}
}

// Guards against more connections to a server than its limit, which covers all entries: the
// server would reset the excess one together with its request.
func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan bool)
	p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		<-release
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	client := New()
	done := make(chan error, 2)
	atMostTwo := func(outgoing *Call) { outgoing.MaxConns = 2 }
	for range 2 {
		go func() {
			_, err := call(t, client, p, atMostTwo)
			done <- err
		}()
	}
	for end := time.Now().Add(testTimeout); p.conns.Load() < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if _, err := call(t, client, p, atMostTwo); !errorx.IsOfType(err, NotSent) {
		t.Fatalf("connection above the limit: %v", err)
	}
	close(release)
	for range 2 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if _, err := call(t, client, p, atMostTwo); err != nil {
		t.Fatalf("after a connection became free: %v", err)
	}
}

// Guards against a server that goes on working after the caller has disconnected while the body
// is read: the connection must be closed at once.
func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan bool, 1)
	p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n")
		_, _ = conn.Read(make([]byte, 1))
		closed <- true
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI("/x")
	req.Header.SetHost("h")
	resp, err := New().Do(ctx, Call{Address: p.address, Request: req})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if _, err := io.ReadFull(resp, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := resp.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "EOF") && !errorx.IsOfType(err, Broken) {
		t.Fatalf("read after the context ended: %v", err)
	}
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the server's connection is still open")
	}
}

// Guards against a request that is sent although the server has asked for a back-off while the
// request waited for its connection.
func TestNothingIsSentToServerThatStoppedAccepting(t *testing.T) {
	var got atomic.Int32
	p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		got.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	c := New()
	send := func(accepts bool) error {
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		req.SetRequestURI("/")
		req.Header.SetHost(p.address)
		resp, err := c.Do(context.Background(), Call{Address: p.address, Request: req, AcceptsRequests: func() bool { return accepts }})
		if err == nil {
			_, _ = io.Copy(io.Discard, resp)
			resp.Close()
		}
		return err
	}
	if err := send(false); !errorx.IsOfType(err, NotSent) || got.Load() != 0 {
		t.Fatalf("%v, %d requests", err, got.Load())
	}
	if err := send(true); err != nil || got.Load() != 1 || p.conns.Load() != 1 {
		t.Fatalf("%v, %d requests on %d connections", err, got.Load(), p.conns.Load())
	}
}

// Guards against a request on a connection that the server closes at that time, as its
// Keep-Alive header has announced: the request is reset, and may have run.
func TestServerKeepAliveTimeoutIsHonoured(t *testing.T) {
	for _, c := range []struct {
		keepAlive string
		pause     time.Duration
		conns     int32
	}{
		{"timeout=1", 100 * time.Millisecond, 1},
		{"timeout=1", 950 * time.Millisecond, 2},
		{"max=5, timeout=1", 950 * time.Millisecond, 2},
		{"timeout=30", 950 * time.Millisecond, 1},
		{"timeout=soon", 950 * time.Millisecond, 1},
		{"timeout=0", 0, 2},
	} {
		t.Run(fmt.Sprint(c.keepAlive, " ", c.pause), func(t *testing.T) {
			t.Parallel()
			p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: "+c.keepAlive+"\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			client := New()
			for range 2 {
				req := fasthttp.AcquireRequest()
				req.SetRequestURI("/")
				req.Header.SetHost(p.address)
				resp, err := client.Do(context.Background(), Call{Address: p.address, Request: req})
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp)
				resp.Close()
				fasthttp.ReleaseRequest(req)
				time.Sleep(c.pause)
			}
			if got := p.conns.Load(); got != c.conns {
				t.Errorf("%d connections, want %d", got, c.conns)
			}
		})
	}
}
