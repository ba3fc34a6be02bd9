package native

import (
	"reflect"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Guards against a load figure that is lost or swapped on the way to the decisions.
func TestLoadKeepsEveryField(t *testing.T) {
	reported := engineapi.Load{
		Running: 1, Queued: 2, QueuedPrefillTokens: 3, RunningDecodeTokens: 4, PrefillRate: 5, DecodeRate: 6,
		CacheUsed: 7, KVTokens: 8, KVUsed: 9, AgeMS: 10,
	}
	want := decision.Load{
		Running: 1, Queued: 2, QueuedPrefillTokens: 3, RunningDecodeTokens: 4, PrefillRate: 5, DecodeRate: 6,
		CacheUsed: 7, KVTokens: 8, KVUsed: 9, Age: 10 * time.Millisecond,
	}
	if got := Load(reported); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for _, v := range []reflect.Value{reflect.ValueOf(reported), reflect.ValueOf(want)} {
		for i := range v.NumField() {
			if v.Field(i).IsZero() {
				t.Errorf("%s.%s is not covered", v.Type(), v.Type().Field(i).Name)
			}
		}
	}
}

func TestCacheEventsKeepOrderAndContent(t *testing.T) {
	got := CacheEvents([]engineapi.CacheEvent{{Seq: 1, Salt: "s", Hash: 7}, {Seq: 2, Salt: "s", Hash: 8, Dropped: true}})
	if want := []decision.CacheEvent{{Hash: 7}, {Hash: 8, Dropped: true}}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
