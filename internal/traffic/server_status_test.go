package traffic

import (
	"testing"

	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Guards against the native protocol ignoring the rate limit that a server sets
// in its response headers. The lowest limit applies if there are several.
func TestServerRateLimitIsRead(t *testing.T) {
	var h fasthttp.ResponseHeader
	h.Add(engineapi.HeaderRateLimit, "8.5")
	h.Add(engineapi.HeaderRateLimit, "4")
	if s := readServerStatus(&h, testSentAt); s.backpressure.RateLimit != 4 || s.sentAt != testSentAt {
		t.Errorf("got status %+v", s)
	}
}

// testSentAt is the send time of the request to which the response in a test
// belongs.
const testSentAt = 7
