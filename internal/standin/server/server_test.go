package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/standin/answer"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

// startServer runs a stand-in server. Calling leave makes it drain and stop.
func startServer(t *testing.T, configure func(*Config)) (s *Server, path string, leave func()) {
	t.Helper()
	c := Default()
	c.Cluster, c.ID, c.Address = "test", "engine-a1", "127.0.0.1:0"
	c.TimeScale, c.LeaveTime = 20, 50*time.Millisecond
	c.Journal = filepath.Join(t.TempDir(), "engine.journal")
	if configure != nil {
		configure(&c)
	}
	s, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := s.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() { cancel(); wg.Wait() })
	return s, c.Journal, cancel
}

func post(t *testing.T, s *Server, path string, body any) *http.Response {
	t.Helper()
	data, _ := json.Marshal(body)
	resp, err := http.Post("http://"+s.Address()+path, "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// readText reads the stream up to the end marker or up to limit tokens. complete
// reports whether the end marker arrived.
func readText(t *testing.T, body io.Reader, limit int) (text string, tokens int, complete bool) {
	t.Helper()
	lines := bufio.NewScanner(body)
	for lines.Scan() && tokens < limit {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == engineapi.DoneMarker {
			return text, tokens, true
		}
		var c engineapi.Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatal(err)
		}
		text += c.Text
		tokens += c.Tokens
	}
	return text, tokens, false
}

const prompt = "[member=hotels] what now? [request=r1]"

func completion(attempt uint32) engineapi.CompletionRequest {
	return engineapi.CompletionRequest{RequestID: "hotels~r1", Attempt: attempt, Prompt: prompt, MaxTokens: 60, Seed: 7, Stream: true}
}

func TestStreamResumesAtAnOffset(t *testing.T) {
	s, _, _ := startServer(t, nil)
	first, tokens, _ := readText(t, post(t, s, engineapi.PathCompletions, completion(1)).Body, 10)
	url := fmt.Sprintf("http://%s%shotels~r1?attempt=1&from=%d", s.Address(), engineapi.PathStreams, tokens)
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	rest, _, complete := readText(t, resp.Body, 1000)
	if !complete || first+rest != answer.FullText(prompt, 7, 60) {
		t.Fatalf("complete %v, text %q", complete, first+rest)
	}
}

func TestAnotherEngineContinuesFromPrefix(t *testing.T) {
	want := answer.FullText(prompt, 7, 60)
	g := answer.NewGenerator(prompt, 7, "", 0)
	text := ""
	for range 25 {
		text += g.Next()
	}
	s, _, _ := startServer(t, nil)
	req := completion(2)
	req.GeneratedText, req.GeneratedTokens = text, 25
	rest, tokens, complete := readText(t, post(t, s, engineapi.PathCompletions, req).Body, 1000)
	if !complete || tokens != 35 || text+rest != want {
		t.Fatalf("complete %v, %d tokens, %q", complete, tokens, rest)
	}
}

func TestLeavingServerFinishesRunningStreamsAndRejectsNew(t *testing.T) {
	s, path, leave := startServer(t, func(c *Config) { c.TimeScale = 4 })
	resp := post(t, s, engineapi.PathCompletions, completion(1))
	leave()
	for {
		other := completion(1)
		other.RequestID = "hotels~r2"
		refused := post(t, s, engineapi.PathCompletions, other)
		if refused.Header.Get(engineapi.HeaderNotStarted) == "true" {
			break
		}
	}
	if text, _, complete := readText(t, resp.Body, 1000); !complete || text != answer.FullText(prompt, 7, 60) {
		t.Fatalf("complete %v, %q", complete, text)
	}
	records, err := journal.Read(path)
	if err != nil || len(records) == 0 {
		t.Fatal(err)
	}
}

func TestFencingTokens(t *testing.T) {
	for _, mode := range []string{declaration.FencingChecked, declaration.FencingIgnored} {
		s, _, _ := startServer(t, func(c *Config) { c.Fencing = mode; c.ChangeTime = time.Millisecond })
		send := func(id string, term uint64) string {
			o := engineapi.Order{
				ID: id, Incarnation: s.incarnation, Token: engineapi.FencingToken{Term: term},
				Kind: engineapi.OrderSetRole, Role: engineapi.RoleDecode,
			}
			var a engineapi.OrderAnswer
			if err := json.NewDecoder(post(t, s, engineapi.PathOrders, o).Body).Decode(&a); err != nil {
				t.Fatal(err)
			}
			return a.Result
		}
		if got := send("new", 5); got != engineapi.OrderRunning {
			t.Fatalf("%s: new order: %s", mode, got)
		}
		for send("new", 5) != engineapi.OrderDone {
			time.Sleep(time.Millisecond)
		}
		want := engineapi.OrderStale
		if mode == declaration.FencingIgnored {
			want = engineapi.OrderRunning
		}
		if got := send("old", 4); got != want {
			t.Fatalf("%s: old order: %s, want %s", mode, got, want)
		}
	}
}
