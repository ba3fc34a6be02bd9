package enginemodel

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// sampleInterval is how often the engine samples its load.
const sampleInterval = 100 * time.Millisecond

// sample is the load at one point in time.
type sample struct {
	at   time.Duration
	load engineapi.Load
}

// sampleLoad records the load and drops samples that are too old to be reported any more.
func (e *Engine) sampleLoad() {
	if n := len(e.samples); n > 0 && e.now-e.samples[n-1].at < sampleInterval {
		return
	}
	e.samples = append(e.samples, sample{e.now, e.currentLoad()})
	expired := 0
	for expired+1 < len(e.samples) && e.samples[expired+1].at <= e.now-e.cfg.LoadLag {
		expired++
	}
	if expired > 0 {
		e.samples = append(e.samples[:0], e.samples[expired:]...)
	}
}

// Load returns the load that the engine reports: the newest sample that is at least as
// old as Config.LoadLag, else the oldest sample. The engine must have been advanced to now.
func (e *Engine) Load(now time.Duration) engineapi.Load {
	if len(e.samples) == 0 {
		return e.currentLoad()
	}
	reported := e.samples[0]
	for _, s := range e.samples {
		if s.at <= now-e.cfg.LoadLag {
			reported = s
		}
	}
	reported.load.AgeMS = uint32((now - reported.at) / time.Millisecond)
	return reported.load
}

// currentLoad returns the load without any lag.
func (e *Engine) currentLoad() engineapi.Load {
	load := engineapi.Load{CacheUsed: e.cache.usedRatio(), KVTokens: uint64(e.cfg.KVTokens)}
	prefilling, decoding := false, false
	for _, s := range e.streams {
		if s.running {
			load.Running++
		} else {
			load.Queued++
		}
		load.KVUsed += uint64(s.reservedKVTokens)
		load.QueuedPrefillTokens += uint64(max(0, s.prefillLeft))
		load.RunningDecodeTokens += uint64(max(0, s.targetTokens()-s.producedTokens))
		prefilling = prefilling || s.prefilling()
		decoding = decoding || s.decoding(e.now)
	}
	prefill, _ := e.relativeSpeeds(true, decoding)
	_, decode := e.relativeSpeeds(prefilling, true)
	load.PrefillRate = e.cfg.PrefillRate * prefill
	load.DecodeRate = e.cfg.FullDecodeRate() * decode
	return load
}
