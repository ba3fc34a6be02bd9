// Package speed learns how long engines take to read prompts and to decode, from the
// times of their own answers.
//
// It answers fleets whose engines differ: from one deployment to another by a factor of
// ten, within one by half, and over a day when one turns slow. With a figure from the
// settings in its place queues look shorter or longer than they are: where engines read
// 75,000 tokens/s and 16,000 were set, one long prompt in ten was served at all, and an
// engine that reads a third slower than the others got as much as they did and had four
// times their wait.
//
// All trackers follow a median by steps in proportion: one answer moves them by a bounded
// factor however far off it is, so that an engine that hangs, or a queue that was not
// seen, teaches little. Their state is a few numbers for each engine.
package speed

import (
	"math"
	"time"
)

const (
	// minStep is how far one answer moves a figure, as a factor less one. Some thirty
	// answers a second of one role come to an entry: an error of two is gone in a second.
	minStep = 0.02
	// firstStep is the step of the first answer; the next ones take a part of it by their
	// number, so that the first ten bridge a factor of four.
	firstStep = 0.5
)

// step is the log of the factor by which the n-th answer moves a figure.
func step(n int) float64 { return max(minStep, firstStep/float64(n)) }

// PrefillModel follows how long engines of one role take from the sending of a prompt to its
// last token read: a fixed time, and a time for each token that is read before it and of
// its own. It also covers what the counted backlog misses, since it is held against whole
// waits. Not safe for concurrent use.
type PrefillModel struct {
	fixed, perToken float64 // seconds
	answers         int
}

// priorFixed is the fixed time before any answer; some 50 ms were seen.
const priorFixed = 20 * time.Millisecond

// NewPrefillModel begins with what is assumed of such engines, in tokens a second.
func NewPrefillModel(tokensPerSecond float64) *PrefillModel {
	return &PrefillModel{fixed: priorFixed.Seconds(), perToken: 1 / max(1, tokensPerSecond)}
}

// Rate is the tokens a second beyond the fixed time.
func (r *PrefillModel) Rate() float64 { return 1 / r.perToken }

// FixedSeconds is the time that a prompt of no tokens takes, in seconds.
func (r *PrefillModel) FixedSeconds() float64 { return r.fixed }

// Observe takes in that the tokens, those before the prompt and its own, took so long at
// an engine of that factor.
func (r *PrefillModel) Observe(now time.Duration, tokens float64, took time.Duration, factor *SlowdownFactor) {
	variable := tokens * r.perToken
	expected := (r.fixed + variable) * factor.Value(now)
	if expected <= 0 || took <= 0 {
		return
	}
	r.answers++
	way := sign(took.Seconds() - expected)
	// Each part moves by its share of the time: short prompts teach the fixed time,
	// long ones the rate.
	part := variable / (r.fixed + variable)
	by := step(r.answers) * way
	r.fixed = clamp(r.fixed*math.Exp(by*(1-part)), minFixed, maxFixed)
	r.perToken = clamp(r.perToken*math.Exp(by*part), minPerToken, maxPerToken)
	factor.move(now, way)
}

// Bounds of what is believed of any engine, in seconds: from a tenth of a millisecond
// and a million tokens/s to a second and 1,000 tokens/s.
const (
	minFixed    = 1e-4
	maxFixed    = 1
	minPerToken = 1e-6
	maxPerToken = 1e-3
)

// SlowdownFactor is how much longer one engine takes than its role does; the zero value is 1. It
// fades while the engine answers nothing, so that one that was slow is tried again.
type SlowdownFactor struct {
	log float64
	// at is when it was learned.
	at time.Duration
}

const (
	// factorStep lets an engine's factor follow some five answers a second to an entry:
	// one that turns twice as slow is seen as such within three seconds.
	factorStep = 0.05
	// factorFade draws the factor back to 1 with each answer: without it the role's
	// figures and all factors could drift apart together.
	factorFade = 0.01
	// maxFactorLog bounds it to six: an engine that is shunned altogether would never
	// show that it is well again.
	maxFactorLog = 1.8
)

func (f *SlowdownFactor) move(now time.Duration, way float64) {
	f.log = clamp(f.faded(now)*(1-factorFade)+factorStep*way, -maxFactorLog, maxFactorLog)
	f.at = now
}

func (f *SlowdownFactor) faded(now time.Duration) float64 {
	return f.log * math.Exp(-max(0, now-f.at).Seconds()/factorMemory.Seconds())
}

// Value is the factor as it is believed now.
func (f *SlowdownFactor) Value(now time.Duration) float64 { return math.Exp(f.faded(now)) }

// factorMemory is how fast an unused engine's factor fades: slow spells last seconds.
const factorMemory = 5 * time.Second

// Median follows the middle of a stream of positive values. The zero value knows nothing.
type Median struct {
	value  float64
	values int
}

// Observe takes in a value; 0 and less count for nothing.
func (m *Median) Observe(v float64) {
	if v <= 0 {
		return
	}
	m.values++
	if m.values == 1 {
		m.value = v
		return
	}
	m.value *= math.Exp(step(m.values) * sign(v-m.value))
}

// Value is the median, or the one that is assumed before any value.
func (m *Median) Value(assumed float64) float64 {
	if m.values == 0 {
		return assumed
	}
	return m.value
}

func sign(v float64) float64 {
	switch {
	case v > 0:
		return 1
	case v < 0:
		return -1
	default:
		return 0
	}
}

func clamp(v, low, high float64) float64 { return min(high, max(low, v)) }
