package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// engine reads prompts one after the other, in virtual time.
type engine struct {
	fixed    time.Duration
	rate     float64 // tokens a second
	slower   float64 // a factor on both, 1 for as its role does
	busyTill time.Duration
	factor   SlowdownFactor
}

// read gives how long a prompt takes that comes now, and how many tokens are before it.
func (e *engine) read(now time.Duration, tokens float64) (before float64, took time.Duration) {
	waits := max(0, e.busyTill-now)
	before = waits.Seconds() * e.rate / e.slower
	own := time.Duration(tokens / e.rate * e.slower * float64(time.Second))
	e.busyTill = now + waits + own
	return before, waits + own + time.Duration(float64(e.fixed)*e.slower)
}

// play sends prompts of very unequal length to the engines in turn, at three fifths of
// what they read, for the time.
func play(r *PrefillModel, engines []*engine, from, until time.Duration, draw *rand.Rand) {
	rate := 0.0
	for _, e := range engines {
		rate += e.rate / e.slower
	}
	const mean = 4000
	every := time.Duration(mean / (0.6 * rate) * float64(time.Second))
	n := 0
	for now := from; now < until; now += every {
		e := engines[n%len(engines)]
		n++
		tokens := mean * draw.ExpFloat64()
		before, took := e.read(now, tokens)
		r.Observe(now+took, before+tokens, took, &e.factor)
	}
}

// A customer's engines read seven times as fast as was set, another's a sixth: long
// prompts were refused for waits that did not exist, or queued for waits that did. The
// rate must be known within some seconds, whatever the engines' speed, while queues come
// and go.
func TestRateIsLearnedAtAnySpeed(t *testing.T) {
	for _, rate := range []float64{5000, 16000, 75000, 200000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			r := NewPrefillModel(30000)
			var engines []*engine
			for range 6 {
				engines = append(engines, &engine{fixed: 50 * time.Millisecond, rate: rate, slower: 1})
			}
			play(r, engines, 0, 10*time.Second, rand.New(rand.NewPCG(1, 2)))
			if off := r.Rate() / rate; off < 0.75 || off > 1.33 {
				t.Errorf("rate %.0f tokens/s after 10 s, fixed %.3f s", r.Rate(), r.FixedSeconds())
			}
		})
	}
}

// One of six engines turns three times as slow for some seconds. It must be known to be
// slow within three seconds, the others not to be, and be trusted again afterwards.
func TestSlowEngineIsKnownAndTrustedAgain(t *testing.T) {
	r, draw := NewPrefillModel(30000), rand.New(rand.NewPCG(3, 4))
	var engines []*engine
	for range 6 {
		engines = append(engines, &engine{fixed: 50 * time.Millisecond, rate: 60000, slower: 1})
	}
	const second = time.Second
	play(r, engines, 0, 10*second, draw)
	engines[2].slower = 3
	play(r, engines, 10*second, 13*second, draw)
	slow, other := engines[2].factor.Value(13*second), engines[3].factor.Value(13*second)
	if slow < 1.7 || slow/other < 1.7 {
		t.Errorf("after 3 s: factor %.2f, another's %.2f", slow, other)
	}
	engines[2].slower, engines[2].busyTill = 1, 0
	play(r, engines, 13*second, 23*second, draw)
	if v := engines[2].factor.Value(23 * second); v > 1.4 {
		t.Errorf("10 s after its recovery: factor %.2f", v)
	}
}

// An engine that was slow gets nothing, so that no answer tells of its recovery.
func TestUnusedEngineIsTriedAgain(t *testing.T) {
	var f SlowdownFactor
	for range 100 {
		f.move(0, 1)
	}
	if v := f.Value(0); v < 2 {
		t.Fatalf("factor %.2f", v)
	}
	if v := f.Value(20 * time.Second); v > 1.1 {
		t.Errorf("after 20 s of silence: factor %.2f", v)
	}
}

// One answer in ten takes thirty times as long as it should: a cut link, a pause. The
// figures must hold.
func TestOutliersTeachLittle(t *testing.T) {
	r, draw := NewPrefillModel(30000), rand.New(rand.NewPCG(5, 6))
	var f SlowdownFactor
	for n := range 2000 {
		tokens := 500 + 10000*draw.Float64()
		seconds := 0.05 + tokens/60000
		if n%10 == 0 {
			seconds *= 30
		}
		r.Observe(time.Duration(n)*10*time.Millisecond, tokens, time.Duration(seconds*float64(time.Second)), &f)
	}
	if off := r.Rate() / 60000; off < 0.7 || off > 1.4 {
		t.Errorf("rate %.0f tokens/s", r.Rate())
	}
}

func TestMedianSettles(t *testing.T) {
	var m Median
	if v := m.Value(7); v != 7 {
		t.Fatalf("knows nothing, says %v", v)
	}
	draw := rand.New(rand.NewPCG(7, 8))
	for range 2000 {
		m.Observe(math.Exp(draw.NormFloat64()) * 0.01)
	}
	if v := m.Value(1); v < 0.008 || v > 0.0125 {
		t.Errorf("the median is 0.010, not %.4f", v)
	}
}
