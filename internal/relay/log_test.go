package relay

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// Guards against a log line that blames the wrong server. The first attempt's server answers
// 500, the second one's connection breaks; the line of the second attempt must not show the
// status of the first.
func TestAttemptLogLineHasItsOwnStatus(t *testing.T) {
	var out bytes.Buffer
	s := &Server{host: &host.Host{Log: slog.New(slog.NewJSONHandler(&out, nil))}}
	j := &job{s: s, req: &Request{ID: "r1"}, route: &declaration.HostRoute{Name: "lookups"}}
	j.log = newJobLog(j)
	first := entry.Dispatch{Server: "a", Attempt: 1}
	j.log.dispatched(first)
	j.log.status = 500
	j.serverError = &bufferedResponse{head: Head{Status: 500}}
	j.log.attemptEnded(first, &entry.AttemptEnded{Elapsed: time.Millisecond}, nil)
	second := entry.Dispatch{Server: "b", Attempt: 2}
	j.log.dispatched(second)
	j.log.attemptEnded(second, &entry.AttemptEnded{Elapsed: time.Millisecond}, httpconn.Broken.New("cut"))
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	if len(lines) != 2 {
		t.Fatalf("%d lines: %s", len(lines), out.String())
	}
	status := func(line []byte) any {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatal(err)
		}
		return fields["status"]
	}
	if got := status(lines[0]); got != 500.0 {
		t.Errorf("first attempt: status %v", got)
	}
	if got := status(lines[1]); got != nil {
		t.Errorf("second attempt: status %v of another server", got)
	}
}

// Guards against a log line that blames the wrong engine: one engine fails a separate prefill
// while another one was planned to decode. The line must name the engine that failed.
func TestAttemptLogLineNamesTheFailedEngine(t *testing.T) {
	var out bytes.Buffer
	s := &Server{host: &host.Host{Log: slog.New(slog.NewJSONHandler(&out, nil))}}
	j := &job{s: s, req: &Request{ID: "r1"}, route: &declaration.HostRoute{Name: "dossiers"}}
	j.log = newJobLog(j)
	d := entry.Dispatch{Server: "decoder", PrefillServer: "prefiller", PrefillIncarnation: "prefiller~2", Attempt: 1}
	j.log.dispatched(d)
	j.log.attemptEnded(d, &entry.AttemptEnded{AtPrefillServer: true}, httpconn.Broken.New("cut"))
	var fields map[string]any
	if err := json.Unmarshal(out.Bytes(), &fields); err != nil {
		t.Fatal(err)
	}
	if fields["server"] != "prefiller" || fields["incarnation"] != "prefiller~2" {
		t.Fatalf("the line names server %v, incarnation %v", fields["server"], fields["incarnation"])
	}
}

// Guards against a final log line from which an operator can't tell why callers take an entry
// for dead. The line of a request that waited until its caller disconnected must show its time
// limit and whether it was the first on its connection: to callers, an entry that leaves one new
// connection after the other unanswered looks like one that accepts none.
func TestFinalLogLineHasTimeLimitAndConnection(t *testing.T) {
	var out bytes.Buffer
	h := &host.Host{Log: slog.New(slog.NewJSONHandler(&out, nil)), Metrics: obs.NewMetrics("test"), TaskContext: t.Context()}
	j := &job{s: &Server{host: h}, req: &Request{ID: "r1", ConnectionSeq: 1}, route: &declaration.HostRoute{Name: "lookups"}}
	j.arrived.Work.Arrived, j.arrived.Work.FinishBy = time.Second, 1600*time.Millisecond
	j.log = newJobLog(j)
	j.log.answered("caller gone")
	j.log.refused(&outcome.Refusal{Status: 503})
	for _, line := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatal(err)
		}
		if fields["limit_ms"] != 600.0 || fields["on_connection"] != 1.0 {
			t.Errorf("limit %v, on connection %v: %s", fields["limit_ms"], fields["on_connection"], line)
		}
	}
}
