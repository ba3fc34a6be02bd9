package enginemodel

import "time"

// activity is the work in progress and its speed.
type activity struct {
	prefill       *stream // the stream in prefill, nil if there is none
	prefillRate   float64 // tokens/s
	decodeStreams int
	stepSeconds   float64 // seconds per token of each decoding stream
}

func (e *Engine) activity() activity {
	var current activity
	for _, s := range e.streams {
		if s.prefilling() && current.prefill == nil {
			current.prefill = s
		}
		if s.decoding(e.now) {
			current.decodeStreams++
		}
	}
	prefill, decode := e.relativeSpeeds(current.prefill != nil, current.decodeStreams > 0)
	current.prefillRate = e.cfg.PrefillRate * prefill
	fullSpeedStep := e.cfg.StepBase + time.Duration(current.decodeStreams)*e.cfg.StepPerStream
	current.stepSeconds = fullSpeedStep.Seconds() / decode
	return current
}

// relativeSpeeds returns the fractions of the full rates at which the engine works, given
// whether prefill and decode run.
func (e *Engine) relativeSpeeds(prefilling, decoding bool) (prefill, decode float64) {
	s := speedsOfRole(e.role)
	prefill, decode = s.prefillAlone, s.decodeAlone
	if prefilling && decoding {
		prefill, decode = s.prefillConcurrent, s.decodeConcurrent
	}
	return prefill / e.cfg.Slowdown, decode / e.cfg.Slowdown
}

// NextEventAt returns when the engine's state will next change by itself, that is, when a
// prefill, a stream, an import or a role change ends. It returns Never if the engine is
// idle.
func (e *Engine) NextEventAt() time.Duration { return e.nextEventAt(e.activity()) }

// NextTokenAt returns when one of the decoding streams will produce its next token, or
// NextEventAt if that is earlier.
func (e *Engine) NextTokenAt() time.Duration {
	current := e.activity()
	next := e.nextEventAt(current)
	for _, s := range e.streams {
		if s.decoding(e.now) {
			missing := float64(int(s.producedTokens+tokenEpsilon)+1) - s.producedTokens
			next = min(next, e.timeAfter(missing*current.stepSeconds))
		}
	}
	return next
}

func (e *Engine) nextEventAt(current activity) time.Duration {
	next := Never
	if e.ChangingRole() {
		next = e.roleChangeEnd
	}
	if current.prefill != nil {
		next = min(next, e.timeAfter(current.prefill.prefillLeft/current.prefillRate))
	}
	for _, s := range e.streams {
		switch {
		case s.running && s.imported && s.importEnd > e.now:
			next = min(next, s.importEnd)
		case s.decoding(e.now):
			next = min(next, e.timeAfter((s.targetTokens()-s.producedTokens)*current.stepSeconds))
		}
	}
	return next
}

// timeAfter returns the time after the delay, rounded up so that work of that duration is
// complete by then.
func (e *Engine) timeAfter(delaySeconds float64) time.Duration {
	return e.now + seconds(delaySeconds) + 1
}

// Advance simulates the engine up to now and returns what requests have produced, in the
// order in which they run. The result is valid until the next call.
func (e *Engine) Advance(now time.Duration) []Progress {
	e.progress = e.progress[:0]
	for e.now < now {
		current := e.activity()
		until := min(now, max(e.nextEventAt(current), e.now+1))
		e.advanceStreams(current, until)
		e.completeDue()
	}
	for _, s := range e.streams {
		e.reportProgress(s, false)
	}
	e.sampleLoad()
	return e.progress
}

// advanceStreams advances all running requests from e.now to until.
func (e *Engine) advanceStreams(current activity, until time.Duration) {
	dt := (until - e.now).Seconds()
	for _, s := range e.streams {
		if s.decoding(e.now) {
			e.decode(s, dt, current.stepSeconds)
		}
	}
	if current.prefill != nil {
		current.prefill.prefillLeft -= dt * current.prefillRate
	}
	e.now = until
}

func (e *Engine) decode(s *stream, dt, step float64) {
	if s.firstTokenAt == 0 && s.producedTokens+dt/step >= 1-tokenEpsilon {
		s.firstTokenAt = e.now + seconds(max(0, 1-s.producedTokens)*step)
	}
	s.producedTokens = min(s.targetTokens(), s.producedTokens+dt/step)
}

// completeDue completes the role change, prefills and streams that are due at e.now.
func (e *Engine) completeDue() {
	if e.ChangingRole() && e.now >= e.roleChangeEnd {
		e.role, e.nextRole = e.nextRole, ""
		e.cache = newCache(e.cfg.CacheTokens, e.cfg.RecordCacheEvents)
	}
	for i := 0; i < len(e.streams); i++ {
		s := e.streams[i]
		if s.running && !s.imported && s.firstTokenAt == 0 && s.prefillLeft <= tokenEpsilon {
			s.firstTokenAt = e.now
			s.producedTokens = 1
			e.cache.store(s.req.Salt, s.req.Prefix)
		}
		if s.done() {
			e.finish(s)
			i--
		}
	}
}

func (e *Engine) finish(s *stream) {
	if s.req.PrefillOnly {
		e.exportableKVTokens[s.req.ID] = s.req.PromptTokens + s.req.GeneratedTokens + 1
	}
	e.reportProgress(s, true)
	e.remove(s)
	e.assignSlots()
}

// reportProgress records what a request has produced since its last report.
func (e *Engine) reportProgress(s *stream, finished bool) {
	producedTokens := int(s.producedTokens + tokenEpsilon)
	if producedTokens == s.reportedTokens && !finished {
		return
	}
	e.progress = append(e.progress, Progress{
		ID: s.req.ID, Tokens: producedTokens - s.reportedTokens, Finished: finished,
		FirstTokenAt: s.firstTokenAt, LastTokenAt: e.now,
	})
	s.reportedTokens = producedTokens
}
