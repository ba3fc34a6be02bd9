// Package backpressure holds the signals by which backend servers limit the work that they
// get, and how all entries together keep to them.
package backpressure

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Signal is what one answer of a server says about the work that it accepts.
type Signal struct {
	// RateLimit is the number of requests per second that the server accepts from all entries
	// together; 0 if it sets no limit.
	RateLimit float64
	// Backoff is how long the server accepts nothing from this entry; 0 if it asks for no
	// back-off.
	Backoff time.Duration
	// Leaving is set if the server is leaving: its incarnation accepts no more work.
	Leaving bool
	// Malformed is a part of the signal that could not be parsed; empty if there is none.
	Malformed string
}

// minRateLimit is the lowest limit that is applied, in requests per second: a server that
// got no requests could never signal that it accepts some again.
const minRateLimit = 0.1

// maxBackoff bounds how long a server's back-off request is obeyed.
const maxBackoff = 24 * time.Hour

// ParseBackoff parses the seconds in which a server that refuses a request accepts no
// others. The longest of several values counts. A value that is negative or not a number is
// malformed and asks for no back-off.
func (s *Signal) ParseBackoff(values ...string) {
	for _, secs := range s.numbers(values) {
		s.Backoff = max(s.Backoff, time.Duration(min(secs, maxBackoff.Seconds())*float64(time.Second)))
	}
}

// numbers parses comma-separated lists of non-negative numbers; it records any other value
// as malformed.
func (s *Signal) numbers(lists []string) []float64 {
	var numbers []float64
	for _, list := range lists {
		for value := range strings.SplitSeq(list, ",") {
			number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil || number < 0 || math.IsNaN(number) || math.IsInf(number, 0) {
				s.Malformed = value
				continue
			}
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// ParseLeaving parses whether the server is leaving: any value except an empty one and "0"
// says so.
func (s *Signal) ParseLeaving(value string) {
	value = strings.TrimSpace(value)
	s.Leaving = s.Leaving || value != "" && value != "0"
}

// ParseRateLimit parses the limits that a server sets, in requests per second. The lowest of
// several values counts. A value that is negative or not a number is malformed and sets no
// limit.
func (s *Signal) ParseRateLimit(values ...string) {
	for _, rate := range s.numbers(values) {
		if rate = max(rate, minRateLimit); s.RateLimit == 0 || rate < s.RateLimit {
			s.RateLimit = rate
		}
	}
}
