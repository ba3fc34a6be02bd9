package backpressure

import "time"

const (
	// permitFor is how long a permit may be used from its time on. Permits that are held back
	// and used together add to what the server gets in a short time.
	permitFor = time.Second
	// firstUnused is how long nothing is asked after a permit that ran out unused; it doubles
	// with each further one up to maxUnused. Without it entries that do not need the server
	// take the permits of those that do.
	firstUnused = 500 * time.Millisecond
	maxUnused   = 8 * time.Second
	maxDoubled  = 4
)

// RateLimit is what one entry knows of the limit of one life of a server, and its permits.
//
// Invariant: while a limit is known, nothing is sent without a permit, and each permit counts
// once. A limit ends by an answer to a request that was sent after the limit was heard:
// an answer that was on its way longer says nothing newer, and silence says nothing at all.
type RateLimit struct {
	rate       float64
	receivedAt time.Duration
	// permits are from when each may be used, the earliest first.
	permits []time.Duration
	asking  bool
	askFrom time.Duration
	// unused counts the permits in a row that ran out.
	unused int
}

// Rate is the limit in requests a second; 0 for none.
func (l *RateLimit) Rate() float64 { return l.rate }

// ReceivedAt is when the word came that the limit is by.
func (l *RateLimit) ReceivedAt() time.Duration { return l.receivedAt }

// Update takes the rate of an answer that came at that time to a request sent at sent, 0 where
// it names none. It tells whether the limit is another one now.
func (l *RateLimit) Update(at, sent time.Duration, rate float64) bool {
	later := sent >= l.receivedAt
	switch {
	case rate == 0 && (l.rate == 0 || !later):
		return false
	case rate == 0:
		*l = RateLimit{receivedAt: at}
		return true
	case l.rate > 0 && rate > l.rate && !later:
		return false
	}
	changed := rate != l.rate
	l.rate, l.receivedAt = rate, max(l.receivedAt, at)
	return changed
}

// CanSend tells whether a request may be sent now.
func (l *RateLimit) CanSend(now time.Duration) bool {
	if l.rate == 0 {
		return true
	}
	l.expire(now)
	return len(l.permits) > 0 && l.permits[0] <= now
}

// TrySend uses a permit up; false if there is none.
func (l *RateLimit) TrySend(now time.Duration) bool {
	if !l.CanSend(now) {
		return false
	}
	if l.rate > 0 {
		l.permits, l.unused = l.permits[1:], 0
	}
	return true
}

// expire drops permits that were not used in time.
func (l *RateLimit) expire(now time.Duration) {
	for len(l.permits) > 0 && now-l.permits[0] >= permitFor {
		l.permits = l.permits[1:]
		l.askFrom = max(l.askFrom, now+min(firstUnused<<min(l.unused, maxDoubled), maxUnused))
		l.unused++
	}
}

// ShouldRequest tells whether a permit is to be asked for, if there is work for the server.
func (l *RateLimit) ShouldRequest(now time.Duration) bool {
	if l.rate == 0 || l.asking || now < l.askFrom {
		return false
	}
	l.expire(now)
	return len(l.permits) == 0 && now >= l.askFrom
}

// MarkRequested notes that a question for permits is under way.
func (l *RateLimit) MarkRequested() { l.asking = true }

// ApplyGrant takes the answer to it: from when the permits may be used, each so long from now,
// and how long to wait before the next question.
func (l *RateLimit) ApplyGrant(now time.Duration, in []time.Duration, again time.Duration) {
	l.asking = false
	l.askFrom = max(l.askFrom, now+again)
	if l.rate == 0 {
		return
	}
	for _, d := range in {
		l.permits = append(l.permits, now+d)
	}
}

// RequestFailed notes that the question got no answer.
func (l *RateLimit) RequestFailed() { l.asking = false }

// AvailableIn is how long it takes until a request may be sent, as far as is known.
func (l *RateLimit) AvailableIn(now time.Duration) time.Duration {
	switch {
	case l.CanSend(now):
		return 0
	case len(l.permits) > 0:
		return l.permits[0] - now
	default:
		return max(0, l.askFrom-now)
	}
}
