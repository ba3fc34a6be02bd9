package traffic

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/callerconn"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// Invalid requests get a 4xx with the standard error body and an outcome, and
// never reach a backend server.
func TestBadInputReachesNoServer(t *testing.T) {
	var calls atomic.Int32
	f := newFixture(t, plainOK(&calls, 0), plainOK(&calls, 0))
	big := strings.Repeat("x", 5000)
	for _, c := range []struct {
		name, method, path string
		h                  headers
		body               string
		status             int
	}{
		{"no credential", "POST", "/v1/completions", nil, `{}`, 401},
		{"unknown credential", "POST", "/v1/completions", headers{"Authorization": "Bearer x"}, `{}`, 401},
		{"no JSON", "POST", "/v1/completions", asMember("hotels"), `{`, 400},
		{"no prompt", "POST", "/v1/completions", asMember("hotels"), `{"model":"eligibility"}`, 400},
		{"too many tokens", "POST", "/v1/completions", asMember("hotels"), `{"model":"eligibility","prompt":"x","max_tokens":101}`, 400},
		{"negative tokens", "POST", "/v1/completions", asMember("hotels"), `{"model":"eligibility","prompt":"x","max_tokens":-1}`, 400},
		{"prompt too long", "POST", "/v1/completions", asMember("hotels"), `{"model":"eligibility","prompt":"` + big + `"}`, 413},
		{"body too long", "POST", "/v1/completions", asMember("hotels"), strings.Repeat("x", 2<<20), 413},
		{"unknown service", "POST", "/v1/completions", asMember("hotels"), `{"model":"none","prompt":"x"}`, 404},
		{"forbidden service", "POST", "/v1/completions", asMember("hotels"), `{"model":"secret","prompt":"x"}`, 403},
		{"bad request id", "POST", "/v1/completions", asMember("hotels").with(outcome.HeaderRequestID, "a~b"), `{"model":"eligibility","prompt":"x"}`, 400},
		{"no route", "GET", "/svc/portal/other", asMember("hotels"), "", 404},
		{"wrong method", "DELETE", "/svc/portal/status", asMember("hotels"), "", 404},
		{"dots", "GET", "/svc/portal/status/%2e%2e/balances", asMember("hotels"), "", 400},
		{"doubled encoding", "GET", "/svc/portal/status%252f", asMember("hotels"), "", 400},
		{"once-only without key", "GET", "/svc/portal/balances", asMember("hotels"), "", 400},
		{"key without time", "GET", "/svc/portal/balances", asMember("hotels").with(outcome.HeaderIdempotencyKey, "6ba7b810-9dad-41d1-80b4-00c04fd430c8"), "", 400},
		{"unknown request", "POST", "/v1/requests/none/resume", asMember("hotels"), `{}`, 404},
		{"no path", "GET", "/other", asMember("hotels"), "", 404},
	} {
		a := f.do(c.method, c.path, c.h, c.body)
		if a.status != c.status || a.outcome() == "" || a.code() == "" {
			t.Errorf("%s: %d, outcome %q, %s; want %d", c.name, a.status, a.outcome(), a.body, c.status)
		}
	}
	if n := calls.Load(); n != 0 {
		t.Fatalf("%d calls reached a server", n)
	}
}

// Guards against a final refusal ("no such member, service or route") from an
// entry whose view has expired: it may have missed the declaration of that
// object.
func TestNoFinalRefusalFromExpiredView(t *testing.T) {
	f := newFixture(t, nil, plainOK(new(atomic.Int32), 0))
	f.control.mu.Lock()
	f.control.unresponsive = true
	f.control.mu.Unlock()
	time.Sleep(2 * time.Second)
	for _, c := range []struct {
		name, method, path string
		h                  headers
		body               string
	}{
		{"unknown credential", "POST", "/v1/completions", headers{"Authorization": "Bearer x"}, `{}`},
		{"unknown service", "POST", "/v1/completions", asMember("hotels"), `{"model":"none","prompt":"x"}`},
		{"forbidden service", "POST", "/v1/completions", asMember("hotels"), `{"model":"secret","prompt":"x"}`},
		{"no route", "GET", "/svc/portal/other", asMember("hotels"), ""},
	} {
		a := f.do(c.method, c.path, c.h, c.body)
		if a.status != http.StatusServiceUnavailable || a.outcome() != outcome.NotRun {
			t.Errorf("%s: %d, outcome %q, %s", c.name, a.status, a.outcome(), a.body)
		}
	}
}

// A malformed announcement, or one from another cluster that reuses an address,
// has no effect.
func TestBadAnnouncementChangesNothing(t *testing.T) {
	f := newFixture(t, nil, nil)
	valid := `{"cluster":"test","id":"e1","incarnation":"i","address":"127.0.0.1:1","data_centre":"dc-a","kind":"model","model":"review","role":"mixed","state":"serving","slots":4}`
	for _, body := range []string{
		``, `{`, `[]`, strings.Replace(valid, `"test"`, `"other"`, 1), strings.Replace(valid, `"e1"`, `""`, 1),
		strings.Replace(valid, `127.0.0.1:1`, `evil.example:1`, 1), strings.Replace(valid, `"serving"`, `"fine"`, 1),
		strings.Replace(valid, `"mixed"`, `"all"`, 1), strings.Replace(valid, `"kind":"model"`, `"kind":"robot"`, 1),
		strings.Replace(valid, `"slots":4`, `"slots":4,"more":1`, 1), valid + valid,
	} {
		a := f.do("POST", "/v1/backend/announce", nil, body)
		if a.status < 400 || a.status >= 500 {
			t.Errorf("%s: %d", body, a.status)
		}
	}
	if a := f.do("POST", "/v1/backend/announce", nil, valid); a.status != http.StatusOK || a.outcome() == "" {
		t.Fatalf("valid announcement: %d %s", a.status, a.body)
	}
	f.waitFor("control has the valid announcement", func() bool { return countReported(f) > 0 })
	if n := countReported(f); n != 1 {
		t.Fatalf("%d servers were reported", n)
	}
}

func countReported(f *fixture) int {
	f.control.mu.Lock()
	defer f.control.mu.Unlock()
	ids := make(map[string]bool)
	for _, r := range f.control.reports {
		for _, a := range r.Announcements {
			ids[fmt.Sprint(a.Server.Id, a.Server.Incarnation)] = true
		}
	}
	return len(ids)
}

// A caller freezes in the middle of its stream: its connection accepts no bytes
// and does not fail. Without a write timeout its stream would hold an engine's
// slot forever.
func TestWriteToStalledCallerTimesOut(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &callerconn.Conn{Conn: near, WriteTimeout: 20 * time.Millisecond}
	if _, err := conn.Write([]byte("data")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("write to a frozen caller: %v", err)
	}
}

// The metrics library panics when a metric is used with two different sets of
// labels. Such a panic on a refusal would end the reducer's goroutine and leave
// all callers without an answer.
func TestDecisionMetricsNeverPanic(t *testing.T) {
	f := newFixture(t, nil, nil)
	for _, kind := range []string{entry.LogRoute, entry.LogWait, entry.LogRefuse, entry.LogView, entry.LogServer} {
		f.server.host.CountDecision(entry.LogDecision{Kind: kind, Reason: "overloaded"})
	}
	a := f.do("POST", "/v1/completions", asMember("hotels"), `{"model":"eligibility","prompt":"x"}`)
	if a.code() != outcome.CodeNoServer || a.outcome() != outcome.NotRun || a.header.Get("Retry-After") == "" {
		t.Fatalf("answer %d %s", a.status, a.body)
	}
}
