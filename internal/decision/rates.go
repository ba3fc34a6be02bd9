package decision

import "goldcrestseam.dev/goldcrestseam/internal/engineapi"

// Rates that are assumed of a server that has not reported any yet, in tokens/s:
// a mixed engine's of internal/enginemodel, the lowest of the three roles.
const (
	AssumedPrefillRate = 5000
	AssumedDecodeRate  = 450
)

// PrefillRate is the tokens/s that the server can prefill in its role.
func (s *Server) PrefillRate() float64 {
	if s.Role == engineapi.RoleDecode {
		return 0
	}
	if s.Load.PrefillRate <= 0 {
		return AssumedPrefillRate
	}
	return s.Load.PrefillRate
}

// DecodeRate is the tokens/s that the server can decode in its role with all
// slots in use.
func (s *Server) DecodeRate() float64 {
	if s.Role == engineapi.RolePrefill {
		return 0
	}
	if s.Load.DecodeRate <= 0 {
		return AssumedDecodeRate
	}
	return s.Load.DecodeRate
}
