package traffic

import (
	"reflect"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
)

// Guards against a part of an announcement that is lost or swapped on the way to
// the reducer.
func TestAnnouncementKeepsEveryField(t *testing.T) {
	want := entry.Announcement{
		ID: "id", Incarnation: "life", Address: "10.0.0.1:1", Region: "region", DataCentre: "dc", Kind: engineapi.KindModel,
		Services: []string{"service"}, Model: "model", Version: "version", Adapters: []string{"adapter"},
		Role: decision.RoleDecode, State: decision.StateChanging, Slots: 2, Load: decision.Load{Age: 3 * time.Millisecond},
		LastOrder: "last", LastTerm: 4, LastSequence: 5, RunningOrder: "running",
	}
	got := reducerAnnouncement(&engineapi.Announcement{
		Cluster: "cluster", ID: "id", Incarnation: "life", Address: "10.0.0.1:1", Region: "region", DataCentre: "dc",
		Kind: engineapi.KindModel, Services: []string{"service"}, Model: "model", Version: "version", Adapters: []string{"adapter"},
		Role: engineapi.RoleDecode, State: engineapi.StateChanging, Slots: 2, Load: engineapi.Load{AgeMS: 3},
		LastOrder: "last", LastToken: engineapi.FencingToken{Term: 4, Sequence: 5}, RunningOrder: "running",
	})
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for v, i := reflect.ValueOf(want), 0; i < v.NumField(); i++ {
		if v.Field(i).IsZero() {
			t.Errorf("%s is not covered", v.Type().Field(i).Name)
		}
	}
}
