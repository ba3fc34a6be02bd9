package httpconn

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// idleMargin is how long before its server closes a connection it is used no more: a request is
// under way then.
const idleMargin = 150 * time.Millisecond

// idleTime is how long a connection may idle after that answer: idleLimit, or less where the
// server says that it closes it sooner.
func idleTime(h *fasthttp.ResponseHeader) time.Duration {
	for param := range strings.SplitSeq(string(h.Peek(fasthttp.HeaderKeepAlive)), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		secs, err := strconv.ParseUint(strings.TrimSpace(value), 10, 16)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(0, min(idleLimit, time.Duration(secs)*time.Second-idleMargin))
		}
	}
	return idleLimit
}
