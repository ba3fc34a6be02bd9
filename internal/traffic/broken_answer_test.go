package traffic

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// brokenAnswers are answers that HTTP calls faulty. FIELDS stands for those that name the request. Package httpconn has more.
var brokenAnswers = map[string]string{
	"status 000":                     "HTTP/1.1 000 \r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"no HTTP":                        "junk\n",
	"status 099 before an answer":    "HTTP/1.1 099 \r\n\r\nHTTP/1.1 200 OK\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"blank within a name":            "HTTP/1.1 200 OK\r\nFIELDSX Trouble: 1\r\nContent-Length: 2\r\n\r\n{}",
	"blank behind the length's name": "HTTP/1.1 200 OK\r\nFIELDSContent-Length : 2\r\n\r\n{} and more",
	"control byte within a name":     "HTTP/1.1 200 OK\r\nFIELDSX\x01Trouble: 1\r\nContent-Length: 2\r\n\r\n{}",
	"chunks in HTTP/1.0":             "HTTP/1.0 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"blank in the trailer":           "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX End: 1\r\n\r\n",
}

// breaks returns a server that sends the same answer to each request and closes.
func breaks(text string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var fields strings.Builder
		for _, name := range []string{outcome.HeaderRequestID, outcome.HeaderAttempt} {
			fmt.Fprintf(&fields, "%s: %s\r\n", name, r.Header.Get(name))
		}
		fmt.Fprintf(&fields, "%s: %s\r\n", engineapi.HeaderIncarnation, testIncarnation)
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "FIELDS", fields.String()))
			_ = conn.Close()
		}
	})
}

// Guards against callers of plain services that get an answer which HTTP calls faulty as a sound one.
func TestBrokenAnswerReachesNoCaller(t *testing.T) {
	for name, text := range brokenAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, path := range []string{"/svc/portal/status", "/svc/portal/balances"} {
				a := newFixture(t, nil, breaks(text)).do("GET", path, asMember("hotels").with(outcome.HeaderIdempotencyKey, newKey(t)), "")
				if a.status < http.StatusInternalServerError || a.outcome() != outcome.Unknown && path == "/svc/portal/balances" {
					t.Errorf("%s: %d %v %q", path, a.status, a.header, a.body)
				}
			}
		})
	}
}

// Guards against an engine's answer which HTTP calls faulty and which counts: as a stream, as health, as a KV cache; and
// against an engine that is taken for dead because of it.
func TestBrokenAnswerOfAnEngineCountsForNothing(t *testing.T) {
	for name, text := range brokenAnswers {
		t.Run(name, func(t *testing.T) {
			address, client := serve(t, breaks(text)), newEngineClient()
			if health, ok, err := client.health(address, time.Second); ok || !errorx.IsOfType(err, httpconn.Malformed) {
				t.Errorf("health %+v, %v", health, err)
			}
			if status, body, err := client.callBytes("GET", "http://"+address+"/x", nil, time.Second); !errorx.IsOfType(err, httpconn.Malformed) {
				t.Errorf("status %d, %q, %v", status, body, err)
			}
			if client.processGone(address) {
				t.Error("the engine is taken for dead")
			}
			stream, err := client.openStream(address, engineapi.CompletionRequest{RequestID: "r1", Attempt: 1})
			if err == nil {
				defer stream.close()
				_, _, err = stream.next()
			}
			if !errorx.IsOfType(err, httpconn.Broken) {
				t.Errorf("stream: %v", err)
			}
		})
	}
}

// Guards against a part of an answer that passes for the whole: a server answers a long upload at once, without a length,
// and resets the connection while the upload is still being written.
func TestAnswerThatIsResetDuringAnUploadIsNotWhole(t *testing.T) {
	const uploads = 30
	for _, reset := range []bool{true, false} {
		t.Run(fmt.Sprintf("reset %v", reset), func(t *testing.T) {
			address := answerEarly(t, reset)
			for n := range uploads {
				upload := make([]byte, 200<<10+n*(400<<10))
				if status, body, err := newEngineClient().callBytes("POST", "http://"+address+"/x", upload, testTimeout); err == nil {
					t.Errorf("an upload of %d bytes: %d %q", len(upload), status, body)
				}
			}
		})
	}
}

// answerEarly starts a server that answers before it has read the body, and ends the connection with bytes unread.
func answerEarly(t *testing.T, reset bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			tcp := conn.(*net.TCPConn)
			_ = tcp.SetReadBuffer(8 << 10)
			go func() {
				_, _ = conn.Read(make([]byte, 512))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part of the body")
				time.Sleep(time.Duration(n%5) * 10 * time.Millisecond)
				if reset {
					_ = tcp.SetLinger(0)
				}
				_ = conn.Close()
			}()
		}
	}()
	return ln.Addr().String()
}
