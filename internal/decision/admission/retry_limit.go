package admission

import "time"

// RetryLimit bounds the retries of a deployment: all sends of a request after its first one,
// for whatever reason.
type RetryLimit struct {
	// Ratio is the number of retries that a service may get per request for it.
	Ratio float64
	// Constant is the number of further retries that it may get in each window.
	Constant int
	// Window is the sliding window in which both are counted.
	Window time.Duration
	// Entries is the least number of entries that the deployment has, 0 if that is not known.
	Entries int
}

// RetryLimiter enforces one entry's part of a RetryLimit, per service.
//
// It guards against retry storms: when much of a fleet fails or refuses at once, every
// request is retried, the load doubles just when it can't be served, and the fleet never
// recovers. Each entry takes the ratio of its own requests and an equal part of the
// constant, so entries need not ask each other before they send.
//
// Both parts fill a token bucket that is empty when the process starts, but for one retry that
// the first tokens repay. An entry that restarts forgets what it has sent, so nothing that it may
// do depends on that: in whatever order entries restart, their processes together send at most
// one full bucket each and what comes in later.
type RetryLimiter struct {
	limit RetryLimit
	// entries is the number of entries that share the constant, 0 while that is not known, and
	// since is when it changed last. known is the last number that was known, and completeFrom is
	// when it counts.
	entries, known      int
	since, completeFrom time.Duration
	buckets             map[string]*retryTokens
}

// retryTokens is one service's bucket.
type retryTokens struct {
	tokens float64
	// owed is what is left to repay of the advance.
	owed       float64
	refilledAt time.Duration
	// requests are the times of the requests within the window, oldest first.
	requests []time.Duration
}

const (
	// usableShare is the part of the limit that entries use. Entries count a send by their own
	// clocks when they begin it, the service when it arrives.
	usableShare = 0.9
	// savedShare is the part of the limit that may be saved up and sent at once. Sends of the
	// same window must fit beside it, so a larger one leaves less for the rest of the window.
	savedShare = 0.1
	// advance is what a new process may send again at once, so that a failure of its first
	// request does not lose it.
	advance = 1
	// listSettleTime is how long the list of entries must not have grown to be taken as complete.
	// An entry that serves renews the lease on its view more often, and is listed from then on.
	listSettleTime = 2 * time.Second
)

// NewRetryLimiter returns the limiter of an entry; nil if there is no limit.
func NewRetryLimiter(limit *RetryLimit) *RetryLimiter {
	if limit == nil || limit.Window <= 0 {
		return nil
	}
	return &RetryLimiter{limit: *limit, buckets: make(map[string]*retryTokens)}
}

// RetryUse is what an entry may send again to a service now.
type RetryUse struct {
	// Requests are those in the window.
	Requests int
	// Tokens are the retries that may be sent now, Saved is how many are saved at most.
	Tokens, Saved float64
}

// SetEntries sets the number of entries that share the constant part from now on, 0 if it is
// not known: then the entry makes do with the ratio.
func (l *RetryLimiter) SetEntries(now time.Duration, entries int) {
	if l == nil || entries == l.entries {
		return
	}
	for _, b := range l.buckets {
		l.refill(now, b)
	}
	if entries > max(l.known, l.limit.Entries) {
		l.completeFrom = now + listSettleTime
	}
	if entries > 0 {
		l.known = entries
	}
	l.entries, l.since = entries, now
}

// RecordArrival counts a request for the service.
func (l *RetryLimiter) RecordArrival(now time.Duration, service string) {
	if l == nil {
		return
	}
	b := l.refilled(now, service)
	b.requests = append(b.requests, now)
	_, filled := l.shares(now, b)
	b.add(filled * l.limit.Ratio)
}

// HasRoom reports whether n more sends to the service would be allowed now.
func (l *RetryLimiter) HasRoom(now time.Duration, service string, n int) bool {
	return l == nil || n == 0 || l.refilled(now, service).tokens >= float64(n)
}

// Take takes n retries to be sent now, and returns false if they are not allowed.
func (l *RetryLimiter) Take(now time.Duration, service string, n int) bool {
	if !l.HasRoom(now, service, n) {
		return false
	}
	if l != nil && n > 0 {
		l.buckets[service].tokens -= float64(n)
	}
	return true
}

// Return gives back n retries that were taken and reached no server.
func (l *RetryLimiter) Return(now time.Duration, service string, n int) {
	if l == nil || n == 0 {
		return
	}
	b := l.refilled(now, service)
	saved, _ := l.shares(now, b)
	b.tokens = max(b.tokens, min(b.tokens+float64(n), saved))
}

// Use returns what may be sent again to the service now; zero without a limit.
func (l *RetryLimiter) Use(now time.Duration, service string) RetryUse {
	if l == nil {
		return RetryUse{}
	}
	b := l.refilled(now, service)
	saved, _ := l.shares(now, b)
	return RetryUse{Requests: len(b.requests), Tokens: b.tokens, Saved: saved}
}

func (l *RetryLimiter) refilled(now time.Duration, service string) *retryTokens {
	b := l.buckets[service]
	if b == nil {
		b = &retryTokens{refilledAt: l.since}
		// Where there are more entries than retries, the advances of all would exceed the limit.
		if l.limit.Constant >= max(1, l.entries, l.limit.Entries) {
			b.tokens, b.owed = advance, advance
		}
		l.buckets[service] = b
	}
	l.refill(now, b)
	return b
}

// refill adds the constant part of the time since the last refill and drops what can't be saved.
func (l *RetryLimiter) refill(now time.Duration, b *retryTokens) {
	b.requests = dropBefore(b.requests, now-l.limit.Window)
	saved, filled := l.shares(now, b)
	elapsed := max(0, now-max(b.refilledAt, l.completeFrom)).Seconds() / l.limit.Window.Seconds()
	b.add(filled * l.constant(now) * elapsed)
	if b.owed > 0 {
		saved = max(saved, advance)
	}
	b.tokens = min(b.tokens, saved)
	b.refilledAt = now
}

func (b *retryTokens) add(tokens float64) {
	repaid := min(b.owed, tokens)
	b.owed -= repaid
	b.tokens += tokens - repaid
}

// constant returns this entry's part of the constant. An entry that knows of no other one can't
// tell a deployment of one entry from a list that is not complete.
func (l *RetryLimiter) constant(now time.Duration) float64 {
	n := max(l.entries, l.limit.Entries)
	if l.entries == 0 || now < l.completeFrom || n == 1 && l.limit.Entries == 0 {
		return 0
	}
	return float64(l.limit.Constant) / float64(n)
}

// shares returns how many retries may be saved, and the part of the limit that fills the bucket.
// What is saved is one whole retry at least, where the entry's part of the limit is that large,
// since less could never be sent.
func (l *RetryLimiter) shares(now time.Duration, b *retryTokens) (saved, filled float64) {
	part := l.limit.Ratio*float64(len(b.requests)) + l.constant(now)
	if part <= 0 {
		return 0, usableShare - savedShare
	}
	saved = max(savedShare*part, min(1, usableShare*part))
	return saved, usableShare - saved/part
}

// dropBefore drops the times before from.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	expired := 0
	for expired < len(times) && times[expired] < from {
		expired++
	}
	return times[expired:]
}
