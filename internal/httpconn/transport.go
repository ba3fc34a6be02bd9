package httpconn

import (
	"context"
	"io"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

// Transport lets a client of the HTTP library send over a Client, which reads its responses too: the library accepts
// responses that HTTP calls faulty. It implements fasthttp.RoundTripper. Of the library's settings it heeds the limits of
// connections and of a body's size, and a request's timeout; connections are the Client's to open and to keep.
//
// No call is sent twice. By default the library sends GET and other idempotent calls up to five times when a reused
// connection closes without an answer. A balance lookup is a GET that must run at most once; if the server dies after running
// it, an automatic retry would run it a second time. The library retries only what RoundTrip asks it to.
type Transport struct{ Client *Client }

var _ fasthttp.RoundTripper = (*Transport)(nil)

// RoundTrip sends a request once. Errors: those of Client.Do, fasthttp.ErrTimeout, fasthttp.ErrBodyTooLarge.
func (t *Transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	ctx, cancel := context.Background(), context.CancelFunc(func() {})
	if timeout := req.GetTimeOut(); timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, timeout)
	}
	answer, err := t.Client.Do(ctx, Call{Address: hc.Addr, Request: req, MaxConns: hc.MaxConns})
	if err != nil {
		err = timeoutOf(ctx, err)
		cancel()
		return false, err
	}
	answer.Header.CopyTo(&resp.Header)
	body := &transportBody{Response: answer, cancel: cancel}
	if resp.StreamBody {
		resp.SetBodyStream(body, max(answer.Length(), lengthChunked))
		return false, nil
	}
	defer body.Close()
	whole, err := readWhole(answer, hc.MaxResponseBodySize)
	if err != nil {
		return false, timeoutOf(ctx, err)
	}
	resp.SetBodyRaw(whole)
	return false, nil
}

// timeoutOf returns the library's error for a call that ran out of time. The connection of such a call is closed, which
// must not pass for a server that closed it.
func timeoutOf(ctx context.Context, err error) error {
	if ctx.Err() != nil && !errorx.IsOfType(err, NotSent) {
		return fasthttp.ErrTimeout
	}
	return err
}

// readWhole reads a body of at most limit bytes, 0 for no limit.
func readWhole(body *Response, limit int) ([]byte, error) {
	if limit <= 0 {
		return io.ReadAll(body)
	}
	whole, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err == nil && len(whole) > limit {
		return nil, fasthttp.ErrBodyTooLarge
	}
	return whole, err
}

// transportBody is the body of a response that the library's caller reads and closes.
type transportBody struct {
	*Response
	cancel context.CancelFunc
}

// Close closes the response.
func (b *transportBody) Close() error {
	b.Response.Close()
	b.cancel()
	return nil
}
