package workload

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/standin/audit"
	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
)

// Runner sends a schedule of arrivals, with one client per member.
type Runner struct {
	// Callers maps the name of a member to its client.
	Callers map[string]*caller.Client

	mu      sync.Mutex
	results []audit.FinishedRequest
}

// Run sends each arrival at its scheduled time without waiting for earlier ones
// (open loop). It returns the results once all requests have finished; when ctx
// ends, it sends no more.
func (r *Runner) Run(ctx context.Context, arrivals []Arrival) []audit.FinishedRequest {
	var wg conc.WaitGroup
	startedAt := time.Now()
	for i := range arrivals {
		a := &arrivals[i]
		if !sleepUntil(ctx, startedAt.Add(a.At)) {
			break
		}
		wg.Go(func() { r.addResult(Send(ctx, r.Callers[a.Member], a)) })
	}
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results
}

func (r *Runner) addResult(d audit.FinishedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, d)
}

// Send sends one arrival and returns it with its result.
func Send(ctx context.Context, c *caller.Client, a *Arrival) audit.FinishedRequest {
	d := audit.FinishedRequest{
		Class: a.Class.Name, Member: a.Member, Mark: a.Mark, Prompt: a.Prompt, Seed: a.Seed, Tokens: a.Tokens,
		Path: a.Class.Path, AtMostOnce: a.Class.AtMostOnce,
	}
	if a.Class.Path == "" {
		d.Result = c.Complete(ctx, caller.Completion{
			ID: uuid.NewString(), Service: a.Class.Service, Prompt: a.Prompt, MaxTokens: a.Tokens, Seed: a.Seed,
		})
		return d
	}
	call := caller.Call{
		ID: uuid.NewString(), Service: a.Class.Service, Method: a.Class.Method, Path: a.Class.Path + "?mark=" + a.Mark,
	}
	if a.Class.AtMostOnce {
		call.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	d.Result = c.Call(ctx, call)
	return d
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}
