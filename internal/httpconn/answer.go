package httpconn

import (
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// Lengths of a body as fasthttp tells them.
const (
	lengthChunked = -1
	// lengthToEnd: the body ends where the connection does.
	lengthToEnd = -2
)

// Response is an answer whose head has been read. Close must be called.
type Response struct {
	Header  fasthttp.ResponseHeader
	client  *Client
	conn    *conn
	unwatch func() bool
	body    io.Reader
	length  int
	// whole is set once the body has been read to its end.
	whole bool
}

// exchange writes the request and reads the head of the answer to it.
func (a *Response) exchange(call Call) error {
	err := call.Request.Write(a.conn.w)
	if err == nil {
		err = a.conn.w.Flush()
	}
	if err != nil {
		return Classify(err)
	}
	skipBody := call.Request.Header.IsHead()
	for range maxSkipped {
		if err := a.readHead(skipBody); err != nil {
			return err
		}
		if call.Matches == nil || call.Matches(&a.Header) {
			return nil
		}
		// Only on a connection that was used before can it be a late one.
		if !a.conn.used.IsZero() {
			_, err = io.Copy(io.Discard, a)
		}
		if a.conn.used.IsZero() || err != nil || !a.goesOn() {
			return Mismatched.New("the answer is to another request")
		}
	}
	return Mismatched.New("%d answers are to other requests", maxSkipped)
}

func (a *Response) readHead(skipBody bool) error {
	a.whole = false
	a.Header.Reset()
	// The library's reader takes heads of 1xx for answers; they only announce one.
	for {
		if err := a.Header.Read(a.conn.r); err != nil {
			return Classify(err)
		}
		if status := a.Header.StatusCode(); status >= 200 {
			break
		}
	}
	a.length = a.Header.ContentLength()
	status := a.Header.StatusCode()
	if skipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		a.length = 0
	}
	switch a.length {
	case lengthChunked:
		a.body = httputil.NewChunkedReader(a.conn.r)
	case lengthToEnd:
		a.body = a.conn.r
	default:
		a.body = io.LimitReader(a.conn.r, int64(a.length))
	}
	return nil
}

// Length is the body's length, less than 0 if it is not told.
func (a *Response) Length() int { return a.length }

// CloseDelimited tells that the body ends only where the connection does, so that an end
// on the way can't be told from its end.
func (a *Response) CloseDelimited() bool { return a.length == lengthToEnd }

// Read gives the body's bytes and io.EOF once it is whole. Errors: Broken for a
// body that ends early.
func (a *Response) Read(p []byte) (int, error) {
	if a.whole {
		return 0, io.EOF
	}
	n, err := a.body.Read(p)
	if a.length >= 0 {
		a.length -= n
	}
	switch {
	case errors.Is(err, io.EOF) && a.length > 0:
		return n, Broken.New("the body ends %d bytes early", a.length)
	case errors.Is(err, io.EOF):
		return n, a.end()
	case err != nil:
		return n, Broken.Wrap(err, "body")
	}
	return n, nil
}

// end takes what follows the last chunk of a body.
func (a *Response) end() error {
	if a.Header.ContentLength() == lengthChunked {
		for {
			line, err := a.conn.r.ReadSlice('\n')
			if err != nil {
				return Broken.Wrap(err, "trailer")
			}
			if len(line) <= 2 {
				break
			}
		}
	}
	a.whole = true
	return io.EOF
}

// goesOn tells whether another answer may follow on the connection.
func (a *Response) goesOn() bool {
	return a.whole && a.Header.ContentLength() != lengthToEnd && !a.Header.ConnectionClose()
}

// keepable tells whether the connection can carry another request: nothing has
// come on it that was not asked for.
func (a *Response) keepable() bool { return a.goesOn() && a.conn.r.Buffered() == 0 }

// Close gives the connection back if the body has been read to its end, and
// closes it otherwise: the server then stops its work.
func (a *Response) Close() {
	untouched := a.unwatch()
	if untouched && a.keepable() {
		a.client.keep(a.conn, idleTime(&a.Header))
		return
	}
	a.client.drop(a.conn)
}
