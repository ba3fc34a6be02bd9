package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/standin/answer"
)

const (
	// eventLag is how late cache events are published, in real time.
	eventLag = 300 * time.Millisecond
	// eventGap: each event whose number divides by it is lost.
	eventGap = 7
	// eventMarks bounds the eventLog.
	eventMarks = 16
)

// eventLog remembers which cache event came next at which time.
type eventLog struct{ marks []eventMark }

type eventMark struct {
	at   time.Time
	next uint64
}

// due tells whether it is time for a note: several times per lag.
func (l *eventLog) due(now time.Time) bool {
	n := len(l.marks)
	return n == 0 || now.Sub(l.marks[n-1].at) >= eventLag/(eventMarks/2)
}

// note takes down the next event's number.
func (l *eventLog) note(now time.Time, next uint64) {
	l.marks = append(l.marks, eventMark{at: now, next: next})
	l.marks = l.marks[max(0, len(l.marks)-eventMarks):]
}

// published is the number before which events are told by now.
func (l *eventLog) published(now time.Time) uint64 {
	next := uint64(0)
	for _, m := range l.marks {
		if now.Sub(m.at) >= eventLag {
			next = m.next
		}
	}
	return next
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	all, until := s.model.CacheEvents(after), s.events.published(time.Now())
	s.mu.Unlock()
	told := engineapi.CacheEvents{Next: max(after+1, until)}
	for _, e := range all.Events {
		if e.Seq < until && e.Seq%eventGap != 0 {
			told.Events = append(told.Events, e)
		}
	}
	writeJSON(w, http.StatusOK, told)
}

// kvCopy is KV cache as it is exported and imported: what text it stands for.
type kvCopy struct {
	Digest uint64 `json:"digest"`
	Salt   string `json:"salt"`
	Tokens int    `json:"tokens"`
}

func newKVCopy(req engineapi.CompletionRequest, text string) kvCopy {
	return kvCopy{
		Digest: xxhash.Sum64String(req.Prompt + text), Salt: req.CacheSalt,
		Tokens: answer.EstimatePromptTokens(req.Prompt + text),
	}
}

// covers tells whether the copy is of this request's member and text.
func (k kvCopy) covers(req engineapi.CompletionRequest) bool {
	return k == newKVCopy(req, req.GeneratedText)
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.newestStream(r.PathValue("id"))
	if st == nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	text := st.request.GeneratedText + strings.Join(st.from(0).tokens, "")
	writeJSON(w, http.StatusOK, newKVCopy(st.request, text))
}

// newestStream gives the last attempt of a request, or nil. It must be called
// with mu held.
func (s *Server) newestStream(requestID string) *stream {
	var newest *stream
	for key, st := range s.streams {
		if key.requestID == requestID && (newest == nil || key.attempt > newest.key.attempt) {
			newest = st
		}
	}
	return newest
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var copied kvCopy
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&copied); err != nil {
		http.Error(w, "not KV cache", http.StatusBadRequest)
		return
	}
	handle := "kv-" + strconv.FormatUint(copied.Digest, 16)
	s.mu.Lock()
	s.kv[handle] = copied
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, engineapi.KVImported{Handle: handle, Tokens: copied.Tokens})
}
