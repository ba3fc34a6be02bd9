package httpconn

import (
	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
)

// ParseBackpressure reads what a server says of the work that it wants: the limit that the header named
// so holds, and the rest that it asks for where it turns a request away.
func ParseBackpressure(h *fasthttp.ResponseHeader, limit string) backpressure.Signal {
	var w backpressure.Signal
	for _, value := range h.PeekAll(limit) {
		w.ParseRateLimit(string(value))
	}
	if status := h.StatusCode(); status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		for _, value := range h.PeekAll(fasthttp.HeaderRetryAfter) {
			w.ParseBackoff(string(value))
		}
	}
	return w
}
