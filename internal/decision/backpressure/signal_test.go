package backpressure

import (
	"testing"
	"time"
)

// A limit that can't be parsed must neither stop all work for a server nor go unnoticed.
func TestParseRateLimit(t *testing.T) {
	for _, c := range []struct {
		values    []string
		rate      float64
		malformed string
	}{
		{nil, 0, ""},
		{[]string{"8.6"}, 8.6, ""},
		{[]string{" 0.5 "}, 0.5, ""},
		{[]string{"0"}, minRateLimit, ""},
		{[]string{"1e-9"}, minRateLimit, ""},
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
		var s Signal
		s.ParseRateLimit(c.values...)
		if s.RateLimit != c.rate || s.Malformed != c.malformed {
			t.Errorf("%q: rate limit %g, malformed %q; want %g, %q", c.values, s.RateLimit, s.Malformed, c.rate, c.malformed)
		}
	}
}

// A back-off must not be cut short, and a malformed value must not make it endless.
func TestParseBackoff(t *testing.T) {
	for _, c := range []struct {
		values    []string
		backoff   time.Duration
		malformed string
	}{
		{nil, 0, ""},
		{[]string{"3"}, 3 * time.Second, ""},
		{[]string{"0.25"}, 250 * time.Millisecond, ""},
		{[]string{"3600"}, time.Hour, ""},
		{[]string{"0"}, 0, ""},
		{[]string{"2", "5"}, 5 * time.Second, ""},
		{[]string{"1e300"}, maxBackoff, ""},
		{[]string{"-1"}, 0, "-1"},
		{[]string{"soon"}, 0, "soon"},
		{[]string{"2", "soon"}, 2 * time.Second, "soon"},
	} {
		var s Signal
		s.ParseBackoff(c.values...)
		if s.Backoff != c.backoff || s.Malformed != c.malformed {
			t.Errorf("%q: back-off %v, malformed %q; want %v, %q", c.values, s.Backoff, s.Malformed, c.backoff, c.malformed)
		}
	}
}
