package control

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func (h *harness) watchFrom(name, incarnation string, leaving bool) uint64 {
	return h.send(&pb.WatchRequest{ClusterId: cluster, Entry: entryIdentity(name, incarnation), Leaving: leaving, HoldMs: 600})
}

// Guards against a late call of an entry's earlier incarnation that ends the claims of the live one
// under the next leader.
func TestEarlierIncarnationOfAnEntryIsNotRestoredByTheNextLeader(t *testing.T) {
	h := newHarness(t)
	h.watchFrom("e1", "1", false)
	h.watchFrom("e1", "2", false)
	h.changeLeader()
	late := h.watchFrom("e1", "1", false)
	if r := h.replies[late]; r.Err == nil {
		t.Errorf("the late call is answered: %v", r.Response)
	}
	if got := incarnationOf(h.Reducer.state.entries["e1"].info); got != "2" {
		t.Errorf("incarnation in force: %s", got)
	}
}

// Guards against a late call of before an entry's stop that sends callers to it again.
func TestLeavingOfAnEntryIsFinal(t *testing.T) {
	for name, meanwhile := range map[string]func(h *harness){
		"same leader": func(h *harness) {},
		"next leader": func(h *harness) { h.changeLeader() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.watchFrom("e1", "1", false)
			h.watchFrom("e1", "1", true)
			meanwhile(h)
			h.watchFrom("e1", "1", false)
			if !h.Reducer.state.entries["e1"].info.GetLeaving() {
				t.Error("a late call undid the leaving")
			}
			h.watchFrom("e1", "2", false)
			if e := h.Reducer.state.entries["e1"].info; incarnationOf(e) != "2" || e.GetLeaving() {
				t.Errorf("the next incarnation: %v", e)
			}
		})
	}
}

// Guards against a late first call of an entry that has died, which takes the name of the live one for
// good: the live one's calls are refused until the lease of the dead one has ended, and no longer.
func TestLateCallOfAnUnknownEntryTakesItsNameForOneLeaseOnly(t *testing.T) {
	h := newHarness(t)
	live := h.addEntry("e1")
	live.identity = entryIdentity("e1", "2")
	h.advance(time.Second)
	h.watchFrom("e1", "1", false)
	h.advance(entryLease + time.Second)
	if e := h.Reducer.state.entries["e1"]; e == nil || incarnationOf(e.info) != "2" {
		t.Errorf("the entry after a lease: %v", e)
	}
	h.advance(entryLease + time.Second)
	if e := h.Reducer.state.entries["e1"]; e == nil || incarnationOf(e.info) != "2" {
		t.Errorf("the entry after another lease: %v", e)
	}
}
