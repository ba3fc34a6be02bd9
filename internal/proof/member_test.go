package proof

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/standin/audit"
	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
	"goldcrestseam.dev/goldcrestseam/internal/standin/workload"
)

// question makes a completion with its audit record.
func question(member, extra string, tokens int, rng *rand.Rand) (caller.Completion, audit.Done) {
	mark := UniqueName()
	prompt := workload.Prompt(member, "question", mark, 50, 100, rng) + extra
	req := caller.Completion{
		ID: uuid.NewString(), Service: ServiceUrgent, Prompt: prompt, MaxTokens: tokens, Seed: rng.Uint64() >> 12,
	}
	return req, audit.Done{Class: "question", Member: member, Mark: mark, Prompt: prompt, Seed: req.Seed, Tokens: tokens}
}

// A rival label learns the id of another's request and asks every entry to
// resume it. It is told that there is no such request, while it runs and after.
// Using the same id for a request of its own gives it its own answer only.
func TestAnotherMembersRequestIsNotFound(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 9))
		req, own := question(Members[0], "", longTokens, rng)
		theirs, foreign := question(Members[1], "", longTokens, rng)
		theirs.ID = req.ID
		thief := tr.Callers[Members[2]]
		var wg conc.WaitGroup
		wg.Go(func() { own.Result = tr.Callers[Members[0]].Complete(ctx, req) })
		wg.Go(func() { foreign.Result = tr.Callers[Members[1]].Complete(ctx, theirs) })
		pause(ctx, 500*time.Millisecond)
		ask := func() {
			for _, entry := range tr.Bed.EntryAddresses() {
				res := thief.Resume(ctx, req.ID, entry)
				if res.Code != outcome.CodeNotFound || res.Text != "" {
					t.Errorf("another member's request: status %d, code %s, %d bytes", res.Status, res.Code, len(res.Text))
				}
			}
		}
		ask()
		wg.Wait()
		ask()
		out, err := tr.Audit([]audit.Done{own, foreign})
		if err != nil {
			t.Fatal(err)
		}
		check(t, out)
	})
}

// One statement question crashes each engine that runs it, and its caller sends
// it again and again. After the second death it is refused everywhere with a
// final answer; whoever was beside it gets the whole answer.
func TestRequestThatCrashesServers(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 10))
		poison, bad := question(Members[0], "[poison]", 50, rng)
		for _, e := range tr.Bed.Engines {
			e.Expect()
		}
		var last *caller.Result
		out := run(t, ctx, tr, Load{Seed: seed, Duration: 4 * time.Second, StreamRate: 12}, func(ctx context.Context) {
			pause(ctx, FaultDelay)
			for range 4 {
				poison.ID = uuid.NewString()
				last = tr.Callers[Members[0]].Complete(ctx, poison)
			}
			for _, entry := range tr.Bed.EntryAddresses() {
				poison.ID, poison.Entry = uuid.NewString(), entry
				last = tr.Callers[Members[0]].Complete(ctx, poison)
				if last.Code != outcome.CodeQuarantined {
					t.Errorf("%s: status %d, code %q, want %q", entry, last.Status, last.Code, outcome.CodeQuarantined)
				}
			}
		})
		deaths := 0
		for _, r := range out.Records {
			if r.Event == journal.Poisoned && r.Mark == bad.Mark {
				deaths++
			}
		}
		if limit := tr.Bed.Declaration.Limits.QuarantineDeaths; deaths == 0 || deaths > limit {
			t.Errorf("the request killed %d servers, want 1 to %d", deaths, limit)
		}
	})
}
