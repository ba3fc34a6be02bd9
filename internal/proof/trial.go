package proof

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/standin/audit"
	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
	"goldcrestseam.dev/goldcrestseam/internal/standin/workload"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// Deployment is the deployment that trials run: some of its engines check fencing
// tokens and others don't.
const Deployment = "qazaq"

// Names from the deployment's declaration.
const (
	ServiceUrgent  = "statement-line"
	ServiceBulk    = "reconciliation"
	ServicePlain   = "members"
	PathAtMostOnce = "/balances"
	PathRepeatable = "/payouts"
)

// Members are the members of the deployment that send load.
var Members = []string{"steppe-records", "apple-city-publishing", "songwriters-union"}

// Load is the traffic of a trial.
type Load struct {
	Seed     uint64
	Duration time.Duration
	// The rates are in requests per second.
	StreamRate     float64
	BulkRate       float64
	AtMostOnceRate float64
	LookupRate     float64
}

// longAnswerTokens makes streams long enough that faults occur during them.
const longAnswerTokens = 400

const (
	// requestTimeout bounds one request including its retries.
	requestTimeout = 40 * time.Second
	// callerStallTimeout is how long callers wait for a token before they resume
	// the stream. It is far above the pause that any fault may cause, so that a
	// busy machine does not make callers resume live streams.
	callerStallTimeout = 12 * time.Second
)

func (l Load) workload() *workload.Workload {
	w := &workload.Workload{Seed: l.Seed, Duration: l.Duration, MaxRequests: 2000, RequestTimeout: requestTimeout}
	for _, m := range Members {
		w.Members = append(w.Members, workload.Member{Name: m, Weight: 1})
	}
	for _, c := range []workload.Class{
		{
			Name: "question", Service: ServiceUrgent, Rate: l.StreamRate,
			PromptTokens: workload.Range{Min: 50, Max: 800}, OutputTokens: workload.Range{Min: 100, Max: longAnswerTokens},
		},
		{
			Name: "statement", Service: ServiceBulk, Rate: l.BulkRate, SharedTokens: 600,
			PromptTokens: workload.Range{Min: 1000, Max: 4000}, OutputTokens: workload.Range{Min: longAnswerTokens, Max: longAnswerTokens * 3 / 2},
		},
		{Name: "balance", Service: ServicePlain, Rate: l.AtMostOnceRate, Method: "GET", Path: PathAtMostOnce, AtMostOnce: true},
		{Name: "payouts", Service: ServicePlain, Rate: l.LookupRate, Method: "GET", Path: PathRepeatable},
	} {
		if c.Rate > 0 {
			w.Classes = append(w.Classes, c)
		}
	}
	return w
}

// Trial runs load from one caller per member against a test bed.
type Trial struct {
	Bed     *testbed.Bed
	Callers map[string]*caller.Client
}

// NewTrial returns a trial in which each member has a caller; the callers are
// spread over the data centres.
func NewTrial(bed *testbed.Bed, seed uint64) *Trial {
	return NewTrialWithRetryLimit(bed, seed, requestTimeout)
}

// NewTrialWithRetryLimit is NewTrial with callers that retry refused requests for
// at most retryFor.
func NewTrialWithRetryLimit(bed *testbed.Bed, seed uint64, retryFor time.Duration) *Trial {
	t := &Trial{Bed: bed, Callers: make(map[string]*caller.Client)}
	for i, member := range Members {
		t.Callers[member] = caller.New(caller.Config{
			SeedEntries: bed.EntryAddresses(), DataCentre: bed.Entries[i*len(bed.Entries)/len(Members)].DataCentre,
			Member: member, Token: testbed.MemberToken(Deployment, member), RequestTimeout: requestTimeout, Seed: seed + uint64(i),
			StallTimeout: callerStallTimeout, RetryWindow: retryFor,
		})
	}
	return t
}

// nameCounter makes the names of UniqueName differ within this process.
var nameCounter atomic.Uint64

// UniqueName returns a name that no other trial or call has, in this process or
// in another.
func UniqueName() string {
	return "t" + strconv.FormatInt(time.Now().UnixNano(), 36) + "n" + strconv.FormatUint(nameCounter.Add(1), 10)
}

// Outcome is the result of a trial.
type Outcome struct {
	Counts  *audit.Counts
	Results []audit.FinishedRequest
	Records []journal.Record
}

// Resumes returns the number of stream resumes by all callers.
func (o *Outcome) Resumes() int {
	sum := 0
	for _, d := range o.Results {
		sum += d.Result.Resumes
	}
	return sum
}

// GapSummary describes the distribution over all complete streams of the longest gap
// between two chunks of text.
func (o *Outcome) GapSummary() string {
	h := workload.NewHistogram()
	for _, d := range o.Results {
		if d.Result.Complete && d.Result.TimeToFirstToken > 0 {
			h.Add(d.Result.MaxChunkGap)
		}
	}
	q := h.Quantiles()
	return fmt.Sprintf("longest gap of a stream p50 %.0f ms, p99 %.0f ms, max %.0f ms", q.P50, q.P99, q.Max)
}

// Run plays the load while injectFaults runs concurrently. It returns when every
// request has its result. Errors: those of reading the journals.
func (t *Trial) Run(ctx context.Context, l Load, injectFaults func(context.Context)) (*Outcome, error) {
	var wg conc.WaitGroup
	wg.Go(func() { injectFaults(ctx) })
	arrivals := l.workload().Schedule(UniqueName())
	results := (&workload.Runner{Callers: t.Callers}).Run(ctx, arrivals)
	wg.Wait()
	return t.Audit(results)
}

// Audit compares results with the journals. Errors: those of reading the journals.
func (t *Trial) Audit(results []audit.FinishedRequest) (*Outcome, error) {
	records, err := t.Bed.JournalRecords()
	if err != nil {
		return nil, err
	}
	return &Outcome{Counts: audit.Check(results, records), Results: results, Records: records}, nil
}

// Busiest returns the running candidate with the most streams in progress by the
// journals, or the first candidate when none has any.
func (t *Trial) Busiest(candidates []*testbed.Process) (*testbed.Process, error) {
	records, err := t.Bed.JournalRecords()
	if err != nil {
		return nil, err
	}
	openStreams := make(map[string]int)
	for _, r := range records {
		switch r.Event {
		case journal.RequestStarted:
			openStreams[r.Server]++
		case journal.RequestFinished, journal.RequestCancelled:
			openStreams[r.Server]--
		case journal.ServerStarted:
			openStreams[r.Server] = 0
		}
	}
	busiest := candidates[0]
	for _, p := range candidates {
		if p.Running() && openStreams[p.Name] > openStreams[busiest.Name] {
			busiest = p
		}
	}
	return busiest, nil
}
