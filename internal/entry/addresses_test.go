package entry

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// entriesInThreeDataCentres returns three entries in each of three data centres.
func entriesInThreeDataCentres() []*pb.EntryInfo {
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

func (w *harness) viewEntries(list ...*pb.EntryInfo) *Snapshot {
	w.version++
	effects := w.step(ViewReceived{SentAt: w.now, Response: &pb.WatchResponse{
		Version: w.version, Full: true, Revision: 1, LeaseMs: 1500, Entries: list,
		Objects: testDeclaration(1).ToProto().Objects,
	}})
	return effectsOf[Publish](effects)[0].Snapshot
}

// Guards against a restarted entry that attracts all callers. It comes back idle, and with its
// full weight at once it would be the least loaded entry for all callers that resolve addresses
// at that time.
func TestRestartedEntryRampsUp(t *testing.T) {
	w := newHarness(t)
	w.viewEntries(entriesInThreeDataCentres()...)
	w.advance(rampTime)
	entries := entriesInThreeDataCentres()
	entries[1].Identity.Incarnation = "i2"
	list := w.viewEntries(entries...).AddressesFor("dc-a")
	if len(list) != 9 || list[2].Name != "entry-a2" || list[2].Weight != minWeight || list[0].Weight < 0.9 {
		t.Fatalf("just restarted: %v", list[:3])
	}
	w.advance(rampTime)
	w.step(Tick{})
	list = effectsOf[Publish](w.effects)[0].Snapshot.AddressesFor("dc-a")
	for _, e := range list[:3] {
		if e.Weight < 0.9 {
			t.Fatalf("after the ramp-up: %v", list[:3])
		}
	}
}

// Guards against callers that get the addresses of leaving entries, or of another data centre
// while their own has entries left.
func TestLeavingEntriesAreNotListed(t *testing.T) {
	w := newHarness(t)
	all := entriesInThreeDataCentres()
	all[1].Leaving = true
	list := w.viewEntries(all...).AddressesFor("dc-a")
	if len(list) != 8 || list[0].DataCentre != "dc-a" || list[1].DataCentre != "dc-a" || list[2].DataCentre == "dc-a" {
		t.Fatalf("%v", list)
	}
	all[2].Leaving = true
	w.viewEntries(all...)
	// The entry itself, entry-a1, is the first to know that it leaves.
	s := effectsOf[Publish](w.step(Stop{}))[0].Snapshot
	if list = s.AddressesFor("dc-a"); len(list) != 6 || list[0].DataCentre == "dc-a" {
		t.Fatalf("%v", list)
	}
}

// Guards against the loss of all announcements of a server with one data centre. Servers
// announce to entries in different data centres, evenly spread, and a lost entry moves only its
// own servers.
func TestAnnouncementsAreSpread(t *testing.T) {
	w := newHarness(t)
	s := w.viewEntries(entriesInThreeDataCentres()...)
	fewer := w.viewEntries(entriesInThreeDataCentres()[1:]...)
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
			t.Errorf("%s gets %d of 2700 announcements", name, n)
		}
	}
	if moved > 300 {
		t.Errorf("%d announcements moved", moved)
	}
}

// Guards against entries of a large fleet that spend more on announcements than the control
// plane may cost. The interval grows, but never so far that control's lease on a server could
// end between two announcements.
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

// Guards against hundreds of entries that each send control messages about where streams began.
func TestOnlyAggregatorsTellControlInLargeFleets(t *testing.T) {
	small := &Snapshot{Entries: []EntryWeight{{Name: "a"}, {Name: "b"}}}
	large := &Snapshot{Entries: []EntryWeight{{Name: "a"}, {Name: "b", IsAggregator: true}, {Name: "c"}}}
	for _, c := range []struct {
		snapshot *Snapshot
		self     string
		tells    bool
	}{{small, "a", true}, {large, "a", false}, {large, "b", true}, {large, "c", false}, {&Snapshot{}, "a", true}} {
		if got := c.snapshot.TellsControl(c.self); got != c.tells {
			t.Errorf("%s of %d entries tells control: %v", c.self, len(c.snapshot.Entries), got)
		}
	}
}
