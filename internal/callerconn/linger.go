package callerconn

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// lingerTime and lingerBytes bound what is read of a refused request after its answer.
	lingerTime  = time.Second
	lingerBytes = 16 << 20
)

// CloseAfterAnswer ends the connection of a request with its answer, which comes before the rest of its body: see Linger.
func CloseAfterAnswer(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	Linger(ctx.Conn())
}

// Linger lets the next Close of a caller's connection end its sending side only, and drop what the caller still sends for
// a limited time. A connection that is closed with unread bytes is reset, and the caller may lose the answer to that.
func Linger(conn net.Conn) {
	if c, ok := conn.(*Conn); ok {
		c.lingers.Store(true)
	}
}

// Close closes the connection, after a while if Linger was called.
func (c *Conn) Close() error {
	sender, ok := c.Conn.(interface{ CloseWrite() error })
	if !c.lingers.Swap(false) || !ok {
		return c.Conn.Close()
	}
	go c.drain(sender.CloseWrite)
	return nil
}

// drain drops what arrives until the caller closes, and closes the connection. Errors only end it earlier.
func (c *Conn) drain(closeWrite func() error) {
	_ = closeWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	_ = c.Conn.Close()
}
