// Package caller is a good client of the system: it asks for the entries and
// keeps the answer for as long as it is told, comes back after refusals that
// say "not run", resumes broken streams at another entry, and sends a once-only
// call again only under its first key.
//
// It uses net/http and not the HTTP library of the entry, so that both ends of
// a connection don't share a library's mistake.
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

// InvalidResponse is the type of errors about answers that end early or make no sense.
var InvalidResponse = Namespace.NewType("broken")

// Config says who the caller is.
type Config struct {
	// SeedEntries are entries that it knows before it has asked.
	SeedEntries []string
	// DataCentre is where it stands; empty if it does not know.
	DataCentre string
	Member     string
	Token      string
	// StallTimeout is how long a stream may be silent before the caller resumes it
	// elsewhere. Default 3s.
	StallTimeout time.Duration
	// RequestTimeout bounds a request with all its retries. Default 60s.
	RequestTimeout time.Duration
	// RetryWindow is how long after its beginning a request that was refused as
	// not run is sent again. Default: RequestTimeout.
	RetryWindow time.Duration
	// Seed seeds the choice among entries.
	Seed uint64
}

const (
	defaultStall    = 3 * time.Second
	defaultPatience = time.Minute
	dialTimeout     = time.Second
	entriesTimeout  = time.Second
	// retryPause is the wait after a connection that failed.
	retryPause = 50 * time.Millisecond
	// avoidTime is how long an entry that failed is chosen last.
	avoidTime = 2 * time.Second
)

// Client is one caller. Safe for use by many goroutines.
type Client struct {
	config Config
	http   *http.Client

	mu      sync.Mutex
	rng     *rand.Rand
	entries []entry
	until   time.Time
	avoid   map[string]time.Time
}

type entry struct {
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	Weight     float64 `json:"weight"`
}

type entriesAnswer struct {
	Entries     []entry `json:"entries"`
	KeepSeconds float64 `json:"keep_seconds"`
}

// New gives a caller.
func New(c Config) *Client {
	if c.StallTimeout == 0 {
		c.StallTimeout = defaultStall
	}
	if c.RequestTimeout == 0 {
		c.RequestTimeout = defaultPatience
	}
	if c.RetryWindow == 0 {
		c.RetryWindow = c.RequestTimeout
	}
	return &Client{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), avoid: make(map[string]time.Time),
		http: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
			// No idle connections: the transport would send a keyed call again
			// by itself on a connection that broke, unseen by this package.
			DisableKeepAlives: true,
		}},
	}
}

// CloseIdle closes connections that are not in use.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// pick chooses an entry: from the list that it was told, the own data centre
// first, by weight, not one that has just failed.
func (c *Client) pick(ctx context.Context) string {
	c.refresh(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	usable := func(e entry) bool { return now.After(c.avoid[e.Address]) }
	for _, ok := range []func(entry) bool{
		func(e entry) bool { return usable(e) && e.DataCentre == c.config.DataCentre },
		usable,
	} {
		if e, found := c.weighted(ok); found {
			return e
		}
	}
	if len(c.entries) > 0 {
		return c.entries[c.rng.IntN(len(c.entries))].Address
	}
	return c.config.SeedEntries[c.rng.IntN(len(c.config.SeedEntries))]
}

// weighted must be called with mu held.
func (c *Client) weighted(ok func(entry) bool) (string, bool) {
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

// failed keeps away from an entry for a while.
func (c *Client) failed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[address] = time.Now().Add(avoidTime)
}

// refresh asks an entry for the list once the kept one is too old. An old list
// is better than none.
func (c *Client) refresh(ctx context.Context) {
	c.mu.Lock()
	fresh := time.Now().Before(c.until)
	ask := slices.Clone(c.config.SeedEntries)
	c.rng.Shuffle(len(ask), func(i, j int) { ask[i], ask[j] = ask[j], ask[i] })
	c.mu.Unlock()
	if fresh {
		return
	}
	for _, address := range ask {
		answer, err := c.ask(ctx, address)
		if err != nil || len(answer.Entries) == 0 {
			continue
		}
		c.mu.Lock()
		c.entries = answer.Entries
		c.until = time.Now().Add(time.Duration(answer.KeepSeconds * float64(time.Second)))
		c.mu.Unlock()
		return
	}
}

func (c *Client) ask(ctx context.Context, address string) (entriesAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	var answer entriesAnswer
	url := "http://" + address + "/v1/entries?data_centre=" + c.config.DataCentre
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return answer, err
	}
	c.authorize(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, InvalidResponse.New("entries: %s", resp.Status)
	}
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}

func (c *Client) authorize(req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+c.config.Token)
}

// refusal is an answer that is not the result.
type refusal struct {
	status     int
	code       outcome.Code
	outcome    outcome.Outcome
	retryAfter time.Duration
	message    string
}

// readRefusal reads the error body and headers.
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

// again waits before another try after a refusal as not run; false when the
// caller gives up.
func (c *Client) again(ctx context.Context, began time.Time, wait time.Duration) bool {
	return time.Since(began)+wait < c.config.RetryWindow && pause(ctx, wait)
}

// pause waits; it gives false when ctx is over before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
