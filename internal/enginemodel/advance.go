package enginemodel

import "time"

// pace is what goes on now and how fast.
type pace struct {
	prefill *stream // the one that prefills, nil for none
	rate    float64 // its tokens/s
	streams int     // that decode
	step    float64 // seconds per token of each
}

func (e *Engine) pace() pace {
	var p pace
	for _, s := range e.order {
		if s.prefilling() && p.prefill == nil {
			p.prefill = s
		}
		if s.decoding(e.now) {
			p.streams++
		}
	}
	prefill, decode := e.speeds(p.prefill != nil, p.streams > 0)
	p.rate = e.cfg.PrefillRate * prefill
	full := e.cfg.StepBase + time.Duration(p.streams)*e.cfg.StepPerStream
	p.step = full.Seconds() / decode
	return p
}

// speeds are the parts of the full rates that the engine does now.
func (e *Engine) speeds(prefilling, decoding bool) (prefill, decode float64) {
	s := speedsOf(e.role)
	prefill, decode = s.prefillAlone, s.decodeAlone
	if prefilling && decoding {
		prefill, decode = s.prefillBoth, s.decodeBoth
	}
	return prefill / e.cfg.Slowdown, decode / e.cfg.Slowdown
}

// NextEventAt is when the engine's state changes next of itself: a prefill, a
// stream, an import or a change of role ends. Never when nothing goes on.
func (e *Engine) NextEventAt() time.Duration { return e.nextEventAt(e.pace()) }

// NextTokenAt is when the next token comes of those streams that decode now, or
// NextEventAt when that is earlier.
func (e *Engine) NextTokenAt() time.Duration {
	p := e.pace()
	next := e.nextEventAt(p)
	for _, s := range e.order {
		if s.decoding(e.now) {
			missing := float64(int(s.produced+tiny)+1) - s.produced
			next = min(next, e.after(missing*p.step))
		}
	}
	return next
}

func (e *Engine) nextEventAt(p pace) time.Duration {
	next := Never
	if e.ChangingRole() {
		next = e.done
	}
	if p.prefill != nil {
		next = min(next, e.after(p.prefill.prefill/p.rate))
	}
	for _, s := range e.order {
		switch {
		case s.running && s.imported && s.importing > e.now:
			next = min(next, s.importing)
		case s.decoding(e.now):
			next = min(next, e.after((s.target()-s.produced)*p.step))
		}
	}
	return next
}

// after is the time in secs from now, rounded up so that what takes it is done.
func (e *Engine) after(secs float64) time.Duration { return e.now + seconds(secs) + 1 }

// Advance lets time pass up to now and gives what was produced, in the order in
// which requests run. The result is valid until the next call.
func (e *Engine) Advance(now time.Duration) []Progress {
	e.out = e.out[:0]
	for e.now < now {
		p := e.pace()
		until := min(now, max(e.nextEventAt(p), e.now+1))
		e.progress(p, until)
		e.settle()
	}
	for _, s := range e.order {
		e.tell(s, false)
	}
	e.observe()
	return e.out
}

// progress moves all running requests from e.now to until.
func (e *Engine) progress(p pace, until time.Duration) {
	dt := (until - e.now).Seconds()
	for _, s := range e.order {
		if s.decoding(e.now) {
			e.decode(s, dt, p.step)
		}
	}
	if p.prefill != nil {
		p.prefill.prefill -= dt * p.rate
	}
	e.now = until
}

func (e *Engine) decode(s *stream, dt, step float64) {
	if s.firstAt == 0 && s.produced+dt/step >= 1-tiny {
		s.firstAt = e.now + seconds(max(0, 1-s.produced)*step)
	}
	s.produced = min(s.target(), s.produced+dt/step)
}

// settle takes in what ended at e.now.
func (e *Engine) settle() {
	if e.ChangingRole() && e.now >= e.done {
		e.role, e.next = e.next, ""
		e.cache = newCache(e.cfg.CacheTokens, e.cfg.RecordCacheEvents)
	}
	for i := 0; i < len(e.order); i++ {
		s := e.order[i]
		if s.running && !s.imported && s.firstAt == 0 && s.prefill <= tiny {
			s.firstAt = e.now
			s.produced = 1
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
		e.exports[s.req.ID] = s.req.PromptTokens + s.req.GeneratedTokens + 1
	}
	e.tell(s, true)
	e.remove(s)
	e.fill()
}

// tell notes what a request produced since it was told last.
func (e *Engine) tell(s *stream, finished bool) {
	produced := int(s.produced + tiny)
	if produced == s.reported && !finished {
		return
	}
	e.out = append(e.out, Progress{
		ID: s.req.ID, Tokens: produced - s.reported, Finished: finished,
		FirstTokenAt: s.firstAt, LastTokenAt: e.now,
	})
	s.reported = produced
}
