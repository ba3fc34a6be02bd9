package workload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/standin/answer"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Arrival is one scheduled request.
type Arrival struct {
	At     time.Duration
	Class  *Class
	Member string
	Mark   string
	Prompt string
	Seed   uint64
	Tokens int
}

// Schedule returns the arrivals in order of time. run becomes part of the marks, so
// that runs of the same workload file can be told apart.
func (w *Workload) Schedule(run string) []Arrival {
	var all []Arrival
	for i := range w.Classes {
		rng := rand.New(rand.NewPCG(w.Seed, uint64(i)))
		all = append(all, w.classSchedule(&w.Classes[i], rng)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	all = all[:min(len(all), w.MaxRequests)]
	for i := range all {
		all[i].Mark = run + "-" + strconv.Itoa(i)
		w.fillPrompt(&all[i], rand.New(rand.NewPCG(w.Seed, uint64(1000+i))))
	}
	return all
}

// classSchedule draws arrivals of a Poisson process with varying rate: it draws
// them at the peak rate of the class and thins them to the rate at each time.
func (w *Workload) classSchedule(c *Class, rng *rand.Rand) []Arrival {
	peakRate := c.Rate
	for _, b := range w.Bursts {
		if b.Class == c.Name {
			peakRate = max(peakRate, c.Rate*b.Factor)
		}
	}
	var list []Arrival
	at := time.Duration(0)
	for len(list) < w.MaxRequests {
		at += time.Duration(rng.ExpFloat64() / peakRate * float64(time.Second))
		if at >= w.Duration {
			break
		}
		if rng.Float64()*peakRate <= w.rateAt(c, at) {
			list = append(list, Arrival{At: at, Class: c, Member: w.drawMember(rng)})
		}
	}
	return list
}

func (w *Workload) rateAt(c *Class, at time.Duration) float64 {
	rate := c.Rate
	for _, b := range w.Bursts {
		if b.Class == c.Name && at >= b.From && at < b.To {
			rate *= b.Factor
		}
	}
	return rate
}

func (w *Workload) drawMember(rng *rand.Rand) string {
	total := 0.0
	for _, m := range w.Members {
		total += max(m.Weight, 0)
	}
	point := rng.Float64() * total
	for _, m := range w.Members {
		if point -= max(m.Weight, 0); point <= 0 {
			return m.Name
		}
	}
	return w.Members[len(w.Members)-1].Name
}

// fillPrompt draws the prompt, seed and output length of a completion. Plain calls
// have none.
func (w *Workload) fillPrompt(a *Arrival, rng *rand.Rand) {
	if a.Class.Path != "" {
		return
	}
	prompt, output := w.mixFactors(a.At)
	a.Seed = rng.Uint64() >> 12
	a.Tokens = max(1, int(float64(draw(a.Class.OutputTokens, rng))*output))
	uniqueTokens := int(float64(draw(a.Class.PromptTokens, rng))*prompt) - a.Class.SharedTokens
	a.Prompt = Prompt(a.Member, a.Class.Name, a.Mark, a.Class.SharedTokens, max(uniqueTokens, 0), rng)
}

// Prompt returns a prompt of the member's mark, the topic, shared tokens that are
// the same for all prompts of the member and topic, unique tokens that are drawn
// at random, and the request's mark.
func Prompt(member, topic, mark string, sharedTokens, uniqueTokens int, rng *rand.Rand) string {
	var b strings.Builder
	b.WriteString(answer.Mark(member) + " " + topic + " ")
	b.WriteString(strings.Repeat(member+" file ", sharedTokens*engineapi.BytesPerToken/len(member+" file ")))
	for range uniqueTokens {
		b.WriteString(strconv.FormatUint(rng.Uint64()&0xfff|0x1000, 16)[1:] + " ")
	}
	b.WriteString("[request=" + mark + "]")
	return b.String()
}

func (w *Workload) mixFactors(at time.Duration) (prompt, output float64) {
	prompt, output = 1, 1
	for _, s := range w.Shifts {
		if at >= s.At {
			prompt, output = s.PromptFactor, s.OutputFactor
		}
	}
	return prompt, output
}

func draw(r Range, rng *rand.Rand) int {
	if r.Max <= r.Min {
		return r.Min
	}
	return r.Min + rng.IntN(r.Max-r.Min+1)
}
