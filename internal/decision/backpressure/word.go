// Package backpressure holds what backend servers say in their answers of the work that
// they want, and how all entries together keep to it.
package backpressure

import (
	"math"
	"strconv"
	"strings"
)

// Word is what a server says with one answer of the work that it wants.
type Word struct {
	// Rate is how many requests a second it takes from all entries together; 0: any.
	Rate float64
	// Unclear is a part of the word that could not be read; empty for none.
	Unclear string
}

// minRate is the least rate that is held, in requests a second: a server that takes nothing
// could never say that it takes requests again.
const minRate = 0.1

// ReadRate reads the rates that a server names, in requests a second. Of several the least
// counts. What is no number, or below zero, is unclear and names none.
func (w *Word) ReadRate(values ...string) {
	for _, list := range values {
		for value := range strings.SplitSeq(list, ",") {
			rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
				w.Unclear = value
				continue
			}
			if rate = max(rate, minRate); w.Rate == 0 || rate < w.Rate {
				w.Rate = rate
			}
		}
	}
}
