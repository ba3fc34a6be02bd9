package backpressure

// State is what one entry knows of what one life of a server wants.
type State struct {
	Limit Limit
	// Unclear is the last part of its word that could not be read.
	Unclear string
}

// Bounded tells whether the server takes less than it has places for.
func (s *State) Bounded() bool { return s.Limit.Rate() > 0 }

// Known tells whether the server has said anything that counts on for its life.
func (s *State) Known() bool { return s.Limit.HeardAt() > 0 }
