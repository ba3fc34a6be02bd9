package admission

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/queue"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

func idleCountsOnlyFleet() *decision.Fleet {
	return &decision.Fleet{Entries: 9, Servers: []decision.Server{{
		ID: "e", Kind: declaration.KindModel, Model: "m", Role: engineapi.RoleMixed, Usable: true, Slots: 64,
		ReportsCountsOnly: true, Load: engineapi.Load{PrefillRate: 25000, DecodeRate: 7000},
	}}}
}

func relayedWork(output int, uncertain bool) *decision.Work {
	return &decision.Work{
		RequestID: "r", Kind: declaration.KindModel, Model: "m", Class: declaration.ClassBulk, SoftFirstTokenDeadline: true,
		PromptTokens: 17000, OutputTokens: output, OutputUncertain: uncertain,
		EngineSpeed: decision.EngineSpeed{PrefillRate: 25000, TokenTime: 9 * time.Millisecond},
		Arrived:     0, FirstTokenBy: 800 * time.Millisecond, FinishBy: 6 * time.Second,
	}
}

// A caller guesses that its answer will have 800 tokens, which would take 7 s of its 6 s.
// Guesses are far off in single cases: with a refusal, idle engines would turn away 2 in 100
// requests that they answer in a second.
func TestUncertainOutputRefusesNothing(t *testing.T) {
	var queued = queue.New().Summary()
	if v := New().Admit(0, relayedWork(800, true), idleCountsOnlyFleet(), queued); !v.Admit {
		t.Fatalf("refused: %s", v.Reason)
	}
	if v := New().Admit(0, relayedWork(800, false), idleCountsOnlyFleet(), queued); v.Admit {
		t.Fatal("a request whose known output is too long was admitted")
	}
}

// The counts include other entries' requests already. An entry that also multiplies its own
// requests by the number of entries refuses at a tenth of the load.
func TestCountsOnlyBacklogIsNotMultiplied(t *testing.T) {
	fleet := idleCountsOnlyFleet()
	fleet.Servers[0].InFlight = decision.InFlight{Requests: 2, PrefillTokens: 20000, PrefillBacklog: decision.PrefillBacklog{20000}, PrefillTokensSinceReport: 20000, RequestsSinceReport: 2}
	if v := New().Admit(0, relayedWork(80, true), fleet, queue.New().Summary()); !v.Admit {
		t.Fatalf("refused behind 0.8 s of prefill: %s, wait %v", v.Reason, v.Wait)
	}
	fleet.Servers[0].EstimatedPeerWaiting, fleet.Servers[0].MeanPrefillTokens = 60, 4000
	if v := New().Admit(0, relayedWork(80, true), fleet, queue.New().Summary()); v.Admit {
		t.Fatal("admitted behind 10 s of prefill")
	}
}
