package runner

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Guards against a call of a replica whose lease has expired, and against a call that the
// HTTP library sends twice.
func TestDutyIsCalledOnceAndInsideTheLease(t *testing.T) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	defer s.Close()
	d := newDutyCaller(nil, strings.TrimPrefix(s.URL, "http://"), nil)
	call := control.DutyCall{Duty: control.DutyUsage, Usage: &pb.UsageWindow{Window: 1}, Timeout: time.Second}
	call.LeaseUntil = clock.SinceBoot() - time.Millisecond
	if result, _ := d.deliver(call); result != control.DutyBusy || calls.Load() != 0 {
		t.Errorf("outside of the lease: %s, %d calls", result, calls.Load())
	}
	call.LeaseUntil = clock.SinceBoot() + time.Minute
	if result, _ := d.deliver(call); result != control.DutyUnanswered || calls.Load() != 1 {
		t.Errorf("inside the lease: %s, %d calls", result, calls.Load())
	}
}
