package ctl

import (
	"bytes"
	"strings"
	"testing"
)

// A failed request must be explained by the failed attempt that caused it, from the unsorted logs of
// several entries that also contain lines of other requests and of other programs.
func TestExplainNamesTheCause(t *testing.T) {
	const at = `{"time":"2026-12-03T00:00:0`
	logs := strings.Join([]string{
		at + `2Z","msg":"answered","process":"entry-a","request_id":"r1","how":"cut","ms":2000,"reason":"its time was over"}`,
		at + `0Z","msg":"decision","process":"entry-a","kind":"route","request_id":"r1","server":"s1","reason":"lowest cost"}`,
		`   1.5 entry-a ` + at + `1Z","msg":"attempt failed","process":"entry-a","request_id":"r1","server":"s1","error":"connection reset","took_ms":900}`,
		at + `1Z","msg":"attempt failed","process":"entry-b","request_id":"r2","server":"s2","status":500}`,
		`not a line of r1 {`,
	}, "\n")
	list, err := requestLines(strings.NewReader(logs), "r1")
	if err != nil || len(list) != 3 {
		t.Fatalf("%d lines, %v", len(list), err)
	}
	var out bytes.Buffer
	if err := explain(&out, list); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(rows) != 4 || !strings.Contains(rows[0], "decision, route, s1") || !strings.Contains(rows[2], "answered, cut") {
		t.Fatalf("printed:\n%s", out.String())
	}
	if got := rows[3]; got != "cause: attempt failed at s1 (connection reset); then: answered, cut, its time was over" {
		t.Fatalf("cause: %s", got)
	}
}

// Each way in which a request ends must be reported with its own cause.
func TestExplainDistinguishesHowRequestsEnd(t *testing.T) {
	for name, c := range map[string]struct{ logs, cause string }{
		"answered": {`{"msg":"answered","request_id":"r1","how":"stream","server":"s1","ms":40}`, "none: answered by s1 after 40 ms"},
		"refused":  {`{"msg":"refused","request_id":"r1","code":"overloaded","status":503,"outcome":"not_run","reason":"full"}`, "refused, overloaded, not_run, full, status 503"},
		"caller left": {
			`{"msg":"attempt failed","request_id":"r1","server":"s1","error":"EOF"}
			{"msg":"answered","request_id":"r1","how":"caller gone","server":"s1","ms":3200}`,
			"the caller disconnected after 3200 ms while waiting for s1",
		},
		"no end": {`{"msg":"decision","request_id":"r1","kind":"route"}`, "not known: the request has no final line; its process may have ended, or lines were dropped"},
	} {
		list, err := requestLines(strings.NewReader(c.logs), "r1")
		if err != nil || cause(list) != c.cause {
			t.Errorf("%s: %q, %v", name, cause(list), err)
		}
	}
	if list, err := requestLines(strings.NewReader("{}\n\n"), "r1"); err != nil || len(list) != 0 {
		t.Errorf("input without lines of the request: %v, %v", list, err)
	}
}
