package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
)

// Trace is the offered work, in order of arrival, and the engines that are lost.
type Trace struct {
	Name     string
	Length   time.Duration
	Requests []decision.Work
	Losses   []Loss
}

// Loss is the permanent loss of an engine.
type Loss struct {
	At     time.Duration
	Engine int
}

// shape is the offered load over time.
type shape struct {
	name string
	// load is in units of fully busy engines; prefillShare is the share of prefill in it.
	load, prefillShare func(t time.Duration) float64
	losses             []Loss
	// heavyShare is the share of all work that the first member sends in addition to its equal
	// part of the rest; zero means defaultHeavyShare.
	heavyShare float64
}

// traceLength is long enough for several swings and for requests to reach the queue's limit of
// five minutes under overload.
const traceLength = 20 * time.Minute

// Loads in units of fully busy engines. A fleet of nine with four mixed engines at an efficiency
// of 0.8 has a capacity of 8.2. normalLoad is some 0.95 of that, so that a wrong split costs
// goodput and a right one does not.
const (
	normalLoad = 7.8
	quietLoad  = 5.0
	burstLoad  = 8.0
	urgentLoad = 1.5
)

// lowPrefill and highPrefill are the limits between which the share of prefill swings: short
// prompts with long answers, and long prompts.
const (
	lowPrefill  = 0.2
	highPrefill = 0.8
)

// loadShapes returns the shapes of all traces, in the order in which they are reported.
func loadShapes(rng *rand.Rand, worstPeriod time.Duration) []shape {
	steady := func(time.Duration) float64 { return normalLoad }
	swing := randomSwings(rng)
	loss := func(t time.Duration) float64 { return stepFunction(t, 8*time.Minute, lowPrefill, highPrefill) }
	return []shape{
		{name: "swing", load: steady, prefillShare: swing},
		{name: "drift", load: steady, prefillShare: slowDrift},
		{name: "burst", load: burstLoadAt, prefillShare: burstPrefillShare},
		{name: "oscillation", load: steady, prefillShare: squareWave(worstPeriod)},
		{name: "loss", load: steady, prefillShare: loss, losses: []Loss{{8*time.Minute + 20*time.Second, 1}}},
		{name: "overload", load: func(time.Duration) float64 { return 2 * normalLoad }, prefillShare: slowDrift},
	}
}

// TraceNames lists the names of the traces.
func TraceNames() []string {
	var names []string
	for _, s := range loadShapes(rand.New(rand.NewPCG(1, 1)), time.Minute) {
		names = append(names, s.name)
	}
	return names
}

// randomSwings changes to a random share every one to four minutes.
func randomSwings(rng *rand.Rand) func(time.Duration) float64 {
	var ends []time.Duration
	var shares []float64
	for at := time.Duration(0); at < traceLength; {
		at += time.Minute + time.Duration(rng.Float64()*float64(3*time.Minute))
		ends = append(ends, at)
		shares = append(shares, lowPrefill+rng.Float64()*(highPrefill-lowPrefill))
	}
	return func(t time.Duration) float64 {
		for i, end := range ends {
			if t < end {
				return shares[i]
			}
		}
		return shares[len(shares)-1]
	}
}

// slowDrift goes from one limit to the other and back once: half a day, compressed.
func slowDrift(t time.Duration) float64 {
	phase := 2 * math.Pi * float64(t) / float64(traceLength)
	return lowPrefill + (highPrefill-lowPrefill)*(1-math.Cos(phase))/2
}

// Bursts of bulk work: ninety seconds in every five minutes.
const (
	burstEvery  = 5 * time.Minute
	burstLength = 90 * time.Second
)

func inBurst(t time.Duration) bool {
	return t%burstEvery >= burstEvery-burstLength-time.Minute && t%burstEvery < burstEvery-time.Minute
}

func burstLoadAt(t time.Duration) float64 {
	if inBurst(t) {
		return quietLoad + burstLoad
	}
	return quietLoad
}

func burstPrefillShare(t time.Duration) float64 {
	if inBurst(t) {
		return highPrefill
	}
	return 0.35
}

func squareWave(period time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		return stepFunction(t%period, period/2, lowPrefill, highPrefill)
	}
}

func stepFunction(t, at time.Duration, before, after float64) float64 {
	if t < at {
		return before
	}
	return after
}

// NewTrace generates the trace with the given name. The same seed gives the same trace.
func NewTrace(s *Scenario, name string, seed uint64, worstPeriod time.Duration) (Trace, error) {
	rng := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
	for _, sh := range loadShapes(rng, worstPeriod) {
		if sh.name == name {
			g := generator{scenario: s, rng: rng, shape: sh}
			return g.generate(), nil
		}
	}
	return Trace{}, BadScenario.New("no trace %q", name)
}

// generator draws the requests of one trace.
type generator struct {
	scenario *Scenario
	rng      *rand.Rand
	shape    shape
	requests []decision.Work
}

// generationStep is the interval in which the offered load counts as constant.
const generationStep = 100 * time.Millisecond

// Mean sizes in engine-seconds: an urgent request of some 1,200 prompt tokens with 220 output
// tokens, and a bulk request.
const (
	meanUrgentSize = 0.37
	meanBulkSize   = 3.9
)

func (g *generator) generate() Trace {
	for t := time.Duration(0); t < traceLength; t += generationStep {
		load := g.shape.load(t)
		g.drawArrivals(t, urgentLoad/meanUrgentSize, g.urgentWork)
		g.drawArrivals(t, (load-urgentLoad)/meanBulkSize, g.bulkWork)
	}
	return Trace{Name: g.shape.name, Length: traceLength, Requests: g.requests, Losses: g.shape.losses}
}

// drawArrivals draws the requests that arrive within the step. Rates are well below one a step.
func (g *generator) drawArrivals(t time.Duration, rate float64, newWork func(time.Duration) decision.Work) {
	expected := rate * generationStep.Seconds()
	for range int(expected) + 1 {
		if g.rng.Float64() < expected/float64(int(expected)+1) {
			g.requests = append(g.requests, newWork(t+time.Duration(g.rng.Float64()*float64(generationStep))))
		}
	}
}

func (g *generator) urgentWork(t time.Duration) decision.Work {
	w := g.newWork(t, g.scenario.Urgent)
	w.PromptTokens = clamp(g.lognormal(1100, 0.5), 100, g.scenario.Urgent.MaxPromptTokens)
	w.OutputTokens = clamp(g.lognormal(190, 0.5), 10, g.scenario.Urgent.MaxOutputTokens)
	w.Prefix = g.prefix(&w, 2)
	return w
}

// bulkWork draws a bulk request whose prefill share offsets that of the urgent requests.
func (g *generator) bulkWork(t time.Duration) decision.Work {
	w := g.newWork(t, g.scenario.Bulk)
	load := g.shape.load(t)
	share := (g.shape.prefillShare(t)*load - urgentPrefillShare*urgentLoad) / (load - urgentLoad)
	share = min(0.98, max(0.02, share))
	size := min(2.2*meanBulkSize, g.lognormal(meanBulkSize*math.Exp(-0.08), 0.4))
	decodeRate := enginemodel.Config{}.FullDecodeRate()
	w.PromptTokens = clamp(share*size*enginemodel.DefaultPrefillRate, 200, g.scenario.Bulk.MaxPromptTokens)
	w.OutputTokens = clamp((1-share)*size*decodeRate, 20, maxDrawnOutputTokens)
	w.Prefix = g.prefix(&w, 1)
	return w
}

// urgentPrefillShare is the prefill share of urgent requests. maxDrawnOutputTokens is the longest
// answer drawn (a profile may allow more).
const (
	urgentPrefillShare   = 0.35
	maxDrawnOutputTokens = 3000
)

func (g *generator) newWork(t time.Duration, p *declaration.Profile) decision.Work {
	m := g.drawMember()
	return decision.Work{
		RequestID: fmt.Sprintf("%s-%06d", g.shape.name, len(g.requests)),
		Member:    m.Name, MemberWeight: m.Weight,
		Service: p.Name, Profile: p.Name, ProfileShare: p.Share, Class: p.Class,
		Kind: declaration.KindModel, Model: g.scenario.Model,
		Arrived: t, FirstTokenBy: t + p.FirstToken, FinishBy: t + p.Deadline,
	}
}

// defaultHeavyShare makes the first member send half of all work in addition to its part of the
// rest, as the largest member of the deployment does.
const defaultHeavyShare = 0.5

func (g *generator) drawMember() *declaration.Member {
	heavy := g.shape.heavyShare
	if heavy == 0 {
		heavy = defaultHeavyShare
	}
	if g.rng.Float64() < heavy {
		return &g.scenario.Members[0]
	}
	return &g.scenario.Members[g.rng.IntN(len(g.scenario.Members))]
}

func (g *generator) lognormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*g.rng.NormFloat64())
}

// prefix returns the block hashes of a prompt. The first blocks are shared by all requests of the
// member to the service, the rest is unique. Only two blocks of the rest are kept, because a
// block that no other request has is never found in a cache.
func (g *generator) prefix(w *decision.Work, shared int) []uint64 {
	blocks := min(w.PromptTokens/engineapi.BlockTokens, shared+2)
	chain := make([]uint64, blocks)
	hash := uint64(len(w.Member))
	for _, c := range []byte(w.Member + w.Service) {
		hash = hash*1099511628211 + uint64(c)
	}
	for i := range chain {
		hash = hash*6364136223846793005 + 1442695040888963407
		if i >= shared {
			hash ^= g.rng.Uint64()
		}
		chain[i] = hash
	}
	return chain
}

func clamp(v float64, low, high int) int { return max(low, min(high, int(v))) }
