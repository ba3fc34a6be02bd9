package entry

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// fleetOfEntries gives three entries in each of three data centres.
func fleetOfEntries() []*pb.EntryInfo {
	var list []*pb.EntryInfo
	for _, dc := range []string{"a", "b", "c"} {
		for i := 1; i <= 3; i++ {
			name := fmt.Sprintf("entry-%s%d", dc, i)
			list = append(list, &pb.EntryInfo{Identity: &pb.EntryIdentity{
				Name: name, Incarnation: "i1", DataCentre: "dc-" + dc, CallerAddress: name, PeerAddress: name + "-peer",
			}})
		}
	}
	return list
}

func (w *world) entries(list ...*pb.EntryInfo) *Snapshot {
	w.version++
	effects := w.step(ViewReceived{SentAt: w.now, Response: &pb.WatchResponse{
		Version: w.version, Full: true, Revision: 1, LeaseMs: 1500, Entries: list,
		Objects: testDeclaration(1).ToProto().Objects,
	}})
	return pick[Publish](effects)[0].Snapshot
}

// An entry crashes under load and comes back idle. With its full weight at once
// it would, as the least loaded, draw all callers whose answers run out then.
func TestReturningEntryGetsItsShareSlowly(t *testing.T) {
	w := newWorld(t)
	w.entries(fleetOfEntries()...)
	w.after(rampTime)
	back := fleetOfEntries()
	back[1].Identity.Incarnation = "i2"
	list := w.entries(back...).AddressesFor("dc-a")
	if len(list) != 9 || list[2].Name != "entry-a2" || list[2].Weight != minWeight || list[0].Weight < 0.9 {
		t.Fatalf("just back: %v", list[:3])
	}
	w.after(rampTime)
	w.step(Tick{})
	list = pick[Publish](w.effects)[0].Snapshot.AddressesFor("dc-a")
	for _, e := range list[:3] {
		if e.Weight < 0.9 {
			t.Fatalf("after the ramp: %v", list[:3])
		}
	}
}

// Entries that leave are not named, and callers get their own data centre first,
// another one when all of it leaves.
func TestLeavingEntriesAreNotNamed(t *testing.T) {
	w := newWorld(t)
	all := fleetOfEntries()
	all[1].Leaving = true
	list := w.entries(all...).AddressesFor("dc-a")
	if len(list) != 8 || list[0].DataCentre != "dc-a" || list[1].DataCentre != "dc-a" || list[2].DataCentre == "dc-a" {
		t.Fatalf("%v", list)
	}
	all[2].Leaving = true
	w.entries(all...)
	// The entry itself, entry-a1, knows first that it leaves.
	s := pick[Publish](w.step(Stop{}))[0].Snapshot
	if list = s.AddressesFor("dc-a"); len(list) != 6 || list[0].DataCentre == "dc-a" {
		t.Fatalf("%v", list)
	}
}

// Backend servers announce to entries in different data centres, so that the
// loss of one leaves their word heard; the spread over entries is even, and a
// lost entry moves only its own servers.
func TestAnnouncementsAreSpread(t *testing.T) {
	w := newWorld(t)
	s := w.entries(fleetOfEntries()...)
	fewer := w.entries(fleetOfEntries()[1:]...)
	count, moved := make(map[string]int), 0
	for i := range 900 {
		id := fmt.Sprintf("engine-%d", i)
		centres := make(map[string]bool)
		before := s.SelectEntries(id, announceFanout, "")
		for _, e := range before {
			count[e.Name]++
			centres[e.DataCentre] = true
		}
		if len(centres) != 3 {
			t.Fatalf("%s announces to %v", id, before)
		}
		for j, e := range fewer.SelectEntries(id, announceFanout, "") {
			if e.Name != before[j].Name && before[j].Name != "entry-a1" {
				moved++
			}
		}
	}
	for name, n := range count {
		if n < 200 || n > 400 {
			t.Errorf("%s has %d of 2700", name, n)
		}
	}
	if moved > 300 {
		t.Errorf("%d announcements moved", moved)
	}
}

// A fleet grows until every entry spends more on hearing servers than control
// may cost it. The pace slows down, but never so far that control's lease on a
// server could run out between two of its words.
func TestServersAnnounceLessOftenInLargeFleets(t *testing.T) {
	for _, c := range []struct {
		servers, entries int
		want             time.Duration
	}{
		{12, 9, time.Second},
		{290, 55, time.Second},
		{400, 60, 1250 * time.Millisecond},
		{450, 55, maxAnnounceInterval},
		{2700, 9, maxAnnounceInterval},
		{12, 0, maxAnnounceInterval},
		{0, 0, time.Second},
	} {
		s := Snapshot{Servers: c.servers, Entries: make([]EntryWeight, c.entries)}
		if got := s.announceInterval(); got != c.want {
			t.Errorf("%d servers, %d entries: %v, want %v", c.servers, c.entries, got, c.want)
		}
	}
}
