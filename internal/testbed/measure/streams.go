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

// RelayCost is what one entry spends on relaying tokens.
type RelayCost struct {
	Streams             int     `json:"streams"`
	Tokens              int     `json:"tokens"`
	CPUSeconds          float64 `json:"cpu_seconds"`
	TokensPerCoreSecond float64 `json:"tokens_per_core_second"`
	Failed              int     `json:"failed"`
}

// MemoryCost is what an open stream takes at its entry, fitted over sizes.
type MemoryCost struct {
	Streams    []float64 `json:"streams"`
	ResidentKB []float64 `json:"resident_kb"`
	// KBPerStream and BaseKB are the line's slope and its value at no stream.
	KBPerStream float64 `json:"kb_per_stream"`
	BaseKB      float64 `json:"base_kb"`
	R2          float64 `json:"r2"`
}

const (
	relayTokens = 500
	// settleTime lets streams begin and garbage be collected before memory is read.
	settleTime = 4 * time.Second
	openPrompt = 400
	openTokens = 600
)

func (t *target) completion(rng *rand.Rand, n, prompt, tokens int) caller.Completion {
	return caller.Completion{
		ID: uuid.NewString(), Service: t.service, MaxTokens: tokens, Seed: rng.Uint64() >> 12,
		Entry:  t.bed.Entries[0].Address,
		Prompt: workload.Prompt(t.member, "overhead", strconv.Itoa(n), 0, prompt, rng),
	}
}

// relay sends streams through one entry and reads its processor time.
// Errors: Failed.
func (t *target) relay(ctx context.Context, streams int) (*RelayCost, error) {
	r := &RelayCost{Streams: streams}
	pid := t.bed.Entries[0].PID()
	before, err := testbed.CPUTime(pid)
	if err != nil {
		return nil, err
	}
	var whole atomic.Int64
	var wg conc.WaitGroup
	for n := range streams {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 6))
			if t.caller.Complete(ctx, t.completion(rng, n, openPrompt, relayTokens)).Complete {
				whole.Add(1)
			}
		})
	}
	wg.Wait()
	after, err := testbed.CPUTime(pid)
	if err != nil {
		return nil, err
	}
	r.Tokens, r.Failed = int(whole.Load())*relayTokens, streams-int(whole.Load())
	r.CPUSeconds = (after - before).Seconds()
	r.TokensPerCoreSecond = float64(r.Tokens) / r.CPUSeconds
	return r, nil
}

// memory opens more and more streams at one entry and reads its memory.
// Errors: Failed.
func (t *target) memory(ctx context.Context, sizes []int) (*MemoryCost, error) {
	m := &MemoryCost{}
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	open := 0
	for _, size := range sizes {
		for ; open < size; open++ {
			n := open
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(n), 7))
				t.caller.Complete(ctx, t.completion(rng, n, openPrompt, openTokens))
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
