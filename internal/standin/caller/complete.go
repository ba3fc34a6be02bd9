package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// Completion describes one completion request to a model service.
type Completion struct {
	// ID is the request ID; it is the same for all attempts.
	ID        string
	Service   string
	Prompt    string
	MaxTokens int
	Seed      uint64
	// Entry is the address of the entry for the first attempt; empty to let the
	// client choose.
	Entry string
}

// Result is the outcome of a request as its caller saw it.
type Result struct {
	// Text is the received text. Complete reports whether the answer arrived up
	// to its end.
	Text     string
	Complete bool
	// Status is the last HTTP status of a call, or of a completion's refusal.
	// Code, Outcome, Message and RetryAfter are those of the last refusal, if any;
	// Outcome is outcome.Ran after a complete answer. All are empty while the last
	// attempt has no answer.
	Status  int
	Code    outcome.Code
	Outcome outcome.Outcome
	Message string
	// RetryAfter is zero if the refusal is final.
	RetryAfter time.Duration
	// Accepted reports whether an entry responded with status 200.
	Accepted bool
	// Attempts counts the HTTP requests sent, Resumes those among them that
	// resumed a broken stream.
	Attempts int
	Resumes  int
	// TimeToFirstToken is the time from the first attempt to the first chunk of
	// text. ChunkGaps are the times between consecutive chunks, and MaxChunkGap
	// is the longest of them.
	TimeToFirstToken time.Duration
	MaxChunkGap      time.Duration
	ChunkGaps        []time.Duration
	Elapsed          time.Duration
	// Entries are the addresses of the entries that responded, in order.
	Entries []string
	// Replayed reports whether the answer to a plain call was a stored one.
	Replayed bool
	// Err is the last connection error or malformed response.
	Err error
}

// recordUnanswered records an attempt that got no answer. It may have run, so that
// the refusal of an earlier attempt does not hold any more.
func (r *Result) recordUnanswered(err error) {
	r.Status, r.Err = 0, err
	r.recordRefusal(refusal{})
}

func (r *Result) recordRefusal(ref refusal) {
	r.Code, r.Outcome, r.Message, r.RetryAfter = ref.code, ref.outcome, ref.message, ref.retryAfter
}

// completionBody is the body of an OpenAI-style completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	Stream    bool   `json:"stream"`
}

// completionEvent holds the fields that are read from an OpenAI-style stream event.
type completionEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *outcome.BodyError `json:"error"`
}

// completionRun is the state of one completion request in progress.
type completionRun struct {
	c           *Client
	req         Completion
	res         *Result
	startedAt   time.Time
	lastChunkAt time.Time
	text        strings.Builder
	offset      string
	address     string
	// mayBeKnown is true once an entry may know the request; further attempts
	// then resume it.
	mayBeKnown bool
}

// Complete sends the request until the answer is complete, the refusal is final or
// RequestTimeout expires.
func (c *Client) Complete(ctx context.Context, req Completion) *Result {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	r := &completionRun{c: c, req: req, res: &Result{}, startedAt: time.Now(), offset: "0", address: req.Entry}
	for ctx.Err() == nil {
		if r.address == "" {
			r.address = c.pickEntry(ctx)
		}
		if r.attempt(ctx) {
			break
		}
		r.address = ""
	}
	r.res.Text, r.res.Elapsed = r.text.String(), time.Since(r.startedAt)
	return r.res
}

// Resume makes one attempt to resume a request from offset 0 at the given entry.
func (c *Client) Resume(ctx context.Context, id, entry string) *Result {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	r := &completionRun{c: c, req: Completion{ID: id}, res: &Result{}, startedAt: time.Now(), offset: "0", address: entry, mayBeKnown: true}
	r.attempt(ctx)
	r.res.Text, r.res.Elapsed = r.text.String(), time.Since(r.startedAt)
	return r.res
}

// attempt makes one attempt and reports whether the result is final.
func (r *completionRun) attempt(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	httpReq, err := r.newRequest(ctx)
	if err != nil {
		r.res.Err = err
		return true
	}
	r.res.Attempts++
	stall := time.AfterFunc(r.c.config.StallTimeout, cancel)
	defer stall.Stop()
	resp, err := r.c.http.Do(httpReq)
	if err != nil {
		r.mayBeKnown = true
		r.res.recordUnanswered(err)
		r.connectionFailed(ctx, err)
		return false
	}
	defer resp.Body.Close()
	r.res.Entries = append(r.res.Entries, r.address)
	if resp.StatusCode == http.StatusOK {
		r.mayBeKnown, r.res.Accepted = true, true
		return r.readStream(ctx, resp.Body, stall)
	}
	return r.handleRefusal(ctx, readRefusal(resp))
}

// newRequest builds the HTTP request of an attempt: a resume if an entry may know
// the request, else the completion request itself.
func (r *completionRun) newRequest(ctx context.Context) (*http.Request, error) {
	path, body := "/v1/completions", []byte(nil)
	resume := r.mayBeKnown
	if resume {
		r.res.Resumes++
		path = "/v1/requests/" + url.PathEscape(r.req.ID) + "/resume"
	} else {
		var err error
		body, err = json.Marshal(completionBody{
			Model: r.req.Service, Prompt: r.req.Prompt, MaxTokens: r.req.MaxTokens, Seed: r.req.Seed, Stream: true,
		})
		if err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.c.authorize(req)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(outcome.HeaderRequestID, r.req.ID)
	if resume {
		req.Header.Set("Last-Event-ID", r.offset)
	}
	return req, nil
}

// connectionFailed records the error, avoids the entry and waits for retryDelay.
func (r *completionRun) connectionFailed(ctx context.Context, err error) {
	r.res.Err = err
	r.c.markFailed(r.address)
	sleep(ctx, retryDelay)
}

// handleRefusal decides whether to retry, resume or give up after a refusal. It
// waits before a further attempt and reports whether the result is final.
func (r *completionRun) handleRefusal(ctx context.Context, ref refusal) bool {
	r.res.Status = ref.status
	r.res.recordRefusal(ref)
	if ref.status == http.StatusNotFound && ref.code == outcome.CodeNotFound && r.mayBeKnown && r.text.Len() == 0 {
		// No entry knows the request and no text has arrived, so that it is safe
		// to send it again with the same ID.
		r.mayBeKnown = false
		return !sleep(ctx, retryDelay)
	}
	if ref.retryAfter == 0 {
		return true
	}
	if ref.outcome == outcome.NotRun && !r.res.Accepted {
		return !r.c.waitBeforeRetry(ctx, r.startedAt, ref.retryAfter)
	}
	// A model request that may be running is resumed by its ID, not sent again.
	r.mayBeKnown = r.mayBeKnown || ref.outcome == outcome.Unknown
	return !sleep(ctx, ref.retryAfter)
}

// readStream reads the events of a stream. It returns true at the end marker.
func (r *completionRun) readStream(ctx context.Context, body io.Reader, stall *time.Timer) bool {
	lines := bufio.NewReader(body)
	id := ""
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			r.connectionFailed(ctx, InvalidResponse.Wrap(err, "stream"))
			return false
		}
		stall.Reset(r.c.config.StallTimeout)
		field, value, _ := strings.Cut(strings.TrimRight(line, "\r\n"), ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			id = value
		case "data":
			done, err := r.handleEvent(id, value)
			if err != nil {
				r.connectionFailed(ctx, err)
				return false
			}
			if done {
				return true
			}
		}
	}
}

// handleEvent processes one event. done reports whether it is the end marker.
func (r *completionRun) handleEvent(id, data string) (done bool, err error) {
	if data == engineapi.DoneMarker {
		r.res.Complete, r.res.Outcome = true, outcome.Ran
		return true, nil
	}
	var e completionEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return false, InvalidResponse.Wrap(err, "event")
	}
	if e.Error != nil {
		r.res.Code, r.res.Outcome, r.res.Message = e.Error.Code, e.Error.Outcome, e.Error.Message
		return false, InvalidResponse.New("error event: %s", e.Error.Message)
	}
	text := ""
	for _, choice := range e.Choices {
		text += choice.Text
	}
	if text == "" {
		return false, nil
	}
	if next, err := strconv.Atoi(id); err != nil || !r.isAfterOffset(next) {
		return false, InvalidResponse.New("event id %q after %s", id, r.offset)
	}
	r.offset = id
	r.text.WriteString(text)
	r.recordChunkTime()
	return false, nil
}

// isAfterOffset reports whether an event's offset is beyond the text received so
// far.
func (r *completionRun) isAfterOffset(next int) bool {
	have, _ := strconv.Atoi(r.offset)
	return next > have
}

func (r *completionRun) recordChunkTime() {
	now := time.Now()
	if r.lastChunkAt.IsZero() {
		r.res.TimeToFirstToken = now.Sub(r.startedAt)
	} else {
		gap := now.Sub(r.lastChunkAt)
		r.res.ChunkGaps = append(r.res.ChunkGaps, gap)
		r.res.MaxChunkGap = max(r.res.MaxChunkGap, gap)
	}
	r.lastChunkAt = now
}
