package traffic

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const wholeText = "abcdefghijkl"

// rest serves the end of wholeText from the offset that is asked for.
func rest(w http.ResponseWriter, r *http.Request) {
	var from int
	_, _ = fmt.Sscan(r.URL.Query().Get("from"), &from)
	s := newSSE(w, r)
	s.chunk(from, wholeText[from:], "length")
	s.done()
}

// engine serves a first attempt with begin, and fresh connections to it with rest.
func engine(begin func(s *sse, r *http.Request)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, func(w http.ResponseWriter, r *http.Request) { begin(newSSE(w, r), r) })
	mux.HandleFunc("GET "+engineapi.PathStreams+"{id...}", rest)
	return mux
}

func wantWhole(t *testing.T, text string, whole bool) {
	t.Helper()
	if text != wholeText || !whole {
		t.Fatalf("text %q, whole %v; want %q", text, whole, wholeText)
	}
}

// An engine sends a chunk twice and loses another. The caller would read
// doubled words and miss others without any sign of it.
func TestDoubledAndLostChunksAreMended(t *testing.T) {
	b := newBench(t, engine(func(s *sse, _ *http.Request) {
		s.chunk(0, "abcd", "")
		s.chunk(0, "abcd", "")
		s.chunk(8, "ijkl", "length")
		s.done()
	}), nil)
	text, whole := b.ask(as("hotels"), "a question", len(wholeText))
	wantWhole(t, text, whole)
}

// A chunk of an older attempt, or of another member's request, comes on this
// request's connection. The caller would read another's text.
func TestChunkOfAnotherRequestIsDropped(t *testing.T) {
	for name, change := range map[string]func(*engineapi.Chunk){
		"another request": func(c *engineapi.Chunk) { c.RequestID = "importers~r~1" },
		"another attempt": func(c *engineapi.Chunk) { c.Attempt++ },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, engine(func(s *sse, _ *http.Request) {
				s.chunk(0, "abcd", "")
				c := engineapi.Chunk{RequestID: s.id, Attempt: s.attempt, Offset: 4, Tokens: 4, Text: "LEAK"}
				change(&c)
				s.raw(c)
			}), nil)
			text, whole := b.ask(as("hotels"), "a question", len(wholeText))
			wantWhole(t, text, whole)
		})
	}
}

// A stream's connection goes silent for good while new ones work. The caller
// would wait for its answer for ever.
func TestSilentConnectionIsReplaced(t *testing.T) {
	b := newBench(t, engine(func(s *sse, r *http.Request) {
		s.chunk(0, "abcd", "")
		<-r.Context().Done()
	}), nil)
	text, whole := b.ask(as("hotels"), "a question", len(wholeText))
	wantWhole(t, text, whole)
}

// A stream ends without its end marker: the engine lost it. Without the marker
// the caller would take a part of the answer for the whole.
func TestStreamWithoutEndMarkerIsNotWhole(t *testing.T) {
	b := newBench(t, engine(func(s *sse, _ *http.Request) { s.chunk(0, wholeText[:6], "") }), nil)
	text, whole := b.ask(as("hotels"), "a question", len(wholeText))
	wantWhole(t, text, whole)
}

// A caller loses its connection and comes back, here without the text that it
// has. Another member that has learned the request id must not find it.
func TestResumeIsBoundToTheMember(t *testing.T) {
	b := newBench(t, engine(func(s *sse, _ *http.Request) {
		s.chunk(0, wholeText, "length")
		s.done()
	}), nil)
	text, whole := b.ask(as("hotels").with(outcome.HeaderRequestID, "r-1"), "a question", len(wholeText))
	wantWhole(t, text, whole)
	other := b.do("POST", "/v1/requests/r-1/resume", as("importers"), `{"offset":0}`)
	if other.status != http.StatusNotFound || strings.Contains(other.body, "abc") {
		t.Fatalf("another member got %d %s", other.status, other.body)
	}
	own := b.do("POST", "/v1/requests/r-1/resume", as("hotels"), `{"offset":4,"text":"abcd"}`)
	text, whole = streamText(own.body)
	if text != wholeText[4:] || !whole {
		t.Fatalf("own resume: %q, whole %v", text, whole)
	}
}

// A caller comes back in the middle of its stream without the text, its engine
// has lost the stream, and the offset lies within a chunk of the new run.
func TestResumeMakesUnknownTextAgain(t *testing.T) {
	var runs atomic.Int32
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, func(w http.ResponseWriter, r *http.Request) {
		s := newSSE(w, r)
		if runs.Add(1) == 1 {
			s.chunk(0, "abcd", "")
			<-r.Context().Done()
			return
		}
		s.chunk(0, "abcdefgh", "")
		s.chunk(8, "ijkl", "length")
		s.done()
	})
	mux.HandleFunc("GET "+engineapi.PathStreams+"{id...}", func(w http.ResponseWriter, r *http.Request) {
		if runs.Load() == 1 {
			setServerHeaders(w, r)
			w.WriteHeader(http.StatusNotFound)
			return
		}
		rest(w, r)
	})
	b := newBench(t, mux, nil)
	first := b.request("POST", "/v1/completions", as("hotels").with(outcome.HeaderRequestID, "r-1"),
		`{"model":"eligibility","prompt":"a question","max_tokens":12,"stream":true}`)
	b.until("the stream is known", func() bool { return b.server.records.lookup("hotels", "r-1") != nil })
	_ = first.Body.Close()
	resumed := b.do("POST", "/v1/requests/r-1/resume", as("hotels").with("Last-Event-ID", "2"), "")
	if text, whole := streamText(resumed.body); text != wholeText[2:] || !whole {
		t.Fatalf("resumed: %q, whole %v", text, whole)
	}
}

// The same answer in one body, as a chat in one body, and as a chat's stream.
func TestAnswerForms(t *testing.T) {
	b := newBench(t, engine(func(s *sse, _ *http.Request) {
		s.chunk(0, wholeText, "length")
		s.done()
	}), nil)
	for _, c := range []struct{ path, body, want string }{
		{"/v1/completions", `"prompt":"q"`, `"choices":[{"index":0,"text":"abcdefghijkl","finish_reason":"length"}]`},
		{"/v1/chat/completions", `"messages":[{"role":"user","content":"q"}]`, `"message":{"role":"assistant","content":"abcdefghijkl"},"finish_reason":"length"`},
		{"/v1/chat/completions", `"stream":true,"messages":[{"role":"user","content":"q"}]`, `"delta":{"content":"abcdefghijkl"}`},
	} {
		a := b.do("POST", c.path, as("hotels"), `{"model":"eligibility","max_tokens":12,`+c.body+`}`)
		if a.status != http.StatusOK || !strings.Contains(a.body, c.want) || a.outcome() != outcome.Ran {
			t.Errorf("%s: %d %s", c.path, a.status, a.body)
		}
	}
	if a := b.do("POST", "/v1/chat/completions", as("hotels"), `{"model":"eligibility"}`); a.status != http.StatusBadRequest {
		t.Errorf("without messages: %d", a.status)
	}
}

// A request kills the engine's process. Its connection breaks, and the next one
// is refused: control must learn of the death and of what ran there, or the
// request goes on to kill one engine after the other.
func TestDeadEngineIsReportedWithWhatRanThere(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dying := &http.Server{Handler: engine(func(s *sse, _ *http.Request) {
		_ = ln.Close()
		s.chunk(0, "ab", "")
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = dying.Serve(ln) }()
	b := newBench(t, nil, nil)
	b.control.addServer(&pb.BackendServer{
		Id: "engine-1", Kind: pb.ServerKind_SERVER_KIND_MODEL, Model: "review", Role: pb.EngineRole_ENGINE_ROLE_MIXED,
		Incarnation: testLife, Address: ln.Addr().String(), State: pb.ServerState_SERVER_STATE_SERVING, Slots: 8,
	})
	b.until("the engine is known", func() bool { return b.server.host.Snapshot().ViewVersion == 2 })
	b.request("POST", "/v1/completions", as("hotels"), `{"model":"eligibility","prompt":"x","max_tokens":12,"stream":true}`)
	b.until("the death is reported", func() bool { return len(b.control.deaths()) > 0 })
	if d := b.control.deaths()[0]; d.Server != "engine-1" || len(d.Suspects) != 1 || d.Suspects[0].Member != "hotels" {
		t.Fatalf("death %v", d)
	}
}

// A caller goes away in the middle of its answer. Without a cancel the engine
// would spend its time on tokens that nobody reads.
func TestGoneCallersStreamIsCancelled(t *testing.T) {
	cancelled := make(chan struct{}, 8)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, func(w http.ResponseWriter, r *http.Request) {
		s := newSSE(w, r)
		for i := 0; r.Context().Err() == nil && i < 90; i++ {
			s.chunk(i, "x", "")
			time.Sleep(20 * time.Millisecond)
		}
	})
	mux.HandleFunc("POST "+engineapi.PathCancel, func(http.ResponseWriter, *http.Request) { cancelled <- struct{}{} })
	b := newBench(t, mux, nil)
	resp := b.request("POST", "/v1/completions", as("hotels"),
		`{"model":"eligibility","prompt":"a question","max_tokens":100,"stream":true}`)
	_ = resp.Body.Close()
	select {
	case <-cancelled:
	case <-time.After(patience):
		t.Fatal("no cancel reached the engine")
	}
}

// fiber reuses a request's buffers for the next one. A part of one member's
// request that is kept past its handler turns into the next member's: when the
// first member resumes its stream, it would get an answer to the other's prompt.
func TestKeptRequestIsNotOverwritten(t *testing.T) {
	b := newBench(t, engine(func(s *sse, _ *http.Request) {
		s.chunk(0, wholeText, "length")
		s.done()
	}), nil)
	body := `{"model":"eligibility","prompt":"of the member %s","max_tokens":12,"stream":true}`
	for i := range 20 {
		id := fmt.Sprintf("mine-%04d", i)
		b.do("POST", "/v1/completions", as("hotels").with(outcome.HeaderRequestID, id), fmt.Sprintf(body, "AAAAAA"))
	}
	for i := range 40 {
		id := fmt.Sprintf("not-%05d", i)
		b.do("POST", "/v1/completions", as("importers").with(outcome.HeaderRequestID, id), fmt.Sprintf(body, "BBBBBB"))
	}
	for i := range 20 {
		r := b.server.records.lookup("hotels", fmt.Sprintf("mine-%04d", i))
		if r == nil || string(r.Body) != fmt.Sprintf(body, "AAAAAA") || r.Member != "hotels" {
			t.Fatalf("kept request %d: %v", i, r)
		}
	}
}

// An entry is stopped while a stream runs longer than the stop may take. The
// caller must be told that its answer is not whole and where to go on.
func TestPlannedStopHandsStreamsOn(t *testing.T) {
	b := newBench(t, engine(func(s *sse, r *http.Request) {
		for i := 0; r.Context().Err() == nil && i < 90; i++ {
			s.chunk(i, "x", "")
			time.Sleep(100 * time.Millisecond)
		}
	}), nil)
	go func() {
		b.until("the stream runs", func() bool { return b.server.jobs.count() > 0 })
		b.stop()
	}()
	a := b.do("POST", "/v1/completions", as("hotels").with(outcome.HeaderRequestID, "r-1"),
		`{"model":"eligibility","prompt":"a question","max_tokens":100,"stream":true}`)
	if !strings.Contains(a.body, "event: error") || !strings.Contains(a.body, `"path":"/v1/requests/r-1/resume"`) {
		t.Fatalf("the stream ended with %q", a.body[max(0, len(a.body)-400):])
	}
	select {
	case err := <-b.ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(patience):
		t.Fatal("the entry did not stop")
	}
}
