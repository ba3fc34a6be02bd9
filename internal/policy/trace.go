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

// Trace is offered work, in order of arrival, and the engines that are lost.
type Trace struct {
	Name     string
	Length   time.Duration
	Requests []decision.Work
	Losses   []Loss
}

// Loss is an engine that is gone for good at some time.
type Loss struct {
	At     time.Duration
	Engine int
}

// shape is offered load over time.
type shape struct {
	name string
	// load is in engines' worth of work, prefillShare the part of it that is
	// prefill.
	load, prefillShare func(t time.Duration) float64
	losses             []Loss
	// heavy is the part of all work that the first member sends beyond its
	// equal part; zero counts as normalHeavy.
	heavy float64
}

// traceLength is long enough for several swings and for the queue's five
// minutes of patience to run out under overload.
const traceLength = 20 * time.Minute

// Loads in engines' worth. A fleet of nine with four mixed engines at 0.8 does
// 8.2; normalLoad is some 0.95 of that, so that a wrong split costs goodput and
// a right one does not.
const (
	normalLoad = 7.8
	quietLoad  = 5.0
	burstLoad  = 8.0
	urgentLoad = 1.5
)

// lowPrefill and highPrefill are the ends between which the share of prefill
// swings: lines of questions with long answers, and dossiers.
const (
	lowPrefill  = 0.2
	highPrefill = 0.8
)

// shapes are the traces, in the order in which they are reported.
func shapes(rng *rand.Rand, worstPeriod time.Duration) []shape {
	steady := func(time.Duration) float64 { return normalLoad }
	swing := swinging(rng)
	loss := func(t time.Duration) float64 { return step(t, 8*time.Minute, lowPrefill, highPrefill) }
	return []shape{
		{name: "swing", load: steady, prefillShare: swing},
		{name: "drift", load: steady, prefillShare: drift},
		{name: "burst", load: bursts, prefillShare: burstShare},
		{name: "oscillation", load: steady, prefillShare: square(worstPeriod)},
		{name: "loss", load: steady, prefillShare: loss, losses: []Loss{{8*time.Minute + 20*time.Second, 1}}},
		{name: "overload", load: func(time.Duration) float64 { return 2 * normalLoad }, prefillShare: drift},
	}
}

// TraceNames lists the traces.
func TraceNames() []string {
	var names []string
	for _, s := range shapes(rand.New(rand.NewPCG(1, 1)), time.Minute) {
		names = append(names, s.name)
	}
	return names
}

// swinging jumps between random shares every one to four minutes.
func swinging(rng *rand.Rand) func(time.Duration) float64 {
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

// drift goes once from one end to the other and back: half a day, compressed.
func drift(t time.Duration) float64 {
	phase := 2 * math.Pi * float64(t) / float64(traceLength)
	return lowPrefill + (highPrefill-lowPrefill)*(1-math.Cos(phase))/2
}

// Dossier bursts: every five minutes one of ninety seconds.
const (
	burstEvery  = 5 * time.Minute
	burstLength = 90 * time.Second
)

func inBurst(t time.Duration) bool {
	return t%burstEvery >= burstEvery-burstLength-time.Minute && t%burstEvery < burstEvery-time.Minute
}

func bursts(t time.Duration) float64 {
	if inBurst(t) {
		return quietLoad + burstLoad
	}
	return quietLoad
}

func burstShare(t time.Duration) float64 {
	if inBurst(t) {
		return highPrefill
	}
	return 0.35
}

func square(period time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		return step(t%period, period/2, lowPrefill, highPrefill)
	}
}

func step(t, at time.Duration, before, after float64) float64 {
	if t < at {
		return before
	}
	return after
}

// NewTrace plays the shape with that name. The same seed gives the same trace.
func NewTrace(s *Scenario, name string, seed uint64, worstPeriod time.Duration) (Trace, error) {
	rng := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
	for _, sh := range shapes(rng, worstPeriod) {
		if sh.name == name {
			g := generator{scenario: s, rng: rng, shape: sh}
			return g.run(), nil
		}
	}
	return Trace{}, BadScenario.New("no trace %q", name)
}

// generator draws the requests of one trace.
type generator struct {
	scenario *Scenario
	rng      *rand.Rand
	shape    shape
	works    []decision.Work
}

// genStep is the time over which the offered load counts as constant.
const genStep = 100 * time.Millisecond

// Mean sizes in engine-seconds: a question of some 1,200 tokens with 220 to
// answer, and a dossier.
const (
	urgentSize = 0.37
	bulkSize   = 3.9
)

func (g *generator) run() Trace {
	for t := time.Duration(0); t < traceLength; t += genStep {
		load := g.shape.load(t)
		g.arrivals(t, urgentLoad/urgentSize, g.question)
		g.arrivals(t, (load-urgentLoad)/bulkSize, g.dossier)
	}
	return Trace{Name: g.shape.name, Length: traceLength, Requests: g.works, Losses: g.shape.losses}
}

// arrivals draws whether one comes within the step; rates are well below one a
// step.
func (g *generator) arrivals(t time.Duration, rate float64, draw func(time.Duration) decision.Work) {
	expected := rate * genStep.Seconds()
	for range int(expected) + 1 {
		if g.rng.Float64() < expected/float64(int(expected)+1) {
			g.works = append(g.works, draw(t+time.Duration(g.rng.Float64()*float64(genStep))))
		}
	}
}

func (g *generator) question(t time.Duration) decision.Work {
	w := g.work(t, g.scenario.Urgent)
	w.PromptTokens = clamp(g.lognormal(1100, 0.5), 100, g.scenario.Urgent.MaxPromptTokens)
	w.OutputTokens = clamp(g.lognormal(190, 0.5), 10, g.scenario.Urgent.MaxOutputTokens)
	w.Prefix = g.prefix(&w, 2)
	return w
}

// dossier draws a bulk request whose prefill share makes up for the questions'.
func (g *generator) dossier(t time.Duration) decision.Work {
	w := g.work(t, g.scenario.Bulk)
	load := g.shape.load(t)
	share := (g.shape.prefillShare(t)*load - urgentPrefill*urgentLoad) / (load - urgentLoad)
	share = min(0.98, max(0.02, share))
	size := min(2.2*bulkSize, g.lognormal(bulkSize*math.Exp(-0.08), 0.4))
	decodeRate := enginemodel.Config{}.FullDecodeRate()
	w.PromptTokens = clamp(share*size*enginemodel.DefaultPrefillRate, 200, g.scenario.Bulk.MaxPromptTokens)
	w.OutputTokens = clamp((1-share)*size*decodeRate, 20, maxOutput)
	w.Prefix = g.prefix(&w, 1)
	return w
}

// urgentPrefill is the prefill share of the questions, maxOutput the longest
// answer drawn (a profile may allow more).
const (
	urgentPrefill = 0.35
	maxOutput     = 3000
)

func (g *generator) work(t time.Duration, p *declaration.Profile) decision.Work {
	m := g.member()
	return decision.Work{
		RequestID: fmt.Sprintf("%s-%06d", g.shape.name, len(g.works)),
		Member:    m.Name, MemberWeight: m.Weight,
		Service: p.Name, Profile: p.Name, ProfileShare: p.Share, Class: p.Class,
		Kind: declaration.KindModel, Model: g.scenario.Model,
		Arrived: t, FirstTokenBy: t + p.FirstToken, FinishBy: t + p.Deadline,
	}
}

// normalHeavy: the consultancy sends half of all work and its part of the rest.
const normalHeavy = 0.5

// member draws a member.
func (g *generator) member() *declaration.Member {
	heavy := g.shape.heavy
	if heavy == 0 {
		heavy = normalHeavy
	}
	if g.rng.Float64() < heavy {
		return &g.scenario.Members[0]
	}
	return &g.scenario.Members[g.rng.IntN(len(g.scenario.Members))]
}

func (g *generator) lognormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*g.rng.NormFloat64())
}

// prefix gives the block hashes of a prompt whose first blocks are the member's
// instructions for the service and whose rest is its own. Of the rest only two
// blocks are kept: what nobody shares can't be found in a cache again.
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
