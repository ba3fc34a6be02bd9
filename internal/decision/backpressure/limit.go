package backpressure

import "time"

const (
	// permitTTL is how long a permit may be used once it is valid. Permits that are saved and
	// used together add to what the server gets in a short time.
	permitTTL = time.Second
	// minUnusedBackoff is how long an entry requests no permit after one has expired unused.
	// It doubles with each further one, up to maxUnusedBackoff. Without it, entries that do
	// not need the server take the permits of those that do.
	minUnusedBackoff    = 500 * time.Millisecond
	maxUnusedBackoff    = 8 * time.Second
	maxBackoffDoublings = 4
)

// RateLimit is what one entry knows of the rate limit of one server incarnation, with the
// permits that it holds.
//
// Invariant: while there is a limit, nothing is sent without a permit, and each permit is
// used once. A limit is raised or removed only by the answer to a request that was sent
// after the limit was received. The answer to an earlier request may be older than the
// limit, and receiving no answers does not end it.
type RateLimit struct {
	rate       float64
	receivedAt time.Duration
	// permits holds the time from which each permit may be used, the earliest first.
	permits        []time.Duration
	requestPending bool
	nextRequestAt  time.Duration
	// unusedInRow counts the permits that expired unused since the last one was used.
	unusedInRow int
}

// Rate returns the limit in requests per second; 0 if there is none.
func (l *RateLimit) Rate() float64 { return l.rate }

// ReceivedAt returns when the signal came that the current state is based on.
func (l *RateLimit) ReceivedAt() time.Duration { return l.receivedAt }

// Update takes the rate in an answer that came at answeredAt to a request sent at sentAt; 0
// if the answer sets no limit. It reports whether the limit changes.
func (l *RateLimit) Update(answeredAt, sentAt time.Duration, rate float64) bool {
	afterLimit := sentAt >= l.receivedAt
	switch {
	case rate == 0 && (l.rate == 0 || !afterLimit):
		return false
	case rate == 0:
		*l = RateLimit{receivedAt: answeredAt}
		return true
	case l.rate > 0 && rate > l.rate && !afterLimit:
		return false
	}
	changed := rate != l.rate
	l.rate, l.receivedAt = rate, max(l.receivedAt, answeredAt)
	return changed
}

// CanSend reports whether a request may be sent now.
func (l *RateLimit) CanSend(now time.Duration) bool {
	if l.rate == 0 {
		return true
	}
	l.expire(now)
	return len(l.permits) > 0 && l.permits[0] <= now
}

// TrySend uses a permit, if a limit requires one; false if there is none.
func (l *RateLimit) TrySend(now time.Duration) bool {
	if !l.CanSend(now) {
		return false
	}
	if l.rate > 0 {
		l.permits, l.unusedInRow = l.permits[1:], 0
	}
	return true
}

// expire drops permits that were not used in time.
func (l *RateLimit) expire(now time.Duration) {
	for len(l.permits) > 0 && now-l.permits[0] >= permitTTL {
		l.permits = l.permits[1:]
		l.nextRequestAt = max(l.nextRequestAt, now+min(minUnusedBackoff<<min(l.unusedInRow, maxBackoffDoublings), maxUnusedBackoff))
		l.unusedInRow++
	}
}

// ShouldRequest reports whether to request a permit, if there is work for the server.
func (l *RateLimit) ShouldRequest(now time.Duration) bool {
	if l.rate == 0 || l.requestPending || now < l.nextRequestAt {
		return false
	}
	l.expire(now)
	return len(l.permits) == 0 && now >= l.nextRequestAt
}

// MarkRequested records that a request for permits is in flight.
func (l *RateLimit) MarkRequested() { l.requestPending = true }

// ApplyGrant takes the response to the pending request: the delays from now after which the
// permits may be used, and the time until the next request.
func (l *RateLimit) ApplyGrant(now time.Duration, delays []time.Duration, nextRequestIn time.Duration) {
	l.requestPending = false
	l.nextRequestAt = max(l.nextRequestAt, now+nextRequestIn)
	if l.rate == 0 {
		return
	}
	for _, d := range delays {
		l.permits = append(l.permits, now+d)
	}
}

// RequestFailed records that the request got no response.
func (l *RateLimit) RequestFailed() { l.requestPending = false }

// AvailableIn returns the time until a request may be sent, as far as is known.
func (l *RateLimit) AvailableIn(now time.Duration) time.Duration {
	switch {
	case l.CanSend(now):
		return 0
	case len(l.permits) > 0:
		return l.permits[0] - now
	default:
		return max(0, l.nextRequestAt-now)
	}
}
