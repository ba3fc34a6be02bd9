package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// recordingCaller records the calls that it gets.
type recordingCaller struct {
	responses int
	refusals  []*outcome.Refusal
	events    int
	ends      []bool
}

func (h *recordingCaller) Respond(*Head, []byte)                   { h.responses++ }
func (h *recordingCaller) Refuse(r *outcome.Refusal)               { h.refusals = append(h.refusals, r) }
func (h *recordingCaller) BeginStream(*Head) error                 { return nil }
func (h *recordingCaller) SendEvent(context.Context, []byte) error { h.events++; return nil }
func (h *recordingCaller) EndStream(complete bool)                 { h.ends = append(h.ends, complete) }

// newTestServer returns a relay whose reducer does not run: the test supplies its effects.
func newTestServer(t *testing.T, logOutput *bytes.Buffer) *Server {
	t.Helper()
	set := &settings.Entry{PeerAddress: "127.0.0.1:0", MaxStreams: 10}
	set.Control = []string{"127.0.0.1:1"}
	set.Auth.TrustedNetwork = true
	h, err := host.New(set, slog.New(slog.NewJSONHandler(logOutput, nil)), "")
	if err != nil {
		t.Fatal(err)
	}
	return New(h, nil)
}

func newTestJob(s *Server, caller Caller, effects chan entry.Effect) *job {
	j := &job{
		s: s, req: &Request{ID: "r1"}, route: &declaration.HostRoute{Name: "reviews"},
		caller: &trackedCaller{Caller: caller}, effects: effects,
	}
	j.arrived.Work.RequestID = "r1#1"
	j.log = newJobLog(j)
	return j
}

// Guards against the panic of an entry on a decode engine that is named too late. The request's
// deadline passes while the reducer chooses the engine that decodes. The goroutine reports the
// end of the attempt and then finds DecodeAt in its mailbox. Taken for the final effect,
// DecodeAt leaves no answer to send, and the panic ends all streams of the entry.
func TestDecodeEngineNamedAfterDeadlineDoesNotEndRequest(t *testing.T) {
	var out bytes.Buffer
	caller, effects := &recordingCaller{}, make(chan entry.Effect, 2)
	j := newTestJob(newTestServer(t, &out), caller, effects)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	d := entry.Dispatch{RequestID: "r1#1", Attempt: 1, Server: "decoder", PrefillServer: "prefiller"}
	var ended entry.AttemptEnded
	if next, err := j.decodeAt(ctx, &d, &ended); next != nil || err == nil || !ended.AtPrefillServer {
		t.Fatalf("the attempt has not ended: effect %v, error %v", next, err)
	}
	if j.handleEffect(ctx, entry.DecodeAt{RequestID: "r1#1", Attempt: 1, Server: "other"}) {
		t.Error("DecodeAt ended the request")
	}
	refusal := &outcome.Refusal{Status: 504, Code: outcome.CodeDeadline, Outcome: outcome.Unknown}
	if !j.handleEffect(ctx, entry.Refuse{RequestID: "r1#1", Refusal: refusal}) {
		t.Error("the refusal did not end the request")
	}
	if len(caller.refusals) != 1 || caller.refusals[0] != refusal || caller.responses != 0 {
		t.Errorf("the caller got %+v", caller)
	}
	if !bytes.Contains(out.Bytes(), []byte(obs.LineLateDecodeEngine)) {
		t.Errorf("no log line of the dropped engine: %s", out.String())
	}
}

// Guards against a panic in one request that ends other requests, or that gives its own caller a
// wrong answer. The caller gets exactly one final answer: "not run" only while no server can
// have the request, a stream that has begun must not look complete, and a request that has been
// answered gets no second answer.
func TestPanicInOneRequestEndsThatRequestOnly(t *testing.T) {
	for _, test := range []struct {
		name        string
		at          trackedCaller
		want        recordingCaller
		wantOutcome outcome.Outcome
	}{
		{name: "before it was sent", want: recordingCaller{}, wantOutcome: outcome.NotRun},
		{name: "after it was sent", at: trackedCaller{dispatched: true}, wantOutcome: outcome.Unknown},
		{name: "in its stream", at: trackedCaller{dispatched: true, streamBegun: true}, want: recordingCaller{ends: []bool{false}}},
		{name: "after its answer", at: trackedCaller{dispatched: true, ended: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			s, caller := newTestServer(t, &out), &recordingCaller{}
			test.at.Caller = caller
			s.endAfterPanic(&test.at)
			if test.wantOutcome != "" {
				if len(caller.refusals) != 1 || caller.refusals[0].Outcome != test.wantOutcome {
					t.Fatalf("refused with %+v, want %q", caller.refusals, test.wantOutcome)
				}
				return
			}
			if len(caller.refusals) != 0 || len(caller.ends) != len(test.want.ends) {
				t.Fatalf("the caller got %+v", caller)
			}
		})
	}
}

// Guards against a panic that is recovered without a trace: the log line must hold the stack.
func TestPanicIsLoggedWithItsStack(t *testing.T) {
	var out bytes.Buffer
	s, caller := newTestServer(t, &out), &recordingCaller{}
	s.host.Settings = nil // serve panics when it reads them
	s.Serve(t.Context(), &Request{ID: "r1"}, caller)
	if len(caller.refusals) != 1 || caller.refusals[0].Outcome != outcome.NotRun {
		t.Fatalf("the caller got %+v", caller)
	}
	var line struct {
		Msg, Panic string
		Request    string `json:"request_id"`
	}
	if err := json.Unmarshal(bytes.Split(out.Bytes(), []byte("\n"))[0], &line); err != nil {
		t.Fatal(err)
	}
	if line.Msg != obs.LineTaskPanicked || line.Request != "r1" || !bytes.Contains([]byte(line.Panic), []byte("relay.(*Server).serve")) {
		t.Fatalf("unexpected log line: %s", out.String())
	}
}
