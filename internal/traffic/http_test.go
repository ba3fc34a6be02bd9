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

// Bad input gets a 4xx with the usual error body and the outcome, and never
// reaches a backend server.
func TestBadInputReachesNoServer(t *testing.T) {
	var calls atomic.Int32
	b := newBench(t, plainOK(&calls, 0), plainOK(&calls, 0))
	big := strings.Repeat("x", 5000)
	for _, c := range []struct {
		name, method, path string
		h                  headers
		body               string
		status             int
	}{
		{"no credential", "POST", "/v1/completions", nil, `{}`, 401},
		{"unknown credential", "POST", "/v1/completions", headers{"Authorization": "Bearer x"}, `{}`, 401},
		{"no JSON", "POST", "/v1/completions", as("hotels"), `{`, 400},
		{"no prompt", "POST", "/v1/completions", as("hotels"), `{"model":"eligibility"}`, 400},
		{"too many tokens", "POST", "/v1/completions", as("hotels"), `{"model":"eligibility","prompt":"x","max_tokens":101}`, 400},
		{"negative tokens", "POST", "/v1/completions", as("hotels"), `{"model":"eligibility","prompt":"x","max_tokens":-1}`, 400},
		{"prompt too long", "POST", "/v1/completions", as("hotels"), `{"model":"eligibility","prompt":"` + big + `"}`, 413},
		{"body too long", "POST", "/v1/completions", as("hotels"), strings.Repeat("x", 2<<20), 413},
		{"unknown service", "POST", "/v1/completions", as("hotels"), `{"model":"none","prompt":"x"}`, 404},
		{"forbidden service", "POST", "/v1/completions", as("hotels"), `{"model":"secret","prompt":"x"}`, 403},
		{"bad request id", "POST", "/v1/completions", as("hotels").with(outcome.HeaderRequestID, "a~b"), `{"model":"eligibility","prompt":"x"}`, 400},
		{"no route", "GET", "/svc/portal/other", as("hotels"), "", 404},
		{"wrong method", "DELETE", "/svc/portal/status", as("hotels"), "", 404},
		{"dots", "GET", "/svc/portal/status/%2e%2e/balances", as("hotels"), "", 400},
		{"doubled encoding", "GET", "/svc/portal/status%252f", as("hotels"), "", 400},
		{"once-only without key", "GET", "/svc/portal/balances", as("hotels"), "", 400},
		{"key without time", "GET", "/svc/portal/balances", as("hotels").with(outcome.HeaderIdempotencyKey, "6ba7b810-9dad-41d1-80b4-00c04fd430c8"), "", 400},
		{"unknown request", "POST", "/v1/requests/none/resume", as("hotels"), `{}`, 404},
		{"no path", "GET", "/other", as("hotels"), "", 404},
	} {
		a := b.do(c.method, c.path, c.h, c.body)
		if a.status != c.status || a.outcome() == "" || a.code() == "" {
			t.Errorf("%s: %d, outcome %q, %s; want %d", c.name, a.status, a.outcome(), a.body, c.status)
		}
	}
	if n := calls.Load(); n != 0 {
		t.Fatalf("%d calls reached a server", n)
	}
}

// Guards against a final "no such member, service or route" by an entry that may have missed their declaration.
func TestNoFinalAnswerByAViewThatHasRunOut(t *testing.T) {
	b := newBench(t, nil, plainOK(new(atomic.Int32), 0))
	b.control.mu.Lock()
	b.control.silent = true
	b.control.mu.Unlock()
	time.Sleep(2 * time.Second)
	for _, c := range []struct {
		name, method, path string
		h                  headers
		body               string
	}{
		{"unknown credential", "POST", "/v1/completions", headers{"Authorization": "Bearer x"}, `{}`},
		{"unknown service", "POST", "/v1/completions", as("hotels"), `{"model":"none","prompt":"x"}`},
		{"forbidden service", "POST", "/v1/completions", as("hotels"), `{"model":"secret","prompt":"x"}`},
		{"no route", "GET", "/svc/portal/other", as("hotels"), ""},
	} {
		a := b.do(c.method, c.path, c.h, c.body)
		if a.status != http.StatusServiceUnavailable || a.outcome() != outcome.NotRun {
			t.Errorf("%s: %d, outcome %q, %s", c.name, a.status, a.outcome(), a.body)
		}
	}
}

// A malformed announcement, or one of another cluster that reuses an address,
// changes nothing.
func TestBadAnnouncementChangesNothing(t *testing.T) {
	b := newBench(t, nil, nil)
	good := `{"cluster":"test","id":"e1","incarnation":"i","address":"127.0.0.1:1","data_centre":"dc-a","kind":"model","model":"review","role":"mixed","state":"serving","slots":4}`
	for _, body := range []string{
		``, `{`, `[]`, strings.Replace(good, `"test"`, `"other"`, 1), strings.Replace(good, `"e1"`, `""`, 1),
		strings.Replace(good, `127.0.0.1:1`, `evil.example:1`, 1), strings.Replace(good, `"serving"`, `"fine"`, 1),
		strings.Replace(good, `"mixed"`, `"all"`, 1), strings.Replace(good, `"kind":"model"`, `"kind":"robot"`, 1),
		strings.Replace(good, `"slots":4`, `"slots":4,"more":1`, 1), good + good,
	} {
		a := b.do("POST", "/v1/backend/announce", nil, body)
		if a.status < 400 || a.status >= 500 {
			t.Errorf("%s: %d", body, a.status)
		}
	}
	if a := b.do("POST", "/v1/backend/announce", nil, good); a.status != http.StatusOK || a.outcome() == "" {
		t.Fatalf("good announcement: %d %s", a.status, a.body)
	}
	b.until("control has the good one", func() bool { return reported(b) > 0 })
	if n := reported(b); n != 1 {
		t.Fatalf("%d servers were reported", n)
	}
}

func reported(b *bench) int {
	b.control.mu.Lock()
	defer b.control.mu.Unlock()
	ids := make(map[string]bool)
	for _, r := range b.control.reports {
		for _, a := range r.Announcements {
			ids[fmt.Sprint(a.Server.Id, a.Server.Incarnation)] = true
		}
	}
	return len(ids)
}

// A caller is frozen in the middle of its stream: its connection takes no bytes
// and does not fail. Its stream would hold an engine's slot for ever.
func TestFrozenCallerIsGivenUp(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &callerconn.Conn{Conn: near, WriteTimeout: 20 * time.Millisecond}
	if _, err := conn.Write([]byte("data")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("write to a frozen caller: %v", err)
	}
}

// The metrics library panics when one name is used with two sets of labels. A
// refusal once ended the control goroutine so, and all callers hung.
func TestCountingNeverPanics(t *testing.T) {
	b := newBench(t, nil, nil)
	for _, kind := range []string{entry.LogRoute, entry.LogWait, entry.LogRefuse, entry.LogView, entry.LogServer} {
		b.server.host.CountDecision(entry.LogDecision{Kind: kind, Reason: "overloaded"})
	}
	a := b.do("POST", "/v1/completions", as("hotels"), `{"model":"eligibility","prompt":"x"}`)
	if a.code() != outcome.CodeNoServer || a.outcome() != outcome.NotRun || a.header.Get("Retry-After") == "" {
		t.Fatalf("answer %d %s", a.status, a.body)
	}
}
