package server

import (
	"context"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
	"goldcrestseam.dev/goldcrestseam/internal/standin/answer"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

// now is the engine model's time.
func (s *Server) now() time.Duration { return s.config.virtual(time.Since(s.began)) }

func (s *Server) modelRequest(req engineapi.CompletionRequest) enginemodel.Request {
	kv, ok := s.kv[req.KVHandle]
	return enginemodel.Request{
		ID: newStreamKey(req).String(), Priority: req.Priority,
		PromptTokens: answer.EstimatePromptTokens(req.Prompt), OutputTokens: req.MaxTokens,
		GeneratedTokens: req.GeneratedTokens, Salt: req.CacheSalt,
		Prefix:      engineapi.PrefixChain(req.CacheSalt, req.Prompt),
		PrefillOnly: req.PrefillOnly, KVImported: ok && kv.covers(req),
	}
}

// runModel moves the engine's model on with real time.
func (s *Server) runModel(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.mu.Lock()
			s.advance()
			if s.events.due(now) {
				s.events.note(now, s.model.CacheEvents(0).Next)
			}
			s.forget(now)
			s.mu.Unlock()
		}
	}
}

// advance must be called with mu held; it gives the model's time.
func (s *Server) advance() time.Duration {
	now := s.now()
	for _, p := range s.model.Advance(now) {
		if st := s.running[p.ID]; st != nil {
			s.emit(st, p)
		}
	}
	return now
}

// emit must be called with mu held.
func (s *Server) emit(st *stream, p enginemodel.Progress) {
	if st.poison {
		s.dieOf(st.request)
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

// endStream must be called with mu held.
func (s *Server) endStream(st *stream, finish string, event journal.Event, order *engineapi.Order) {
	delete(s.running, st.key.String())
	if !st.end(finish) {
		return
	}
	s.ended[st.key] = time.Now()
	rec := requestRecord(event, st.request)
	rec.Offset, rec.Tokens = st.produced()
	rec.Order = order
	s.journal.Write(rec)
}

// forget drops streams that ended long ago. It must be called with mu held.
func (s *Server) forget(now time.Time) {
	for key, at := range s.ended {
		if now.Sub(at) > streamKeep {
			delete(s.streams, key)
			delete(s.ended, key)
		}
	}
}

// load must be called with mu held. Rates and ages are of real time.
func (s *Server) load() engineapi.Load {
	if s.config.Kind == engineapi.KindPlain {
		return engineapi.Load{Running: uint32(s.calls.Load())}
	}
	l := s.model.Load(s.now())
	l.PrefillRate *= s.config.TimeScale
	l.DecodeRate *= s.config.TimeScale
	l.AgeMS = uint32(float64(l.AgeMS) / s.config.TimeScale)
	return l
}
