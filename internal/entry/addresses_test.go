package entry

import (
	"testing"
	"time"
)

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
		{450, 55, slowAnnounceEvery},
		{2700, 9, slowAnnounceEvery},
		{12, 0, slowAnnounceEvery},
		{0, 0, time.Second},
	} {
		s := Snapshot{Servers: c.servers, Entries: make([]EntryWeight, c.entries)}
		if got := s.announceInterval(); got != c.want {
			t.Errorf("%d servers, %d entries: %v, want %v", c.servers, c.entries, got, c.want)
		}
	}
}
