package traffic

import (
	"bufio"
	"math"
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

// A server answers the first GET and closes the reused connection on the second
// without an answer. By default the HTTP library would send the second GET up
// to five times. A balance lookup would then run five times.
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
			go serveFirstOnly(conn, &gets)
		}
	}()
	client := newEngineClient().pooled
	for i := range 2 {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + ln.Addr().String() + "/balances")
		err := client.DoTimeout(req, resp, testTimeout)
		if (err == nil) != (i == 0) {
			t.Fatalf("call %d: %v", i, err)
		}
	}
	if n := gets.Load(); n != 2 {
		t.Fatalf("the server saw %d GETs for 2 calls", n)
	}
}

// serveFirstOnly answers the first GET and closes the connection on all others.
func serveFirstOnly(conn net.Conn, gets *atomic.Int32) {
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

// The connection breaks after a balance lookup was sent. The caller gets the
// outcome "unknown", the key is settled as unknown, and a retry does not run
// the lookup again.
func TestBrokenOnceOnlyCallStaysUnknown(t *testing.T) {
	var calls atomic.Int32
	f := newFixture(t, nil, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/balances" {
			calls.Add(1)
		}
		panic(http.ErrAbortHandler)
	}))
	key := newKey(t)
	for range 2 {
		a := f.do("GET", "/svc/portal/balances", asMember("hotels").with(outcome.HeaderIdempotencyKey, key), "")
		if a.outcome() != outcome.Unknown || a.code() != outcome.CodeOutcomeUnknown {
			t.Fatalf("answer %d %s", a.status, a.body)
		}
	}
	if calls.Load() != 1 || f.control.status(key) != pb.ClaimStatus_CLAIM_STATUS_UNKNOWN {
		t.Fatalf("%d calls, claim %v", calls.Load(), f.control.status(key))
	}
}

// The server may be called only after the claim is committed. An entry that
// sends the call first and then dies leaves no trace, and a retry would run
// the call again. Here the answer to the first claim is also lost.
func TestClaimIsCommittedBeforeTheFirstByte(t *testing.T) {
	var f *fixture
	var unclaimedCalls atomic.Int32
	key := newKey(t)
	f = newFixture(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.control.status(key) != pb.ClaimStatus_CLAIM_STATUS_RUNNING {
			unclaimedCalls.Add(1)
		}
		setServerHeaders(w, r)
	}))
	f.control.mu.Lock()
	f.control.dropClaimAnswers = 1
	f.control.mu.Unlock()
	a := f.do("GET", "/svc/portal/balances", asMember("hotels").with(outcome.HeaderIdempotencyKey, key), "")
	if a.status != http.StatusOK || unclaimedCalls.Load() != 0 {
		t.Fatalf("answer %d %s, %d calls without a claim", a.status, a.body, unclaimedCalls.Load())
	}
	if f.control.status(key) != pb.ClaimStatus_CLAIM_STATUS_DONE {
		t.Fatalf("claim %v", f.control.status(key))
	}
}

// A caller's library retries a lookup under the same key and the same request
// id, both during and after the first call. The lookup runs once.
func TestRepeatUnderTheSameRequestIDRunsOnce(t *testing.T) {
	var calls atomic.Int32
	f := newFixture(t, nil, plainOK(&calls, 200*time.Millisecond))
	h := func() headers {
		return asMember("hotels").with(outcome.HeaderRequestID, "r-1").with(outcome.HeaderIdempotencyKey, "0190163d-8694-739b-aea5-966c26f8ad91")
	}
	first := make(chan answer, 1)
	go func() { first <- f.do("GET", "/svc/portal/balances", h(), "") }()
	f.waitFor("the first call runs", func() bool { return calls.Load() == 1 })
	if a := f.do("GET", "/svc/portal/balances", h(), ""); a.code() != outcome.CodeAlreadyRunning || a.header.Get("Retry-After") == "" {
		t.Fatalf("retry while running: %d %s", a.status, a.body)
	}
	if a := <-first; a.body != "balance 42" || a.outcome() != outcome.Ran {
		t.Fatalf("first: %d %s", a.status, a.body)
	}
	a := f.do("GET", "/svc/portal/balances", h(), "")
	if a.body != "balance 42" || a.header.Get(outcome.HeaderReplayed) != "true" || calls.Load() != 1 {
		t.Fatalf("retry: %d %q, %d calls", a.status, a.body, calls.Load())
	}
}

// The server refuses to start the call. The caller is told "not run", and the
// claim is settled as not run, so a retry under the key runs.
func TestRefusedOnceOnlyCallCanBeRepeated(t *testing.T) {
	var calls atomic.Int32
	f := newFixture(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		setServerHeaders(w, r)
		if calls.Add(1) == 1 {
			w.Header().Set(engineapi.HeaderState, string(engineapi.StateLeaving))
			w.Header().Set(engineapi.HeaderNotStarted, "true")
			w.WriteHeader(http.StatusConflict)
		}
	}))
	key := newKey(t)
	a := f.do("GET", "/svc/portal/balances", asMember("hotels").with(outcome.HeaderIdempotencyKey, key), "")
	if a.outcome() != outcome.NotRun || a.header.Get("Retry-After") == "" {
		t.Fatalf("answer %d %s", a.status, a.body)
	}
	if f.control.status(key) != pb.ClaimStatus_CLAIM_STATUS_NOT_RUN {
		t.Fatalf("claim %v", f.control.status(key))
	}
}

// A call with a key is refused before its key is looked up: the entry may have missed
// the declaration of the service or route, or they or the credential were withdrawn.
// An earlier call under the key may have run, so that the caller must not be told
// "not run".
func TestCallRefusedBeforeItsClaimIsNotCalledNotRun(t *testing.T) {
	f := newFixture(t, nil, plainOK(new(atomic.Int32), 0))
	check := func(path string, h headers, code outcome.Code) {
		t.Helper()
		a := f.do("GET", path, h.with(outcome.HeaderIdempotencyKey, newKey(t)), "")
		if a.code() != code || a.outcome() != outcome.Unknown {
			t.Errorf("%s: answer %d, outcome %q, %s", path, a.status, a.outcome(), a.body)
		}
	}
	check("/svc/portal/balances", asMember("nobody"), outcome.CodeUnauthenticated)
	check("/svc/portal/withdrawn", asMember("hotels"), outcome.CodeNotFound)
	f.control.mu.Lock()
	f.control.unresponsive = true
	f.control.mu.Unlock()
	f.waitFor("the view's lease ends", func() bool { return !f.server.host.ViewLeaseValid() })
	check("/svc/declared-later/balances", asMember("hotels"), outcome.CodeStaleView)
	check("/svc/portal/declared-later", asMember("hotels"), outcome.CodeStaleView)
}

// A claim was sent to control more than once, and the key belongs to another call. A
// copy of the claim may be under way, and would be granted once the key is free: the
// entry tells control that the request has ended, also if the call was refused
// because control did not answer in time.
func TestUngrantedClaimWithCopiesIsEnded(t *testing.T) {
	for name, lostAnswers := range map[string]int{"answered late": 1, "refused": math.MaxInt} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil, plainOK(new(atomic.Int32), 0))
			key := newKey(t)
			f.control.mu.Lock()
			f.control.claims[key] = &fakeClaim{claim: &pb.Claim{Key: key, RequestId: "other"}, status: pb.ClaimStatus_CLAIM_STATUS_RUNNING}
			f.control.dropClaimAnswers = lostAnswers
			f.control.mu.Unlock()
			a := f.do("GET", "/svc/portal/balances", asMember("hotels").with(outcome.HeaderIdempotencyKey, key), "")
			if a.outcome() != outcome.Unknown || a.header.Get("Retry-After") == "" {
				t.Fatalf("answer %d %s", a.status, a.body)
			}
			f.control.mu.Lock()
			f.control.dropClaimAnswers = 0
			f.control.mu.Unlock()
			f.waitFor("the request is ended", func() bool {
				f.control.mu.Lock()
				defer f.control.mu.Unlock()
				return len(f.control.settled) == 1 && f.control.settled[0].Status == pb.ClaimStatus_CLAIM_STATUS_NOT_RUN
			})
			if f.control.status(key) != pb.ClaimStatus_CLAIM_STATUS_RUNNING {
				t.Fatalf("the other call's claim: %v", f.control.status(key))
			}
		})
	}
}
