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
func TestManyStartsAreToldInRounds(t *testing.T) {
	t.Run("polls in any order", func(t *testing.T) { startMany(t, (*world).poll) })
	t.Run("the newest polls last", func(t *testing.T) { startMany(t, (*world).pollInOrder) })
}

// pollInOrder lets the entries poll in order of name.
func (w *world) pollInOrder() {
	for _, name := range slices.Sorted(maps.Keys(w.entries)) {
		w.pollOne(w.entries[name])
	}
}

func startMany(t *testing.T, poll func(*world)) {
	const entries, over = 200, 2 * time.Second
	w := newWorld(t)
	for i := range entries {
		e := w.addEntry(fmt.Sprintf("entry-%d", i))
		w.clock += over / entries
		w.tick()
		poll(w)
		if e.call != 0 && w.replies[e.call].Response == nil {
			t.Fatalf("entry %d waits for its first view", i)
		}
	}
	if most := 25 * entries; w.watched > most {
		t.Errorf("%d answers for %d starts, at most %d", w.watched, entries, most)
	}
	w.advance(time.Second)
	version := w.Reducer.state.ViewVersion()
	for name, e := range w.entries {
		if e.known != version {
			t.Errorf("%s knows version %d of %d", name, e.known, version)
		}
	}
}

// A few entries hear of a change in the step that brings it.
func TestFewEntriesHearAtOnce(t *testing.T) {
	w := newWorld(t)
	e := w.addEntry("entry-1")
	w.advance(time.Second)
	w.pollOne(w.addEntry("entry-2"))
	if r, ok := w.replies[e.call]; !ok || r.Response.(*pb.WatchResponse).GetVersion() != w.Reducer.state.ViewVersion() {
		t.Errorf("entry-1 has not heard of entry-2: %+v", r)
	}
}
