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

func countsOnlyEngine(i int, role engineapi.Role) decision.Server {
	return decision.Server{
		ID: fmt.Sprint("engine-", i), Kind: declaration.KindModel, Model: "m", Role: role, Usable: true, Slots: 64,
		ReportsCountsOnly: true, Load: engineapi.Load{PrefillRate: 30000, DecodeRate: 5000, KVTokens: 460000},
	}
}

// sharedPrefixWork returns a bulk request with a long prompt that begins with the given shared
// prefix.
func sharedPrefixWork(n, prefix int) *decision.Work {
	return &decision.Work{
		RequestID: fmt.Sprint("r", n), Kind: declaration.KindModel, Model: "m", Class: declaration.ClassBulk,
		PromptTokens: 17000, OutputTokens: 80, Prefix: []uint64{uint64(1000 + prefix), uint64(100000 + n)},
		BlockTokens: []int{13300, 3700}, SharedBlocks: 1,
	}
}

// 68 shared prefixes are requested through nine entries, each a few times a minute. A single
// entry sees hardly any prefix twice, so without common owners each entry prefills a prefix on a
// different engine: 3 to 6 times as many tokens.
func TestEntriesPrefillASharedPrefixOnOneEngine(t *testing.T) {
	const entries, prefixes, rounds = 9, 68, 6
	pickers := make([]*Picker, entries)
	for i := range pickers {
		pickers[i] = New()
	}
	fleet := &decision.Fleet{Entries: entries}
	for i := range 6 {
		fleet.Servers = append(fleet.Servers, countsOnlyEngine(i, engineapi.RoleMixed))
	}
	prefilledAt := make(map[string]map[int]bool)
	n := 0
	for round := range rounds {
		for prefix := range prefixes {
			n++
			p := pickers[(round*7+prefix)%entries]
			w := sharedPrefixWork(n, prefix)
			choice, ok := p.Pick(time.Duration(n)*time.Second, w, fleet)
			if !ok {
				t.Fatal("no engine was chosen")
			}
			p.RecordSent(time.Duration(n)*time.Second, w, choice)
			if prefilledAt[choice.Server.ID] == nil {
				prefilledAt[choice.Server.ID] = make(map[int]bool)
			}
			prefilledAt[choice.Server.ID][prefix] = true
		}
	}
	prefills := 0
	for _, prefixes := range prefilledAt {
		prefills += len(prefixes)
	}
	if prefills > prefixes*5/4 {
		t.Fatalf("%d shared prefixes were prefilled %d times", prefixes, prefills)
	}
	if len(prefilledAt) < 5 {
		t.Fatalf("all shared prefixes are at %d of 6 engines", len(prefilledAt))
	}
}

// The queue at a prefix's owner takes longer than prefilling the prefix elsewhere; the request
// must go elsewhere.
func TestBusyOwnerIsSkipped(t *testing.T) {
	fleet := &decision.Fleet{Entries: 9, Servers: []decision.Server{
		countsOnlyEngine(0, engineapi.RoleMixed), countsOnlyEngine(1, engineapi.RoleMixed), countsOnlyEngine(2, engineapi.RoleMixed),
	}}
	w := sharedPrefixWork(1, 1)
	first, ok := New().Pick(time.Second, w, fleet)
	if !ok {
		t.Fatal("no engine was chosen")
	}
	busy := first.Server
	busy.EstimatedPeerWaiting, busy.MeanPrefillTokens = 20, 4000
	second, ok := New().Pick(time.Second, w, fleet)
	if !ok || second.Server.ID == busy.ID {
		t.Fatalf("went to the engine with 80,000 tokens queued: %+v", second)
	}
}

// While an owner was busy, another engine prefilled the prefix. Later requests for it all go to
// the owner, and after half a minute of other prompts the copy has been evicted. If the copy is
// trusted for minutes, prompts are sent there as if it were cached and are then prefilled
// completely.
func TestOldCopyExpires(t *testing.T) {
	fleet := &decision.Fleet{Entries: 9}
	for i := range 3 {
		fleet.Servers = append(fleet.Servers, countsOnlyEngine(i, engineapi.RoleMixed))
	}
	p := New()
	w := sharedPrefixWork(1, 1)
	owner, _ := p.Pick(time.Second, w, fleet)
	i := slices.IndexFunc(fleet.Servers, func(s decision.Server) bool { return s.ID == owner.Server.ID })
	busy := &fleet.Servers[i]
	busy.EstimatedPeerWaiting, busy.MeanPrefillTokens = 20, 4000
	copyChoice, _ := p.Pick(time.Second, w, fleet)
	p.RecordSent(time.Second, w, copyChoice)
	soon, _ := p.Pick(4*time.Second, sharedPrefixWork(2, 1), fleet)
	if soon.Server.ID != copyChoice.Server.ID || soon.UncachedTokens != 3700 {
		t.Fatalf("3 s later the copy at %s is not used: %s prefills %d tokens", copyChoice.Server.ID, soon.Server.ID, soon.UncachedTokens)
	}
	busy.EstimatedPeerWaiting = 5
	later, _ := p.Pick(30*time.Second, sharedPrefixWork(3, 1), fleet)
	if later.Server.ID != owner.Server.ID {
		t.Fatalf("half a minute later the copy at %s still counts as cached", later.Server.ID)
	}
}

// The engine that was chosen for decode had no capacity when the prefill was done, and another
// engine took the KV cache. Only the latter may count as holding it.
func TestPlannedDecodeEngineIsNotRecordedAsCached(t *testing.T) {
	fleet := &decision.Fleet{Entries: 1, Servers: []decision.Server{
		countsOnlyEngine(0, engineapi.RolePrefill), countsOnlyEngine(1, engineapi.RoleDecode), countsOnlyEngine(2, engineapi.RoleDecode),
	}}
	p := New()
	w := sharedPrefixWork(1, 1)
	w.SharedBlocks = 0
	choice, ok := p.Pick(time.Second, w, fleet)
	if !ok || choice.Prefill == nil {
		t.Fatalf("prefill and decode are not on separate engines: %+v", choice)
	}
	p.RecordSent(time.Second, w, choice)
	other := fleet.Servers[1].ID
	if choice.Server.ID == other {
		other = fleet.Servers[2].ID
	}
	p.RecordCached(time.Second, other, w)
	cached := p.cachedBlocks(time.Second, w, fleet, p.findFetchSource(time.Second, w, fleet))
	for i, s := range fleet.Servers {
		want := 0
		if s.ID == choice.Prefill.ID || s.ID == other {
			want = 2
		}
		if cached[i] != want {
			t.Errorf("%s counts as holding %d blocks, want %d", s.ID, cached[i], want)
		}
	}
}

// Guards against prefixes owned by a server with a rate limit: they would be prefilled elsewhere
// whenever that server is throttled.
func TestRateLimitedServerOwnsNoPrefixBesideOthers(t *testing.T) {
	fleet := &decision.Fleet{Entries: 9}
	for i := range 3 {
		fleet.Servers = append(fleet.Servers, countsOnlyEngine(i, engineapi.RoleMixed))
	}
	for prefix := range 20 {
		w := sharedPrefixWork(1, prefix)
		owner := prefixOwners(w, fleet)[0]
		fleet.Servers[owner].RateLimit = 5
		for _, throttled := range []bool{false, true} {
			fleet.Servers[owner].Usable, fleet.Servers[owner].Throttled = !throttled, throttled
			if next := prefixOwners(w, fleet)[0]; next == owner {
				t.Errorf("prefix %d is owned by a server with a rate limit, throttled: %v", prefix, throttled)
			}
		}
		fleet.Servers[owner].RateLimit, fleet.Servers[owner].Usable, fleet.Servers[owner].Throttled = 0, true, false
	}
	for i := range fleet.Servers {
		fleet.Servers[i].RateLimit = 5
	}
	w := sharedPrefixWork(1, 1)
	owner := prefixOwners(w, fleet)[0]
	fleet.Servers[owner].Usable, fleet.Servers[owner].Throttled = false, true
	if next := prefixOwners(w, fleet)[0]; next != owner {
		t.Errorf("all servers have rate limits: ownership moves from %d to %d when the owner is throttled", owner, next)
	}
}
