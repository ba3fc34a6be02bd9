package enginemodel

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// sampleEvery is how often the engine looks at its own load.
const sampleEvery = 100 * time.Millisecond

// sample is the load at one time.
type sample struct {
	at   time.Duration
	load engineapi.Load
}

// observe keeps samples that are young enough to be told once the lag is over.
func (e *Engine) observe() {
	if n := len(e.samples); n > 0 && e.now-e.samples[n-1].at < sampleEvery {
		return
	}
	e.samples = append(e.samples, sample{e.now, e.current()})
	old := 0
	for old+1 < len(e.samples) && e.samples[old+1].at <= e.now-e.cfg.LoadLag {
		old++
	}
	if old > 0 {
		e.samples = append(e.samples[:0], e.samples[old:]...)
	}
}

// Load is what the engine says of itself: the newest sample that is at least as
// old as the lag, or the oldest there is. Time must have been advanced to now.
func (e *Engine) Load(now time.Duration) engineapi.Load {
	if len(e.samples) == 0 {
		return e.current()
	}
	told := e.samples[0]
	for _, s := range e.samples {
		if s.at <= now-e.cfg.LoadLag {
			told = s
		}
	}
	told.load.AgeMS = uint32((now - told.at) / time.Millisecond)
	return told.load
}

// current is the load right now.
func (e *Engine) current() engineapi.Load {
	load := engineapi.Load{CacheUsed: e.cache.used(), KVTokens: uint64(e.cfg.KVTokens)}
	prefilling, decoding := false, false
	for _, s := range e.order {
		if s.running {
			load.Running++
		} else {
			load.Queued++
		}
		load.KVUsed += uint64(s.kv)
		load.QueuedPrefillTokens += uint64(max(0, s.prefill))
		load.RunningDecodeTokens += uint64(max(0, s.target()-s.produced))
		prefilling = prefilling || s.prefilling()
		decoding = decoding || s.decoding(e.now)
	}
	prefill, _ := e.speeds(true, decoding)
	_, decode := e.speeds(prefilling, true)
	load.PrefillRate = e.cfg.PrefillRate * prefill
	load.DecodeRate = e.cfg.FullDecodeRate() * decode
	return load
}
