package intake

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Request returns the body of a request that a server with StreamRequestBody reads.
func Request(ctx *fasthttp.RequestCtx) Source {
	return Source{
		Reader: ctx.Request.BodyStream(), Length: ctx.Request.Header.ContentLength(),
		// A deadline in the past ends the reading. It stays: the connection is closed after the refusal.
		Interrupt: func() { _ = ctx.Conn().SetReadDeadline(time.Unix(1, 0)) },
	}
}
