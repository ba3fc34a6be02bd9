// Package speed learns how long engines take to prefill and to decode from the times of
// their own answers.
//
// It handles fleets whose engines differ: by a factor of ten from one deployment to another,
// by half within one, and over a day when an engine turns slow. With a rate from the
// settings instead, queues look shorter or longer than they are. Where engines prefill
// 75,000 tokens/s and the settings say 16,000, only one long prompt in ten is served; and an
// engine that prefills a third slower than the others gets as many requests as they do and
// has four times their wait.
//
// All trackers follow a median by multiplicative steps. One answer moves them by a bounded
// factor however far off it is, so an engine that hangs or a queue that was not seen has
// little effect. Their state is a few numbers per engine.
package speed

import (
	"math"
	"time"
)

const (
	// minStep is the log of the factor by which one answer moves an estimate after the first
	// ones. An entry gets about thirty answers a second from the engines of one role, so an
	// error by a factor of two is corrected within about a second.
	minStep = 0.02
	// firstStep is the step of the first answer. The n-th answer takes an n-th of it, so that
	// the first ten answers correct a factor of four.
	firstStep = 0.5
)

// stepSize returns the log of the factor by which the n-th answer moves an estimate.
func stepSize(n int) float64 { return max(minStep, firstStep/float64(n)) }

// PrefillModel tracks how long engines of one role take from the sending of a prompt to the
// end of its prefill: a fixed time, plus a time for each token that is prefilled before it
// and for each of its own. It is fitted to measured waits, so it also covers work that the
// counted backlog misses. It is not safe for concurrent use.
type PrefillModel struct {
	fixed, perToken float64 // seconds
	observations    int
}

// initialFixedTime is the fixed time before any answer; real engines take about 50 ms.
const initialFixedTime = 20 * time.Millisecond

// NewPrefillModel returns a model that starts with an assumed rate.
func NewPrefillModel(tokensPerSecond float64) *PrefillModel {
	return &PrefillModel{fixed: initialFixedTime.Seconds(), perToken: 1 / max(1, tokensPerSecond)}
}

// Rate returns the tokens per second, without the fixed time.
func (m *PrefillModel) Rate() float64 { return 1 / m.perToken }

// FixedSeconds returns the time that a prompt without tokens would take.
func (m *PrefillModel) FixedSeconds() float64 { return m.fixed }

// Observe learns from a prompt that took that long at an engine with the given factor;
// tokens are those prefilled before it and its own.
func (m *PrefillModel) Observe(now time.Duration, tokens float64, took time.Duration, factor *SlowdownFactor) {
	variable := tokens * m.perToken
	expected := (m.fixed + variable) * factor.Value(now)
	if expected <= 0 || took <= 0 {
		return
	}
	m.observations++
	direction := sign(took.Seconds() - expected)
	// Each part moves by its share of the time: short prompts correct the fixed time, long
	// ones the rate.
	variableShare := variable / (m.fixed + variable)
	logStep := stepSize(m.observations) * direction
	m.fixed = clamp(m.fixed*math.Exp(logStep*(1-variableShare)), minFixed, maxFixed)
	m.perToken = clamp(m.perToken*math.Exp(logStep*variableShare), minPerToken, maxPerToken)
	factor.update(now, direction)
}

// Bounds for any engine, in seconds: a fixed time of 0.1 ms to 1 s, and 1,000 to a million
// tokens/s.
const (
	minFixed    = 1e-4
	maxFixed    = 1
	minPerToken = 1e-6
	maxPerToken = 1e-3
)

// SlowdownFactor is how much longer one engine takes than the engines of its role; the zero
// value stands for 1. It decays while the engine gives no answers, so that an engine that
// was slow is tried again.
type SlowdownFactor struct {
	logFactor float64
	// updatedAt is when the factor last changed.
	updatedAt time.Duration
}

const (
	// factorStep is the log of the factor by which one answer moves an engine's factor. An
	// entry gets about five answers a second from an engine, so one that becomes twice as slow
	// is detected within three seconds.
	factorStep = 0.05
	// factorDecay moves the factor back towards 1 with each answer. Without it, the model of
	// the role and all factors could drift in opposite directions.
	factorDecay = 0.01
	// maxFactorLog bounds the factor to about six: an engine that got no requests at all could
	// never show that it has recovered.
	maxFactorLog = 1.8
)

func (f *SlowdownFactor) update(now time.Duration, direction float64) {
	f.logFactor = clamp(f.decayed(now)*(1-factorDecay)+factorStep*direction, -maxFactorLog, maxFactorLog)
	f.updatedAt = now
}

func (f *SlowdownFactor) decayed(now time.Duration) float64 {
	return f.logFactor * math.Exp(-max(0, now-f.updatedAt).Seconds()/factorDecayTime.Seconds())
}

// Value returns the factor as estimated now.
func (f *SlowdownFactor) Value(now time.Duration) float64 { return math.Exp(f.decayed(now)) }

// factorDecayTime is the time constant with which the factor of an unused engine decays:
// engines are slow for seconds at a time.
const factorDecayTime = 5 * time.Second

// Median tracks the median of a stream of positive values. The zero value has seen none.
type Median struct {
	value float64
	count int
}

// Observe takes in a value; values of 0 or less are ignored.
func (m *Median) Observe(v float64) {
	if v <= 0 {
		return
	}
	m.count++
	if m.count == 1 {
		m.value = v
		return
	}
	m.value *= math.Exp(stepSize(m.count) * sign(v-m.value))
}

// Value returns the median, or the assumed value if there is none yet.
func (m *Median) Value(assumed float64) float64 {
	if m.count == 0 {
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
