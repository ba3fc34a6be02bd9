package httpconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// libraryClient is a client of the HTTP library that sends over connections of this package.
func libraryClient(oneCall bool) *fasthttp.Client {
	connections := New()
	connections.OneCallPerConnection = oneCall
	return &fasthttp.Client{Transport: &Transport{Client: connections}, MaxResponseBodySize: 100, MaxConnsPerHost: 2}
}

// get sends a request with the library and returns the body.
func get(c *fasthttp.Client, p *peer, timeout time.Duration) (string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + p.address + "/x")
	if err := c.DoTimeout(req, resp, timeout); err != nil {
		return "", err
	}
	if stream := resp.BodyStream(); stream != nil {
		defer func() { _ = resp.CloseBodyStream() }()
		body, err := io.ReadAll(stream)
		return string(body), err
	}
	return string(resp.Body()), nil
}

// Guards against connections that the library's clients don't reuse, or reuse where each call has its own; and against a
// streamed body that is not whole.
func TestLibraryClientsKeepConnections(t *testing.T) {
	for _, c := range []struct {
		oneCall, stream bool
		conns           int32
	}{{false, false, 1}, {true, false, 3}, {false, true, 1}, {true, true, 3}} {
		p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
			write(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n")
			return true
		})
		client := libraryClient(c.oneCall)
		client.StreamResponseBody = c.stream
		for range 3 {
			if body, err := get(client, p, testTimeout); body != "four" || err != nil {
				t.Errorf("%+v: %q, %v", c, body, err)
			}
		}
		if n := p.conns.Load(); n != c.conns {
			t.Errorf("%+v: %d connections", c, n)
		}
	}
}

// Guards against a server that is taken for dead since a call to it ran out of time: before its head, or within its body.
func TestTimeoutIsNoDeath(t *testing.T) {
	for _, begin := range []string{"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfo"} {
		p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
			write(conn, begin)
			_, _ = io.ReadAll(conn)
			return false
		})
		_, err := get(libraryClient(true), p, 50*time.Millisecond)
		if !errors.Is(err, fasthttp.ErrTimeout) || ProcessGone(Classify(err)) || !NoAnswer(Classify(err)) {
			t.Errorf("%q: %v", begin, err)
		}
	}
}

// Guards against an answer beyond the library's limit that is held whole, and against one at the limit that is refused.
func TestLibraryLimitsBodies(t *testing.T) {
	for size, want := range map[int]error{100: nil, 101: fasthttp.ErrBodyTooLarge} {
		p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
			write(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", size))
			return false
		})
		if body, err := get(libraryClient(true), p, testTimeout); !errors.Is(err, want) || err == nil && len(body) != size {
			t.Errorf("%d bytes: %d, %v", size, len(body), err)
		}
	}
}

// Guards against more connections to a server than the library's client may open.
func TestLibraryLimitsConnections(t *testing.T) {
	release := make(chan bool)
	p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool { <-release; return false })
	client := libraryClient(true)
	for range client.MaxConnsPerHost {
		go func() { _, _ = get(client, p, testTimeout) }()
	}
	for end := time.Now().Add(testTimeout); int(p.conns.Load()) < client.MaxConnsPerHost && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	_, err := get(client, p, testTimeout)
	close(release)
	if err == nil || NoAnswer(err) || !strings.Contains(err.Error(), "no free connections") {
		t.Errorf("beyond the limit: %v", err)
	}
}
