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
	unknown := originAnswer{answered: true}
	silent := originAnswer{}
	expects := func(o *decision.Origin) originAnswer { return originAnswer{origin: o, answered: true, expected: true} }
	began := func(o *decision.Origin) originAnswer { return originAnswer{origin: o, answered: true} }
	for _, c := range []struct {
		name    string
		answers []originAnswer
		want    string
	}{
		{"one knows", []originAnswer{unknown, expects(v1), unknown}, "v1"},
		{"two agree, one is silent", []originAnswer{expects(v1), silent, expects(other)}, "v1"},
		{"two disagree", []originAnswer{expects(v1), expects(v2), unknown}, ""},
		{"too few have answered", []originAnswer{expects(v1), silent, silent}, ""},
		{"it began elsewhere", []originAnswer{expects(v1), began(v2)}, "v2"},
		{"nobody knows", []originAnswer{unknown, unknown, unknown}, ""},
	} {
		l := &Lookup{Asked: 3}
		for _, a := range c.answers {
			if l.take(a, 2) {
				break
			}
		}
		got := ""
		if l.Origin != nil {
			got = l.Origin.Version
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
