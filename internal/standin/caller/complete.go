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

// Completion is one request to a model service.
type Completion struct {
	// ID is the request id; it stays the same over all tries.
	ID        string
	Service   string
	Prompt    string
	MaxTokens int
	Seed      uint64
	// Entry is the entry to send the first try to; empty for the caller's own
	// choice.
	Entry string
}

// Result is what became of a request.
type Result struct {
	// Text is the text that came, Complete tells that the end marker came too.
	Text     string
	Complete bool
	// Status, Code, Outcome and Message are of the last refusal, if any.
	Status  int
	Code    outcome.Code
	Outcome outcome.Outcome
	Message string
	// Accepted tells that an entry began to answer.
	Accepted bool
	// Attempts counts sends, Resumes those that went on with a broken stream.
	Attempts int
	Resumes  int
	// TimeToFirstToken is from the first send to the first token; MaxChunkGap is the
	// longest time between two pieces, ChunkGaps all such times.
	TimeToFirstToken time.Duration
	MaxChunkGap      time.Duration
	ChunkGaps        []time.Duration
	Elapsed          time.Duration
	// Entries are the entries that answered, in order.
	Entries []string
	// Replayed tells that a plain call's answer was a stored one.
	Replayed bool
	// Err is the last thing that went wrong on a connection.
	Err error
}

// completionBody is an OpenAI-style request body.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	Stream    bool   `json:"stream"`
}

// completionEvent is what is read of an OpenAI-style stream event.
type completionEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *outcome.BodyError `json:"error"`
}

// run is one request under way.
type run struct {
	c       *Client
	req     Completion
	res     *Result
	began   time.Time
	last    time.Time
	text    strings.Builder
	offset  string
	address string
	// sent tells that an entry may know the request.
	sent bool
}

// Complete sends the request until it is whole, refused for good or the
// caller's patience is over.
func (c *Client) Complete(ctx context.Context, req Completion) *Result {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	r := &run{c: c, req: req, res: &Result{}, began: time.Now(), offset: "0", address: req.Entry}
	for ctx.Err() == nil {
		if r.address == "" {
			r.address = c.pick(ctx)
		}
		if r.try(ctx) {
			break
		}
		r.address = ""
	}
	r.res.Text, r.res.Elapsed = r.text.String(), time.Since(r.began)
	return r.res
}

// Resume asks one entry, once, to go on with a request from its beginning.
func (c *Client) Resume(ctx context.Context, id, entry string) *Result {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	r := &run{c: c, req: Completion{ID: id}, res: &Result{}, began: time.Now(), offset: "0", address: entry, sent: true}
	r.try(ctx)
	r.res.Text, r.res.Elapsed = r.text.String(), time.Since(r.began)
	return r.res
}

// try makes one try and tells whether the result is final.
func (r *run) try(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	httpReq, err := r.request(ctx)
	if err != nil {
		r.res.Err = err
		return true
	}
	r.res.Attempts++
	stall := time.AfterFunc(r.c.config.StallTimeout, cancel)
	defer stall.Stop()
	resp, err := r.c.http.Do(httpReq)
	if err != nil {
		r.sent = true
		r.broke(ctx, err)
		return false
	}
	defer resp.Body.Close()
	r.res.Entries = append(r.res.Entries, r.address)
	if resp.StatusCode == http.StatusOK {
		r.sent, r.res.Accepted = true, true
		return r.read(ctx, resp.Body, stall)
	}
	return r.refused(ctx, readRefusal(resp))
}

// request is the first send, or a resume once an entry may know the request.
func (r *run) request(ctx context.Context) (*http.Request, error) {
	path, body := "/v1/completions", []byte(nil)
	resume := r.sent
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

// broke notes a connection that failed and waits a little.
func (r *run) broke(ctx context.Context, err error) {
	r.res.Err = err
	r.c.failed(r.address)
	pause(ctx, retryPause)
}

// refused decides about a refusal: wait and come back, start anew, or give up.
func (r *run) refused(ctx context.Context, ref refusal) bool {
	r.res.Status, r.res.Code, r.res.Outcome, r.res.Message = ref.status, ref.code, ref.outcome, ref.message
	if ref.status == http.StatusNotFound && ref.code == outcome.CodeNotFound && r.sent && r.text.Len() == 0 {
		// No entry knows it: nothing of it was answered, so it is sent again
		// under the same id.
		r.sent = false
		return !pause(ctx, retryPause)
	}
	if ref.retryAfter == 0 {
		return true
	}
	if ref.outcome == outcome.NotRun && !r.res.Accepted {
		return !r.c.again(ctx, r.began, ref.retryAfter)
	}
	// A model request that may run is not sent anew but resumed under its id.
	r.sent = r.sent || ref.outcome == outcome.Unknown
	return !pause(ctx, ref.retryAfter)
}

// read takes the stream's events; it gives true at the end marker.
func (r *run) read(ctx context.Context, body io.Reader, stall *time.Timer) bool {
	lines := bufio.NewReader(body)
	id := ""
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			r.broke(ctx, InvalidResponse.Wrap(err, "stream"))
			return false
		}
		stall.Reset(r.c.config.StallTimeout)
		field, value, _ := strings.Cut(strings.TrimRight(line, "\r\n"), ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			id = value
		case "data":
			done, err := r.event(id, value)
			if err != nil {
				r.broke(ctx, err)
				return false
			}
			if done {
				return true
			}
		}
	}
}

// event takes one event; done tells that the request is over.
func (r *run) event(id, data string) (done bool, err error) {
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
	if next, err := strconv.Atoi(id); err != nil || !r.later(next) {
		return false, InvalidResponse.New("event id %q after %s", id, r.offset)
	}
	r.offset = id
	r.text.WriteString(text)
	r.time()
	return false, nil
}

// later tells whether an event's offset is after what the caller has.
func (r *run) later(next int) bool {
	have, _ := strconv.Atoi(r.offset)
	return next > have
}

func (r *run) time() {
	now := time.Now()
	if r.last.IsZero() {
		r.res.TimeToFirstToken = now.Sub(r.began)
	} else {
		gap := now.Sub(r.last)
		r.res.ChunkGaps = append(r.res.ChunkGaps, gap)
		r.res.MaxChunkGap = max(r.res.MaxChunkGap, gap)
	}
	r.last = now
}
