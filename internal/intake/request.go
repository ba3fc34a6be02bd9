package intake

import (
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/listen"
)

// headerRefusedLength holds the announced length of a body that is not read; RefuseLarge sets it.
const headerRefusedLength = "X-Goldcrest-Refused-Length"

// RefuseLarge returns a hook for a server's HeaderReceived. A request that announces a body beyond limit then gets its
// handler at once, without its body, and Request tells the handler the length. The server would wait for the first bytes
// of it otherwise.
func RefuseLarge(limit func() int) func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
		h.Del(headerRefusedLength)
		if length := h.ContentLength(); length > limit() {
			h.SetContentLength(0)
			h.Set(headerRefusedLength, strconv.Itoa(length))
		}
		return fasthttp.RequestConfig{}
	}
}

// RecordState is a hook for a server's ConnState. It tells the listener that a request arrives on a connection, or that it
// waits for one. The handler that has read a request whole marks the connection as busy.
func RecordState(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateActive {
		listen.Mark(conn, listen.Arriving)
		return
	}
	listen.Mark(conn, listen.Idle)
}

// Request returns the body of a request that a server with StreamRequestBody reads.
func Request(ctx *fasthttp.RequestCtx) Source {
	s := Source{
		Reader: ctx.Request.BodyStream(), Length: ctx.Request.Header.ContentLength(),
		// A deadline in the past ends the reading. It stays: the connection is closed after the refusal.
		Interrupt: func() { _ = ctx.Conn().SetReadDeadline(time.Unix(1, 0)) },
	}
	if refused, err := strconv.Atoi(string(ctx.Request.Header.Peek(headerRefusedLength))); err == nil {
		s.Reader, s.Length = nil, refused
	}
	return s
}
