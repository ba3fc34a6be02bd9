// Package backpressure holds what backend servers say in their answers of the work that
// they want, and how all entries together keep to it.
package backpressure

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Signal is what a server says with one answer of the work that it wants.
type Signal struct {
	// RateLimit is how many requests a second it takes from all entries together; 0: any.
	RateLimit float64
	// Backoff is how long it wants nothing from this entry; 0: it has not asked for rest.
	Backoff time.Duration
	// Leaving tells that it leaves: it wants no new work for the rest of its life.
	Leaving bool
	// Malformed is a part of the word that could not be read; empty for none.
	Malformed string
}

// minRate is the least rate that is held, in requests a second: a server that takes nothing
// could never say that it takes requests again.
const minRate = 0.1

// maxRest bounds how long a server is left alone at its word.
const maxRest = 24 * time.Hour

// ParseBackoff reads for how many seconds a server that turns a request away wants no others. Of
// several times the longest counts. What is no number, or below zero, is unclear and asks for none.
func (w *Signal) ParseBackoff(values ...string) {
	for _, secs := range w.numbers(values) {
		w.Backoff = max(w.Backoff, time.Duration(min(secs, maxRest.Seconds())*float64(time.Second)))
	}
}

// numbers reads lists of numbers of zero or more; one that can't be read is noted.
func (w *Signal) numbers(lists []string) []float64 {
	var numbers []float64
	for _, list := range lists {
		for value := range strings.SplitSeq(list, ",") {
			n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil || n < 0 || math.IsNaN(n) || math.IsInf(n, 0) {
				w.Malformed = value
				continue
			}
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// ParseLeaving reads whether the server leaves. Whatever it says but nothing and "0" counts as
// that it does.
func (w *Signal) ParseLeaving(value string) {
	value = strings.TrimSpace(value)
	w.Leaving = w.Leaving || value != "" && value != "0"
}

// ParseRateLimit reads the rates that a server names, in requests a second. Of several the least
// counts. What is no number, or below zero, is unclear and names none.
func (w *Signal) ParseRateLimit(values ...string) {
	for _, rate := range w.numbers(values) {
		if rate = max(rate, minRate); w.RateLimit == 0 || rate < w.RateLimit {
			w.RateLimit = rate
		}
	}
}
