package traffic

import (
	"testing"

	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Guards against a server's word on the work that it wants which only one protocol brings.
func TestAnswersBringTheServersLimit(t *testing.T) {
	var h fasthttp.ResponseHeader
	h.Add(engineapi.HeaderRateLimit, "8.5")
	h.Add(engineapi.HeaderRateLimit, "4")
	if s := readSaid(&h, testSent); s.word.RateLimit != 4 || s.sentAt != testSent {
		t.Errorf("read %+v", s)
	}
}

// testSent is when the request was sent that an answer in a test is to.
const testSent = 7
