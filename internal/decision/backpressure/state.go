package backpressure

import "time"

// ServerState is what one entry knows of the work that one server incarnation accepts.
type ServerState struct {
	Limit RateLimit
	// Leaving is set for good once the server has signalled that it is leaving.
	Leaving bool
	// LeavingInView is set for good once control's view has shown the server as leaving. Work
	// that was sent to it before may still begin, so it is not a signal of the server's own.
	LeavingInView bool
	// Malformed is the last part of its signals that could not be parsed.
	Malformed string
	// backoffUntil is until when the server accepts nothing from this entry.
	backoffUntil time.Duration
}

// Limited reports whether the server has a rate limit or has asked for back-off.
func (s *ServerState) Limited(now time.Duration) bool { return s.Limit.Rate() > 0 || s.BackingOff(now) }

// HasSignal reports whether the server has sent any signal that stays valid for its
// incarnation.
func (s *ServerState) HasSignal() bool {
	return s.Limit.ReceivedAt() > 0 || s.backoffUntil > 0 || s.Leaving || s.LeavingInView
}

// BackOff records that the server accepts nothing for the duration d. A longer back-off from
// before stays in force until it ends or the incarnation does.
func (s *ServerState) BackOff(now, d time.Duration) {
	s.backoffUntil = max(s.backoffUntil, now+d)
}

// BackingOff reports whether the server accepts nothing now.
func (s *ServerState) BackingOff(now time.Duration) bool { return now < s.backoffUntil }

// BackoffUntil returns until when the server accepts nothing.
func (s *ServerState) BackoffUntil() time.Duration { return s.backoffUntil }

// CanSend reports whether a request may be sent now.
func (s *ServerState) CanSend(now time.Duration) bool {
	return !s.BackingOff(now) && s.Limit.CanSend(now)
}

// TrySend counts a request that is sent now; false if none may be sent.
func (s *ServerState) TrySend(now time.Duration) bool {
	return !s.BackingOff(now) && s.Limit.TrySend(now)
}

// AvailableIn returns the time until a request may be sent, as far as is known.
func (s *ServerState) AvailableIn(now time.Duration) time.Duration {
	return max(s.backoffUntil-now, s.Limit.AvailableIn(now))
}
