package httpconn

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// idleMargin is how long before the server closes an idle connection the client stops using it,
// so that no request is in flight at that time.
const idleMargin = 150 * time.Millisecond

// idleCheckInterval is half of the time that a connection may be idle.
const idleCheckInterval = defaultMaxIdleTime / 2

// CloseIdle closes connections that have been idle for too long, until ctx ends.
func (c *Client) CloseIdle(ctx context.Context) {
	for sleep(ctx, idleCheckInterval) {
		c.closeExpired()
	}
}

// maxIdleTime returns how long a connection may be idle after this response: defaultMaxIdleTime,
// or less if the server announces with Keep-Alive that it closes it sooner.
func maxIdleTime(h *fasthttp.ResponseHeader) time.Duration {
	for param := range strings.SplitSeq(string(h.Peek(fasthttp.HeaderKeepAlive)), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		secs, err := strconv.ParseUint(strings.TrimSpace(value), 10, 16)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(0, min(defaultMaxIdleTime, time.Duration(secs)*time.Second-idleMargin))
		}
	}
	return defaultMaxIdleTime
}
