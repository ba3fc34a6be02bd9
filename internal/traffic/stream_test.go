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

const fullText = "abcdefghijkl"

// serveRest serves the rest of fullText from the requested offset.
func serveRest(w http.ResponseWriter, r *http.Request) {
	var from int
	_, _ = fmt.Sscan(r.URL.Query().Get("from"), &from)
	s := newSSEWriter(w, r)
	s.writeText(from, fullText[from:], "length")
	s.writeDone()
}

// newFakeEngine serves new streams with begin, and reconnects with serveRest.
func newFakeEngine(begin func(s *sseWriter, r *http.Request)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, func(w http.ResponseWriter, r *http.Request) { begin(newSSEWriter(w, r), r) })
	mux.HandleFunc("GET "+engineapi.PathStreams+"{id...}", serveRest)
	return mux
}

func wantComplete(t *testing.T, text string, complete bool) {
	t.Helper()
	if text != fullText || !complete {
		t.Fatalf("text %q, complete %v; want %q", text, complete, fullText)
	}
}

// An engine sends one chunk twice and loses another. Without a check of the
// offsets, the caller would get text with duplicate and missing words and could
// not notice.
func TestDuplicateAndLostChunksAreRepaired(t *testing.T) {
	f := newFixture(t, newFakeEngine(func(s *sseWriter, _ *http.Request) {
		s.writeText(0, "abcd", "")
		s.writeText(0, "abcd", "")
		s.writeText(8, "ijkl", "length")
		s.writeDone()
	}), nil)
	text, complete := f.askStream(asMember("hotels"), "a question", len(fullText))
	wantComplete(t, text, complete)
}

// A chunk of an earlier attempt, or of another member's request, arrives on
// this request's connection. If it were passed on, the caller would read text
// that is not its own.
func TestChunkOfAnotherRequestIsDropped(t *testing.T) {
	for name, change := range map[string]func(*engineapi.Chunk){
		"another request": func(c *engineapi.Chunk) { c.RequestID = "importers~r~1" },
		"another attempt": func(c *engineapi.Chunk) { c.Attempt++ },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newFakeEngine(func(s *sseWriter, _ *http.Request) {
				s.writeText(0, "abcd", "")
				c := engineapi.Chunk{RequestID: s.id, Attempt: s.attempt, Offset: 4, Tokens: 4, Text: "LEAK"}
				change(&c)
				s.writeChunk(c)
			}), nil)
			text, complete := f.askStream(asMember("hotels"), "a question", len(fullText))
			wantComplete(t, text, complete)
		})
	}
}

// A stream's connection goes silent for good while new connections work.
// Without a read deadline the caller would wait forever.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newFixture(t, newFakeEngine(func(s *sseWriter, r *http.Request) {
		s.writeText(0, "abcd", "")
		<-r.Context().Done()
	}), nil)
	text, complete := f.askStream(asMember("hotels"), "a question", len(fullText))
	wantComplete(t, text, complete)
}

// A stream ends without its end marker because the engine lost it. If the
// missing marker were ignored, the caller would take a partial answer for the
// full one.
func TestStreamWithoutEndMarkerIsResumed(t *testing.T) {
	f := newFixture(t, newFakeEngine(func(s *sseWriter, _ *http.Request) { s.writeText(0, fullText[:6], "") }), nil)
	text, complete := f.askStream(asMember("hotels"), "a question", len(fullText))
	wantComplete(t, text, complete)
}

// A caller loses its connection and resumes its stream. Another member that has
// learned the request id must not find the stream.
func TestResumeIsBoundToTheMember(t *testing.T) {
	f := newFixture(t, newFakeEngine(func(s *sseWriter, _ *http.Request) {
		s.writeText(0, fullText, "length")
		s.writeDone()
	}), nil)
	text, complete := f.askStream(asMember("hotels").with(outcome.HeaderRequestID, "r-1"), "a question", len(fullText))
	wantComplete(t, text, complete)
	other := f.do("POST", "/v1/requests/r-1/resume", asMember("importers"), `{"offset":0}`)
	if other.status != http.StatusNotFound || strings.Contains(other.body, "abc") {
		t.Fatalf("another member got %d %s", other.status, other.body)
	}
	own := f.do("POST", "/v1/requests/r-1/resume", asMember("hotels"), `{"offset":4,"text":"abcd"}`)
	text, complete = streamText(own.body)
	if text != fullText[4:] || !complete {
		t.Fatalf("own resume: %q, complete %v", text, complete)
	}
}

// A caller resumes in the middle of its stream without sending its text. The
// engine has lost the stream, and the offset lies within a chunk of the new
// run.
func TestResumeRegeneratesUnknownText(t *testing.T) {
	var runs atomic.Int32
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, func(w http.ResponseWriter, r *http.Request) {
		s := newSSEWriter(w, r)
		if runs.Add(1) == 1 {
			s.writeText(0, "abcd", "")
			<-r.Context().Done()
			return
		}
		s.writeText(0, "abcdefgh", "")
		s.writeText(8, "ijkl", "length")
		s.writeDone()
	})
	mux.HandleFunc("GET "+engineapi.PathStreams+"{id...}", func(w http.ResponseWriter, r *http.Request) {
		if runs.Load() == 1 {
			setServerHeaders(w, r)
			w.WriteHeader(http.StatusNotFound)
			return
		}
		serveRest(w, r)
	})
	f := newFixture(t, mux, nil)
	first := f.request("POST", "/v1/completions", asMember("hotels").with(outcome.HeaderRequestID, "r-1"),
		`{"model":"eligibility","prompt":"a question","max_tokens":12,"stream":true}`)
	f.waitFor("the stream's record exists", func() bool { return f.server.records.lookup("hotels", "r-1") != nil })
	_ = first.Body.Close()
	resumed := f.do("POST", "/v1/requests/r-1/resume", asMember("hotels").with("Last-Event-ID", "2"), "")
	if text, complete := streamText(resumed.body); text != fullText[2:] || !complete {
		t.Fatalf("resumed: %q, complete %v", text, complete)
	}
}

// Checks the formats of a completion in one body, a chat in one body and a
// streamed chat.
func TestAnswerForms(t *testing.T) {
	f := newFixture(t, newFakeEngine(func(s *sseWriter, _ *http.Request) {
		s.writeText(0, fullText, "length")
		s.writeDone()
	}), nil)
	for _, c := range []struct{ path, body, want string }{
		{"/v1/completions", `"prompt":"q"`, `"choices":[{"index":0,"text":"abcdefghijkl","finish_reason":"length"}]`},
		{"/v1/chat/completions", `"messages":[{"role":"user","content":"q"}]`, `"message":{"role":"assistant","content":"abcdefghijkl"},"finish_reason":"length"`},
		{"/v1/chat/completions", `"stream":true,"messages":[{"role":"user","content":"q"}]`, `"delta":{"content":"abcdefghijkl"}`},
	} {
		a := f.do("POST", c.path, asMember("hotels"), `{"model":"eligibility","max_tokens":12,`+c.body+`}`)
		if a.status != http.StatusOK || !strings.Contains(a.body, c.want) || a.outcome() != outcome.Ran {
			t.Errorf("%s: %d %s", c.path, a.status, a.body)
		}
	}
	if a := f.do("POST", "/v1/chat/completions", asMember("hotels"), `{"model":"eligibility"}`); a.status != http.StatusBadRequest {
		t.Errorf("without messages: %d", a.status)
	}
}

// A request crashes the engine's process: its connection breaks and the next
// one is refused. Control must learn of the death and of the requests that ran
// there. Otherwise the request would go on to crash one engine after another.
func TestDeadEngineIsReportedWithWhatRanThere(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dying := &http.Server{Handler: newFakeEngine(func(s *sseWriter, _ *http.Request) {
		_ = ln.Close()
		s.writeText(0, "ab", "")
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = dying.Serve(ln) }()
	f := newFixture(t, nil, nil)
	f.control.publishServer(&pb.BackendServer{
		Id: "engine-1", Kind: pb.ServerKind_SERVER_KIND_MODEL, Model: "review", Role: pb.EngineRole_ENGINE_ROLE_MIXED,
		Incarnation: testIncarnation, Address: ln.Addr().String(), State: pb.ServerState_SERVER_STATE_SERVING, Slots: 8,
	})
	f.waitFor("the engine is known", func() bool { return f.server.host.Snapshot().ViewVersion == 2 })
	f.request("POST", "/v1/completions", asMember("hotels"), `{"model":"eligibility","prompt":"x","max_tokens":12,"stream":true}`)
	f.waitFor("the death is reported", func() bool { return len(f.control.deaths()) > 0 })
	if d := f.control.deaths()[0]; d.Server != "engine-1" || len(d.Suspects) != 1 || d.Suspects[0].Member != "hotels" {
		t.Fatalf("death %v", d)
	}
}

// A caller disconnects in the middle of its answer. Without a cancel the engine
// would spend its time on tokens that nobody reads.
func TestDisconnectedCallersStreamIsCancelled(t *testing.T) {
	cancelled := make(chan struct{}, 8)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, func(w http.ResponseWriter, r *http.Request) {
		s := newSSEWriter(w, r)
		for i := 0; r.Context().Err() == nil && i < 90; i++ {
			s.writeText(i, "x", "")
			time.Sleep(20 * time.Millisecond)
		}
	})
	mux.HandleFunc("POST "+engineapi.PathCancel, func(http.ResponseWriter, *http.Request) { cancelled <- struct{}{} })
	f := newFixture(t, mux, nil)
	resp := f.request("POST", "/v1/completions", asMember("hotels"),
		`{"model":"eligibility","prompt":"a question","max_tokens":100,"stream":true}`)
	_ = resp.Body.Close()
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("no cancel reached the engine")
	}
}

// fiber reuses a request's buffers for the next request. Data that is kept
// after its handler without a copy would be overwritten by the next member's
// request. When the first member resumed its stream, it would get an answer to
// the other's prompt.
func TestKeptRequestIsNotOverwritten(t *testing.T) {
	f := newFixture(t, newFakeEngine(func(s *sseWriter, _ *http.Request) {
		s.writeText(0, fullText, "length")
		s.writeDone()
	}), nil)
	body := `{"model":"eligibility","prompt":"of the member %s","max_tokens":12,"stream":true}`
	for i := range 20 {
		id := fmt.Sprintf("mine-%04d", i)
		f.do("POST", "/v1/completions", asMember("hotels").with(outcome.HeaderRequestID, id), fmt.Sprintf(body, "AAAAAA"))
	}
	for i := range 40 {
		id := fmt.Sprintf("not-%05d", i)
		f.do("POST", "/v1/completions", asMember("importers").with(outcome.HeaderRequestID, id), fmt.Sprintf(body, "BBBBBB"))
	}
	for i := range 20 {
		r := f.server.records.lookup("hotels", fmt.Sprintf("mine-%04d", i))
		if r == nil || string(r.Body) != fmt.Sprintf(body, "AAAAAA") || r.Member != "hotels" {
			t.Fatalf("kept request %d: %v", i, r)
		}
	}
}

// An entry is stopped while a stream needs longer than the stop timeout. The
// caller must be told that its answer is incomplete and where to resume.
func TestPlannedStopHandsOffStreams(t *testing.T) {
	f := newFixture(t, newFakeEngine(func(s *sseWriter, r *http.Request) {
		for i := 0; r.Context().Err() == nil && i < 90; i++ {
			s.writeText(i, "x", "")
			time.Sleep(100 * time.Millisecond)
		}
	}), nil)
	go func() {
		f.waitFor("the stream runs", func() bool { return f.server.jobs.count() > 0 })
		f.stop()
	}()
	a := f.do("POST", "/v1/completions", asMember("hotels").with(outcome.HeaderRequestID, "r-1"),
		`{"model":"eligibility","prompt":"a question","max_tokens":100,"stream":true}`)
	if !strings.Contains(a.body, "event: error") || !strings.Contains(a.body, `"path":"/v1/requests/r-1/resume"`) {
		t.Fatalf("the stream ended with %q", a.body[max(0, len(a.body)-400):])
	}
	select {
	case err := <-f.runResult:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the entry did not stop")
	}
}
