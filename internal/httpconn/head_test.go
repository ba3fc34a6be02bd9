package httpconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
)

// brokenHeads are answers whose heads HTTP calls faulty.
var brokenHeads = map[string]string{
	"status 000":                              "HTTP/1.1 000 \r\nContent-Length: 4\r\n\r\nfour",
	"status 000 without a length":             "HTTP/1.1 000 Trouble\r\nConnection: close\r\n\r\nfour",
	"status 000 before an answer":             "HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour",
	"status 099 before an answer":             "HTTP/1.1 099 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour",
	"status 001":                              "HTTP/1.1 001 \r\nContent-Length: 4\r\n\r\nfour",
	"status 000 after 100":                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 \r\nContent-Length: 4\r\n\r\nfour",
	"status 600":                              "HTTP/1.1 600 \r\nContent-Length: 4\r\n\r\nfour",
	"status 999":                              "HTTP/1.1 999 \r\nContent-Length: 4\r\n\r\nfour",
	"status of two digits":                    "HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\nfour",
	"status of four digits":                   "HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nfour",
	"status with a sign":                      "HTTP/1.1 +20 OK\r\nContent-Length: 4\r\n\r\nfour",
	"four bytes":                              "junk",
	"a line of four bytes":                    "junk\n",
	"switched protocols":                      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\nfour",
	"switched protocols before an answer":     "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour",
	"too many interim answers":                strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100) + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour",
	"control byte in the reason":              "HTTP/1.1 200 O\x00K\r\nContent-Length: 4\r\n\r\nfour",
	"HTTP/2":                                  "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nfour",
	"HTTP/0.9":                                "HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\nfour",
	"version in lower case":                   "http/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour",
	"version without a digit":                 "HTTP/1. 200 OK\r\nContent-Length: 4\r\n\r\nfour",
	"version of three digits":                 "HTTP/1.10 200 OK\r\nContent-Length: 4\r\n\r\nfour",
	"blank line first":                        "\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour",
	"blank within a name":                     "HTTP/1.1 200 OK\r\nX Trouble: 1\r\nContent-Length: 4\r\n\r\nfour",
	"blank within the length's name":          "HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\nfour",
	"blank within the encoding's name":        "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
	"blank behind a name":                     "HTTP/1.1 200 OK\r\nX-Trouble : 1\r\nContent-Length: 4\r\n\r\nfour",
	"blank behind the length's name":          "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nfour",
	"blank behind the encoding's name":        "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
	"blank before the first name":             "HTTP/1.1 200 OK\r\n X-Trouble: 1\r\nContent-Length: 4\r\n\r\nfour",
	"folded line":                             "HTTP/1.1 200 OK\r\nX-Trouble: 1\r\n Content-Length: 4\r\n\r\nfour",
	"tab within a name":                       "HTTP/1.1 200 OK\r\nX\tTrouble: 1\r\nContent-Length: 4\r\n\r\nfour",
	"tab behind a name":                       "HTTP/1.1 200 OK\r\nContent-Length\t: 4\r\n\r\nfour",
	"control byte within a name":              "HTTP/1.1 200 OK\r\nX\x01Trouble: 1\r\nContent-Length: 4\r\n\r\nfour",
	"control byte before a name":              "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\x01X-Trouble: 1\r\n\r\nfour",
	"control byte behind a name":              "HTTP/1.1 200 OK\r\nContent-Length\x00: 4\r\n\r\nfour",
	"DEL within a name":                       "HTTP/1.1 200 OK\r\nX\x7fTrouble: 1\r\nContent-Length: 4\r\n\r\nfour",
	"byte above 127 within a name":            "HTTP/1.1 200 OK\r\nX\xe9Trouble: 1\r\nContent-Length: 4\r\n\r\nfour",
	"carriage return within a name":           "HTTP/1.1 200 OK\r\nX\rTrouble: 1\r\nContent-Length: 4\r\n\r\nfour",
	"separator within a name":                 "HTTP/1.1 200 OK\r\nX(Trouble): 1\r\nContent-Length: 4\r\n\r\nfour",
	"no name":                                 "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 4\r\n\r\nfour",
	"no colon":                                "HTTP/1.1 200 OK\r\nX-Trouble\r\nContent-Length: 4\r\n\r\nfour",
	"blank within the name of an interim one": "HTTP/1.1 103 Early Hints\r\nX Trouble: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour",
	"control byte in a value":                 "HTTP/1.1 200 OK\r\nX-Trouble: a\x00b\r\nContent-Length: 4\r\n\r\nfour",
	"carriage return in a value":              "HTTP/1.1 200 OK\r\nX-Trouble: a\rContent-Length: 2\r\nContent-Length: 4\r\n\r\nfour",
	"line feeds alone":                        "HTTP/1.1 200 OK\nContent-Length: 4\n\nfour",
	"two lengths":                             "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nfour",
	"two equal lengths":                       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nfour",
	"list of lengths":                         "HTTP/1.1 200 OK\r\nContent-Length: 4, 2\r\n\r\nfour",
	"length with a sign":                      "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nfour",
	"negative length":                         "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nfour",
	"empty length":                            "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nfour",
	"length in hexadecimal digits":            "HTTP/1.1 200 OK\r\nContent-Length: 0x4\r\n\r\nfour",
	"length beyond 64 bits":                   "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551620\r\n\r\nfour",
	"chunks in HTTP/1.0":                      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
	"chunks and a length in HTTP/1.0":         "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
	"unknown encoding":                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nfour",
	"two encodings":                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
	"chunked twice":                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
	"empty encoding":                          "HTTP/1.1 200 OK\r\nTransfer-Encoding: \r\nContent-Length: 4\r\n\r\nfour",
	"head beyond the buffer":                  "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", bufferBytes) + "\r\nContent-Length: 4\r\n\r\nfour",
}

// Guards against answers without a valid status, or with a field's name that holds a blank or a control byte, which pass
// for answers: with a status that nobody sent, a field of another meaning, or a body of another length.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, answer := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			eachWay(t, answer, func(what string, status int, body string, err error) {
				if !errorx.IsOfType(err, Malformed) {
					t.Errorf("%s: %d %q, %v; want an error that is Malformed", what, status, body, err)
				}
				if err != nil && strings.Contains(err.Error(), "four") {
					t.Errorf("%s: the error has bytes of the body: %v", what, err)
				}
			})
		})
	}
}

// eachWay reads an answer on a new and on a reused connection, as one piece and byte by byte. The peer then closes.
func eachWay(t *testing.T, answer string, check func(what string, status int, body string, err error)) {
	t.Helper()
	for _, reused := range []bool{false, true} {
		for _, step := range []int{0, 1} {
			client, conn := New(), &scriptedConn{answers: []string{answer}, end: io.EOF, step: step}
			client.DialContext = func(context.Context, string, string) (net.Conn, error) { return conn, nil }
			if reused {
				conn.answers = []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", answer}
				if status, body, _, err := readAnswer(client, "GET"); status != http.StatusOK || body != "first" || err != nil {
					t.Fatalf("the first answer is %d %q, %v", status, body, err)
				}
			}
			status, body, _, err := readAnswer(client, "POST")
			check(fmt.Sprintf("reused %v, step %d", reused, step), status, body, err)
		}
	}
}

// Guards against a strict reader that refuses answers which are unusual and right.
func TestUnusualHeadIsAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		answer string
	}{
		"empty reason":                {200, "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nfour"},
		"no blank behind the status":  {200, "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nfour"},
		"reason above 127":            {200, "HTTP/1.1 200 \xe9t\xe9\tok\r\nContent-Length: 4\r\n\r\nfour"},
		"all bytes of a token":        {200, "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 4\r\n\r\nfour"},
		"values above 127 and tabs":   {200, "HTTP/1.1 200 OK\r\nX-Value:\ta\t\xe9\xff\t\r\nContent-Length: 4\r\n\r\nfour"},
		"empty value":                 {200, "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Blank: \r\nContent-Length: 4\r\n\r\nfour"},
		"lower case":                  {200, "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfour"},
		"no blank behind the colon":   {200, "HTTP/1.1 200 OK\r\nContent-Length:4\r\n\r\nfour"},
		"blanks around a value":       {200, "HTTP/1.1 200 OK\r\nContent-Length: \t 4 \t \r\n\r\nfour"},
		"colons in a value":           {200, "HTTP/1.1 200 OK\r\nX-Time: 1:2:3\r\nContent-Length: 4\r\n\r\nfour"},
		"chunks with extensions":      {200, "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2;a=b\r\nfo\r\n2;c=\"d\"\r\nur\r\n0\r\n\r\n"},
		"blank behind a chunk's size": {200, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4 \r\nfour\r\n0\r\n\r\n"},
		"trailer":                     {200, "HTTP/1.1 200 OK\r\nTrailer: X-End\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\nX-End: 1\r\nX-Empty:\r\n\r\n"},
		"100 and 103":                 {200, "HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour"},
		"status 299":                  {299, "HTTP/1.1 299 Odd\r\nContent-Length: 4\r\n\r\nfour"},
		"status 599":                  {599, "HTTP/1.1 599 Odd\r\nContent-Length: 4\r\n\r\nfour"},
		"HTTP/1.0":                    {200, "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nfour"},
		"chunks in HTTP/1.2":          {200, "HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n"},
		"length beside chunks":        {200, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n"},
		"until the connection ends":   {200, "HTTP/1.1 200 OK\r\n\r\nfour"},
		"no fields, HTTP/1.0":         {200, "HTTP/1.0 200 OK\r\n\r\nfour"},
	} {
		t.Run(name, func(t *testing.T) {
			eachWay(t, c.answer, func(what string, status int, body string, err error) {
				if status != c.status || body != "four" || err != nil {
					t.Errorf("%s: %d %q, %v", what, status, body, err)
				}
			})
		})
	}
}

// Guards against a head that reads differently here than at its server: with any byte put in or left out it is refused, or
// its body is the one that was sent.
func TestHeadWithAnyByteWrongIsNotMisread(t *testing.T) {
	const answerHead, body = "HTTP/1.1 200 OK\r\nX-Seal: s1\r\nContent-Length: 4\r\n\r\n", "four"
	check := func(changed string) {
		if strings.HasPrefix(changed, answerHead) {
			return // The byte stands behind the head.
		}
		client, conn := New(), &scriptedConn{answers: []string{changed + body}, end: io.EOF}
		client.DialContext = func(context.Context, string, string) (net.Conn, error) { return conn, nil }
		status, got, _, err := readAnswer(client, "POST")
		if err == nil && (got != body || status < minStatus || status > maxStatus) {
			t.Errorf("%q: %d %q", changed, status, got)
		}
	}
	for i := range answerHead {
		check(answerHead[:i] + answerHead[i+1:])
		for c := range 256 {
			check(string(slices.Insert([]byte(answerHead), i, byte(c))))
		}
	}
}

// Guards against a body in faulty chunks that passes for whole.
func TestBrokenChunksAreNoAnswer(t *testing.T) {
	for _, chunks := range []string{
		"4\nfour\r\n0\r\n\r\n", "4\r\nfour\n0\r\n\r\n", "4\r\nfour\r\n0\n\r\n", "4\r\nfour0\r\n\r\n", "4\r\nfour more\r\n0\r\n\r\n", "+4\r\nfour\r\n0\r\n\r\n",
		"-4\r\nfour\r\n0\r\n\r\n", "0x4\r\nfour\r\n0\r\n\r\n", "\r\nfour\r\n0\r\n\r\n", ";a=b\r\nfour\r\n0\r\n\r\n", "10000000000000004\r\nfour\r\n0\r\n\r\n",
		"4\rx\r\nfour\r\n0\r\n\r\n", "g\r\nfour\r\n0\r\n\r\n", "four",
		"4;a=\rb\r\nfour\r\n0\r\n\r\n", "4;a=\nb\r\nfour\r\n0\r\n\r\n", "4;a=\"\r\n\"\r\nfour\r\n0\r\n\r\n", "4 4\r\nfour\r\n0\r\n\r\n", "4:a\r\nfour\r\n0\r\n\r\n",
		"4;" + strings.Repeat("a", bufferBytes) + "\r\nfour\r\n0\r\n\r\n",
	} {
		eachWay(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks, func(what string, _ int, body string, err error) {
			if !errorx.IsOfType(err, Broken) {
				t.Errorf("%q, %s: %q, %v", chunks, what, body, err)
			}
		})
	}
}

// Guards against answers whose trailer is none: what follows the last chunk may be a part of another message.
func TestBrokenTrailerIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n"
	for name, trailer := range map[string]string{
		"blank within a name": "X End: 1\r\n\r\n", "blank behind a name": "X-End : 1\r\n\r\n", "folded line": "X-End: 1\r\n 2\r\n\r\n",
		"control byte": "X-End: \x01\r\n\r\n", "no colon": "X-End\r\n\r\n", "line feed alone": "X-End: 1\n\r\n", "end without CR": "\n",
		"another answer": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour", "without an end": strings.Repeat("X-End: 1\r\n", maxTrailerBytes),
	} {
		t.Run(name, func(t *testing.T) {
			eachWay(t, head+trailer, func(what string, _ int, body string, err error) {
				if !errorx.IsOfType(err, Malformed) {
					t.Errorf("%s: %q, %v; want an error that is Malformed", what, body, err)
				}
			})
		})
	}
}

// Guards against a request that waits for its deadline while its server has sent bytes that can't become an answer.
func TestBrokenHeadIsRefusedAtOnce(t *testing.T) {
	for _, begin := range []string{"junk", "HTTP?", "not HTTP", "HTTP/1.1 000 \r\n", "HTTP/1.1 200 OK\r\nX Trouble: 1\r\n"} {
		p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
			write(conn, begin)
			_, _ = io.ReadAll(conn)
			return false
		})
		start := time.Now()
		if _, err := call(t, New(), p, nil); !errorx.IsOfType(err, Malformed) || NoAnswer(err) || ProcessGone(err) {
			t.Errorf("%q: %v after %v", begin, err, time.Since(start))
		}
	}
}
