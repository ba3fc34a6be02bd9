package proof

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"
)

const (
	// onceCalls is how many keys each trial uses.
	onceCalls = 24
	// checkTimeout is generous: histories of one key have a few operations.
	checkTimeout = 30 * time.Second
)

// sendEverywhere sends each call at two entries at the same moment, as client
// libraries do that retry on a second connection, and once more afterwards.
func sendEverywhere(ctx context.Context, tr *Trial, h *OnceHistory, rng *rand.Rand) {
	var wg conc.WaitGroup
	entries := tr.Bed.EntryAddresses()
	for i := range onceCalls {
		member := Members[rng.IntN(len(Members))]
		call := NewOnceCall(member, "200ms")
		first, second := rng.IntN(len(entries)), rng.IntN(len(entries))
		client := tr.Callers[member]
		wg.Go(func() {
			var both conc.WaitGroup
			both.Go(func() { h.Send(ctx, client, call, entries[first], 3*i) })
			both.Go(func() { h.Send(ctx, client, call, entries[second], 3*i+1) })
			both.Wait()
			h.Send(ctx, client, call, "", 3*i+2)
		})
		pause(ctx, 100*time.Millisecond)
	}
	wg.Wait()
}

func checkOnce(t *testing.T, tr *Trial, h *OnceHistory) {
	t.Helper()
	out, err := tr.Audit(h.Results())
	if err != nil {
		t.Fatal(err)
	}
	check(t, out)
	if got := h.Linearizable(checkTimeout); got != porcupine.Ok {
		t.Errorf("the history of the once-only calls is %s", got)
	}
}

// An artist's app asks for a balance through two entries at once, and its
// library asks again. Entries are killed in the middle: between the claim and
// the call, and between the call and the answer. The balance is looked up once
// or not at all, and nobody is told otherwise.
func TestOnceOnlyCallsUnderEntryKills(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		rng, h := rand.New(rand.NewPCG(seed, 7)), &OnceHistory{}
		var wg conc.WaitGroup
		wg.Go(func() {
			for _, e := range []int{0, 3} {
				pause(ctx, 700*time.Millisecond)
				tr.Bed.Entries[e].Kill()
			}
		})
		sendEverywhere(ctx, tr, h, rng)
		wg.Wait()
		checkOnce(t, tr, h)
	})
}

// The same while the control replica that leads is killed, so that claims are
// on their way when the leader changes, and a plain server is killed with calls
// running in it.
func TestOnceOnlyCallsUnderLeaderAndServerKills(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		rng, h := rand.New(rand.NewPCG(seed, 8)), &OnceHistory{}
		var wg conc.WaitGroup
		wg.Go(func() {
			pause(ctx, 600*time.Millisecond)
			leader, err := tr.Bed.Leader(ctx)
			if err != nil {
				t.Error(err)
				return
			}
			leader.Kill()
			pause(ctx, 600*time.Millisecond)
			tr.Bed.Plain[0].Kill()
		})
		sendEverywhere(ctx, tr, h, rng)
		wg.Wait()
		checkOnce(t, tr, h)
	})
}

// The checker itself must see a second run and an answer after "unknown".
func TestOnceModelSeesSecondRuns(t *testing.T) {
	op := func(out onceOutput, at int64) porcupine.Operation {
		return porcupine.Operation{Input: "k", Output: out, Call: at, Return: at + 1}
	}
	bad := [][]porcupine.Operation{
		{op(onceOutput{run: "1"}, 0), op(onceOutput{run: "2"}, 2)},
		{op(onceOutput{closed: true}, 0), op(onceOutput{run: "1"}, 2)},
		{op(onceOutput{run: "1"}, 0), op(onceOutput{run: "2", replayed: true}, 2)},
	}
	for i, history := range bad {
		if porcupine.CheckOperations(onceModel, history) {
			t.Errorf("history %d passes", i)
		}
	}
	good := []porcupine.Operation{op(onceOutput{run: "1"}, 0), op(onceOutput{run: "1", replayed: true}, 2), op(onceOutput{closed: true}, 4)}
	if !porcupine.CheckOperations(onceModel, good) {
		t.Error("a right history fails")
	}
}
