package httpconn

import (
	"bufio"
	"strings"
	"testing"
)

// BenchmarkReadHead reads the head of an answer of usual size from a connection's buffer.
func BenchmarkReadHead(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 22:00:00 GMT\r\nContent-Type: text/event-stream\r\n" +
		"X-Request-Id: 9c41d07be2a35f68\r\nX-Proof-Of-It: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Backend-Loads: 3,0,8\r\n" +
		"X-Served-Versions: 1\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
	source := strings.NewReader(head)
	resp := &Response{conn: &conn{r: bufio.NewReaderSize(source, bufferBytes)}}
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(head)
		resp.conn.r.Reset(source)
		if err := resp.readHead(false); err != nil {
			b.Fatal(err)
		}
	}
}
