package enginemodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// runToEnd advances until the engine is idle and returns tokens and finish times by request.
func runToEnd(t *testing.T, e *Engine) (map[string]int, map[string]time.Duration) {
	t.Helper()
	tokens, ends := map[string]int{}, map[string]time.Duration{}
	for i := 0; e.NextEventAt() != Never; i++ {
		if i > 100000 {
			t.Fatal("the engine does not become idle")
		}
		for _, p := range e.Advance(e.NextEventAt()) {
			tokens[p.ID] += p.Tokens
			if p.Finished {
				ends[p.ID] = p.LastTokenAt
			}
		}
	}
	return tokens, ends
}

func assertNear(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if d := got - want; d < -time.Millisecond || d > time.Millisecond {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

func TestPrefillAndDecodeDurations(t *testing.T) {
	e := New(0, Config{}, engineapi.RolePrefill)
	submit(t, e, 0, Request{ID: "a", PromptTokens: 20000, OutputTokens: 100, PrefillOnly: true})
	tokens, ends := runToEnd(t, e)
	assertNear(t, "prefill", ends["a"], 2*time.Second)
	if kv, ok := e.KVTokens("a"); tokens["a"] != 1 || !ok || kv != 20001 {
		t.Fatalf("%d tokens, KV of %d", tokens["a"], kv)
	}
	d := New(0, Config{}, engineapi.RoleDecode)
	submit(t, d, 0, Request{ID: "a", PromptTokens: 20000, OutputTokens: 101, GeneratedTokens: 1, KVImported: true})
	tokens, ends = runToEnd(t, d)
	assertNear(t, "import and decode", ends["a"], 20001*time.Second/DefaultKVImportRate+100*20500*time.Microsecond)
	if tokens["a"] != 100 {
		t.Fatalf("%d tokens", tokens["a"])
	}
}

func submit(t *testing.T, e *Engine, now time.Duration, r Request) {
	t.Helper()
	if err := e.Submit(now, r); err != nil {
		t.Fatal(err)
	}
}

func TestEveryRequestGetsExactlyItsTokens(t *testing.T) {
	for _, role := range []engineapi.Role{engineapi.RoleMixed, engineapi.RolePrefill, engineapi.RoleDecode} {
		e := New(0, Config{}, role)
		for i := range 80 {
			submit(t, e, 0, Request{ID: fmt.Sprint(i), PromptTokens: 100 * i, OutputTokens: 1 + 7*i, Priority: i % 3})
		}
		tokens, _ := runToEnd(t, e)
		for i := range 80 {
			if got := tokens[fmt.Sprint(i)]; got != 1+7*i {
				t.Errorf("%s: request %d got %d tokens, want %d", role, i, got, 1+7*i)
			}
		}
		if e.Len() != 0 || e.usedSlots != 0 || e.reservedKVTokens != 0 {
			t.Errorf("%s: left over: %d requests, %d slots, %d KV tokens", role, e.Len(), e.usedSlots, e.reservedKVTokens)
		}
	}
}

func TestHighPriorityOvertakesLongPrefill(t *testing.T) {
	e := New(0, Config{}, engineapi.RoleMixed)
	submit(t, e, 0, Request{ID: "dossier", PromptTokens: 50000, OutputTokens: 10})
	e.Advance(time.Second)
	submit(t, e, time.Second, Request{ID: "question", PromptTokens: 950, OutputTokens: 10, Priority: 2})
	_, ends := runToEnd(t, e)
	if ends["question"] > 2*time.Second || ends["dossier"] < 5*time.Second {
		t.Fatalf("question at %v, dossier at %v", ends["question"], ends["dossier"])
	}
}

func TestCacheShortensPrefillWithinASaltOnly(t *testing.T) {
	e := New(0, Config{RecordCacheEvents: true, CacheTokens: 256 * 10}, engineapi.RolePrefill)
	chain := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	ask := func(id, salt string, chain []uint64) time.Duration {
		start := e.now
		submit(t, e, start, Request{ID: id, PromptTokens: 2560, OutputTokens: 1, Salt: salt, Prefix: chain})
		_, ends := runToEnd(t, e)
		return ends[id] - start
	}
	assertNear(t, "first", ask("a", "m", chain), 256*time.Millisecond)
	assertNear(t, "again", ask("b", "m", chain), 51200*time.Microsecond)
	assertNear(t, "other member", ask("c", "n", chain), 256*time.Millisecond)
	if cached := e.cache.cachedBlocks("m", chain); cached != 2 {
		t.Fatalf("%d blocks of the first member still cached, want the 2 leading ones", cached)
	}
	if events := e.CacheEvents(0); len(events.Events) != 16+6 || events.Next != 23 {
		t.Fatalf("%d events, next %d", len(events.Events), events.Next)
	}
}

func TestRoleChangeTakesTimeAndRefusesRequests(t *testing.T) {
	e := New(0, Config{}, engineapi.RoleMixed)
	submit(t, e, 0, Request{ID: "a", PromptTokens: 100, OutputTokens: 2})
	if err := e.SetRole(0, engineapi.RoleDecode); !errorx.IsOfType(err, Busy) {
		t.Fatalf("while busy: %v", err)
	}
	runToEnd(t, e)
	start := e.now
	if err := e.SetRole(start, engineapi.RoleDecode); err != nil {
		t.Fatal(err)
	}
	if err := e.Submit(start, Request{ID: "b"}); !errorx.IsOfType(err, Changing) {
		t.Fatalf("while changing: %v", err)
	}
	e.Advance(start + DefaultRoleChangeTime)
	if e.Role() != engineapi.RoleDecode || e.ChangingRole() {
		t.Fatalf("role %s, changing %v", e.Role(), e.ChangingRole())
	}
}

func TestLoadIsReportedWithLag(t *testing.T) {
	e := New(0, Config{}, engineapi.RoleMixed)
	for at := time.Duration(0); at < 3*time.Second; at += sampleInterval {
		e.Advance(at)
	}
	submit(t, e, e.now, Request{ID: "a", PromptTokens: 90000, OutputTokens: 1})
	e.Advance(3500 * time.Millisecond)
	if l := e.Load(e.now); l.Running != 0 || l.AgeMS < 1000 {
		t.Fatalf("load reported before its lag has passed: %+v", l)
	}
	e.Advance(4200 * time.Millisecond)
	e.Advance(5300 * time.Millisecond)
	if l := e.Load(e.now); l.Running != 1 || l.QueuedPrefillTokens == 0 {
		t.Fatalf("load not reported after its lag: %+v", l)
	}
}
