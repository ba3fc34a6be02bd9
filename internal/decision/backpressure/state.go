package backpressure

import "time"

// ServerState is what one entry knows of what one life of a server wants.
type ServerState struct {
	Limit RateLimit
	// Leaving is set for good once it has said that it leaves.
	Leaving bool
	// Malformed is the last part of its word that could not be read.
	Malformed string
	// backoffUntil is until when it wants nothing from this entry.
	backoffUntil time.Duration
}

// Limited tells whether the server takes less than it has places for.
func (s *ServerState) Limited(now time.Duration) bool { return s.Limit.Rate() > 0 || s.BackingOff(now) }

// HasSignal tells whether the server has said anything that counts on for its life.
func (s *ServerState) HasSignal() bool {
	return s.Limit.ReceivedAt() > 0 || s.backoffUntil > 0 || s.Leaving
}

// BackOff takes the server's word that it wants nothing for so long. A longer time that it has asked
// for before holds on: it is over when it is, or with the server's life.
func (s *ServerState) BackOff(now, rest time.Duration) {
	s.backoffUntil = max(s.backoffUntil, now+rest)
}

// BackingOff tells whether the server wants nothing now.
func (s *ServerState) BackingOff(now time.Duration) bool { return now < s.backoffUntil }

// BackoffUntil is until when it wants nothing.
func (s *ServerState) BackoffUntil() time.Duration { return s.backoffUntil }

// CanSend tells whether a request may be sent now.
func (s *ServerState) CanSend(now time.Duration) bool {
	return !s.BackingOff(now) && s.Limit.CanSend(now)
}

// TrySend counts a request that is sent now; false if it may not be.
func (s *ServerState) TrySend(now time.Duration) bool {
	return !s.BackingOff(now) && s.Limit.TrySend(now)
}

// AvailableIn is how long it takes until a request may be sent, as far as is known.
func (s *ServerState) AvailableIn(now time.Duration) time.Duration {
	return max(s.backoffUntil-now, s.Limit.AvailableIn(now))
}
