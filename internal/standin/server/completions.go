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

// maxBody bounds a request body in bytes.
const maxBody = 8 << 20

// Finish reasons.
const (
	finishLength    = "length"
	finishPrefilled = "prefilled"
)

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var req engineapi.CompletionRequest
	body := http.MaxBytesReader(w, r.Body, maxBody)
	if err := json.NewDecoder(body).Decode(&req); err != nil || req.RequestID == "" || req.MaxTokens <= req.GeneratedTokens {
		http.Error(w, "not a completion request", http.StatusBadRequest)
		return
	}
	s.journal.Write(requestRecord(journal.RequestReceived, req))
	setRequestHeaders(w, req.RequestID, req.Attempt)
	st, state := s.startStream(req)
	if st == nil {
		rejected := requestRecord(journal.RequestRejected, req)
		rejected.Reason = string(state)
		s.journal.Write(rejected)
		s.writeNotStarted(w, state, "the engine takes no new work")
		return
	}
	s.writeStream(r.Context(), w, st, req.GeneratedTokens)
}

// startStream submits the request to the engine model. A repeated attempt gets
// the stream that exists for it. It returns nil and the state if the server
// accepts no new work.
func (s *Server) startStream(req engineapi.CompletionRequest) (*stream, engineapi.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := newStream(req)
	if existing, ok := s.streams[st.key]; ok {
		return existing, s.state()
	}
	if state := s.state(); state != engineapi.StateServing {
		return nil, state
	}
	now := s.advance()
	if err := s.model.Submit(now, s.modelRequest(req)); err != nil {
		return nil, s.state()
	}
	// Written with the lock held, so that no order starts before the record is
	// in the journal.
	s.journal.Write(requestRecord(journal.RequestStarted, req))
	s.streams[st.key], s.runningStreams[st.key.String()] = st, st
	return st, engineapi.StateServing
}

// handleResume continues a stream from an offset.
func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.ParseUint(r.URL.Query().Get("attempt"), 10, 32)
	from, fromErr := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || fromErr != nil || from < 0 {
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
	setRequestHeaders(w, key.requestID, key.attempt)
	s.writeStream(r.Context(), w, st, from)
}

// handleCancel cancels the named attempt of a request and all earlier ones.
func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	var req engineapi.CancelRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&req); err != nil {
		http.Error(w, "not a cancel request", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.advance()
	s.abortStreams(nil, func(k streamKey) bool {
		return k.requestID == req.RequestID && k.attempt <= req.Attempt
	})
	s.mu.Unlock()
	setRequestHeaders(w, req.RequestID, req.Attempt)
	w.WriteHeader(http.StatusNoContent)
}

// abortStreams ends the selected streams without an end marker. order is the
// order that interrupts them, or nil for a cancel request. The caller must hold mu.
func (s *Server) abortStreams(order *engineapi.Order, selected func(streamKey) bool) {
	for id, st := range s.runningStreams {
		if selected(st.key) {
			s.model.Cancel(id)
			s.endStream(st, "", journal.RequestCancelled, order)
		}
	}
}

// writeStream sends the stream from the given offset until it ends or the client
// disconnects.
func (s *Server) writeStream(ctx context.Context, w http.ResponseWriter, st *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, flush: http.NewResponseController(w), key: st.key, offset: from}
	// Real engines send the response headers as soon as they accept a request.
	if out.flush.Flush() != nil {
		return
	}
	time.Sleep(responseDelay(st.request.Prompt))
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		p := st.partFrom(out.offset)
		if out.writePart(p) != nil {
			return
		}
		if p.ended {
			out.close(p.finishReason)
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

// eventWriter writes a stream as server-sent events.
type eventWriter struct {
	w      http.ResponseWriter
	flush  *http.ResponseController
	key    streamKey
	offset int
}

func (e *eventWriter) writePart(p streamPart) error {
	finish := ""
	if p.ended {
		finish = p.finishReason
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

// close sends the end marker of a complete stream. An aborted stream has no
// finish reason; its connection is aborted without an end marker, as if the
// engine had lost the request.
func (e *eventWriter) close(finish string) {
	if finish == "" {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(e.w, "data: %s\n\n", engineapi.DoneMarker)
	_ = e.flush.Flush()
}
