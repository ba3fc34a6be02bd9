package decision

import (
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Rates that are assumed for a server that has not reported any, in tokens per second: those
// of a mixed engine in internal/enginemodel, the lowest of the three roles.
const (
	AssumedPrefillRate = 5000
	AssumedDecodeRate  = 450
)

// prefillingShare is the fraction of the other entries' running requests that are still in
// prefill, at an engine that also decodes. Prefill takes a tenth of a short request's time
// there and a third of a long one's.
const prefillingShare = 0.2

// PrefillTokensAhead returns the tokens that are prefilled before a new request, at a server
// that reports only counts.
func (s *Server) PrefillTokensAhead(w *Work) float64 {
	prefilling := s.EstimatedPeerWaiting + prefillingShare*s.EstimatedPeerRunning
	if s.Role == engineapi.RolePrefill {
		prefilling = s.EstimatedPeerRunning + s.EstimatedPeerWaiting
	}
	unreported := (1 - s.PeerCoverage) * prefilling * s.MeanPrefillTokens
	if w.Class != declaration.ClassBulk {
		unreported *= startedShare
	}
	return unreported + s.PeerBacklog.PrefillBacklog.Ahead(w.Rank) + s.InFlight.PrefillBacklog.Ahead(w.Rank)
}

// PeerRequests returns the number of requests of other entries that run or wait at the
// server.
func (s *Server) PeerRequests() float64 {
	return float64(s.PeerBacklog.Requests) + s.unreportedRequests()
}

// PeerKVTokens returns the KV cache that other entries' requests hold at the server, in
// tokens.
func (s *Server) PeerKVTokens() float64 {
	return float64(s.PeerBacklog.KVTokens) + s.unreportedRequests()*s.MeanKVTokens
}

// unreportedRequests estimates the requests of the entries that have not reported.
func (s *Server) unreportedRequests() float64 {
	return (1 - s.PeerCoverage) * (s.EstimatedPeerRunning + s.EstimatedPeerWaiting)
}

// PrefillRate returns the tokens per second that the server can prefill in its role.
func (s *Server) PrefillRate() float64 {
	if s.Role == engineapi.RoleDecode {
		return 0
	}
	if s.Load.PrefillRate <= 0 {
		return AssumedPrefillRate
	}
	return s.Load.PrefillRate
}

// DecodeRate returns the tokens per second that the server can decode in its role with all
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
