package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/standin/answer"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

// maxBody bounds a completion request's body.
const maxBody = 8 << 20

// Finish reasons.
const (
	finishLength    = "length"
	finishPrefilled = "prefilled"
)

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var req engineapi.CompletionRequest
	body := http.MaxBytesReader(w, r.Body, maxBody)
	if err := json.NewDecoder(body).Decode(&req); err != nil || req.RequestID == "" || req.MaxTokens <= req.GeneratedTokens {
		http.Error(w, "not a completion request", http.StatusBadRequest)
		return
	}
	s.journal.Write(requestRecord(journal.Received, req))
	echo(w, req.RequestID, req.Attempt)
	st, state := s.start(req)
	if st == nil {
		rejected := requestRecord(journal.Rejected, req)
		rejected.Reason = string(state)
		s.journal.Write(rejected)
		s.notStarted(w, state, "the engine takes no new work")
		return
	}
	s.relay(r.Context(), w, st, req.GeneratedTokens)
}

// start puts the request into the batch; the same attempt again joins the
// stream that it has. It gives nil and the state when no new work is taken.
func (s *Server) start(req engineapi.CompletionRequest) (*stream, engineapi.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := newStream(req)
	if old, ok := s.streams[st.key]; ok {
		return old, s.state()
	}
	if state := s.state(); state != engineapi.StateServing {
		return nil, state
	}
	// Written with the lock held, so that no order begins in between.
	s.journal.Write(requestRecord(journal.Started, req))
	s.streams[st.key] = st
	s.batch.add(&task{
		stream: st, priority: req.Priority, decode: s.decodeTokens(req),
		prefill: s.prefillTokens(req) + 1,
	})
	return st, engineapi.StateServing
}

func (s *Server) decodeTokens(req engineapi.CompletionRequest) int {
	if req.PrefillOnly {
		return 1
	}
	return req.MaxTokens - req.GeneratedTokens
}

// prefillTokens is what is left to read after KV import and prefix cache.
func (s *Server) prefillTokens(req engineapi.CompletionRequest) float64 {
	text := req.Prompt + req.GeneratedText
	total := answer.PromptTokens(text)
	cached := s.cache.use(req.CacheSalt, text)
	if kv, ok := s.kv[req.KVHandle]; ok && kv.covers(req) {
		cached = max(cached, kv.Tokens)
	}
	return float64(max(total-cached, 0))
}

// runBatch moves the engine's model on with real time.
func (s *Server) runBatch(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			elapsed := time.Duration(float64(now.Sub(last)) * s.config.TimeScale)
			last = now
			s.step(now, elapsed)
		}
	}
}

func (s *Server) step(now time.Time, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.advance(elapsed, func(t *task, tokens int) { s.emit(now, t, tokens) })
	s.batch.drop(func(t *task) bool { return t.decode == 0 })
	s.sampleLoad(now)
	for key, at := range s.ended {
		if now.Sub(at) > streamKeep {
			delete(s.streams, key)
			delete(s.ended, key)
		}
	}
}

// emit must be called with mu held.
func (s *Server) emit(now time.Time, t *task, tokens int) {
	req := t.stream.request
	if hasFault(req.Prompt, faultPoison) {
		s.dieOf(req)
	}
	if hasFault(req.Prompt, faultHang) {
		t.decode += tokens
		return
	}
	t.stream.produce(tokens)
	if t.decode > 0 {
		return
	}
	finish := finishLength
	if req.PrefillOnly {
		finish = finishPrefilled
	}
	s.endStream(now, t.stream, finish, journal.Finished, "")
}

// endStream must be called with mu held.
func (s *Server) endStream(now time.Time, st *stream, finish string, event journal.Event, reason string) {
	if !st.end(finish) {
		return
	}
	s.ended[st.key] = now
	rec := requestRecord(event, st.request)
	rec.Offset, rec.Tokens = st.produced()
	rec.Reason = reason
	s.journal.Write(rec)
}

// resume goes on with a stream from an offset.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.ParseUint(r.URL.Query().Get("attempt"), 10, 32)
	from, err2 := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || err2 != nil || from < 0 {
		http.Error(w, "attempt and from must be numbers", http.StatusBadRequest)
		return
	}
	key := streamKey{requestID: r.PathValue("id"), attempt: uint32(attempt)}
	s.mu.Lock()
	st := s.streams[key]
	s.mu.Unlock()
	if st == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	echo(w, key.requestID, key.attempt)
	s.relay(r.Context(), w, st, from)
}

// cancel stops the attempts up to the one named.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var req engineapi.CancelRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&req); err != nil {
		http.Error(w, "not a cancel request", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.cutStreams("cancelled", func(k streamKey) bool {
		return k.requestID == req.RequestID && k.attempt <= req.Attempt
	})
	s.mu.Unlock()
	echo(w, req.RequestID, req.Attempt)
	w.WriteHeader(http.StatusNoContent)
}

// cutStreams ends the streams chosen without an end marker. It must be called
// with mu held.
func (s *Server) cutStreams(reason string, chosen func(streamKey) bool) {
	s.batch.drop(func(t *task) bool {
		if !chosen(t.stream.key) {
			return false
		}
		s.endStream(time.Now(), t.stream, "", journal.Cancelled, reason)
		return true
	})
}

// relay sends the stream from the offset on until it ends or the reader is gone.
func (s *Server) relay(ctx context.Context, w http.ResponseWriter, st *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, flush: http.NewResponseController(w), key: st.key, offset: from}
	time.Sleep(late(st.request.Prompt))
	heartbeat := time.NewTicker(heartbeatEvery)
	defer heartbeat.Stop()
	for {
		p := st.from(out.offset)
		if out.send(p) != nil {
			return
		}
		if p.ended {
			out.close(p.finish)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			if hasFault(st.request.Prompt, faultHang) {
				continue
			}
			if out.heartbeat() != nil {
				return
			}
		case <-p.changed:
		}
	}
}

// eventWriter writes chunks as server-sent events.
type eventWriter struct {
	w      http.ResponseWriter
	flush  *http.ResponseController
	key    streamKey
	offset int
}

func (e *eventWriter) send(p part) error {
	finish := ""
	if p.ended {
		finish = p.finish
	}
	if len(p.tokens) == 0 && finish == "" {
		return nil
	}
	chunk := engineapi.Chunk{
		Offset: e.offset, Tokens: len(p.tokens), Text: strings.Join(p.tokens, ""), FinishReason: finish,
	}
	e.offset += len(p.tokens)
	return e.write(chunk)
}

func (e *eventWriter) heartbeat() error {
	return e.write(engineapi.Chunk{Offset: e.offset, Heartbeat: true})
}

func (e *eventWriter) write(c engineapi.Chunk) error {
	c.RequestID, c.Attempt = e.key.requestID, e.key.attempt
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(e.w, "id: %d\ndata: %s\n\n", e.offset, data); err != nil {
		return err
	}
	return e.flush.Flush()
}

// close sends the end marker of a whole stream; a stream that was cut or
// cancelled ends without one, as when the engine lost it.
func (e *eventWriter) close(finish string) {
	if finish == "" {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(e.w, "data: %s\n\n", engineapi.DoneMarker)
	_ = e.flush.Flush()
}
