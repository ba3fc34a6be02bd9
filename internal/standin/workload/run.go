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

// Runner plays arrivals with one caller for each member.
type Runner struct {
	// Callers are by member.
	Callers map[string]*caller.Client

	mu   sync.Mutex
	done []audit.FinishedRequest
}

// Run sends each arrival at its time, whatever became of those before it, and
// waits until all have their result or ctx is over.
func (p *Runner) Run(ctx context.Context, arrivals []Arrival) []audit.FinishedRequest {
	var wg conc.WaitGroup
	began := time.Now()
	for i := range arrivals {
		a := &arrivals[i]
		if !sleepUntil(ctx, began.Add(a.At)) {
			break
		}
		wg.Go(func() { p.add(Send(ctx, p.Callers[a.Member], a)) })
	}
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

func (p *Runner) add(d audit.FinishedRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = append(p.done, d)
}

// Send sends one arrival and gives its result.
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
