package relay

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// A caller waits 600 ms from the moment it sends; the entry counted them from the moment
// it had read the request. Its last word, at the end of the 600 ms, met a closed connection:
// 541 of the requests of one day ended so ("how":"caller gone"), 12 with a refusal. What the
// way there and back takes, up to 3 ms each, has to be left of the caller's time.
func TestDeadlineLeavesTimeForTheAnswersWay(t *testing.T) {
	const oneWay = 3 * time.Millisecond
	d := &declaration.Declaration{
		Profiles: []declaration.Profile{{Name: "lookups", Class: declaration.ClassLookup, FirstToken: 150 * time.Millisecond}},
		Services: []declaration.Service{{Name: "portal", Kind: declaration.KindPlain}},
	}
	s := &Server{host: &host.Host{Settings: &settings.Entry{}}}
	route := &declaration.HostRoute{Name: "lookups", Profile: "lookups", Timeout: 2 * time.Second, Targets: []declaration.RouteTarget{{Service: "portal"}}}
	at := time.Hour
	for _, patience := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second} {
		sent := at - oneWay
		got := s.arrived(&Request{ID: "r1", Patience: patience}, at, route, &entry.Snapshot{Declaration: d})
		if left := sent + patience - oneWay - got.Work.FinishBy; left < 0 {
			t.Errorf("the last answer to a caller that waits %v comes %v too late", patience, -left)
		}
	}
}
