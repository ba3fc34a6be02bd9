package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// Call describes one call of a plain service.
type Call struct {
	ID      string
	Service string
	Method  string
	// Path is the path below the service, with the query.
	Path string
	// IdempotencyKey is set for calls that must run at most once; empty for
	// others.
	IdempotencyKey string
	// Entry is the address of the entry for the first attempt; empty to let the
	// client choose.
	Entry string
	// AttemptTimeout bounds one attempt. Default 5s.
	AttemptTimeout time.Duration
}

const callTimeout = 5 * time.Second

// Call sends the call until it has a final answer or RequestTimeout expires. After
// a failed connection it sends the same call with the same idempotency key to
// another entry; the system must ensure that the call runs only once.
func (c *Client) Call(ctx context.Context, call Call) *Result {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	if call.AttemptTimeout == 0 {
		call.AttemptTimeout = callTimeout
	}
	res, startedAt := &Result{}, time.Now()
	address := call.Entry
	for ctx.Err() == nil {
		if address == "" {
			address = c.pickEntry(ctx)
		}
		if c.attemptCall(ctx, call, address, startedAt, res) {
			break
		}
		address = ""
	}
	res.Elapsed = time.Since(startedAt)
	return res
}

func (c *Client) attemptCall(ctx context.Context, call Call, address string, startedAt time.Time, res *Result) bool {
	attemptCtx, cancel := context.WithTimeout(ctx, call.AttemptTimeout)
	defer cancel()
	url := "http://" + address + "/svc/" + call.Service + call.Path
	req, err := http.NewRequestWithContext(attemptCtx, call.Method, url, nil)
	if err != nil {
		res.Err = err
		return true
	}
	c.authorize(req)
	req.Header.Set(outcome.HeaderRequestID, call.ID)
	if call.IdempotencyKey != "" {
		req.Header.Set(outcome.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	res.Attempts++
	resp, err := c.http.Do(req)
	if err == nil {
		defer resp.Body.Close()
		return c.handleCallResponse(ctx, call, resp, address, startedAt, res)
	}
	res.recordUnanswered(err)
	c.markFailed(address)
	return !sleep(ctx, retryDelay)
}

func (c *Client) handleCallResponse(ctx context.Context, call Call, resp *http.Response, address string, startedAt time.Time, res *Result) bool {
	res.Entries = append(res.Entries, address)
	res.Status = resp.StatusCode
	res.Replayed = resp.Header.Get(outcome.HeaderReplayed) == "true"
	if resp.StatusCode == http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			res.recordUnanswered(err)
			return !sleep(ctx, retryDelay)
		}
		res.Text, res.Complete, res.Outcome, res.Accepted = string(body), true, outcome.Ran, true
		return true
	}
	ref := readRefusal(resp)
	res.recordRefusal(ref)
	// A call with a key may be sent again whatever its outcome: it runs at most once.
	repeatable := ref.outcome == outcome.NotRun || call.IdempotencyKey != ""
	if !repeatable || ref.retryAfter == 0 {
		return true
	}
	return !c.waitBeforeRetry(ctx, startedAt, ref.retryAfter)
}
