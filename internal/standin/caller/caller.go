// Package caller implements a well-behaved client of the system: it fetches the
// list of entries and caches it for the stated time, retries after refusals with
// outcome "not run", resumes broken streams at another entry, and retries an
// at-most-once call only with its original idempotency key.
//
// It uses net/http rather than the HTTP library of the entry, so that a library
// bug can't affect both ends of a connection alike and go unnoticed.
package caller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("caller")

// InvalidResponse is the type of errors about truncated, malformed or unexpected
// responses.
var InvalidResponse = Namespace.NewType("broken")

// Config configures a Client.
type Config struct {
	// SeedEntries are the addresses of entries to fetch the list of entries
	// from, and to use while no list is known.
	SeedEntries []string
	// DataCentre is the client's data centre; empty if unknown.
	DataCentre string
	Member     string
	Token      string
	// StallTimeout is how long a stream may deliver no data before the client
	// resumes it at another entry. Default 3s.
	StallTimeout time.Duration
	// RequestTimeout bounds a request including its retries. Default 60s.
	RequestTimeout time.Duration
	// RetryWindow is the time after the first attempt in which a request that is
	// refused as not run is retried. Default: RequestTimeout.
	RetryWindow time.Duration
	// Seed seeds the random choice among entries.
	Seed uint64
}

const (
	defaultStallTimeout   = 3 * time.Second
	defaultRequestTimeout = time.Minute
	dialTimeout           = time.Second
	entriesTimeout        = time.Second
	// retryDelay is the wait after a failed connection.
	retryDelay = 50 * time.Millisecond
	// avoidDuration is how long a failed entry is only used as a last resort.
	avoidDuration = 2 * time.Second
)

// Client is a client of the system. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client

	mu              sync.Mutex
	rng             *rand.Rand
	entries         []entry
	entriesExpireAt time.Time
	avoidUntil      map[string]time.Time
}

type entry struct {
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	Weight     float64 `json:"weight"`
}

type entriesResponse struct {
	Entries    []entry `json:"entries"`
	TTLSeconds float64 `json:"keep_seconds"`
}

// New returns a Client with the defaults of Config filled in.
func New(c Config) *Client {
	if c.StallTimeout == 0 {
		c.StallTimeout = defaultStallTimeout
	}
	if c.RequestTimeout == 0 {
		c.RequestTimeout = defaultRequestTimeout
	}
	if c.RetryWindow == 0 {
		c.RetryWindow = c.RequestTimeout
	}
	return &Client{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), avoidUntil: make(map[string]time.Time),
		http: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
			// With keep-alive, the transport itself would resend a call that has
			// an idempotency key after a reused connection broke, and this
			// package would not see that attempt.
			DisableKeepAlives: true,
		}},
	}
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// pickEntry picks an entry at random by weight, from the client's data centre if
// possible. It avoids recently failed entries unless no others are known.
func (c *Client) pickEntry(ctx context.Context) string {
	c.refreshEntries(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	usable := func(e entry) bool { return now.After(c.avoidUntil[e.Address]) }
	for _, ok := range []func(entry) bool{
		func(e entry) bool { return usable(e) && e.DataCentre == c.config.DataCentre },
		usable,
	} {
		if e, found := c.pickWeighted(ok); found {
			return e
		}
	}
	if len(c.entries) > 0 {
		return c.entries[c.rng.IntN(len(c.entries))].Address
	}
	return c.config.SeedEntries[c.rng.IntN(len(c.config.SeedEntries))]
}

// pickWeighted picks one of the entries for which ok is true at random by weight.
// The caller must hold mu.
func (c *Client) pickWeighted(ok func(entry) bool) (string, bool) {
	total := 0.0
	for _, e := range c.entries {
		if ok(e) {
			total += e.Weight
		}
	}
	point := c.rng.Float64() * total
	for _, e := range c.entries {
		if !ok(e) {
			continue
		}
		if point -= e.Weight; point <= 0 {
			return e.Address, true
		}
	}
	return "", false
}

// markFailed makes the client avoid an entry for avoidDuration.
func (c *Client) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[address] = time.Now().Add(avoidDuration)
}

// refreshEntries fetches the list of entries if the cached one has expired. If no
// seed entry answers, the expired list stays in use.
func (c *Client) refreshEntries(ctx context.Context) {
	c.mu.Lock()
	fresh := time.Now().Before(c.entriesExpireAt)
	seeds := slices.Clone(c.config.SeedEntries)
	c.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	c.mu.Unlock()
	if fresh {
		return
	}
	for _, address := range seeds {
		response, err := c.fetchEntries(ctx, address)
		if err != nil || len(response.Entries) == 0 {
			continue
		}
		c.mu.Lock()
		c.entries = response.Entries
		c.entriesExpireAt = time.Now().Add(time.Duration(response.TTLSeconds * float64(time.Second)))
		c.mu.Unlock()
		return
	}
}

func (c *Client) fetchEntries(ctx context.Context, address string) (entriesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	var response entriesResponse
	url := "http://" + address + "/v1/entries?data_centre=" + c.config.DataCentre
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return response, err
	}
	c.authorize(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return response, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return response, InvalidResponse.New("entries: %s", resp.Status)
	}
	return response, json.NewDecoder(resp.Body).Decode(&response)
}

func (c *Client) authorize(req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+c.config.Token)
}

// refusal is a response with an error status.
type refusal struct {
	status     int
	code       outcome.Code
	outcome    outcome.Outcome
	retryAfter time.Duration
	message    string
}

// readRefusal reads the error body and headers. Headers take precedence.
func readRefusal(resp *http.Response) refusal {
	var body outcome.Body
	_ = json.NewDecoder(resp.Body).Decode(&body)
	r := refusal{
		status: resp.StatusCode, code: body.Error.Code, outcome: body.Error.Outcome, message: body.Error.Message,
	}
	if h := resp.Header.Get(outcome.HeaderOutcome); h != "" {
		r.outcome = outcome.Outcome(h)
	}
	if secs, err := time.ParseDuration(resp.Header.Get(outcome.HeaderRetryAfter) + "s"); err == nil {
		r.retryAfter = secs
	}
	return r
}

// waitBeforeRetry waits before the retry of a request that was refused as not run.
// It returns false if the retry would fall outside RetryWindow or ctx ended.
func (c *Client) waitBeforeRetry(ctx context.Context, startedAt time.Time, wait time.Duration) bool {
	return time.Since(startedAt)+wait < c.config.RetryWindow && sleep(ctx, wait)
}

// sleep waits for d. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
