package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

func countingEngine(i int, role engineapi.Role) decision.Server {
	return decision.Server{
		ID: fmt.Sprint("engine-", i), Kind: declaration.KindModel, Model: "m", Role: role, Usable: true, Slots: 64,
		ReportsCountsOnly: true, Load: engineapi.Load{PrefillRate: 30000, DecodeRate: 5000, KVTokens: 460000},
	}
}

// sharedWork is a dossier whose first part is of that kind.
func sharedWork(n, kind int) *decision.Work {
	return &decision.Work{
		RequestID: fmt.Sprint("r", n), Kind: declaration.KindModel, Model: "m", Class: declaration.ClassBulk,
		PromptTokens: 17000, OutputTokens: 80, Prefix: []uint64{uint64(1000 + kind), uint64(100000 + n)},
		BlockTokens: []int{13300, 3700}, SharedBlocks: 1,
	}
}

// 68 kinds of dossiers are asked for at nine entries, a few a minute each. Every
// entry alone sees hardly any kind twice; together they read each kind at one
// engine. Without homes each of nine entries reads it where it likes: 3 to 6 times
// as many tokens.
func TestEntriesReadASharedPartAtOneEngine(t *testing.T) {
	const entries, kinds, rounds = 9, 68, 6
	pickers := make([]*Picker, entries)
	for i := range pickers {
		pickers[i] = New()
	}
	fleet := &decision.Fleet{Entries: entries}
	for i := range 6 {
		fleet.Servers = append(fleet.Servers, countingEngine(i, engineapi.RoleMixed))
	}
	readAt := make(map[string]map[int]bool)
	n := 0
	for round := range rounds {
		for kind := range kinds {
			n++
			p := pickers[(round*7+kind)%entries]
			w := sharedWork(n, kind)
			choice, ok := p.Pick(time.Duration(n)*time.Second, w, fleet)
			if !ok {
				t.Fatal("no engine")
			}
			p.RecordSent(time.Duration(n)*time.Second, w, choice)
			if readAt[choice.Server.ID] == nil {
				readAt[choice.Server.ID] = make(map[int]bool)
			}
			readAt[choice.Server.ID][kind] = true
		}
	}
	reads := 0
	for _, kinds := range readAt {
		reads += len(kinds)
	}
	if reads > kinds*5/4 {
		t.Fatalf("%d kinds were read %d times", kinds, reads)
	}
	if len(readAt) < 5 {
		t.Fatalf("all kinds are at %d of 6 engines", len(readAt))
	}
}

// A home has a queue of more than the reading elsewhere takes: the request goes
// elsewhere.
func TestBusyHomeIsPassedBy(t *testing.T) {
	fleet := &decision.Fleet{Entries: 9, Servers: []decision.Server{
		countingEngine(0, engineapi.RoleMixed), countingEngine(1, engineapi.RoleMixed), countingEngine(2, engineapi.RoleMixed),
	}}
	w := sharedWork(1, 1)
	home, ok := New().Pick(time.Second, w, fleet)
	if !ok {
		t.Fatal("no engine")
	}
	busy := home.Server
	busy.EstimatedPeerWaiting, busy.MeanPrefillTokens = 20, 4000
	again, ok := New().Pick(time.Second, w, fleet)
	if !ok || again.Server.ID == busy.ID {
		t.Fatalf("went to the engine with 80,000 tokens before it: %+v", again)
	}
}

// A busy home was passed by once, and another engine read the part. Requests for it go
// on coming, all to the home again, and half a minute of other prompts has taken the
// copy's place. Believed for minutes, the copy drew prompts that were then read whole,
// while they counted as almost read.
func TestOldCopyIsNotBelieved(t *testing.T) {
	fleet := &decision.Fleet{Entries: 9}
	for i := range 3 {
		fleet.Servers = append(fleet.Servers, countingEngine(i, engineapi.RoleMixed))
	}
	p := New()
	w := sharedWork(1, 1)
	home, _ := p.Pick(time.Second, w, fleet)
	i := slices.IndexFunc(fleet.Servers, func(s decision.Server) bool { return s.ID == home.Server.ID })
	busy := &fleet.Servers[i]
	busy.EstimatedPeerWaiting, busy.MeanPrefillTokens = 20, 4000
	copied, _ := p.Pick(time.Second, w, fleet)
	p.RecordSent(time.Second, w, copied)
	soon, _ := p.Pick(4*time.Second, sharedWork(2, 1), fleet)
	if soon.Server.ID != copied.Server.ID || soon.UncachedTokens != 3700 {
		t.Fatalf("3 s later the copy at %s is not used: %s reads %d", copied.Server.ID, soon.Server.ID, soon.UncachedTokens)
	}
	busy.EstimatedPeerWaiting = 5
	later, _ := p.Pick(30*time.Second, sharedWork(3, 1), fleet)
	if later.Server.ID != home.Server.ID {
		t.Fatalf("half a minute later the copy at %s is taken for the part", later.Server.ID)
	}
}

// The engine that was to decode had no room when the prompt was read, and another one
// took its KV cache: only that one holds it.
func TestPlannedDecoderHoldsNothingYet(t *testing.T) {
	fleet := &decision.Fleet{Entries: 1, Servers: []decision.Server{
		countingEngine(0, engineapi.RolePrefill), countingEngine(1, engineapi.RoleDecode), countingEngine(2, engineapi.RoleDecode),
	}}
	p := New()
	w := sharedWork(1, 1)
	w.SharedBlocks = 0
	choice, ok := p.Pick(time.Second, w, fleet)
	if !ok || choice.Prefill == nil {
		t.Fatalf("not prefilled apart: %+v", choice)
	}
	p.RecordSent(time.Second, w, choice)
	other := fleet.Servers[1].ID
	if choice.Server.ID == other {
		other = fleet.Servers[2].ID
	}
	p.RecordCached(time.Second, other, w)
	held := p.held(time.Second, w, fleet, p.source(time.Second, w, fleet))
	for i, s := range fleet.Servers {
		want := 0
		if s.ID == choice.Prefill.ID || s.ID == other {
			want = 2
		}
		if held[i] != want {
			t.Errorf("%s is believed to hold %d parts, want %d", s.ID, held[i], want)
		}
	}
}

// Guards against shared parts that are kept at a server which takes few requests, and read
// elsewhere whenever it is closed.
func TestServerWithALimitIsNoHomeBesideOthers(t *testing.T) {
	fleet := &decision.Fleet{Entries: 9}
	for i := range 3 {
		fleet.Servers = append(fleet.Servers, countingEngine(i, engineapi.RoleMixed))
	}
	for kind := range 20 {
		w := sharedWork(1, kind)
		home := homesOf(w, fleet)[0]
		fleet.Servers[home].RateLimit = 5
		for _, closed := range []bool{false, true} {
			fleet.Servers[home].Usable, fleet.Servers[home].Throttled = !closed, closed
			if next := homesOf(w, fleet)[0]; next == home {
				t.Errorf("kind %d is kept at a server with a limit, closed: %v", kind, closed)
			}
		}
		fleet.Servers[home].RateLimit, fleet.Servers[home].Usable, fleet.Servers[home].Throttled = 0, true, false
	}
	for i := range fleet.Servers {
		fleet.Servers[i].RateLimit = 5
	}
	w := sharedWork(1, 1)
	home := homesOf(w, fleet)[0]
	fleet.Servers[home].Usable, fleet.Servers[home].Throttled = false, true
	if next := homesOf(w, fleet)[0]; next != home {
		t.Errorf("where all have limits, a home moves from %d to %d when it is closed", home, next)
	}
}
