package decision

import (
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Rates that are assumed of a server that has not reported any yet, in tokens/s:
// a mixed engine's of internal/enginemodel, the lowest of the three roles.
const (
	AssumedPrefillRate = 5000
	AssumedDecodeRate  = 450
)

// readingShare is the part of the others' running requests at an engine that also
// decodes that is still being read: a question's reading takes a tenth of its time
// there, a dossier's a third.
const readingShare = 0.2

// PrefillTokensAhead is the tokens that are read before new work at a server that reports counts
// only.
func (s *Server) PrefillTokensAhead(w *Work) float64 {
	reading := s.EstimatedPeerWaiting + readingShare*s.EstimatedPeerRunning
	if s.Role == engineapi.RolePrefill {
		reading = s.EstimatedPeerRunning + s.EstimatedPeerWaiting
	}
	unknown := (1 - s.PeerCoverage) * reading * s.MeanPrefillTokens
	if w.Class != declaration.ClassBulk {
		unknown *= begunShare
	}
	return unknown + s.PeerBacklog.PrefillBacklog.Ahead(w.Rank) + s.InFlight.PrefillBacklog.Ahead(w.Rank)
}

// PeerRequests is how many requests of other entries run or wait there.
func (s *Server) PeerRequests() float64 { return float64(s.PeerBacklog.Requests) + s.unknown() }

// PeerKVTokens is what those requests hold in memory there, in tokens.
func (s *Server) PeerKVTokens() float64 {
	return float64(s.PeerBacklog.KVTokens) + s.unknown()*s.MeanKVTokens
}

// unknown is the estimate for the entries that have reported nothing.
func (s *Server) unknown() float64 {
	return (1 - s.PeerCoverage) * (s.EstimatedPeerRunning + s.EstimatedPeerWaiting)
}

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
