package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// cutOffEntry is an entry that control no longer reaches. Its servers go on confirming themselves.
type cutOffEntry struct {
	*harness
	servers int
	// peerRevision returns the revision that the entry at an address answers with, false if it
	// can't be reached.
	peerRevision func(address string) (uint64, bool)
	// asked counts the questions to each entry.
	asked map[string]int
}

// newCutOffEntry lets control reach the entry once, with revision 1, and never again.
func newCutOffEntry(w *harness, entries int, servers ...*pb.BackendServer) *cutOffEntry {
	list := entriesInFiveDataCentres(entries)
	w.r.cfg.Identity = list[0]
	w.version = 1
	resp := w.fullView(servers...)
	for _, id := range list {
		resp.Entries = append(resp.Entries, &pb.EntryInfo{Identity: id})
	}
	w.step(ViewReceived{SentAt: w.now, Response: resp})
	return &cutOffEntry{
		harness: w, servers: len(servers), asked: make(map[string]int),
		peerRevision: func(string) (uint64, bool) { return 0, false },
	}
}

// fullView is control's answer with the harness's version.
func (w *harness) fullView(servers ...*pb.BackendServer) *pb.WatchResponse {
	return &pb.WatchResponse{
		Version: w.version, Full: true, Revision: w.version, LeaseMs: 1500,
		Objects: testDeclaration(w.version).ToProto().Objects, Servers: servers,
	}
}

// run lets time pass. Other entries answer at once.
func (c *cutOffEntry) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.advance(simTick)
		for i := range c.servers {
			c.reportState(i, decision.StateServing)
		}
		c.step(Tick{})
		for _, e := range effectsOf[AskRevision](c.effects) {
			c.asked[e.Address]++
			if revision, ok := c.peerRevision(e.Address); ok {
				c.step(RevisionHeard{Revision: revision})
			}
		}
	}
}

func allAnswer(revision uint64) func(string) (uint64, bool) {
	return func(string) (uint64, bool) { return revision, true }
}

// refusesAsOutdated lets a request arrive that must be refused as not run.
func (c *cutOffEntry) refusesAsOutdated(id string) {
	c.t.Helper()
	c.arrive(id)
	if r := c.singleRefusal(); r.Status != http.StatusServiceUnavailable || r.Code != outcome.CodeStaleView || r.Outcome != outcome.NotRun {
		c.t.Fatalf("%s: refused with %+v", id, r)
	}
	if n := len(effectsOf[Dispatch](c.effects)); n != 0 {
		c.t.Fatalf("%s: %d dispatches", id, n)
	}
}

func (c *cutOffEntry) serves(id string) Dispatch {
	c.t.Helper()
	c.arrive(id)
	return c.singleDispatch()
}

// harnesses are an entry of each protocol.
var harnesses = map[string]func(failer) *harness{"native": newHarness, "platform": newDeadlineHarness}

// Guards against an entry that control can't reach and that, 3 s after a change was confirmed and
// is in force at other entries, runs requests by the configuration before it.
func TestReplacedConfigurationIsNotServedWithoutALease(t *testing.T) {
	for protocol, newEntry := range harnesses {
		for _, entries := range []int{2, 9, 191} {
			t.Run(fmt.Sprint(protocol, " ", entries), func(t *testing.T) {
				c := newCutOffEntry(newEntry(t), entries, serving(2)...)
				c.peerRevision = allAnswer(2)
				c.run(3 * second)
				c.refusesAsOutdated("r1")
			})
		}
	}
}

// Guards against an entry that learns of a change too late because most others can't be reached
// from it or have lost control too.
func TestOneOfFewCurrentEntriesIsEnough(t *testing.T) {
	c := newCutOffEntry(newHarness(t), 9, serving(1)...)
	current := c.r.peerAddresses()[7]
	c.peerRevision = func(address string) (uint64, bool) {
		if address == current {
			return 2, true
		}
		return 1, address > current
	}
	c.run(maxLease + 4*revisionAskInterval + simTick)
	c.refusesAsOutdated("r1")
}

// Guards against a fleet that refuses all requests while control is away for all of its entries,
// or an entry that is cut off from everything else: none knows of a later configuration.
func TestEntryServesWithoutControlWhileNoneHasALaterRevision(t *testing.T) {
	for protocol, newEntry := range harnesses {
		for name, answers := range map[string]func(string) (uint64, bool){
			"same revision":    allAnswer(1),
			"earlier revision": allAnswer(0),
			"no answer":        func(string) (uint64, bool) { return 0, false },
		} {
			t.Run(protocol+" "+name, func(t *testing.T) {
				c := newCutOffEntry(newEntry(t), 9, serving(2)...)
				c.peerRevision = answers
				c.run(10 * second)
				c.serves("r1")
			})
		}
	}
}

// Guards against an earlier revision of one entry that hides the later one of another: an answer
// can come late, or from an entry that is cut off too.
func TestEarlierRevisionDoesNotHideALaterOne(t *testing.T) {
	c := newCutOffEntry(newHarness(t), 9, serving(1)...)
	c.run(2 * second)
	c.step(RevisionHeard{Revision: 3})
	c.step(RevisionHeard{Revision: 2})
	c.step(RevisionHeard{Revision: 1})
	c.refusesAsOutdated("r1")
	c.version = 2
	c.step(ViewReceived{SentAt: c.now - maxLease, Response: c.fullView(serving(1)...)})
	c.refusesAsOutdated("r2")
}

// Guards against requests refused for a change that is merely on its way: with a lease, the view
// has time to arrive. Once it has, the entry serves again.
func TestEntryWithALeaseServesAsBefore(t *testing.T) {
	c := newCutOffEntry(newHarness(t), 9, serving(1)...)
	c.step(RevisionHeard{Revision: 2})
	c.serves("r1")
	c.run(2 * second)
	c.refusesAsOutdated("r2")
	c.version = 2
	c.step(ViewReceived{SentAt: c.now, Response: c.fullView(serving(1)...)})
	c.serves("r3")
	if published := effectsOf[Publish](c.step(ViewReceived{SentAt: c.now, Response: c.fullView(serving(1)...)})); len(published) != 1 || published[0].Snapshot.Superseded {
		t.Errorf("published %+v", published)
	}
}

// Guards against waiting requests that run by a replaced configuration, and against the end of
// those that have begun: they go on, at another server too.
func TestReplacedConfigurationEndsOnlyWhatHasNotBegun(t *testing.T) {
	c := newCutOffEntry(newHarness(t), 9, singleSlotServer()...)
	running := c.serves("running")
	c.startAttempt(running)
	c.arrive("waiting")
	if len(c.r.requests) != 2 {
		t.Fatalf("%d requests, want one that runs and one that waits", len(c.r.requests))
	}
	c.run(2 * second)
	c.step(RevisionHeard{Revision: 2})
	if r := c.singleRefusal(); r.Code != outcome.CodeStaleView || r.Outcome != outcome.NotRun {
		t.Fatalf("the waiting request got %+v", r)
	}
	resumed := c.arrival("resumed", "hotels")
	resumed.Attempt, resumed.Work.Resumed = 1, true
	c.step(resumed)
	c.endAttempt(running, func(ev *AttemptEnded) { ev.Outcome = outcome.Unknown })
	again := c.singleDispatch()
	c.endAttempt(again, completed)
	if next := c.singleDispatch(); next.RequestID == again.RequestID {
		t.Errorf("%s was dispatched twice, and one that had begun not at all", again.RequestID)
	}
}

// Guards against a revision of an earlier deployment under the same name, which some entry still
// has: control's answer to a later question shows that it is not in force. Otherwise it would
// count whenever control is away.
func TestRevisionThatControlDisprovesIsDropped(t *testing.T) {
	c := newCutOffEntry(newHarness(t), 9, serving(1)...)
	c.run(2 * second)
	c.step(RevisionHeard{Revision: 9})
	c.step(ViewReceived{SentAt: c.now - 100*time.Millisecond, Response: &pb.WatchResponse{Version: 1, KnownVersion: 1, Revision: 1, LeaseMs: 1500}})
	c.run(2 * second)
	c.refusesAsOutdated("r1")
	c.renew()
	c.run(2 * second)
	c.serves("r2")
}

// Guards against questions that cost something while control answers, and against entries that are
// never asked.
func TestOthersAreAskedForTheirRevisionOnlyWithoutALease(t *testing.T) {
	c := newCutOffEntry(newHarness(t), 9, serving(1)...)
	for range 10 {
		c.run(second)
		c.renew()
	}
	if len(c.asked) != 0 {
		t.Fatalf("with a lease %d entries were asked", len(c.asked))
	}
	c.run(maxLease + 8*revisionAskInterval - simTick)
	for address, n := range c.asked {
		if n != 2 {
			t.Errorf("%s was asked %d times, want 2 as the others", address, n)
		}
	}
	if len(c.asked) != 8 {
		t.Errorf("%d of 8 entries were asked", len(c.asked))
	}
}
