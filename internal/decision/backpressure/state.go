package backpressure

import "time"

// State is what one entry knows of what one life of a server wants.
type State struct {
	Limit Limit
	// Leaving is set for good once it has said that it leaves.
	Leaving bool
	// Unclear is the last part of its word that could not be read.
	Unclear string
	// restUntil is until when it wants nothing from this entry.
	restUntil time.Duration
}

// Bounded tells whether the server takes less than it has places for.
func (s *State) Bounded(now time.Duration) bool { return s.Limit.Rate() > 0 || s.Resting(now) }

// Known tells whether the server has said anything that counts on for its life.
func (s *State) Known() bool { return s.Limit.HeardAt() > 0 || s.restUntil > 0 || s.Leaving }

// Rest takes the server's word that it wants nothing for so long. A longer time that it has asked
// for before holds on: it is over when it is, or with the server's life.
func (s *State) Rest(now, rest time.Duration) { s.restUntil = max(s.restUntil, now+rest) }

// Resting tells whether the server wants nothing now.
func (s *State) Resting(now time.Duration) bool { return now < s.restUntil }

// RestUntil is until when it wants nothing.
func (s *State) RestUntil() time.Duration { return s.restUntil }

// Open tells whether a request may be sent now.
func (s *State) Open(now time.Duration) bool { return !s.Resting(now) && s.Limit.Open(now) }

// Take counts a request that is sent now; false if it may not be.
func (s *State) Take(now time.Duration) bool { return !s.Resting(now) && s.Limit.Take(now) }

// OpensIn is how long it takes until a request may be sent, as far as is known.
func (s *State) OpensIn(now time.Duration) time.Duration {
	return max(s.restUntil-now, s.Limit.OpensIn(now))
}
