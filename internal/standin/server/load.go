package server

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// sampleEvery is how often the load is noted.
const sampleEvery = 20 * time.Millisecond

type loadSample struct {
	at   time.Time
	load engineapi.Load
}

// sampleLoad must be called with mu held.
func (s *Server) sampleLoad(now time.Time) {
	if n := len(s.loads); n > 0 && now.Sub(s.loads[n-1].at) < sampleEvery {
		return
	}
	s.loads = append(s.loads, loadSample{at: now, load: s.currentLoad()})
	// The oldest sample that is kept is the one that is reported.
	for len(s.loads) > 1 && now.Sub(s.loads[1].at) >= s.config.LoadLag {
		s.loads = slices.Delete(s.loads, 0, 1)
	}
}

func (s *Server) currentLoad() engineapi.Load {
	running := len(s.batch.running())
	decode := 0
	for _, t := range s.batch.running() {
		decode += t.decode
	}
	perSecond := s.config.TimeScale / s.config.TokenTime.Seconds()
	return engineapi.Load{
		Running: uint32(running), Queued: uint32(len(s.batch.tasks) - running),
		QueuedPrefillTokens: uint64(s.batch.queuedPrefill()), RunningDecodeTokens: uint64(decode),
		PrefillRate: s.config.PrefillRate * s.config.TimeScale,
		DecodeRate:  perSecond * float64(s.config.Slots), CacheUsed: s.cache.share(),
	}
}

// laggedLoad must be called with mu held. It gives the load of LoadLag ago.
func (s *Server) laggedLoad() engineapi.Load {
	if len(s.loads) == 0 {
		return engineapi.Load{Running: uint32(s.calls.Load())}
	}
	sample := s.loads[0]
	sample.load.AgeMS = uint32(time.Since(sample.at).Milliseconds())
	return sample.load
}
