package ctl

import (
	"bytes"
	"strings"
	"testing"
)

// A clerk's question failed. On call has the logs of all entries in one heap, out of order
// and with other requests between them, and wants the one line that decided it.
func TestExplainNamesTheDecidingLine(t *testing.T) {
	const at = `{"time":"2026-12-03T00:00:0`
	logs := strings.Join([]string{
		at + `2Z","msg":"answered","process":"entry-a","request_id":"r1","how":"cut","ms":2000,"reason":"its time was over"}`,
		at + `0Z","msg":"decision","process":"entry-a","kind":"route","request_id":"r1","server":"s1","reason":"lowest cost"}`,
		`   1.5 entry-a ` + at + `1Z","msg":"attempt failed","process":"entry-a","request_id":"r1","server":"s1","error":"connection reset","took_ms":900}`,
		at + `1Z","msg":"attempt failed","process":"entry-b","request_id":"r2","server":"s2","status":500}`,
		`not a line of r1 {`,
	}, "\n")
	list, err := linesOf(strings.NewReader(logs), "r1")
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

// Requests that ended otherwise: each has its own cause.
func TestExplainTellsEndsApart(t *testing.T) {
	for name, c := range map[string]struct{ logs, cause string }{
		"answered": {`{"msg":"answered","request_id":"r1","how":"stream","server":"s1","ms":40}`, "none: it was answered by s1 after 40 ms"},
		"refused":  {`{"msg":"refused","request_id":"r1","code":"overloaded","status":503,"outcome":"not_run","reason":"full"}`, "refused, overloaded, not_run, full, status 503"},
		"caller left": {
			`{"msg":"attempt failed","request_id":"r1","server":"s1","error":"EOF"}
			{"msg":"answered","request_id":"r1","how":"caller gone","server":"s1","ms":3200}`,
			"its caller left after 3200 ms, waiting for s1",
		},
		"no end": {`{"msg":"decision","request_id":"r1","kind":"route"}`, "not known: the request has no last line; its process may have ended, or lines were dropped"},
	} {
		list, err := linesOf(strings.NewReader(c.logs), "r1")
		if err != nil || cause(list) != c.cause {
			t.Errorf("%s: %q, %v", name, cause(list), err)
		}
	}
	if list, err := linesOf(strings.NewReader("{}\n\n"), "r1"); err != nil || len(list) != 0 {
		t.Errorf("nothing told of it: %v, %v", list, err)
	}
}
