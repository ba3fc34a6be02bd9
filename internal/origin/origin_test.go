package origin

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

func TestOriginsExpireAndAreBounded(t *testing.T) {
	s := NewStore()
	v1 := decision.Origin{Pool: "lm", Version: "v1", Incarnation: "i-1"}
	s.Put(Key{"hotels", "r"}, v1, 0, time.Second)
	if got, ok := s.Get(Key{"hotels", "r"}, time.Second-1); !ok || got != v1 {
		t.Errorf("origin %+v, known %v", got, ok)
	}
	if _, ok := s.Get(Key{"hotels", "r"}, time.Second); ok {
		t.Error("an expired origin is known")
	}
	if _, ok := s.Get(Key{"cafes", "r"}, 0); ok {
		t.Error("another member's stream is known")
	}
	s.Put(Key{"", strings.Repeat("x", maxKeyBytes+1)}, v1, 0, time.Second)
	for n := range 2 * maxOrigins {
		s.Put(Key{"", strconv.Itoa(n)}, v1, 0, time.Hour)
	}
	if len(s.byKey) > maxOrigins || len(s.order) != len(s.byKey) {
		t.Errorf("%d origins, %d in order", len(s.byKey), len(s.order))
	}
	if _, ok := s.Get(Key{"", strconv.Itoa(2*maxOrigins - 1)}, 0); !ok {
		t.Error("the newest origin is not known")
	}
}

// Guards against an origin that expires while a later try of its caller still runs.
func TestOriginIsKeptForTheLongestTry(t *testing.T) {
	s, k := NewStore(), Key{"", "r"}
	v1 := decision.Origin{Pool: "lm", Version: "v1", Incarnation: "i-1"}
	s.Put(k, v1, 0, 10*time.Second)
	s.Put(k, v1, time.Second, time.Second)
	if _, ok := s.Get(k, 9*time.Second); !ok {
		t.Error("a later record has shortened the first one")
	}
}

// Guards against a stream that goes on at another software version because its caller used a name for
// several streams.
func TestOriginOfANameUsedTwiceIsNotKnown(t *testing.T) {
	first := decision.Origin{Pool: "lm", Version: "v1", Incarnation: "i-1"}
	unnamed := decision.Origin{Pool: "lm", Incarnation: "i-1"}
	for _, c := range []struct {
		name          string
		first, second decision.Origin
		known         bool
	}{
		{"another server of the build", first, decision.Origin{Pool: "lm", Version: "v1", Incarnation: "i-2"}, true},
		{"another build", first, decision.Origin{Pool: "lm", Version: "v2", Incarnation: "i-1"}, false},
		{"another pool", first, decision.Origin{Pool: "other", Version: "v1", Incarnation: "i-1"}, false},
		{"the same process of no named build", unnamed, unnamed, true},
		{"another process of no named build", unnamed, decision.Origin{Pool: "lm", Incarnation: "i-2"}, false},
	} {
		s, k := NewStore(), Key{"", "r"}
		s.Put(k, c.first, 0, time.Second)
		s.Put(k, c.second, 0, time.Second)
		s.Put(k, c.first, 0, time.Second)
		if _, known := s.Get(k, 0); known != c.known {
			t.Errorf("%s: known %v", c.name, known)
		}
	}
}

// Guards against an expected origin that stands in for the one where the stream began, or hides that a name
// was used twice.
func TestExpectedOriginGivesWayToTheRealOne(t *testing.T) {
	v1 := decision.Origin{Pool: "lm", Version: "v1", Incarnation: "i-1"}
	v2 := decision.Origin{Pool: "lm", Version: "v2", Incarnation: "i-2"}
	type told struct {
		origin   decision.Origin
		expected bool
	}
	for _, c := range []struct {
		name     string
		told     []told
		want     string
		expected bool
	}{
		{"nothing else is told", []told{{v1, true}}, "v1", true},
		{"it begins there", []told{{v1, true}, {v1, false}}, "v1", false},
		{"it begins elsewhere", []told{{v1, true}, {v2, false}}, "v2", false},
		{"it is told late", []told{{v2, false}, {v2, true}}, "v2", false},
		{"it is told late and doesn't fit", []told{{v2, false}, {v1, true}}, "", false},
		{"two are expected", []told{{v1, true}, {v2, true}}, "", false},
		{"two are expected and one began", []told{{v1, true}, {v2, true}, {v2, false}}, "v2", false},
	} {
		s, k := NewStore(), Key{"", "r"}
		for _, o := range c.told {
			if o.expected {
				s.Expect(k, o.origin, 0, time.Second)
			} else {
				s.Put(k, o.origin, 0, time.Second)
			}
		}
		if got, expected, _ := s.get(k, 0); got.Version != c.want || expected != c.expected {
			t.Errorf("%s: %q, expected %v", c.name, got.Version, expected)
		}
	}
}
