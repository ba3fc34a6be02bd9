package proof

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
)

const (
	// atMostOnceCallCount is the number of calls, each with its own key, in a trial.
	atMostOnceCallCount = 24
	// linearizabilityTimeout is far more than the check needs: the history of one
	// key has a few operations.
	linearizabilityTimeout = 30 * time.Second
)

// sendConcurrently sends each call to two entries at the same time, as client
// libraries do that retry on a second connection, and once more afterwards.
func sendConcurrently(ctx context.Context, tr *Trial, h *AtMostOnceHistory, rng *rand.Rand) {
	var wg conc.WaitGroup
	entries := tr.Bed.EntryAddresses()
	for i := range atMostOnceCallCount {
		member := Members[rng.IntN(len(Members))]
		call := NewAtMostOnceCall(member, "200ms")
		first, second := rng.IntN(len(entries)), rng.IntN(len(entries))
		client := tr.Callers[member]
		wg.Go(func() {
			var concurrent conc.WaitGroup
			concurrent.Go(func() { h.Send(ctx, client, call, entries[first], 3*i) })
			concurrent.Go(func() { h.Send(ctx, client, call, entries[second], 3*i+1) })
			concurrent.Wait()
			h.Send(ctx, client, call, "", 3*i+2)
		})
		sleep(ctx, 100*time.Millisecond)
	}
	wg.Wait()
}

func checkAtMostOnceHistory(t *testing.T, tr *Trial, h *AtMostOnceHistory) {
	t.Helper()
	out, err := tr.Audit(h.Results())
	if err != nil {
		t.Fatal(err)
	}
	checkAudit(t, out)
	if got := h.Linearizable(linearizabilityTimeout); got != porcupine.Ok {
		t.Errorf("linearizability check of the at-most-once calls: %s", got)
	}
	if t.Failed() {
		t.Logf("keys with a send that has no answer, or with an illegal history:\n%s", h.Describe())
	}
}

// The same at-most-once call arrives through two entries at once and is retried
// afterwards. Entries are killed between the claim and the call to the backend
// server, and between that call and the answer. The call must run at most once,
// and no caller may be told otherwise.
func TestOnceOnlyCallsUnderEntryKills(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		rng, h := rand.New(rand.NewPCG(seed, 7)), &AtMostOnceHistory{}
		var wg conc.WaitGroup
		wg.Go(func() {
			for _, e := range []int{0, 3} {
				sleep(ctx, 700*time.Millisecond)
				tr.Bed.Entries[e].Kill()
			}
		})
		sendConcurrently(ctx, tr, h, rng)
		wg.Wait()
		checkAtMostOnceHistory(t, tr, h)
	})
}

// Concurrent and retried at-most-once calls while the control leader is killed, so
// that claims are in flight during the leader change, and while a plain server is
// killed with calls in progress. Each call must run at most once.
func TestOnceOnlyCallsUnderLeaderAndServerKills(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		rng, h := rand.New(rand.NewPCG(seed, 8)), &AtMostOnceHistory{}
		var wg conc.WaitGroup
		wg.Go(func() {
			sleep(ctx, 600*time.Millisecond)
			leader, err := tr.Bed.Leader(ctx)
			if err != nil {
				t.Error(err)
				return
			}
			leader.Kill()
			sleep(ctx, 600*time.Millisecond)
			tr.Bed.PlainServers[0].Kill()
		})
		sendConcurrently(ctx, tr, h, rng)
		wg.Wait()
		checkAtMostOnceHistory(t, tr, h)
	})
}

// The model must reject a second run of a key, a fresh answer after the refusal
// "unknown" and "not run" after a run; otherwise the tests of at-most-once calls would
// pass on such faults.
func TestOnceModelSeesSecondRuns(t *testing.T) {
	op := func(out atMostOnceOutput, at int64) porcupine.Operation {
		return porcupine.Operation{Input: "k", Output: out, Call: at, Return: at + 1}
	}
	invalid := [][]porcupine.Operation{
		{op(atMostOnceOutput{runID: "1"}, 0), op(atMostOnceOutput{runID: "2"}, 2)},
		{op(atMostOnceOutput{mayHaveRun: true}, 0), op(atMostOnceOutput{runID: "1"}, 2)},
		{op(atMostOnceOutput{runID: "1"}, 0), op(atMostOnceOutput{runID: "2", replayed: true}, 2)},
		{op(atMostOnceOutput{runID: "1"}, 0), op(atMostOnceOutput{notRun: true}, 2)},
		{op(atMostOnceOutput{mayHaveRun: true}, 0), op(atMostOnceOutput{notRun: true}, 2)},
	}
	for i, history := range invalid {
		if porcupine.CheckOperations(atMostOnceModel, history) {
			t.Errorf("invalid history %d was accepted", i)
		}
	}
	valid := []porcupine.Operation{op(atMostOnceOutput{notRun: true}, -2), op(atMostOnceOutput{runID: "1"}, 0), op(atMostOnceOutput{runID: "1", replayed: true}, 2), op(atMostOnceOutput{mayHaveRun: true}, 4)}
	if !porcupine.CheckOperations(atMostOnceModel, valid) {
		t.Error("a valid history was rejected")
	}
}

// Control does not answer in time, and the refusal tells the caller to repeat the call
// under its key. The repeated call may run, so that the refusal must not count as a
// statement that the key has run. Only final refusals are such statements.
func TestOnlyFinalRefusalsSayThatAKeyMayHaveRun(t *testing.T) {
	cases := map[atMostOnceOutput]caller.Result{
		{}:                 {Code: outcome.CodeControlUnreachable, Outcome: outcome.Unknown, RetryAfter: time.Second},
		{mayHaveRun: true}: {Code: outcome.CodeOutcomeUnknown, Outcome: outcome.Unknown},
		{notRun: true}:     {Code: outcome.CodeStaleView, Outcome: outcome.NotRun, RetryAfter: time.Second},
	}
	for want, res := range cases {
		if got := outputOf(&res); got != want {
			t.Errorf("%s: %+v, want %+v", res.Code, got, want)
		}
	}
	if got := outputOf(&caller.Result{Code: outcome.CodeAlreadyRan, Outcome: outcome.Ran}); !got.mayHaveRun {
		t.Errorf("already ran: %+v", got)
	}
}
