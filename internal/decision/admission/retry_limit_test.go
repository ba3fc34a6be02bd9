package admission

import (
	"testing"
	"time"
)

var testLimit = &RetryLimit{Ratio: 0.2, Constant: 90, Window: 10 * time.Second}

// A service fails every request for a while at its normal load of 20 requests/s. Without a
// bound, requests are retried again and again and the load doubles. The retries must stay
// within the deployment's limit in every window.
func TestFailingServiceGetsNoMoreThanTheLimit(t *testing.T) {
	const entries, rate, seconds = 9, 20, 60
	limiter := NewRetryLimiter(testLimit)
	var sends []time.Duration
	for i := range rate * seconds {
		now := time.Duration(i) * time.Second / rate
		limiter.RecordArrival(now, "lm")
		for limiter.AllowRetry(now, "lm", entries) {
			sends = append(sends, now)
		}
	}
	allowed := int(testLimit.Ratio*rate*10) + testLimit.Constant/entries
	for i := range sends {
		n := 0
		for _, at := range sends[i:] {
			if at-sends[i] < testLimit.Window {
				n++
			}
		}
		if n > allowed {
			t.Fatalf("%d retries in the window from %v, want %d at most", n, sends[i], allowed)
		}
	}
	if len(sends) < 100 {
		t.Fatalf("only %d retries: the limit is not used", len(sends))
	}
}

// When one service fails, requests for another service may still be retried.
func TestServicesHaveLimitsOfTheirOwn(t *testing.T) {
	limiter := NewRetryLimiter(testLimit)
	for limiter.AllowRetry(0, "lm", 1) {
	}
	if !limiter.AllowRetry(0, "portal", 1) {
		t.Fatal("retry refused for the other service")
	}
}

// Without a limit every retry is allowed.
func TestNoLimitAllowsEverything(t *testing.T) {
	var limiter *RetryLimiter
	limiter.RecordArrival(0, "lm")
	for range 1000 {
		if !limiter.AllowRetry(0, "lm", 9) {
			t.Fatal("retry refused without a limit")
		}
	}
	if NewRetryLimiter(&RetryLimit{}) != nil {
		t.Fatal("a limit without a window gives a limiter")
	}
}
