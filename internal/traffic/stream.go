package traffic

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// maxEventBytes bounds a line of an engine's event stream.
const maxEventBytes = 1 << 20

const (
	// firstReadTimeout is how long a new stream may take to send its first
	// bytes: two heartbeat intervals.
	firstReadTimeout = time.Second
	// reconnectReadTimeout is the same for a new connection to a running
	// stream, on which the engine sends tokens or a heartbeat at once. Together
	// with the streamIdleTimeout before it, a caller of a frozen engine waits
	// 2.1 s. Callers give up on a connection after 3 s.
	reconnectReadTimeout = 600 * time.Millisecond
)

// deadlineConn sets a deadline of streamIdleTimeout for each read and of
// firstTimeout for the first. A connection can go silent for good while new
// ones work. Without a deadline the stream would hang forever; with it, the
// entry reconnects and continues.
type deadlineConn struct {
	net.Conn
	firstTimeout time.Duration
	hasRead      bool
}

func (c *deadlineConn) Read(p []byte) (int, error) {
	timeout := streamIdleTimeout
	if !c.hasRead {
		timeout = c.firstTimeout
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.hasRead = c.hasRead || n > 0
	return n, err
}

// Write sets a deadline of streamIdleTimeout for each write, too.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(streamIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func newStreamClient(firstTimeout time.Duration) *fasthttp.Client {
	c := newHTTPClient(newConnections(func(address string) (net.Conn, error) {
		conn, err := dialServer(address)
		if err != nil {
			return nil, err
		}
		return &deadlineConn{Conn: conn, firstTimeout: firstTimeout}, nil
	}, false))
	c.StreamResponseBody = true
	c.MaxResponseBodySize = 0
	return c
}

// engineStream is a connection on which an engine streams a request's tokens.
type engineStream struct {
	resp         *fasthttp.Response
	reader       *bufio.Reader
	status       int
	serverStatus serverStatus
	wireID       string
	// attempt is the attempt number that the engine knows.
	attempt uint32
}

// openStream sends a request on a fresh connection and reads the response
// headers. Errors: httpconn.NotSent, httpconn.Broken.
func (c *engineClient) openStream(address string, req engineapi.CompletionRequest) (*engineStream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	return openEngineStream(c.streams, fasthttp.MethodPost, "http://"+address+engineapi.PathCompletions, body, req.RequestID, req.Attempt)
}

// reconnectStream connects to a stream that runs at the engine, from an offset
// on. Errors: httpconn.NotSent, httpconn.Broken.
func (c *engineClient) reconnectStream(address, wireID string, attempt uint32, from int) (*engineStream, error) {
	query := "?attempt=" + strconv.FormatUint(uint64(attempt), 10) + "&from=" + strconv.Itoa(from)
	uri := "http://" + address + engineapi.PathStreams + url.PathEscape(wireID) + query
	return openEngineStream(c.reconnects, fasthttp.MethodGet, uri, nil, wireID, attempt)
}

func openEngineStream(client *fasthttp.Client, method, uri string, body []byte, wireID string, attempt uint32) (*engineStream, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.SetConnectionClose()
	setAttemptHeaders(&req.Header, wireID, attempt)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	sentAt := clock.SinceBoot()
	if err := client.Do(req, resp); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, httpconn.Classify(err)
	}
	s := &engineStream{
		resp: resp, status: resp.StatusCode(), serverStatus: readServerStatus(&resp.Header, sentAt), wireID: wireID, attempt: attempt,
	}
	if body := resp.BodyStream(); body != nil {
		s.reader = bufio.NewReader(body)
	} else {
		s.reader = bufio.NewReader(bytes.NewReader(resp.Body()))
	}
	return s, nil
}

func setAttemptHeaders(h *fasthttp.RequestHeader, wireID string, attempt uint32) {
	h.Set(outcome.HeaderRequestID, wireID)
	h.Set(outcome.HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
}

func (s *engineStream) close() {
	_ = s.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(s.resp)
}

// next returns the next chunk, heartbeats included; done is true at the end
// marker. Errors: httpconn.Broken; httpconn.Mismatched for a chunk of another
// request or attempt.
func (s *engineStream) next() (chunk engineapi.Chunk, done bool, err error) {
	data, err := s.readEvent()
	if err != nil {
		return chunk, false, err
	}
	if string(data) == engineapi.DoneMarker {
		return chunk, true, nil
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return chunk, false, httpconn.Broken.Wrap(err, "chunk")
	}
	// A late chunk of an earlier attempt, or a chunk of another request, must
	// not get into this answer: the caller would read text that is not its own.
	if chunk.RequestID != s.wireID || chunk.Attempt != s.attempt {
		return chunk, false, httpconn.Mismatched.New("chunk of another request or attempt")
	}
	return chunk, false, nil
}

// readEvent reads one server-sent event and returns its data.
func (s *engineStream) readEvent() ([]byte, error) {
	var data []byte
	for {
		line, err := s.reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			line, err = s.readLongLine(line)
		}
		if err != nil {
			return nil, httpconn.Broken.Wrap(err, "stream")
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if data != nil {
				return data, nil
			}
			continue
		}
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		}
	}
}

func (s *engineStream) readLongLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for len(line) < maxEventBytes {
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
	return nil, io.ErrShortBuffer
}
