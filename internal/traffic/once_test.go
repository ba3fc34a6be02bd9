package traffic

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func newKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

func plainOK(calls *atomic.Int32, wait time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		time.Sleep(wait)
		setServerHeaders(w, r)
		_, _ = w.Write([]byte("balance 42"))
	})
}

// A server answers a first GET, then closes the reused connection on the second
// without an answer. By default the HTTP library would send the second one five
// times; if it is a balance lookup, the balance is shown five times.
func TestClientSendsAGetOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var gets atomic.Int32
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go answerFirst(conn, &gets)
		}
	}()
	client := newEngineClient().pooled
	for i := range 2 {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + ln.Addr().String() + "/balances")
		err := client.DoTimeout(req, resp, patience)
		if (err == nil) != (i == 0) {
			t.Fatalf("call %d: %v", i, err)
		}
	}
	if n := gets.Load(); n != 2 {
		t.Fatalf("the server saw %d GETs for 2 calls", n)
	}
}

// answerFirst answers the very first GET and closes on all others.
func answerFirst(conn net.Conn, gets *atomic.Int32) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(reader)
		if err != nil || gets.Add(1) > 1 {
			return
		}
		_ = req.Body.Close()
		if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

// A balance lookup breaks after it was sent. It is answered as unknown, its key
// is settled as unknown, and a repeat does not run it again.
func TestBrokenOnceOnlyCallIsUnknownForGood(t *testing.T) {
	var calls atomic.Int32
	b := newBench(t, nil, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/balances" {
			calls.Add(1)
		}
		panic(http.ErrAbortHandler)
	}))
	key := newKey(t)
	for range 2 {
		a := b.do("GET", "/svc/portal/balances", as("hotels").with(outcome.HeaderIdempotencyKey, key), "")
		if a.outcome() != outcome.Unknown || a.code() != outcome.CodeOutcomeUnknown {
			t.Fatalf("answer %d %s", a.status, a.body)
		}
	}
	if calls.Load() != 1 || b.control.status(key) != pb.ClaimStatus_CLAIM_STATUS_UNKNOWN {
		t.Fatalf("%d calls, claim %v", calls.Load(), b.control.status(key))
	}
}

// The server may be reached only after the claim is committed: an entry that
// sends first and dies leaves no trace, and a repeat would run the call again.
// Here the answer to the first claim is lost besides.
func TestClaimIsCommittedBeforeTheFirstByte(t *testing.T) {
	var b *bench
	var early atomic.Int32
	key := newKey(t)
	b = newBench(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b.control.status(key) != pb.ClaimStatus_CLAIM_STATUS_RUNNING {
			early.Add(1)
		}
		setServerHeaders(w, r)
	}))
	b.control.mu.Lock()
	b.control.loseClaims = 1
	b.control.mu.Unlock()
	a := b.do("GET", "/svc/portal/balances", as("hotels").with(outcome.HeaderIdempotencyKey, key), "")
	if a.status != http.StatusOK || early.Load() != 0 {
		t.Fatalf("answer %d %s, %d calls without a claim", a.status, a.body, early.Load())
	}
	if b.control.status(key) != pb.ClaimStatus_CLAIM_STATUS_DONE {
		t.Fatalf("claim %v", b.control.status(key))
	}
}

// A caller's library sends a lookup again under the same key and the same
// request id, while the first is under way and after it. It runs once.
func TestRepeatUnderTheSameRequestIDRunsOnce(t *testing.T) {
	var calls atomic.Int32
	b := newBench(t, nil, plainOK(&calls, 200*time.Millisecond))
	h := func() headers {
		return as("hotels").with(outcome.HeaderRequestID, "r-1").with(outcome.HeaderIdempotencyKey, "0190163d-8694-739b-aea5-966c26f8ad91")
	}
	first := make(chan answer, 1)
	go func() { first <- b.do("GET", "/svc/portal/balances", h(), "") }()
	b.until("the first call runs", func() bool { return calls.Load() == 1 })
	if a := b.do("GET", "/svc/portal/balances", h(), ""); a.code() != outcome.CodeAlreadyRunning || a.header.Get("Retry-After") == "" {
		t.Fatalf("repeat while running: %d %s", a.status, a.body)
	}
	if a := <-first; a.body != "balance 42" || a.outcome() != outcome.Ran {
		t.Fatalf("first: %d %s", a.status, a.body)
	}
	a := b.do("GET", "/svc/portal/balances", h(), "")
	if a.body != "balance 42" || a.header.Get(outcome.HeaderReplayed) != "true" || calls.Load() != 1 {
		t.Fatalf("repeat: %d %q, %d calls", a.status, a.body, calls.Load())
	}
}

// No server takes the call: the caller is told "not run", and it is true for
// its key, so that a repeat runs.
func TestRefusedOnceOnlyCallCanBeRepeated(t *testing.T) {
	var calls atomic.Int32
	b := newBench(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		setServerHeaders(w, r)
		if calls.Add(1) == 1 {
			w.Header().Set(engineapi.HeaderState, string(engineapi.StateLeaving))
			w.Header().Set(engineapi.HeaderNotStarted, "true")
			w.WriteHeader(http.StatusConflict)
		}
	}))
	key := newKey(t)
	a := b.do("GET", "/svc/portal/balances", as("hotels").with(outcome.HeaderIdempotencyKey, key), "")
	if a.outcome() != outcome.NotRun || a.header.Get("Retry-After") == "" {
		t.Fatalf("answer %d %s", a.status, a.body)
	}
	if b.control.status(key) != pb.ClaimStatus_CLAIM_STATUS_NOT_RUN {
		t.Fatalf("claim %v", b.control.status(key))
	}
}
