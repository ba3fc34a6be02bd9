package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

// patience ends a test that hangs; it judges nothing.
const patience = 10 * time.Second

// peer is a server of raw bytes: script writes the answer to request n of one
// connection; false closes it.
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

// call sends a request and reads its whole answer.
func call(t *testing.T, c *Client, p *peer, change func(*Call)) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod("POST")
	req.Header.SetRequestURI("/x")
	req.Header.SetHost("h")
	req.SetBodyString("body")
	k := Call{Address: p.address, Request: req}
	if change != nil {
		change(&k)
	}
	a, err := c.Do(ctx, k)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// Bodies come with a length, in chunks with a trailer, or up to the connection's
// end; heads of 1xx go before. All are read whole, and only the first two kinds
// leave a connection that can be used again.
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

// A server breaks off. What was read must not pass for the whole, and the caller
// must learn whether it may have run.
func TestBrokenAnswersAreToldApart(t *testing.T) {
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
	gone := newPeer(t, nil)
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	gone.address = ln.Addr().String()
	_ = ln.Close()
	if _, err := call(t, New(), gone, nil); !errorx.IsOfType(err, Refused) || !ProcessGone(err) {
		t.Errorf("nobody listens: %v", err)
	}
}

// A server closes a kept connection, or sends bytes on it that nobody asked for. A
// request must not go out on it: it would be lost, or get another one's answer.
func TestSpoiltConnectionIsNotUsedAgain(t *testing.T) {
	for name, extra := range map[string]string{
		"closed": "", "second answer": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
	} {
		t.Run(name, func(t *testing.T) {
			spoilt := make(chan bool, 1)
			p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour")
				time.Sleep(10 * time.Millisecond)
				write(conn, extra)
				spoilt <- true
				return extra != ""
			})
			client := New()
			for range 3 {
				if body, err := call(t, client, p, nil); err != nil || body != "four" {
					t.Fatalf("body %q, %v", body, err)
				}
				<-spoilt
				time.Sleep(10 * time.Millisecond)
			}
			if n := p.conns.Load(); n != 3 {
				t.Errorf("%d connections, want 3", n)
			}
		})
	}
}

// An answer to an earlier request stands where the one to this request is due: it is
// passed over. On a connection that has carried nothing it is nobody's.
func TestAnswerOfAnotherRequestIsPassedOver(t *testing.T) {
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
	mine := func(n string) func(*Call) {
		return func(k *Call) {
			k.Request.Header.Set("X-Id", n)
			k.Matches = func(h *fasthttp.ResponseHeader) bool { return string(h.Peek("X-Id")) == n }
		}
	}
	client := New()
	for _, n := range []string{"1", "2"} {
		if body, err := call(t, client, p, mine(n)); err != nil || body != n {
			t.Fatalf("request %s: %q, %v", n, body, err)
		}
	}
	wrong := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool { write(conn, id("9")); return true })
	if _, err := call(t, client, wrong, mine("1")); !errorx.IsOfType(err, Mismatched) {
		t.Fatalf("another one's answer on a new connection: %v", err)
	}
}

// A server accepts a bounded number of connections from all entries; one more would
// be reset with the request on it.
func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan bool)
	p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		<-release
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	client := New()
	done := make(chan error, 2)
	two := func(k *Call) { k.MaxConns = 2 }
	for range 2 {
		go func() {
			_, err := call(t, client, p, two)
			done <- err
		}()
	}
	for end := time.Now().Add(patience); p.conns.Load() < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if _, err := call(t, client, p, two); !errorx.IsOfType(err, NotSent) {
		t.Fatalf("a third connection: %v", err)
	}
	close(release)
	for range 2 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if _, err := call(t, client, p, two); err != nil {
		t.Fatalf("with connections free again: %v", err)
	}
}

// The caller leaves while the answer's body is read: the connection ends at once,
// and with it the server's work.
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
	a, err := New().Do(ctx, Call{Address: p.address, Request: req})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if _, err := io.ReadFull(a, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := a.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "EOF") && !errorx.IsOfType(err, Broken) {
		t.Fatalf("read after the end: %v", err)
	}
	select {
	case <-closed:
	case <-time.After(patience):
		t.Fatal("the server's connection is still open")
	}
}

// Guards against a request that waits for its connection while the server asks for rest, and
// reaches it all the same.
func TestNothingIsSentToAServerThatWantsNoMore(t *testing.T) {
	var got atomic.Int32
	p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		got.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	c := New()
	send := func(wanted bool) error {
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		req.SetRequestURI("/")
		req.Header.SetHost(p.address)
		a, err := c.Do(context.Background(), Call{Address: p.address, Request: req, AcceptsRequests: func() bool { return wanted }})
		if err == nil {
			_, _ = io.Copy(io.Discard, a)
			a.Close()
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

// Guards against a request on a connection that its server has said it closes by then: it is
// reset, and may have run.
func TestServersOwnIdleTimeIsKept(t *testing.T) {
	for _, c := range []struct {
		says  string
		after time.Duration
		conns int32
	}{
		{"timeout=1", 100 * time.Millisecond, 1},
		{"timeout=1", 950 * time.Millisecond, 2},
		{"max=5, timeout=1", 950 * time.Millisecond, 2},
		{"timeout=30", 950 * time.Millisecond, 1},
		{"timeout=soon", 950 * time.Millisecond, 1},
		{"timeout=0", 0, 2},
	} {
		t.Run(fmt.Sprint(c.says, " ", c.after), func(t *testing.T) {
			t.Parallel()
			p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: "+c.says+"\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			client := New()
			for range 2 {
				req := fasthttp.AcquireRequest()
				req.SetRequestURI("/")
				req.Header.SetHost(p.address)
				a, err := client.Do(context.Background(), Call{Address: p.address, Request: req})
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, a)
				a.Close()
				fasthttp.ReleaseRequest(req)
				time.Sleep(c.after)
			}
			if got := p.conns.Load(); got != c.conns {
				t.Errorf("%d connections, want %d", got, c.conns)
			}
		})
	}
}
