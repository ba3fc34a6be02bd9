package host

import (
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// Guards against a stream that goes on where it was only expected to begin, though replicas disagree or
// too few have answered.
func TestExpectedOriginIsTakenOnlyIfNobodyDisagrees(t *testing.T) {
	v1 := &decision.Origin{Pool: "lm", Version: "v1", Incarnation: "i-1"}
	other := &decision.Origin{Pool: "lm", Version: "v1", Incarnation: "i-2"}
	v2 := &decision.Origin{Pool: "lm", Version: "v2", Incarnation: "i-3"}
	for _, c := range []struct {
		name     string
		complete bool
		expected []*decision.Origin
		began    *decision.Origin
		want     string
	}{
		{"one knows", true, []*decision.Origin{v1}, nil, "v1"},
		{"two agree", true, []*decision.Origin{v1, other}, nil, "v1"},
		{"two disagree", true, []*decision.Origin{v1, v2}, nil, ""},
		{"too few have answered", false, []*decision.Origin{v1}, nil, ""},
		{"it began elsewhere", true, []*decision.Origin{v1}, v2, "v2"},
		{"nobody knows", true, nil, nil, ""},
	} {
		l := &Lookup{Complete: c.complete, Origin: c.began}
		for _, o := range c.expected {
			l.expected = append(l.expected, originAnswer{origin: o, answered: true, expected: true})
		}
		l.takeExpected()
		got := ""
		if l.Origin != nil {
			got = l.Origin.Version
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
