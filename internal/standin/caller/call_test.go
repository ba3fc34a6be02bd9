package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// testTimeout bounds a request of a test.
const testTimeout = 10 * time.Second

// newTestClient returns a client of one entry that answers its calls with the given
// handlers in order, and all further ones with the last of them.
func newTestClient(t *testing.T, timeout time.Duration, answers ...http.HandlerFunc) (*Client, *atomic.Int32) {
	t.Helper()
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/entries" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		n := int(calls.Add(1))
		answers[min(n, len(answers))-1](w, r)
	}))
	t.Cleanup(s.Close)
	return New(Config{SeedEntries: []string{s.Listener.Addr().String()}, RequestTimeout: timeout}), &calls
}

func refuseWith(status int, code outcome.Code, o outcome.Outcome, retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(outcome.HeaderOutcome, string(o))
		if retryAfter != "" {
			w.Header().Set(outcome.HeaderRetryAfter, retryAfter)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"error":{"code":"` + string(code) + `"}}`))
	}
}

func breakConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("balance 42")) }

// An entry refuses the first attempt as not run, and all further attempts break
// without an answer. One of them may have run, so that the result must not be the
// refusal of the first attempt.
func TestUnansweredAttemptIsNotReportedAsRefused(t *testing.T) {
	refused := refuseWith(http.StatusServiceUnavailable, outcome.CodeStaleView, outcome.NotRun, "0.01")
	t.Run("call", func(t *testing.T) {
		c, calls := newTestClient(t, 400*time.Millisecond, refused, breakConnection)
		res := c.Call(context.Background(), Call{ID: "r", Service: "portal", Method: "GET", Path: "/balances", IdempotencyKey: "k"})
		if calls.Load() < 2 || res.Outcome != "" || res.Code != "" || res.Err == nil {
			t.Fatalf("%d calls, result %+v", calls.Load(), res)
		}
	})
	t.Run("completion", func(t *testing.T) {
		c, calls := newTestClient(t, 400*time.Millisecond, refused, breakConnection)
		res := c.Complete(context.Background(), Completion{ID: "r", Service: "s", Prompt: "p", MaxTokens: 1})
		if calls.Load() < 2 || res.Outcome != "" || res.Code != "" || res.Err == nil {
			t.Fatalf("%d calls, result %+v", calls.Load(), res)
		}
	})
}

// A call that runs at most once is refused with an outcome that is not final: the
// claim could not be made, or a call under the key is under way. The client sends it
// again under the same key, as callers are told, and gets the answer.
func TestCallIsRepeatedUnderItsKeyUntilAFinalAnswer(t *testing.T) {
	for _, code := range []outcome.Code{outcome.CodeControlUnreachable, outcome.CodeAlreadyRunning, outcome.CodeStaleView} {
		c, calls := newTestClient(t, testTimeout, refuseWith(http.StatusServiceUnavailable, code, outcome.Unknown, "0.01"), answerOK)
		res := c.Call(context.Background(), Call{ID: "r", Service: "portal", Method: "GET", Path: "/balances", IdempotencyKey: "k"})
		if !res.Complete || calls.Load() != 2 {
			t.Errorf("%s: %d calls, result %+v", code, calls.Load(), res)
		}
	}
	c, calls := newTestClient(t, testTimeout, refuseWith(http.StatusConflict, outcome.CodeOutcomeUnknown, outcome.Unknown, ""), answerOK)
	res := c.Call(context.Background(), Call{ID: "r", Service: "portal", Method: "GET", Path: "/balances", IdempotencyKey: "k"})
	if res.Code != outcome.CodeOutcomeUnknown || calls.Load() != 1 {
		t.Errorf("final refusal: %d calls, result %+v", calls.Load(), res)
	}
}
