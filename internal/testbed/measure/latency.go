package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
	"goldcrestseam.dev/goldcrestseam/internal/standin/workload"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// Latency compares streams through an entry with streams directly from an engine,
// measured at the same time. Times are in milliseconds.
type Latency struct {
	Pairs                  int                `json:"pairs"`
	Failed                 int                `json:"failed"`
	TimeToFirstTokenDirect workload.Quantiles `json:"first_token_direct_ms"`
	TimeToFirstTokenEntry  workload.Quantiles `json:"first_token_entry_ms"`
	ChunkGapDirect         workload.Quantiles `json:"gap_direct_ms"`
	ChunkGapEntry          workload.Quantiles `json:"gap_entry_ms"`
}

// Sizes of the compared requests.
const (
	latencyPromptTokens = 200
	latencyOutputTokens = 50
)

// target is the test bed and the service that a measurement sends requests to.
type target struct {
	bed        *testbed.Bed
	deployment string
	service    string
	member     string
	caller     *caller.Client
}

func newTarget(bed *testbed.Bed, deployment, service string) *target {
	member := bed.Declaration.Members[0].Name
	return &target{
		bed: bed, deployment: deployment, service: service, member: member,
		caller: caller.New(caller.Config{
			SeedEntries: bed.EntryAddresses(), Member: member, Token: testbed.MemberToken(deployment, member), Seed: 1,
		}),
	}
}

// measureLatency measures the given number of request pairs, with concurrency of
// them at a time.
func (t *target) measureLatency(ctx context.Context, pairs, concurrency int) *Latency {
	l := &Latency{Pairs: pairs}
	direct, entry := newStreamTimes(), newStreamTimes()
	var wg conc.WaitGroup
	for worker := range concurrency {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(worker), 5))
			for n := worker; n < pairs; n += concurrency {
				t.measurePair(ctx, rng, n, direct, entry)
			}
		})
	}
	wg.Wait()
	l.Failed = direct.failed + entry.failed
	l.TimeToFirstTokenDirect, l.ChunkGapDirect = direct.timeToFirstToken.Quantiles(), direct.chunkGap.Quantiles()
	l.TimeToFirstTokenEntry, l.ChunkGapEntry = entry.timeToFirstToken.Quantiles(), entry.chunkGap.Quantiles()
	return l
}

func (t *target) measurePair(ctx context.Context, rng *rand.Rand, n int, direct, entry *streamTimes) {
	newCompletion := func() caller.Completion {
		return caller.Completion{
			ID: uuid.NewString(), Service: t.service, MaxTokens: latencyOutputTokens, Seed: rng.Uint64() >> 12,
			Prompt: workload.Prompt(t.member, "overhead", strconv.Itoa(n), 0, latencyPromptTokens, rng),
		}
	}
	entryRequest, engineRequest := newCompletion(), newCompletion()
	entryRequest.Entry = t.bed.Entries[n%len(t.bed.Entries)].Address
	engine := t.bed.Engines[n%len(t.bed.Engines)].Address
	var wg conc.WaitGroup
	wg.Go(func() { entry.add(t.caller.Complete(ctx, entryRequest)) })
	wg.Go(func() { direct.add(completeAtEngine(ctx, engine, engineRequest)) })
	wg.Wait()
}

// completeAtEngine sends the request directly to an engine.
func completeAtEngine(ctx context.Context, address string, c caller.Completion) *caller.Result {
	res := &caller.Result{}
	body, err := json.Marshal(engineapi.CompletionRequest{
		RequestID: engineapi.WireID("direct", c.ID, "0"), Attempt: 1, Prompt: c.Prompt, MaxTokens: c.MaxTokens,
		Seed: c.Seed, Priority: 10, Stream: true,
	})
	if err != nil {
		return res
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engineapi.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return res
	}
	req.Header.Set(outcome.HeaderRequestID, c.ID)
	startedAt := time.Now()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return res
	}
	defer resp.Body.Close()
	readEngineStream(bufio.NewScanner(resp.Body), res, startedAt)
	return res
}

func readEngineStream(lines *bufio.Scanner, res *caller.Result, startedAt time.Time) {
	var last time.Time
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || strings.Contains(data, `"heartbeat":true`) {
			continue
		}
		if data == engineapi.DoneMarker {
			res.Complete = true
			return
		}
		now := time.Now()
		if last.IsZero() {
			res.TimeToFirstToken = now.Sub(startedAt)
		} else {
			res.ChunkGaps = append(res.ChunkGaps, now.Sub(last))
		}
		last = now
	}
}
