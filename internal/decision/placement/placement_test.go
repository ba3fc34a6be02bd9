package placement

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

func fleetOf(roles ...engineapi.Role) *decision.Fleet {
	f := &decision.Fleet{Entries: 1}
	for i, role := range roles {
		s := decision.Server{
			ID: fmt.Sprint("engine-", i), Kind: declaration.KindModel, Model: "m", Role: role,
			Usable: true, Slots: 32, Load: engineapi.Load{PrefillRate: 10000, DecodeRate: 889, KVTokens: 600000},
		}
		if role == engineapi.RoleMixed {
			s.Load.PrefillRate, s.Load.DecodeRate = 4000, 355
		}
		f.Servers = append(f.Servers, s)
	}
	return f
}

func mixedFleet(n int) *decision.Fleet {
	roles := make([]engineapi.Role, n)
	for i := range roles {
		roles[i] = engineapi.RoleMixed
	}
	return fleetOf(roles...)
}

func urgentWork(id string) *decision.Work {
	return &decision.Work{
		RequestID: id, Member: "m", Class: declaration.ClassUrgent, Kind: declaration.KindModel,
		Model: "m", PromptTokens: 1000, OutputTokens: 200,
	}
}

func bulkWork(id string) *decision.Work {
	w := urgentWork(id)
	w.Class, w.PromptTokens, w.OutputTokens = declaration.ClassBulk, 30000, 1000
	return w
}

// pickAndRecord picks a server, records the request as an entry does, and returns the server's
// id.
func pickAndRecord(t testing.TB, p *Picker, f *decision.Fleet, logs map[string]*decision.InFlightTracker, w *decision.Work) string {
	t.Helper()
	c, ok := p.Pick(0, w, f)
	if !ok {
		return ""
	}
	p.RecordSent(0, w, c)
	l := logs[c.Server.ID]
	if l == nil {
		l = &decision.InFlightTracker{}
		logs[c.Server.ID] = l
	}
	l.Add(0, decision.RequestTokens{Prefill: w.PromptTokens, Decode: w.OutputTokens, KV: w.PromptTokens + w.OutputTokens})
	c.Server.InFlight = l.InFlight
	return c.Server.ID
}

// Ninety requests arrive between two load reports. By the reports alone all nine servers look
// equally idle throughout, and one of them gets far too many requests.
func TestRequestsBetweenTwoReportsSpreadOut(t *testing.T) {
	p, f, logs := New(), mixedFleet(9), map[string]*decision.InFlightTracker{}
	got := map[string]int{}
	for i := range 90 {
		got[pickAndRecord(t, p, f, logs, urgentWork(fmt.Sprint(i)))]++
	}
	for id, n := range got {
		if n > 16 {
			t.Errorf("%s got %d of 90 requests", id, n)
		}
	}
	if len(got) != 9 {
		t.Errorf("only %d servers used", len(got))
	}
}

// Nine entries have the same reports and no knowledge of each other. If all of them break ties
// alike, the first request of each goes to the same server.
func TestEntriesWithTheSameReportsDoNotHerd(t *testing.T) {
	got := map[string]int{}
	for entry := range 9 {
		c, _ := New().Pick(0, urgentWork(fmt.Sprint("entry", entry)), mixedFleet(9))
		got[c.Server.ID]++
	}
	if len(got) < 4 {
		t.Fatalf("nine entries use %d servers: %v", len(got), got)
	}
}

// A server has become four times slower but reports no problem. It must get fewer and fewer
// requests, but still a few, so that its recovery is noticed.
func TestSlowServerGetsFewerRequests(t *testing.T) {
	p, f := New(), mixedFleet(3)
	slow := f.Servers[0].ID
	at := time.Duration(0)
	observe := func(seconds int, slowdown float64) {
		for range seconds * 3 {
			at += 333 * time.Millisecond
			for i := range f.Servers {
				decodeTime := 100 * 40 * time.Millisecond
				if f.Servers[i].ID == slow {
					decodeTime = time.Duration(float64(decodeTime) * slowdown)
				}
				p.Observe(at, f.Servers[i].ID, Result{Tokens: 101, DecodeTime: decodeTime})
			}
		}
	}
	p.Pick(at, urgentWork("w"), f)
	observe(10, 1)
	before := p.limits.get(slow).allowedSlots(&f.Servers[0])
	observe(5, 4)
	early := p.limits.get(slow).allowedSlots(&f.Servers[0])
	observe(60, 4)
	late := p.limits.get(slow).allowedSlots(&f.Servers[0])
	if before != 32 || early >= before || late >= early || late < 1 {
		t.Fatalf("limit %v, then %v, then %v", before, early, late)
	}
	if healthy := p.limits.get(f.Servers[1].ID).allowedSlots(&f.Servers[1]); healthy != 32 {
		t.Fatalf("a healthy server has limit %v", healthy)
	}
	observe(60, 1)
	if recovered := p.limits.get(slow).allowedSlots(&f.Servers[0]); recovered != 32 {
		t.Fatalf("limit %v after the server has recovered", recovered)
	}
}

// A follow-up question on a document must go to the server that has the document's KV cache,
// unless the queue there costs more than the prefill that it saves.
func TestAffinityIsBoundedByWhatItSaves(t *testing.T) {
	p, f := New(), mixedFleet(9)
	w := bulkWork("a")
	for i := range 100 {
		w.Prefix = append(w.Prefix, uint64(i+1))
	}
	first, _ := p.Pick(0, w, f)
	p.RecordSent(0, w, first)
	w.RequestID = "b"
	second, _ := p.Pick(time.Minute, w, f)
	if second.Server.ID != first.Server.ID {
		t.Fatalf("went to %s, cached at %s", second.Server.ID, first.Server.ID)
	}
	first.Server.Load.QueuedPrefillTokens = 40000
	first.Server.ReportedAt = time.Minute
	if c, _ := p.Pick(time.Minute, w, f); c.Server.ID == first.Server.ID {
		t.Fatal("accepts a queue of ten seconds to save six seconds of prefill")
	}
	first.Server.Load.QueuedPrefillTokens = 0
	p.ApplyCacheEvents(time.Minute, first.Server.ID, []engineapi.CacheEvent{{Hash: 1, Dropped: true}})
	if c, _ := p.Pick(time.Minute, w, f); c.Figures[1].Value != 0 {
		t.Fatal("counts blocks as cached after the first one was evicted")
	}
}

// Bulk work fills every server, long prompts by their prefill and short ones by the slots. An
// urgent request must still find a slot.
func TestBulkLeavesRoomForUrgentWork(t *testing.T) {
	for _, prompt := range []int{30000, 100} {
		p, f, logs := New(), mixedFleet(3), map[string]*decision.InFlightTracker{}
		bulk := func(id string) *decision.Work {
			w := bulkWork(id)
			w.PromptTokens = prompt
			return w
		}
		for i := range 200 {
			pickAndRecord(t, p, f, logs, bulk(fmt.Sprint(i)))
		}
		if _, ok := p.Pick(0, bulk("one more"), f); ok {
			t.Fatal("bulk work is not bounded")
		}
		for i := range 6 {
			if id := pickAndRecord(t, p, f, logs, urgentWork(fmt.Sprint("q", i))); id == "" {
				t.Fatalf("prompts of %d tokens: urgent request %d got no server", prompt, i)
			}
		}
	}
}

func TestPrefillAndDecodeArePairedWhenThatCostsLess(t *testing.T) {
	f := fleetOf(engineapi.RolePrefill, engineapi.RoleMixed, engineapi.RoleDecode)
	c, ok := New().Pick(0, bulkWork("a"), f)
	if !ok || c.Prefill == nil || c.Prefill.ID != "engine-0" || c.Server.ID != "engine-2" {
		t.Fatalf("%+v", c)
	}
	f.Servers[0].Load.QueuedPrefillTokens = 60000
	if c, _ := New().Pick(0, bulkWork("b"), f); c.Prefill != nil && c.Prefill.ID == "engine-0" {
		t.Fatal("paired with a prefill engine that has a long backlog")
	}
	imported := bulkWork("c")
	imported.KVTokens = 30000
	if c, _ := New().Pick(0, imported, f); c.Prefill != nil || c.Server.Role == engineapi.RolePrefill {
		t.Fatalf("imported KV cache was placed as %+v", c)
	}
	f.Servers[0].Usable = false
	if c, ok := New().Pick(0, bulkWork("d"), f); !ok || c.Server.ID == "engine-0" || c.Prefill == &f.Servers[0] {
		t.Fatal("an unusable server got a request")
	}
}

func TestIndexStaysWithinItsBound(t *testing.T) {
	x := newPrefixIndex()
	for i := range maxBlocks + 100 {
		x.addBlock(0, "s", uint64(i))
	}
	if len(x.blocks) != maxBlocks || x.blocks[0] != nil || x.blocks[maxBlocks] == nil {
		t.Fatalf("index holds %d blocks", len(x.blocks))
	}
	x.removeServer("s")
	for _, b := range x.blocks {
		if len(b.holders) > 0 {
			t.Fatal("a forgotten server is still a holder")
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{9, 90, 450, 2700} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			p, f, w := New(), mixedFleet(engines), urgentWork("q")
			for i := range f.Servers {
				f.Servers[i].Load.Running = uint32(i % 20)
			}
			p.Pick(0, w, f)
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(0, w, f)
			}
		})
	}
}
