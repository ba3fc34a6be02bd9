package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// engine prefills prompts one after the other, in virtual time.
type engine struct {
	fixed     time.Duration
	rate      float64 // tokens per second
	slowdown  float64 // a factor on fixed time and prefill time, 1 for an engine as fast as its role
	busyUntil time.Duration
	factor    SlowdownFactor
}

// prefill returns how long a prompt that arrives now takes, and how many tokens are ahead of
// it.
func (e *engine) prefill(now time.Duration, tokens float64) (tokensAhead float64, took time.Duration) {
	wait := max(0, e.busyUntil-now)
	tokensAhead = wait.Seconds() * e.rate / e.slowdown
	own := time.Duration(tokens / e.rate * e.slowdown * float64(time.Second))
	e.busyUntil = now + wait + own
	return tokensAhead, wait + own + time.Duration(float64(e.fixed)*e.slowdown)
}

// simulate sends prompts of very unequal length to the engines in turn, at three fifths of
// their capacity.
func simulate(model *PrefillModel, engines []*engine, from, until time.Duration, rng *rand.Rand) {
	rate := 0.0
	for _, e := range engines {
		rate += e.rate / e.slowdown
	}
	const mean = 4000
	interval := time.Duration(mean / (0.6 * rate) * float64(time.Second))
	n := 0
	for now := from; now < until; now += interval {
		e := engines[n%len(engines)]
		n++
		tokens := mean * rng.ExpFloat64()
		tokensAhead, took := e.prefill(now, tokens)
		model.Observe(now+took, tokensAhead+tokens, took, &e.factor)
	}
}

// If engines prefill seven times as fast as the settings say, or a sixth as fast, long
// prompts are refused for waits that do not exist, or queued for waits that do. The rate
// must be learned within seconds at any engine speed, while queues build up and drain.
func TestRateIsLearnedAtAnySpeed(t *testing.T) {
	for _, rate := range []float64{5000, 16000, 75000, 200000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			model := NewPrefillModel(30000)
			var engines []*engine
			for range 6 {
				engines = append(engines, &engine{fixed: 50 * time.Millisecond, rate: rate, slowdown: 1})
			}
			simulate(model, engines, 0, 10*time.Second, rand.New(rand.NewPCG(1, 2)))
			if ratio := model.Rate() / rate; ratio < 0.75 || ratio > 1.33 {
				t.Errorf("rate %.0f tokens/s and fixed time %.3f s after 10 s", model.Rate(), model.FixedSeconds())
			}
		})
	}
}

// One of six engines becomes three times as slow for some seconds. That must be detected
// within three seconds and for this engine only, and the engine must count as fast again
// after its recovery.
func TestSlowEngineIsDetectedAndRecovers(t *testing.T) {
	model, rng := NewPrefillModel(30000), rand.New(rand.NewPCG(3, 4))
	var engines []*engine
	for range 6 {
		engines = append(engines, &engine{fixed: 50 * time.Millisecond, rate: 60000, slowdown: 1})
	}
	const second = time.Second
	simulate(model, engines, 0, 10*second, rng)
	engines[2].slowdown = 3
	simulate(model, engines, 10*second, 13*second, rng)
	slowFactor, otherFactor := engines[2].factor.Value(13*second), engines[3].factor.Value(13*second)
	if slowFactor < 1.7 || slowFactor/otherFactor < 1.7 {
		t.Errorf("slowdown factor %.2f after 3 s, another engine's %.2f", slowFactor, otherFactor)
	}
	engines[2].slowdown, engines[2].busyUntil = 1, 0
	simulate(model, engines, 13*second, 23*second, rng)
	if v := engines[2].factor.Value(23 * second); v > 1.4 {
		t.Errorf("slowdown factor %.2f 10 s after the recovery", v)
	}
}

// An engine that was slow gets no requests, so no answer shows its recovery.
func TestUnusedEngineIsTriedAgain(t *testing.T) {
	var f SlowdownFactor
	for range 100 {
		f.update(0, 1)
	}
	if v := f.Value(0); v < 2 {
		t.Fatalf("slowdown factor %.2f after 100 slow answers", v)
	}
	if v := f.Value(20 * time.Second); v > 1.1 {
		t.Errorf("slowdown factor %.2f after 20 s without answers", v)
	}
}

// One answer in ten takes thirty times as long as it should, because of a cut link or a
// pause. The estimates must stay close.
func TestOutliersMoveTheModelLittle(t *testing.T) {
	model, rng := NewPrefillModel(30000), rand.New(rand.NewPCG(5, 6))
	var f SlowdownFactor
	for n := range 2000 {
		tokens := 500 + 10000*rng.Float64()
		seconds := 0.05 + tokens/60000
		if n%10 == 0 {
			seconds *= 30
		}
		model.Observe(time.Duration(n)*10*time.Millisecond, tokens, time.Duration(seconds*float64(time.Second)), &f)
	}
	if ratio := model.Rate() / 60000; ratio < 0.7 || ratio > 1.4 {
		t.Errorf("rate %.0f tokens/s", model.Rate())
	}
}

func TestMedianConverges(t *testing.T) {
	var m Median
	if v := m.Value(7); v != 7 {
		t.Fatalf("median %v without values, want the assumed 7", v)
	}
	rng := rand.New(rand.NewPCG(7, 8))
	for range 2000 {
		m.Observe(math.Exp(rng.NormFloat64()) * 0.01)
	}
	if v := m.Value(1); v < 0.008 || v > 0.0125 {
		t.Errorf("median %.4f, want about 0.010", v)
	}
}
