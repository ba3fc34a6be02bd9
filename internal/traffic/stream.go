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

// maxEventBytes bounds one event of an engine's stream.
const maxEventBytes = 1 << 20

const (
	// firstLimit is how long a new stream may take to show its first sign: two
	// heartbeats.
	firstLimit = time.Second
	// rejoinLimit is that for a fresh connection to a stream that runs: the
	// engine has tokens or a heartbeat for it at once. Together with the
	// progressLimit that went before, a caller of a frozen engine waits 2.1 s
	// and not the 3 s after which callers give a connection up.
	rejoinLimit = 600 * time.Millisecond
)

// progressConn lets each read take progressLimit and no longer, the first one
// firstRead. A connection can go silent for good while new ones work: without
// the limit the stream would wait for ever, with it the entry opens a new one
// and goes on there.
type progressConn struct {
	net.Conn
	firstRead time.Duration
	begun     bool
}

func (c *progressConn) Read(p []byte) (int, error) {
	limit := progressLimit
	if !c.begun {
		limit = c.firstRead
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.begun = c.begun || n > 0
	return n, err
}

func newStreamClient(firstRead time.Duration) *fasthttp.Client {
	c := newHTTPClient()
	c.Dial = func(address string) (net.Conn, error) {
		conn, err := dialServer(address)
		if err != nil {
			return nil, err
		}
		return &progressConn{Conn: conn, firstRead: firstRead}, nil
	}
	c.StreamResponseBody = true
	c.MaxResponseBodySize = 0
	c.WriteTimeout = progressLimit
	return c
}

// engineStream is one connection that brings a request's tokens.
type engineStream struct {
	resp   *fasthttp.Response
	reader *bufio.Reader
	status int
	said   said
	wireID string
	// attempt is the engine's.
	attempt uint32
}

// openStream sends a request on a fresh connection and reads the answer's head.
// Errors: NotSent, Broken.
func (c *engineClient) openStream(address string, req engineapi.CompletionRequest) (*engineStream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	return stream(c.streams, fasthttp.MethodPost, "http://"+address+engineapi.PathCompletions, body, req.RequestID, req.Attempt)
}

// rejoinStream goes on with a stream that the engine runs. Errors: NotSent, Broken.
func (c *engineClient) rejoinStream(address, wireID string, attempt uint32, from int) (*engineStream, error) {
	query := "?attempt=" + strconv.FormatUint(uint64(attempt), 10) + "&from=" + strconv.Itoa(from)
	uri := "http://" + address + engineapi.PathStreams + url.PathEscape(wireID) + query
	return stream(c.rejoins, fasthttp.MethodGet, uri, nil, wireID, attempt)
}

func stream(client *fasthttp.Client, method, uri string, body []byte, wireID string, attempt uint32) (*engineStream, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.SetConnectionClose()
	setIdentity(&req.Header, wireID, attempt)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	sent := clock.SinceBoot()
	if err := client.Do(req, resp); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, httpconn.Classify(err)
	}
	s := &engineStream{
		resp: resp, status: resp.StatusCode(), said: readSaid(&resp.Header, sent), wireID: wireID, attempt: attempt,
	}
	if body := resp.BodyStream(); body != nil {
		s.reader = bufio.NewReader(body)
	} else {
		s.reader = bufio.NewReader(bytes.NewReader(resp.Body()))
	}
	return s, nil
}

func setIdentity(h *fasthttp.RequestHeader, wireID string, attempt uint32) {
	h.Set(outcome.HeaderRequestID, wireID)
	h.Set(outcome.HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
}

func (s *engineStream) close() {
	_ = s.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(s.resp)
}

// next gives the next chunk, heartbeats included; done at the end marker.
// Errors: Broken; Mixed for a chunk of another request or attempt.
func (s *engineStream) next() (chunk engineapi.Chunk, done bool, err error) {
	data, err := s.event()
	if err != nil {
		return chunk, false, err
	}
	if string(data) == engineapi.DoneMarker {
		return chunk, true, nil
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return chunk, false, httpconn.Broken.Wrap(err, "chunk")
	}
	// A late chunk of an older attempt, or one of another request, must not
	// get into this answer: the caller would read another's text.
	if chunk.RequestID != s.wireID || chunk.Attempt != s.attempt {
		return chunk, false, httpconn.Mixed.New("chunk of another request or attempt")
	}
	return chunk, false, nil
}

// event reads one server-sent event and gives its data.
func (s *engineStream) event() ([]byte, error) {
	var data []byte
	for {
		line, err := s.reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			line, err = s.longLine(line)
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

func (s *engineStream) longLine(start []byte) ([]byte, error) {
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
