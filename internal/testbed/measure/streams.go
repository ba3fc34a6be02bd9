package measure

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"gonum.org/v1/gonum/stat"

	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
	"goldcrestseam.dev/goldcrestseam/internal/standin/workload"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// RelayCost is the CPU time that one entry spends on relaying tokens.
type RelayCost struct {
	Streams             int     `json:"streams"`
	Tokens              int     `json:"tokens"`
	CPUSeconds          float64 `json:"cpu_seconds"`
	TokensPerCoreSecond float64 `json:"tokens_per_core_second"`
	Failed              int     `json:"failed"`
}

// MemoryCost is the memory that open streams take at their entry, as a linear fit
// over the numbers of streams.
type MemoryCost struct {
	Streams    []float64 `json:"streams"`
	ResidentKB []float64 `json:"resident_kb"`
	// KBPerStream is the slope of the fitted line and BaseKB its value at no
	// streams. R2 is the coefficient of determination.
	KBPerStream float64 `json:"kb_per_stream"`
	BaseKB      float64 `json:"base_kb"`
	R2          float64 `json:"r2"`
}

const (
	relayOutputTokens = 500
	// settleTime is the wait for streams to begin and garbage to be collected
	// before memory is read.
	settleTime             = 4 * time.Second
	streamPromptTokens     = 400
	openStreamOutputTokens = 600
)

func (t *target) completion(rng *rand.Rand, n, prompt, tokens int) caller.Completion {
	return caller.Completion{
		ID: uuid.NewString(), Service: t.service, MaxTokens: tokens, Seed: rng.Uint64() >> 12,
		Entry:  t.bed.Entries[0].Address,
		Prompt: workload.Prompt(t.member, "overhead", strconv.Itoa(n), 0, prompt, rng),
	}
}

// measureRelay sends streams through one entry and measures its CPU time.
// Errors: testbed.Failed.
func (t *target) measureRelay(ctx context.Context, streams int) (*RelayCost, error) {
	r := &RelayCost{Streams: streams}
	pid := t.bed.Entries[0].PID()
	before, err := testbed.CPUTime(pid)
	if err != nil {
		return nil, err
	}
	var completed atomic.Int64
	var wg conc.WaitGroup
	for n := range streams {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 6))
			if t.caller.Complete(ctx, t.completion(rng, n, streamPromptTokens, relayOutputTokens)).Complete {
				completed.Add(1)
			}
		})
	}
	wg.Wait()
	after, err := testbed.CPUTime(pid)
	if err != nil {
		return nil, err
	}
	r.Tokens, r.Failed = int(completed.Load())*relayOutputTokens, streams-int(completed.Load())
	r.CPUSeconds = (after - before).Seconds()
	r.TokensPerCoreSecond = float64(r.Tokens) / r.CPUSeconds
	return r, nil
}

// measureMemory opens an increasing number of streams at one entry and measures its
// memory. Errors: testbed.Failed.
func (t *target) measureMemory(ctx context.Context, streamCounts []int) (*MemoryCost, error) {
	m := &MemoryCost{}
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	open := 0
	for _, size := range streamCounts {
		for ; open < size; open++ {
			n := open
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(n), 7))
				t.caller.Complete(ctx, t.completion(rng, n, streamPromptTokens, openStreamOutputTokens))
			})
		}
		time.Sleep(settleTime)
		kb, err := testbed.ResidentKB(t.bed.Entries[0].PID())
		if err != nil {
			return nil, err
		}
		m.Streams, m.ResidentKB = append(m.Streams, float64(size)), append(m.ResidentKB, kb)
	}
	m.BaseKB, m.KBPerStream = stat.LinearRegression(m.Streams, m.ResidentKB, nil, false)
	m.R2 = stat.RSquared(m.Streams, m.ResidentKB, nil, m.BaseKB, m.KBPerStream)
	return m, nil
}
