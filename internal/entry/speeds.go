package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/speed"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// speeds holds the speeds that this entry has observed of engines that report no rates, by role.
type speeds struct {
	// assumed applies until there are observations.
	assumed          decision.EngineSpeed
	prefillEstimates map[roleKey]*speed.PrefillModel
	// tokenTimes are in seconds for each output token that the caller expected, so that they do
	// not depend on how many tokens one event of a stream contains.
	tokenTimes map[roleKey]*speed.Median
	// prefillTime is how long prompts take from dispatch to the end of their prefill, including
	// the queue wait, in seconds.
	prefillTime speed.Median
}

// prefillTimeFraction is a fraction of the median prefill time, within bounds.
func (s *speeds) prefillTimeFraction(fraction float64, lower, upper time.Duration) time.Duration {
	estimate := time.Duration(fraction * s.prefillTime.Value(0) * float64(time.Second))
	return min(upper, max(lower, estimate))
}

func newSpeeds(assumed decision.EngineSpeed) speeds {
	return speeds{
		assumed: assumed, prefillEstimates: make(map[roleKey]*speed.PrefillModel), tokenTimes: make(map[roleKey]*speed.Median),
	}
}

// prefillOnlyGain is how much faster an engine that only prefills is assumed to be than one that
// also decodes. The factor is from the engines' documentation.
const prefillOnlyGain = 2

// learnsFrom reports whether speeds are learned from the server. Without an assumed speed, servers
// report their own rates.
func (s *speeds) learnsFrom(srv *server) bool {
	return s.assumed.PrefillRate > 0 && srv.pb.Kind == pb.ServerKind_SERVER_KIND_MODEL && srv.reportsCountsOnly()
}

func (s *speeds) prefillEstimate(srv *server) *speed.PrefillModel {
	key := roleOf(srv.pb)
	known := s.prefillEstimates[key]
	if known == nil {
		rate := s.assumed.PrefillRate
		if srv.pb.Role == pb.EngineRole_ENGINE_ROLE_PREFILL {
			rate *= prefillOnlyGain
		}
		known = speed.NewPrefillModel(rate)
		s.prefillEstimates[key] = known
	}
	return known
}

// tokenTime is the time of one token of a stream at such a server, in seconds.
func (s *speeds) tokenTime(srv *server) float64 {
	known := s.tokenTimes[roleOf(srv.pb)]
	if known == nil {
		return s.assumed.TokenTime.Seconds()
	}
	return known.Value(s.assumed.TokenTime.Seconds())
}

// prefillFinished records that a server has prefilled a request's prompt.
func (r *Reducer) prefillFinished(q *request) {
	if !q.prefilling {
		return
	}
	r.peers.recordPrefill(q.prefiller().pb.Id, &q.work)
	r.countPrefillChange(q)
	r.speeds.prefillTime.Observe((r.now - q.sentAt).Seconds())
	r.learnPrefill(q)
}

// learnPrefill learns from the time that a prefill has taken so far.
func (r *Reducer) learnPrefill(q *request) {
	q.prefilling = false
	if s := q.prefiller(); r.speeds.learnsFrom(s) {
		r.speeds.prefillEstimate(s).Observe(r.now, q.tokensAhead+float64(q.prefillTokens), r.now-q.sentAt, &s.slowness)
		r.logSlowness(s)
	}
}

const (
	// A server is logged as slow at slowThreshold and as recovered at recoveredThreshold. The
	// gap between them keeps single responses, which change the factor by a twentieth, from
	// toggling the state.
	slowThreshold      = 1.5
	recoveredThreshold = 1.2
)

// logSlowness logs when a server starts or stops prefilling more slowly than others.
func (r *Reducer) logSlowness(s *server) {
	factor := s.slowness.Value(r.now)
	becameSlow := !s.slow && factor >= slowThreshold
	recovered := s.slow && factor <= recoveredThreshold
	if !becameSlow && !recovered {
		return
	}
	s.slow = becameSlow
	reason := "prefills as fast as others of its role again"
	if becameSlow {
		reason = "prefills slower than others of its role"
	}
	r.emit(LogDecision{Kind: LogServer, Server: s.pb.Id, Reason: reason, Figures: []Figure{
		{Name: "slowness", Value: factor},
		{Name: "role_tokens_per_second", Value: r.speeds.prefillEstimate(s).Rate()},
		{Name: "role_fixed_seconds", Value: r.speeds.prefillEstimate(s).FixedSeconds()},
	}})
}

// learnFromAttempt learns from an ended attempt. If its prompt was not prefilled within the
// expected time, the engine is slower than estimated.
func (r *Reducer) learnFromAttempt(q *request, ev AttemptEnded) {
	s := q.server
	if !r.speeds.learnsFrom(s) {
		return
	}
	if q.prefilling && ev.Outcome == outcome.Unknown && !ev.ServerDied && r.now-q.sentAt > q.expectedPrefill(r) {
		r.learnPrefill(q)
	}
	if ev.Complete && q.work.OutputTokens > 0 && ev.Tokens > 1 {
		r.speeds.learnTokenTime(s, ev.Decode.Seconds()/float64(q.work.OutputTokens))
	}
}

func (q *request) expectedPrefill(r *Reducer) time.Duration {
	estimate := r.speeds.prefillEstimate(q.prefiller())
	seconds := estimate.FixedSeconds() + (q.tokensAhead+float64(q.prefillTokens))/estimate.Rate()
	return time.Duration(seconds * float64(time.Second))
}

func (s *speeds) learnTokenTime(srv *server, seconds float64) {
	key := roleOf(srv.pb)
	if s.tokenTimes[key] == nil {
		s.tokenTimes[key] = &speed.Median{}
	}
	s.tokenTimes[key].Observe(seconds)
}

// fastestSpeed is the observed speed of the engines that serve the work's model, that of the
// fastest role.
func (s *speeds) fastestSpeed(servers []*server, w *decision.Work) decision.EngineSpeed {
	fastest := w.EngineSpeed
	if fastest.PrefillRate <= 0 {
		return fastest
	}
	best := 0.0
	seen := make(map[roleKey]bool)
	for _, srv := range servers {
		key := roleOf(srv.pb)
		if srv.pb.Kind != pb.ServerKind_SERVER_KIND_MODEL || srv.pb.Model != w.Model || seen[key] || s.prefillEstimates[key] == nil {
			continue
		}
		seen[key] = true
		best = max(best, s.prefillEstimates[key].Rate())
	}
	if best > 0 {
		fastest.PrefillRate = best
	}
	return fastest
}
