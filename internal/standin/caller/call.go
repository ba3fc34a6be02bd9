package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// Call is one call of a plain service.
type Call struct {
	ID      string
	Service string
	Method  string
	// Path is below the service, with its query.
	Path string
	// IdempotencyKey is the idempotency key of a once-only call; empty for others.
	IdempotencyKey string
	// Entry is the entry to send the first try to; empty for the caller's own
	// choice.
	Entry string
	// AttemptTimeout bounds one try. Default 5s.
	AttemptTimeout time.Duration
}

const callTimeout = 5 * time.Second

// Call sends the call until it is answered or the caller's patience is over. A
// connection that fails is followed by the same call under the same key at
// another entry: the system must see to it that it runs once.
func (c *Client) Call(ctx context.Context, call Call) *Result {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	if call.AttemptTimeout == 0 {
		call.AttemptTimeout = callTimeout
	}
	res, began := &Result{}, time.Now()
	address := call.Entry
	for ctx.Err() == nil {
		if address == "" {
			address = c.pick(ctx)
		}
		if c.tryCall(ctx, call, address, began, res) {
			break
		}
		address = ""
	}
	res.Elapsed = time.Since(began)
	return res
}

func (c *Client) tryCall(ctx context.Context, call Call, address string, began time.Time, res *Result) bool {
	ctx2, cancel := context.WithTimeout(ctx, call.AttemptTimeout)
	defer cancel()
	url := "http://" + address + "/svc/" + call.Service + call.Path
	req, err := http.NewRequestWithContext(ctx2, call.Method, url, nil)
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
		return c.callAnswered(ctx, resp, address, began, res)
	}
	res.Err = err
	c.failed(address)
	return !pause(ctx, retryPause)
}

func (c *Client) callAnswered(ctx context.Context, resp *http.Response, address string, began time.Time, res *Result) bool {
	res.Entries = append(res.Entries, address)
	res.Status = resp.StatusCode
	res.Replayed = resp.Header.Get(outcome.HeaderReplayed) == "true"
	if resp.StatusCode == http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			res.Err = err
			return !pause(ctx, retryPause)
		}
		res.Text, res.Complete, res.Outcome, res.Accepted = string(body), true, outcome.Ran, true
		return true
	}
	ref := readRefusal(resp)
	res.Code, res.Outcome, res.Message = ref.code, ref.outcome, ref.message
	again := ref.outcome == outcome.NotRun || ref.code == outcome.CodeAlreadyRunning
	if !again || ref.retryAfter == 0 {
		return true
	}
	return !c.again(ctx, began, ref.retryAfter)
}
