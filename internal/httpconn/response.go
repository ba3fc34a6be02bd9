package httpconn

import (
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// Special values of a body's length in fasthttp.
const (
	lengthChunked = -1
	// lengthUntilClose is the length of a body that ends where the connection does.
	lengthUntilClose = -2
)

// maxTrailerBytes bounds what may follow the last chunk of a body.
const maxTrailerBytes = 8 << 10

// Response is a response whose head has been read. Close must be called.
type Response struct {
	Header       fasthttp.ResponseHeader
	client       *Client
	conn         *conn
	stopCtxWatch func() bool
	body         io.Reader
	length       int
	// chunked is set if the body is sent in chunks, which an answer without a body isn't, whatever its head says.
	chunked bool
	// complete is set once the body has been read to its end.
	complete bool
}

// exchange writes the request and reads the head of the response to it.
func (resp *Response) exchange(call Call) error {
	err := call.Request.Write(resp.conn.w)
	if err == nil {
		err = resp.conn.w.Flush()
	}
	if err != nil {
		return Classify(err)
	}
	skipBody := call.Request.Header.IsHead()
	for range maxSkippedResponses {
		if err := resp.readHead(skipBody); err != nil {
			return err
		}
		if call.Matches == nil || call.Matches(&resp.Header) {
			return nil
		}
		// A late response to an earlier request is skipped. It can only arrive on a connection
		// that has carried one.
		if !resp.conn.lastUsed.IsZero() {
			_, err = io.Copy(io.Discard, resp)
		}
		if resp.conn.lastUsed.IsZero() || err != nil || !resp.keepsAlive() {
			return Mismatched.New("the response is to another request")
		}
	}
	return Mismatched.New("%d responses are to other requests", maxSkippedResponses)
}

func (resp *Response) readHead(skipBody bool) error {
	resp.complete = false
	resp.Header.Reset()
	h, err := peekFinalHead(resp.conn.r)
	if err != nil {
		return Classify(err)
	}
	if err := resp.Header.Read(resp.conn.r); err != nil {
		// The library's error quotes the bytes that follow the head.
		return Malformed.New("the head of status %d can't be read", h.status)
	}
	if h.chunked && h.length >= 0 {
		// A server and a proxy before it may take different ends of such a response for its own.
		resp.Header.SetConnectionClose()
	}
	resp.length = h.bodyLength()
	if skipBody {
		resp.length = 0
	}
	resp.chunked = resp.length == lengthChunked
	switch resp.length {
	case lengthChunked:
		resp.body = httputil.NewChunkedReader(resp.conn.r)
	case lengthUntilClose:
		resp.body = resp.conn.r
	default:
		resp.body = io.LimitReader(resp.conn.r, int64(resp.length))
	}
	return nil
}

// Length returns the length of the body that is still to be read, negative if unknown.
func (resp *Response) Length() int { return resp.length }

// CloseDelimited reports that the body ends only where the connection does, so that a truncated
// body can't be told from a complete one.
func (resp *Response) CloseDelimited() bool { return resp.length == lengthUntilClose }

// Read reads from the body and returns io.EOF once it is complete. It fails with Broken for a
// truncated body.
func (resp *Response) Read(p []byte) (int, error) {
	if resp.complete {
		return 0, io.EOF
	}
	n, err := resp.body.Read(p)
	if resp.length >= 0 {
		resp.length -= n
	}
	switch {
	case errors.Is(err, io.EOF) && resp.length > 0:
		return n, Broken.New("body truncated: %d bytes missing", resp.length)
	case errors.Is(err, io.EOF):
		return n, resp.readTrailer()
	case err != nil:
		return n, Broken.Wrap(err, "body")
	}
	return n, nil
}

// readTrailer reads what follows the last chunk of a body: fields, which are checked and dropped, and an empty line.
func (resp *Response) readTrailer() error {
	for left := maxTrailerBytes; resp.chunked; {
		line, err := resp.conn.r.ReadSlice('\n')
		if err != nil {
			return Broken.Wrap(err, "trailer")
		}
		if left -= len(line); left < 0 {
			return Malformed.New("the trailer exceeds %d bytes", maxTrailerBytes)
		}
		if line, err = cutLineEnd(line); err != nil {
			return err
		}
		if len(line) == 0 {
			break
		}
		if _, _, err := splitField(line); err != nil {
			return err
		}
	}
	resp.complete = true
	return io.EOF
}

// keepsAlive reports whether another response may follow on the connection.
func (resp *Response) keepsAlive() bool {
	return resp.complete && resp.Header.ContentLength() != lengthUntilClose && !resp.Header.ConnectionClose()
}

// reusable reports whether the connection can carry another request: no unrequested bytes have
// arrived on it.
func (resp *Response) reusable() bool { return resp.keepsAlive() && resp.conn.r.Buffered() == 0 }

// Close returns the connection for reuse if the body has been read to its end. Otherwise it
// closes the connection, which makes the server stop its work.
func (resp *Response) Close() {
	watchStopped := resp.stopCtxWatch()
	if watchStopped && resp.reusable() && !resp.client.OneCallPerConnection {
		resp.client.putIdle(resp.conn, maxIdleTime(&resp.Header))
		return
	}
	resp.client.discard(resp.conn)
}
