package backpressure

import (
	"testing"
	"time"
)

// A limit that can't be read must neither stop a server's work nor pass in silence.
func TestRatesAreReadWithADefinedMeaning(t *testing.T) {
	for _, c := range []struct {
		values  []string
		rate    float64
		unclear string
	}{
		{nil, 0, ""},
		{[]string{"8.6"}, 8.6, ""},
		{[]string{" 0.5 "}, 0.5, ""},
		{[]string{"0"}, minRate, ""},
		{[]string{"1e-9"}, minRate, ""},
		{[]string{"1e300"}, 1e300, ""},
		{[]string{"9", "4"}, 4, ""},
		{[]string{"9, 4"}, 4, ""},
		{[]string{"4", "many"}, 4, "many"},
		{[]string{"-1"}, 0, "-1"},
		{[]string{"NaN"}, 0, "NaN"},
		{[]string{"inf"}, 0, "inf"},
		{[]string{""}, 0, ""},
		{[]string{"1e999"}, 0, "1e999"},
	} {
		var w Signal
		w.ParseRateLimit(c.values...)
		if w.RateLimit != c.rate || w.Malformed != c.unclear {
			t.Errorf("%q: rate %g, unclear %q; want %g, %q", c.values, w.RateLimit, w.Malformed, c.rate, c.unclear)
		}
	}
}

// Guards against a time of rest that is cut short, or that an unreadable value makes endless.
func TestRestsAreReadWithADefinedMeaning(t *testing.T) {
	for _, c := range []struct {
		values  []string
		rest    time.Duration
		unclear string
	}{
		{nil, 0, ""},
		{[]string{"3"}, 3 * time.Second, ""},
		{[]string{"0.25"}, 250 * time.Millisecond, ""},
		{[]string{"3600"}, time.Hour, ""},
		{[]string{"0"}, 0, ""},
		{[]string{"2", "5"}, 5 * time.Second, ""},
		{[]string{"1e300"}, maxRest, ""},
		{[]string{"-1"}, 0, "-1"},
		{[]string{"soon"}, 0, "soon"},
		{[]string{"2", "soon"}, 2 * time.Second, "soon"},
	} {
		var w Signal
		w.ParseBackoff(c.values...)
		if w.Backoff != c.rest || w.Malformed != c.unclear {
			t.Errorf("%q: rest %v, unclear %q; want %v, %q", c.values, w.Backoff, w.Malformed, c.rest, c.unclear)
		}
	}
}
