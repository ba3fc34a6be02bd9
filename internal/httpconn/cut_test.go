package httpconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// scriptedConn is a connection whose peer sends answers, one for each request, and then ends it with end.
type scriptedConn struct {
	answers []string
	unread  string
	end     error
	// step is how many bytes arrive at a time, 0 for all.
	step int
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	if len(c.answers) > 0 {
		c.unread, c.answers = c.unread+c.answers[0], c.answers[1:]
	}
	return len(p), nil
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.unread == "" {
		return 0, c.end
	}
	n := min(len(p), len(c.unread))
	if c.step > 0 {
		n = min(n, c.step)
	}
	copy(p, c.unread[:n])
	c.unread = c.unread[n:]
	return n, nil
}

func (c *scriptedConn) Close() error                     { return nil }
func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// readAnswer sends one request and reads the whole answer.
func readAnswer(c *Client, method string) (status int, body string, closeDelimited bool, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.Header.SetRequestURI("/x")
	req.Header.SetHost("h")
	resp, err := c.Do(context.Background(), Call{Address: "server:1", Request: req})
	if err != nil {
		return 0, "", false, err
	}
	defer resp.Close()
	data, err := io.ReadAll(resp)
	return resp.Header.StatusCode(), string(data), resp.CloseDelimited(), err
}

// Guards against an answer that is cut at any byte and passes for a whole one: in its head, in the digits of its
// length, in a chunk's size, or in a trailer.
func TestAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	const tail = "Content-Type: text/plain\r\nX-Proof-Of-Run: s1\r\n"
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	for _, c := range []struct {
		name, method, answer, body string
		// closes is set where the end of the connection ends the body: then the answer says so.
		closes bool
	}{
		{"length last", "POST", "HTTP/1.1 200 OK\r\n" + tail + "Content-Length: 1234\r\n\r\n" + strings.Repeat("x", 1234), strings.Repeat("x", 1234), false},
		{"length first", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + tail + "\r\ntwelve bytes", "twelve bytes", false},
		{"no body", "POST", "HTTP/1.1 200 OK\r\n" + tail + "Content-Length: 0\r\n\r\n", "", false},
		{"created", "POST", "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nfour", "four", false},
		{"chunks", "POST", "HTTP/1.1 200 OK\r\n" + tail + "Transfer-Encoding: chunked\r\n\r\n10\r\nsixteen bytes ..\r\n4\r\nfour\r\n0\r\n\r\n", "sixteen bytes ..four", false},
		{"chunks with an extension and a trailer", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n4;a=b\r\nfour\r\n00\r\nX-End: 1\r\n\r\n", "four", false},
		{"after 100", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour", "four", false},
		{"after 103", "POST", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour", "four", false},
		{"HTTP/1.0 with a length", "GET", "HTTP/1.0 200 OK\r\n" + tail + "Content-Length: 4\r\n\r\nfour", "four", false},
		{"HTTP/1.0 without a length", "GET", "HTTP/1.0 200 OK\r\n" + tail + "\r\nfour", "four", true},
		{"without a length", "GET", "HTTP/1.1 200 OK\r\n" + tail + "\r\nfour", "four", true},
		{"no content", "DELETE", "HTTP/1.1 204 No Content\r\n" + tail + "\r\n", "", false},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nEtag: \"1\"\r\nContent-Length: 9\r\n\r\n", "", false},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n" + tail + "\r\n", "", false},
		{"head of chunks", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + tail + "\r\n", "", false},
		{"no content but chunks", "DELETE", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", "", false},
		{"not modified but chunks", "GET", "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for cut := range len(c.answer) + 1 {
				for _, end := range []error{io.EOF, syscall.ECONNRESET} {
					for _, reused := range []bool{false, true} {
						for _, step := range []int{0, 1} {
							what := fmt.Sprintf("%d of %d bytes, then %v, reused %v, step %d", cut, len(c.answer), end, reused, step)
							client, conn := New(), &scriptedConn{answers: []string{c.answer[:cut]}, end: end, step: step}
							client.DialContext = func(context.Context, string, string) (net.Conn, error) { return conn, nil }
							if reused {
								conn.answers = []string{first, c.answer[:cut]}
								if status, body, _, err := readAnswer(client, "GET"); status != http.StatusOK || body != "first" || err != nil {
									t.Fatalf("%s: the first answer is %d %q, %v", what, status, body, err)
								}
							}
							status, body, closeDelimited, err := readAnswer(client, c.method)
							whole := cut == len(c.answer) && (!c.closes || errors.Is(end, io.EOF))
							switch {
							case whole && (err != nil || body != c.body || closeDelimited != c.closes):
								t.Errorf("%s: %d %q, closed at its end %v, %v", what, status, body, closeDelimited, err)
							case !whole && err == nil && !(closeDelimited && errors.Is(end, io.EOF)):
								t.Errorf("%s: %d %q passes for a whole answer", what, status, body)
							}
						}
					}
				}
			}
		})
	}
}
