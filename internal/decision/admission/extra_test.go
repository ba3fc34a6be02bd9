package admission

import (
	"testing"
	"time"
)

var testLimit = &ResendLimit{Ratio: 0.2, Constant: 90, Window: 10 * time.Second}

// A service fails everything for a while at the usual load of 20 requests/s. Without
// a bound each request goes out again and again and the load doubles; with it the
// sends beyond the first stay within the deployment's limit in every window.
func TestFailingServiceGetsNoMoreThanTheLimit(t *testing.T) {
	const entries, rate, seconds = 9, 20, 60
	x := NewResendLimiter(testLimit)
	var sends []time.Duration
	for i := range rate * seconds {
		now := time.Duration(i) * time.Second / rate
		x.RecordArrival(now, "lm")
		for x.AllowResend(now, "lm", entries) {
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
			t.Fatalf("%d sends in the window from %v, at most %d", n, sends[i], allowed)
		}
	}
	if len(sends) < 100 {
		t.Fatalf("only %d sends: the limit is not used", len(sends))
	}
}

// One service fails; another one's requests may still be sent again.
func TestServicesHaveLimitsOfTheirOwn(t *testing.T) {
	x := NewResendLimiter(testLimit)
	for x.AllowResend(0, "lm", 1) {
	}
	if !x.AllowResend(0, "portal", 1) {
		t.Fatal("the other service has none left")
	}
}

// Without a limit nothing is held back.
func TestNoLimitHoldsNothingBack(t *testing.T) {
	var x *ResendLimiter
	x.RecordArrival(0, "lm")
	for range 1000 {
		if !x.AllowResend(0, "lm", 9) {
			t.Fatal("held back")
		}
	}
	if NewResendLimiter(&ResendLimit{}) != nil {
		t.Fatal("a limit without a window counts")
	}
}
