package server

import (
	"context"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
	"goldcrestseam.dev/goldcrestseam/internal/standin/answer"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

// modelTime returns the current virtual time of the engine model.
func (s *Server) modelTime() time.Duration { return s.config.virtualDuration(time.Since(s.startedAt)) }

func (s *Server) modelRequest(req engineapi.CompletionRequest) enginemodel.Request {
	kv, ok := s.importedKV[req.KVHandle]
	return enginemodel.Request{
		ID: newStreamKey(req).String(), Priority: req.Priority,
		PromptTokens: answer.EstimatePromptTokens(req.Prompt), OutputTokens: req.MaxTokens,
		GeneratedTokens: req.GeneratedTokens, Salt: req.CacheSalt,
		Prefix:      engineapi.PrefixChain(req.CacheSalt, req.Prompt),
		PrefillOnly: req.PrefillOnly, KVImported: ok && kv.matches(req),
	}
}

// runModel advances the engine model with real time until ctx ends.
func (s *Server) runModel(ctx context.Context) {
	ticker := time.NewTicker(modelTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.mu.Lock()
			s.advance()
			if s.eventTimeline.sampleDue(now) {
				s.eventTimeline.addSample(now, s.model.CacheEvents(0).Next)
			}
			s.dropExpiredStreams(now)
			s.mu.Unlock()
		}
	}
}

// advance moves the engine model to the current time, applies its progress to the
// streams and returns the virtual time. The caller must hold mu.
func (s *Server) advance() time.Duration {
	now := s.modelTime()
	for _, p := range s.model.Advance(now) {
		if st := s.runningStreams[p.ID]; st != nil {
			s.applyProgress(st, p)
		}
	}
	return now
}

// applyProgress adds the tokens that the engine model produced to the stream and
// ends a finished stream. The caller must hold mu.
func (s *Server) applyProgress(st *stream, p enginemodel.Progress) {
	if st.crashes {
		s.crash(st.request)
	}
	if st.hangs {
		return
	}
	st.produce(p.Tokens)
	if !p.Finished {
		return
	}
	finish := finishLength
	if st.request.PrefillOnly {
		finish = finishPrefilled
	}
	s.endStream(st, finish, journal.RequestFinished, nil)
}

// endStream ends the stream and writes the event to the journal; it records a
// stream's end only once. The caller must hold mu.
func (s *Server) endStream(st *stream, finish string, event journal.Event, order *engineapi.Order) {
	delete(s.runningStreams, st.key.String())
	if !st.end(finish) {
		return
	}
	s.endedAt[st.key] = time.Now()
	rec := requestRecord(event, st.request)
	rec.Offset, rec.Tokens = st.produced()
	rec.Order = order
	s.journal.Write(rec)
}

// dropExpiredStreams drops streams that ended more than streamRetention ago. The
// caller must hold mu.
func (s *Server) dropExpiredStreams(now time.Time) {
	for key, at := range s.endedAt {
		if now.Sub(at) > streamRetention {
			delete(s.streams, key)
			delete(s.endedAt, key)
		}
	}
}

// load returns the load report, with rates and age converted to real time. The
// caller must hold mu.
func (s *Server) load() engineapi.Load {
	if s.config.Kind == engineapi.KindPlain {
		return engineapi.Load{Running: uint32(s.activeCalls.Load())}
	}
	l := s.model.Load(s.modelTime())
	l.PrefillRate *= s.config.TimeScale
	l.DecodeRate *= s.config.TimeScale
	l.AgeMS = uint32(float64(l.AgeMS) / s.config.TimeScale)
	return l
}
