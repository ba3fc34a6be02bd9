package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/speed"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// speeds is what this entry has seen of engines that report no rates, by role.
type speeds struct {
	// assumed is what counts before any answer.
	assumed  decision.EngineSpeed
	readings map[roleKey]*speed.PrefillModel
	// tokenTimes are for each token of the output that the caller expected, in seconds:
	// so they need no word on how many tokens one event of a stream holds.
	tokenTimes map[roleKey]*speed.Median
	// readTime is how long prompts take to be read, waits included, in seconds.
	readTime speed.Median
}

// pace is that part of the time in which prompts are read, within bounds.
func (s *speeds) pace(part float64, least, most time.Duration) time.Duration {
	usual := time.Duration(part * s.readTime.Value(0) * float64(time.Second))
	return min(most, max(least, usual))
}

func newSpeeds(assumed decision.EngineSpeed) speeds {
	return speeds{
		assumed: assumed, readings: make(map[roleKey]*speed.PrefillModel), tokenTimes: make(map[roleKey]*speed.Median),
	}
}

// prefillOnlyGain is how much faster an engine is assumed to prefill that does nothing
// else than one that decodes beside it: twice, by the engines' own description.
const prefillOnlyGain = 2

// learns tells whether anything is to be learned of the server: where no speed is
// assumed servers report theirs.
func (s *speeds) learns(of *server) bool {
	return s.assumed.PrefillRate > 0 && of.pb.Kind == pb.ServerKind_SERVER_KIND_MODEL && of.countsOnly()
}

func (s *speeds) reading(of *server) *speed.PrefillModel {
	key := roleOf(of.pb)
	known := s.readings[key]
	if known == nil {
		rate := s.assumed.PrefillRate
		if of.pb.Role == pb.EngineRole_ENGINE_ROLE_PREFILL {
			rate *= prefillOnlyGain
		}
		known = speed.NewPrefillModel(rate)
		s.readings[key] = known
	}
	return known
}

// tokenTime is the time of one token of a stream at such a server, in seconds.
func (s *speeds) tokenTime(of *server) float64 {
	known := s.tokenTimes[roleOf(of.pb)]
	if known == nil {
		return s.assumed.TokenTime.Seconds()
	}
	return known.Value(s.assumed.TokenTime.Seconds())
}

// hasRead notes that a request's prompt has been read by its server.
func (r *Reducer) hasRead(q *request) {
	if !q.reading {
		return
	}
	r.peers.read(q.prefiller().pb.Id, &q.work)
	r.noteReading(q)
	r.speeds.readTime.Observe((r.now - q.sentAt).Seconds())
	r.learnReading(q)
}

// learnReading learns from how long a prompt has taken by now.
func (r *Reducer) learnReading(q *request) {
	q.reading = false
	if s := q.prefiller(); r.speeds.learns(s) {
		r.speeds.reading(s).Observe(r.now, q.before+float64(q.unread), r.now-q.sentAt, &s.slowness)
		r.noteSlowness(s)
	}
}

const (
	// slowFrom and slowUntil are the factors between which a server that was logged as
	// slow, or as no longer slow, stays so: single answers move it by a twentieth.
	slowFrom  = 1.5
	slowUntil = 1.2
)

// noteSlowness writes a line when a server begins or ceases to read slower than others.
func (r *Reducer) noteSlowness(s *server) {
	factor := s.slowness.Value(r.now)
	turned := !s.slow && factor >= slowFrom
	recovered := s.slow && factor <= slowUntil
	if !turned && !recovered {
		return
	}
	s.slow = turned
	reason := "reads as fast as others again"
	if turned {
		reason = "reads slower than others"
	}
	r.emit(LogDecision{Kind: LogServer, Server: s.pb.Id, Reason: reason, Figures: []Figure{
		{Name: "slowness", Value: factor},
		{Name: "role_tokens_per_second", Value: r.speeds.reading(s).Rate()},
		{Name: "role_fixed_seconds", Value: r.speeds.reading(s).FixedSeconds()},
	}})
}

// learnEnded learns from an attempt that has ended. One whose prompt was not read in
// longer than was expected shows an engine that is slower than it was thought to be.
func (r *Reducer) learnEnded(q *request, ev AttemptEnded) {
	s := q.server
	if !r.speeds.learns(s) {
		return
	}
	if q.reading && ev.Outcome == outcome.Unknown && !ev.ServerDied && r.now-q.sentAt > q.expectedReading(r) {
		r.learnReading(q)
	}
	if ev.Complete && q.work.OutputTokens > 0 && ev.Tokens > 1 {
		r.speeds.learnTokens(s, ev.Decode.Seconds()/float64(q.work.OutputTokens))
	}
}

func (q *request) expectedReading(r *Reducer) time.Duration {
	reading := r.speeds.reading(q.prefiller())
	seconds := reading.FixedSeconds() + (q.before+float64(q.unread))/reading.Rate()
	return time.Duration(seconds * float64(time.Second))
}

func (s *speeds) learnTokens(of *server, seconds float64) {
	key := roleOf(of.pb)
	if s.tokenTimes[key] == nil {
		s.tokenTimes[key] = &speed.Median{}
	}
	s.tokenTimes[key].Observe(seconds)
}

// paceOf is how fast the engines of the work's pool were seen to work, the fastest role.
func (s *speeds) paceOf(servers []*server, w *decision.Work) decision.EngineSpeed {
	pace := w.EngineSpeed
	if pace.PrefillRate <= 0 {
		return pace
	}
	best := 0.0
	seen := make(map[roleKey]bool)
	for _, of := range servers {
		key := roleOf(of.pb)
		if of.pb.Kind != pb.ServerKind_SERVER_KIND_MODEL || of.pb.Model != w.Model || seen[key] || s.readings[key] == nil {
			continue
		}
		seen[key] = true
		best = max(best, s.readings[key].Rate())
	}
	if best > 0 {
		pace.PrefillRate = best
	}
	return pace
}
