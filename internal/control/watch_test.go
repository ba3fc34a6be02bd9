package control

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// All power was lost and two hundred entries start again within two seconds, each under a new
// incarnation. Each start is a change of the view; if each change answers the held calls of
// all the others, the leader gives twenty thousand answers and has no time for first views,
// while callers wait at entries that have none. News may take a moment, and all must have it.
func TestManyEntryStartsAreAnsweredInRounds(t *testing.T) {
	t.Run("polls in any order", func(t *testing.T) { startMany(t, (*harness).poll) })
	t.Run("the newest polls last", func(t *testing.T) { startMany(t, (*harness).pollInOrder) })
}

// pollInOrder lets the entries poll in order of name.
func (h *harness) pollInOrder() {
	for _, name := range slices.Sorted(maps.Keys(h.entries)) {
		h.pollOne(h.entries[name])
	}
}

func startMany(t *testing.T, poll func(*harness)) {
	const entries, over = 200, 2 * time.Second
	h := newHarness(t)
	for i := range entries {
		e := h.addEntry(fmt.Sprintf("entry-%d", i))
		h.clock += over / entries
		h.tick()
		poll(h)
		if e.call != 0 && h.replies[e.call].Response == nil {
			t.Fatalf("entry %d waits for its first view", i)
		}
	}
	if most := 25 * entries; h.watchReplies > most {
		t.Errorf("%d answers for %d starts, at most %d", h.watchReplies, entries, most)
	}
	h.advance(time.Second)
	version := h.Reducer.state.ViewVersion()
	for name, e := range h.entries {
		if e.known != version {
			t.Errorf("%s knows version %d of %d", name, e.known, version)
		}
	}
}

// A few entries hear of a change in the step that brings it.
func TestFewEntriesAreAnsweredAtOnce(t *testing.T) {
	h := newHarness(t)
	e := h.addEntry("entry-1")
	h.advance(time.Second)
	h.pollOne(h.addEntry("entry-2"))
	if r, ok := h.replies[e.call]; !ok || r.Response.(*pb.WatchResponse).GetVersion() != h.Reducer.state.ViewVersion() {
		t.Errorf("entry-1 has not heard of entry-2: %+v", r)
	}
}
