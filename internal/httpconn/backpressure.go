package httpconn

import (
	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
)

// ParseBackpressure reads a server's backpressure from a response: the rate limit in the header
// named limitHeader and, where the server rejects the request with 503 or 429, the back-off in
// Retry-After.
func ParseBackpressure(h *fasthttp.ResponseHeader, limitHeader string) backpressure.Signal {
	var signal backpressure.Signal
	for _, value := range h.PeekAll(limitHeader) {
		signal.ParseRateLimit(string(value))
	}
	if status := h.StatusCode(); status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		for _, value := range h.PeekAll(fasthttp.HeaderRetryAfter) {
			signal.ParseBackoff(string(value))
		}
	}
	return signal
}
