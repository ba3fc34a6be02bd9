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
	s.journal.Write(requestRecord(journal.RequestReceived, req))
	echo(w, req.RequestID, req.Attempt)
	st, state := s.start(req)
	if st == nil {
		rejected := requestRecord(journal.RequestRejected, req)
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
	now := s.advance()
	if err := s.model.Submit(now, s.modelRequest(req)); err != nil {
		return nil, s.state()
	}
	// Written with the lock held, so that no order begins in between.
	s.journal.Write(requestRecord(journal.RequestStarted, req))
	s.streams[st.key], s.running[st.key.String()] = st, st
	return st, engineapi.StateServing
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
	s.advance()
	s.cutStreams(nil, func(k streamKey) bool {
		return k.requestID == req.RequestID && k.attempt <= req.Attempt
	})
	s.mu.Unlock()
	echo(w, req.RequestID, req.Attempt)
	w.WriteHeader(http.StatusNoContent)
}

// cutStreams ends the streams chosen without an end marker. It must be called
// with mu held. order is what cuts them, nil for a cancel.
func (s *Server) cutStreams(order *engineapi.Order, chosen func(streamKey) bool) {
	for id, st := range s.running {
		if chosen(st.key) {
			s.model.Cancel(id)
			s.endStream(st, "", journal.RequestCancelled, order)
		}
	}
}

// relay sends the stream from the offset on until it ends or the reader is gone.
func (s *Server) relay(ctx context.Context, w http.ResponseWriter, st *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, flush: http.NewResponseController(w), key: st.key, offset: from}
	// The head goes out at once, as engines send it when a request is accepted.
	if out.flush.Flush() != nil {
		return
	}
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
			if st.hangs {
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
