package traffic

import (
	"context"
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
	// serverDialTimeout bounds the time to open a connection to a backend
	// server.
	serverDialTimeout = 500 * time.Millisecond
	// streamIdleTimeout is how long a stream's connection may be silent.
	// Engines send a heartbeat at least every 500 ms while a request waits or
	// prefills, so longer silence means that the connection or the engine has
	// failed.
	streamIdleTimeout = 1500 * time.Millisecond
	// maxConnsPerServer bounds the connections to one server.
	maxConnsPerServer = 1024
	// maxResponseBytes bounds the answer of a plain service.
	maxResponseBytes = 16 << 20
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("traffic")

// engineClient calls backend servers.
type engineClient struct {
	// unpooled opens a connection for each call. It serves at-most-once calls,
	// retries and small calls such as health checks.
	unpooled *fasthttp.Client
	// pooled reuses connections. It serves first attempts of idempotent calls.
	pooled *fasthttp.Client
	// kept are the connections that pooled reuses.
	kept *httpconn.Client
	// streams and reconnects open streaming connections with a deadline on each
	// read: streams for new streams, reconnects for streams that already run.
	streams    *fasthttp.Client
	reconnects *fasthttp.Client
}

func newEngineClient() *engineClient {
	kept := newConnections(dialServer, true)
	return &engineClient{
		unpooled: newHTTPClient(newConnections(dialServer, false)), pooled: newHTTPClient(kept), kept: kept,
		streams: newStreamClient(firstReadTimeout), reconnects: newStreamClient(reconnectReadTimeout),
	}
}

// newConnections returns the connections to servers that a client sends over; kept ones carry several calls.
func newConnections(dial fasthttp.DialFunc, kept bool) *httpconn.Client {
	c := httpconn.New()
	c.OneCallPerConnection = !kept
	c.DialContext = func(_ context.Context, _, address string) (net.Conn, error) { return dial(address) }
	return c
}

// newHTTPClient returns a client that sends over the connections and never retries a call by itself.
func newHTTPClient(connections *httpconn.Client) *fasthttp.Client {
	return &fasthttp.Client{
		Transport:                &httpconn.Transport{Client: connections},
		MaxConnsPerHost:          maxConnsPerServer,
		MaxResponseBodySize:      maxResponseBytes,
		NoDefaultUserAgentHeader: true,
		DisablePathNormalizing:   true,
	}
}

func dialServer(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, serverDialTimeout)
}

// serverStatus is the status that a backend server attaches to every answer as
// headers.
type serverStatus struct {
	state       engineapi.State
	incarnation string
	load        engineapi.Load
	hasLoad     bool
	notStarted  bool
	// backpressure holds the rate limit and back-off that the server asks for.
	// sentAt is when the request that it answered was sent.
	backpressure backpressure.Signal
	sentAt       time.Duration
}

func readServerStatus(h *fasthttp.ResponseHeader, sentAt time.Duration) serverStatus {
	s := serverStatus{
		sentAt:       sentAt,
		backpressure: httpconn.ParseBackpressure(h, engineapi.HeaderRateLimit),
		state:        engineapi.State(h.Peek(engineapi.HeaderState)),
		incarnation:  string(h.Peek(engineapi.HeaderIncarnation)),
		notStarted:   string(h.Peek(engineapi.HeaderNotStarted)) == "true",
	}
	if data := h.Peek(engineapi.HeaderLoad); len(data) > 0 {
		s.hasLoad = json.Unmarshal(data, &s.load) == nil
	}
	return s
}

// answersAttempt reports whether the response belongs to this request and
// attempt. A response that does not may be left over on the connection and
// belong to another member.
func answersAttempt(h *fasthttp.ResponseHeader, wireID string, attempt uint32) bool {
	return string(h.Peek(outcome.HeaderRequestID)) == wireID &&
		string(h.Peek(outcome.HeaderAttempt)) == strconv.FormatUint(uint64(attempt), 10)
}

// health queries a server's health endpoint. ok is false if no valid answer
// comes in time. Errors: those of callJSON, if there was no answer.
func (c *engineClient) health(address string, timeout time.Duration) (health engineapi.Health, ok bool, err error) {
	status, err := c.callJSON(fasthttp.MethodGet, "http://"+address+engineapi.PathHealth, nil, &health, timeout)
	return health, err == nil && status == fasthttp.StatusOK, err
}

// cacheEvents fetches an engine's cache events after a sequence number.
func (c *engineClient) cacheEvents(address string, after uint64) (engineapi.CacheEvents, bool) {
	var events engineapi.CacheEvents
	url := "http://" + address + engineapi.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	status, err := c.callJSON(fasthttp.MethodGet, url, nil, &events, probeTimeout)
	return events, err == nil && status == fasthttp.StatusOK
}

// processGone probes a server's health endpoint after a failed call. It reports
// whether the probe shows that the server's process has died.
func (c *engineClient) processGone(address string) bool {
	_, _, err := c.callBytes(fasthttp.MethodGet, "http://"+address+engineapi.PathHealth, nil, probeTimeout)
	return err != nil && httpconn.ProcessGone(err)
}

// cancel cancels attempts of a request at an engine. Cancels are idempotent, so
// a failed one is retried once.
func (c *engineClient) cancel(address string, req engineapi.CancelRequest) {
	for range 2 {
		status, err := c.callJSON(fasthttp.MethodPost, "http://"+address+engineapi.PathCancel, req, nil, cancelTimeout)
		if err == nil && status < fasthttp.StatusInternalServerError {
			return
		}
	}
}

// callJSON makes a call with JSON bodies on a fresh connection. The answer is
// decoded into out only on status 200.
func (c *engineClient) callJSON(method, url string, in, out any, timeout time.Duration) (int, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return 0, err
		}
	}
	status, answer, err := c.callBytes(method, url, body, timeout)
	if err != nil || out == nil || status != fasthttp.StatusOK {
		return status, err
	}
	return status, json.Unmarshal(answer, out)
}

func (c *engineClient) callBytes(method, url string, body []byte, timeout time.Duration) (int, []byte, error) {
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
	if err := c.unpooled.DoTimeout(req, resp, timeout); err != nil {
		return 0, nil, httpconn.Classify(err)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// postForJSON posts a raw body and decodes the JSON answer. Errors:
// httpconn.NotSent, httpconn.Broken, and JSON errors.
func (c *engineClient) postForJSON(url string, body []byte, out any, timeout time.Duration) error {
	status, answer, err := c.callBytes(fasthttp.MethodPost, url, body, timeout)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return httpconn.Broken.New("unexpected status %d", status)
	}
	return json.Unmarshal(answer, out)
}
