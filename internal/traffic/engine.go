package traffic

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// serverDial bounds the opening of a connection to a backend server.
	serverDial = 500 * time.Millisecond
	// progressLimit is how long a stream's connection may be silent. Engines
	// send a heartbeat at least every 500 ms while a request waits or prefills,
	// so that silence means that the connection or the engine is gone.
	progressLimit = 1500 * time.Millisecond
	// idleLimit: a connection that idled longer is not used again, since
	// something between the two ends may have lost track of it.
	idleLimit = 2 * time.Second
	// maxConns bounds connections to one server.
	maxConns = 1024
	// maxAnswerBytes bounds a plain service's answer.
	maxAnswerBytes = 16 << 20
	// bufferBytes is the size of a connection's buffers: answers' headers fit.
	bufferBytes = 8 << 10
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("traffic")

// engineClient calls backend servers.
type engineClient struct {
	// fresh opens a connection for each call: streams, once-only calls.
	fresh *fasthttp.Client
	// pooled uses connections again: idempotent calls.
	pooled *fasthttp.Client
	// streams and rejoins open connections whose reads have a progress deadline.
	streams *fasthttp.Client
	rejoins *fasthttp.Client
}

func newEngineClient() *engineClient {
	return &engineClient{fresh: newHTTPClient(), pooled: newHTTPClient(), streams: newStreamClient(firstLimit), rejoins: newStreamClient(rejoinLimit)}
}

// newHTTPClient gives a client that never repeats a call by itself.
//
// By default the library sends GET and other idempotent calls up to five times
// when a reused connection closes without an answer. A balance lookup is a GET
// that must run at most once: a server that dies after running it would run it
// again when it is back. RetryIfErr and the single attempt turn that off.
func newHTTPClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      dialServer,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration:       idleLimit,
		MaxConnsPerHost:           maxConns,
		MaxResponseBodySize:       maxAnswerBytes,
		ReadBufferSize:            bufferBytes,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
}

func dialServer(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, serverDial)
	if err != nil {
		return nil, &httpconn.DialError{Cause: err}
	}
	return conn, nil
}

// said is what a backend server says of itself on every answer.
type said struct {
	state       engineapi.State
	incarnation string
	load        engineapi.Load
	hasLoad     bool
	notStarted  bool
	// word is what it says of the work that it wants, sentAt when the request was sent that
	// it answers.
	word   backpressure.Signal
	sentAt time.Duration
}

func readSaid(h *fasthttp.ResponseHeader, sentAt time.Duration) said {
	s := said{
		sentAt:      sentAt,
		word:        httpconn.ParseBackpressure(h, engineapi.HeaderRateLimit),
		state:       engineapi.State(h.Peek(engineapi.HeaderState)),
		incarnation: string(h.Peek(engineapi.HeaderIncarnation)),
		notStarted:  string(h.Peek(engineapi.HeaderNotStarted)) == "true",
	}
	if data := h.Peek(engineapi.HeaderLoad); len(data) > 0 {
		s.hasLoad = json.Unmarshal(data, &s.load) == nil
	}
	return s
}

// echoes tells whether an answer is to that request and attempt. An answer that
// is not could be another member's, left over on the connection.
func echoes(h *fasthttp.ResponseHeader, wireID string, attempt uint32) bool {
	return string(h.Peek(outcome.HeaderRequestID)) == wireID &&
		string(h.Peek(outcome.HeaderAttempt)) == strconv.FormatUint(uint64(attempt), 10)
}

// health asks a server for its own word; false when none came in time.
func (c *engineClient) health(address string, timeout time.Duration) (engineapi.Health, bool) {
	var health engineapi.Health
	status, err := c.json(fasthttp.MethodGet, "http://"+address+engineapi.PathHealth, nil, &health, timeout)
	return health, err == nil && status == fasthttp.StatusOK
}

// cacheEvents asks an engine for its cache events after a sequence number.
func (c *engineClient) cacheEvents(address string, after uint64) (engineapi.CacheEvents, bool) {
	var events engineapi.CacheEvents
	url := "http://" + address + engineapi.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	status, err := c.json(fasthttp.MethodGet, url, nil, &events, probeTimeout)
	return events, err == nil && status == fasthttp.StatusOK
}

// looksGone asks a server for its health to learn whether it died of a call.
func (c *engineClient) looksGone(address string) bool {
	_, _, err := c.bytes(fasthttp.MethodGet, "http://"+address+engineapi.PathHealth, nil, probeTimeout)
	return err != nil && httpconn.ProcessGone(err)
}

// cancel stops attempts of a request. It is idempotent and sent twice at most.
func (c *engineClient) cancel(address string, req engineapi.CancelRequest) {
	for range 2 {
		status, err := c.json(fasthttp.MethodPost, "http://"+address+engineapi.PathCancel, req, nil, cancelTimeout)
		if err == nil && status < fasthttp.StatusInternalServerError {
			return
		}
	}
}

// json makes a small call on a fresh connection.
func (c *engineClient) json(method, url string, in, out any, timeout time.Duration) (int, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return 0, err
		}
	}
	status, answer, err := c.bytes(method, url, body, timeout)
	if err != nil || out == nil || status != fasthttp.StatusOK {
		return status, err
	}
	return status, json.Unmarshal(answer, out)
}

func (c *engineClient) bytes(method, url string, body []byte, timeout time.Duration) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	req.SetConnectionClose()
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.fresh.DoTimeout(req, resp, timeout); err != nil {
		return 0, nil, httpconn.Classify(err)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// post sends bytes and reads a JSON answer. Errors: NotSent, Broken.
func (c *engineClient) post(url string, body []byte, out any, timeout time.Duration) error {
	status, answer, err := c.bytes(fasthttp.MethodPost, url, body, timeout)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return httpconn.Broken.New("status %d", status)
	}
	return json.Unmarshal(answer, out)
}
