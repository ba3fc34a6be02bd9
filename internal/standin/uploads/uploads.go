// Package uploads is a stand-in for crowds of clients that send large, slow or endless request bodies and leave their
// connections open. It is for test machines only.
package uploads

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// dialTimeout bounds how long a client waits for its connection.
	dialTimeout = 5 * time.Second
	// lastChunk ends a body in chunks.
	lastChunk = "0\r\n\r\n"
	// writeBytes is how much of a body in small chunks is written at a time.
	writeBytes = 64 << 10
)

// Upload is how one client sends its body.
type Upload struct {
	// Length is the announced Content-Length in bytes; 0: the body is sent in chunks.
	Length int
	// Size is how many bytes of the body are sent. A body with a Length is unfinished if Size is less.
	Size int
	// Piece is the size of a chunk, or of one write, in bytes.
	Piece int
	// Pause is the pause between two writes.
	Pause time.Duration
	// Unfinished leaves out the end of a body in chunks.
	Unfinished bool
}

// framing returns the header field that says how long the body is.
func (u Upload) framing() string {
	if u.Length > 0 {
		return fmt.Sprintf("Content-Length: %d\r\n", u.Length)
	}
	return "Transfer-Encoding: chunked\r\n"
}

// write sends the body. Its error is that of the connection.
func (u Upload) write(w io.Writer) error {
	piece := bytes.Repeat([]byte{'x'}, u.Piece)
	if u.Length == 0 {
		piece = fmt.Appendf(nil, "%x\r\n%s\r\n", u.Piece, piece)
	}
	perWrite := 1
	if u.Pause == 0 {
		perWrite = max(1, writeBytes/len(piece))
	}
	several := bytes.Repeat(piece, perWrite)
	for left := u.Size / u.Piece; left > 0; left -= perWrite {
		if _, err := w.Write(several[:min(left, perWrite)*len(piece)]); err != nil {
			return err
		}
		time.Sleep(u.Pause)
	}
	if u.Length > 0 {
		_, err := w.Write(piece[:u.Size%u.Piece])
		return err
	}
	if u.Unfinished {
		return nil
	}
	_, err := io.WriteString(w, lastChunk)
	return err
}

// Crowd is a number of clients that each send one request and stay connected. It is safe for concurrent use.
type Crowd struct {
	mu       sync.Mutex
	conns    []net.Conn
	closed   bool
	statuses map[int]int
	sent     conc.WaitGroup
	answered conc.WaitGroup
}

// Open lets that many clients connect to the address at once. head returns the request line and the fields of a client's
// head, each with its line end; upload returns how that client sends its body.
func Open(address string, clients int, head func(client int) string, upload func(client int) Upload) *Crowd {
	c := &Crowd{statuses: make(map[int]int)}
	for n := range clients {
		c.sent.Go(func() { c.send(address, head(n), upload(n)) })
	}
	return c
}

func (c *Crowd) send(address, head string, u Upload) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil || !c.add(conn) {
		return
	}
	c.answered.Go(func() { c.readAnswer(conn) })
	if _, err := io.WriteString(conn, head+u.framing()+"\r\n"); err != nil {
		return
	}
	// A server that refuses the body closes the connection under it.
	_ = u.write(conn)
}

// add keeps a connection open until Close; false after it.
func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

func (c *Crowd) readAnswer(conn net.Conn) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[resp.StatusCode]++
}

// AwaitSent waits until each client has sent what it sends, or could not, but no longer than limit.
func (c *Crowd) AwaitSent(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.sent.Wait()
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// Statuses returns how many clients have got an answer with each status.
func (c *Crowd) Statuses() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[int]int)
	for status, n := range c.statuses {
		counts[status] = n
	}
	return counts
}

// Close closes all connections and waits until the clients have ended.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.sent.Wait()
	c.answered.Wait()
}
