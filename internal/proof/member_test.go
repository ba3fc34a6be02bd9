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

// newUrgentRequest returns a completion request of the urgent service with its audit record.
func newUrgentRequest(member, suffix string, tokens int, rng *rand.Rand) (caller.Completion, audit.FinishedRequest) {
	mark := UniqueName()
	prompt := workload.Prompt(member, "question", mark, 50, 100, rng) + suffix
	req := caller.Completion{
		ID: uuid.NewString(), Service: ServiceUrgent, Prompt: prompt, MaxTokens: tokens, Seed: rng.Uint64() >> 12,
	}
	return req, audit.FinishedRequest{Class: "question", Member: member, Mark: mark, Prompt: prompt, Seed: req.Seed, Tokens: tokens}
}

// A member learns the id of another member's request and asks every entry to
// resume it. Each must answer "not found", while the request runs and afterwards.
// Two members that use the same request id must each get their own answer only.
func TestAnotherMembersRequestIsNotFound(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 9))
		req, ownerResult := newUrgentRequest(Members[0], "", longAnswerTokens, rng)
		sameIDReq, sameIDResult := newUrgentRequest(Members[1], "", longAnswerTokens, rng)
		sameIDReq.ID = req.ID
		intruder := tr.Callers[Members[2]]
		var wg conc.WaitGroup
		wg.Go(func() { ownerResult.Result = tr.Callers[Members[0]].Complete(ctx, req) })
		wg.Go(func() { sameIDResult.Result = tr.Callers[Members[1]].Complete(ctx, sameIDReq) })
		sleep(ctx, 500*time.Millisecond)
		checkNotFound := func() {
			for _, entry := range tr.Bed.EntryAddresses() {
				res := intruder.Resume(ctx, req.ID, entry)
				if res.Code != outcome.CodeNotFound || res.Text != "" {
					t.Errorf("another member's request: status %d, code %s, %d bytes", res.Status, res.Code, len(res.Text))
				}
			}
		}
		checkNotFound()
		wg.Wait()
		checkNotFound()
		out, err := tr.Audit([]audit.FinishedRequest{ownerResult, sameIDResult})
		if err != nil {
			t.Fatal(err)
		}
		checkAudit(t, out)
	})
}

// A request crashes each engine that runs it, and its caller keeps resending it.
// After it has crashed the configured number of servers, every entry must refuse
// it with a final answer. Other requests on the crashed engines must get complete
// answers.
func TestRequestThatCrashesServers(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 10))
		crashing, crashingResult := newUrgentRequest(Members[0], "[poison]", 50, rng)
		for _, e := range tr.Bed.Engines {
			e.ExpectExit()
		}
		var result *caller.Result
		out := runTrial(t, ctx, tr, Load{Seed: seed, Duration: 4 * time.Second, StreamRate: 12}, func(ctx context.Context) {
			sleep(ctx, FaultDelay)
			for range 4 {
				crashing.ID = uuid.NewString()
				result = tr.Callers[Members[0]].Complete(ctx, crashing)
			}
			for _, entry := range tr.Bed.EntryAddresses() {
				crashing.ID, crashing.Entry = uuid.NewString(), entry
				result = tr.Callers[Members[0]].Complete(ctx, crashing)
				if result.Code != outcome.CodeQuarantined {
					t.Errorf("%s: status %d, code %q, want %q", entry, result.Status, result.Code, outcome.CodeQuarantined)
				}
			}
		})
		crashes := 0
		for _, r := range out.Records {
			if r.Event == journal.CrashTriggered && r.Mark == crashingResult.Mark {
				crashes++
			}
		}
		if limit := tr.Bed.Declaration.Limits.QuarantineCrashes; crashes == 0 || crashes > limit {
			t.Errorf("the request killed %d servers, want 1 to %d", crashes, limit)
		}
	})
}
