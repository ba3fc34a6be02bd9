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

// heard is a caller that notes what it got.
type heard struct {
	whole    int
	refusals []*outcome.Refusal
	events   int
	ends     []bool
}

func (h *heard) Whole(*Head, []byte)       { h.whole++ }
func (h *heard) Refuse(r *outcome.Refusal) { h.refusals = append(h.refusals, r) }
func (h *heard) Begin(*Head) error         { return nil }
func (h *heard) Event([]byte) error        { h.events++; return nil }
func (h *heard) End(complete bool)         { h.ends = append(h.ends, complete) }

// newTestServer gives a relay whose reducer is not stepped: the test plays its part.
func newTestServer(t *testing.T, out *bytes.Buffer) *Server {
	t.Helper()
	set := &settings.Entry{PeerAddress: "127.0.0.1:0", MaxStreams: 10}
	set.Control = []string{"127.0.0.1:1"}
	set.Auth.TrustedNetwork = true
	h, err := host.New(set, slog.New(slog.NewJSONHandler(out, nil)), "")
	if err != nil {
		t.Fatal(err)
	}
	return New(h, nil)
}

func newTestJob(s *Server, caller Caller, box chan entry.Effect) *job {
	j := &job{
		s: s, req: &Request{ID: "r1"}, route: &declaration.HostRoute{Name: "reviews"},
		caller: &answering{Caller: caller}, box: box,
	}
	j.arrived.Work.RequestID = "r1#1"
	j.log = newJobLog(j)
	return j
}

// An engine has read a prompt just as the request's time runs out. The reducer names the
// engine that decodes, the request's goroutine no longer waits for it and tells that the
// attempt has ended. The name came next in its mailbox and was taken for the final effect:
// there was no answer to give, and the panic ended the entry with all its streams.
func TestDecoderNamedAfterTheTimeIsUpEndsNothing(t *testing.T) {
	var out bytes.Buffer
	caller, box := &heard{}, make(chan entry.Effect, 2)
	j := newTestJob(newTestServer(t, &out), caller, box)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	d := entry.Dispatch{RequestID: "r1#1", Attempt: 1, Server: "decodes", PrefillServer: "reads"}
	var ended entry.AttemptEnded
	if next, err := j.decodeAt(ctx, &d, &ended); next != nil || err == nil || !ended.AtPrefillServer {
		t.Fatalf("the attempt goes on: %v, %v", next, err)
	}
	if j.take(ctx, entry.DecodeAt{RequestID: "r1#1", Attempt: 1, Server: "other"}) {
		t.Error("the request ended with the engine's name")
	}
	refusal := &outcome.Refusal{Status: 504, Code: outcome.CodeDeadline, Outcome: outcome.Unknown}
	if !j.take(ctx, entry.Refuse{RequestID: "r1#1", Refusal: refusal}) {
		t.Error("the refusal did not end the request")
	}
	if len(caller.refusals) != 1 || caller.refusals[0] != refusal || caller.whole != 0 {
		t.Errorf("the caller got %+v", caller)
	}
	if !bytes.Contains(out.Bytes(), []byte(obs.LineLateDecodeEngine)) {
		t.Errorf("no line tells of it: %s", out.String())
	}
}

// One request meets a fault of the program. The other requests of the entry must go on,
// and its own caller must get one final answer that promises no more than is known: "not
// run" only while no server can have it, a stream that has begun does not look whole, and
// what has its answer gets no second one.
func TestFaultInOneRequestEndsThatRequestOnly(t *testing.T) {
	for _, test := range []struct {
		name string
		at   answering
		want heard
		says outcome.Outcome
	}{
		{name: "before it was sent", want: heard{}, says: outcome.NotRun},
		{name: "after it was sent", at: answering{sent: true}, says: outcome.Unknown},
		{name: "in its stream", at: answering{sent: true, begun: true}, want: heard{ends: []bool{false}}},
		{name: "after its answer", at: answering{sent: true, ended: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			s, caller := newTestServer(t, &out), &heard{}
			test.at.Caller = caller
			s.abandon(&test.at)
			if test.says != "" {
				if len(caller.refusals) != 1 || caller.refusals[0].Outcome != test.says {
					t.Fatalf("refused with %+v, want %q", caller.refusals, test.says)
				}
				return
			}
			if len(caller.refusals) != 0 || len(caller.ends) != len(test.want.ends) {
				t.Fatalf("the caller got %+v", caller)
			}
		})
	}
}

// The panic of a request's goroutine is caught, with a line that has its stack.
func TestFaultIsLoggedWithItsStack(t *testing.T) {
	var out bytes.Buffer
	s, caller := newTestServer(t, &out), &heard{}
	s.host.Settings = nil // the request's first step needs them
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
		t.Fatalf("the line: %s", out.String())
	}
}
