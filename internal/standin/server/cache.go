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
	// cacheEventLag delays the publication of cache events, in real time.
	cacheEventLag = 300 * time.Millisecond
	// lostEventPeriod: events whose sequence number is a multiple of it are
	// omitted, as if lost.
	lostEventPeriod = 7
	// maxEventSamples bounds the number of samples in an eventTimeline.
	maxEventSamples = 16
)

// eventTimeline records the sequence number of the next cache event at several
// points in time.
type eventTimeline struct{ samples []eventSample }

type eventSample struct {
	at   time.Time
	next uint64
}

// sampleDue reports whether a new sample is due. Samples are taken several times
// per cacheEventLag.
func (t *eventTimeline) sampleDue(now time.Time) bool {
	n := len(t.samples)
	return n == 0 || now.Sub(t.samples[n-1].at) >= cacheEventLag/(maxEventSamples/2)
}

// addSample records the sequence number of the next event and drops samples
// beyond maxEventSamples.
func (t *eventTimeline) addSample(now time.Time, next uint64) {
	t.samples = append(t.samples, eventSample{at: now, next: next})
	t.samples = t.samples[max(0, len(t.samples)-maxEventSamples):]
}

// publishedBefore returns the sequence number below which events are published.
func (t *eventTimeline) publishedBefore(now time.Time) uint64 {
	next := uint64(0)
	for _, sample := range t.samples {
		if now.Sub(sample.at) >= cacheEventLag {
			next = sample.next
		}
	}
	return next
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	all, publishedBefore := s.model.CacheEvents(after), s.eventTimeline.publishedBefore(time.Now())
	s.mu.Unlock()
	response := engineapi.CacheEvents{Next: max(after+1, publishedBefore)}
	for _, e := range all.Events {
		if e.Seq < publishedBefore && e.Seq%lostEventPeriod != 0 {
			response.Events = append(response.Events, e)
		}
	}
	writeJSON(w, http.StatusOK, response)
}

// exportedKV is the form in which KV cache is exported and imported: it
// identifies the text that the cache covers instead of holding tensors.
type exportedKV struct {
	Digest uint64 `json:"digest"`
	Salt   string `json:"salt"`
	Tokens int    `json:"tokens"`
}

func newExportedKV(req engineapi.CompletionRequest, text string) exportedKV {
	return exportedKV{
		Digest: xxhash.Sum64String(req.Prompt + text), Salt: req.CacheSalt,
		Tokens: answer.EstimatePromptTokens(req.Prompt + text),
	}
}

// matches reports whether the KV cache covers exactly the request's text under
// the request's cache salt, and so belongs to the same member.
func (k exportedKV) matches(req engineapi.CompletionRequest) bool {
	return k == newExportedKV(req, req.GeneratedText)
}

func (s *Server) handleExportKV(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.latestStream(r.PathValue("id"))
	if st == nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	text := st.request.GeneratedText + strings.Join(st.partFrom(0).tokens, "")
	writeJSON(w, http.StatusOK, newExportedKV(st.request, text))
}

// latestStream returns the stream of the request's latest attempt, or nil. The
// caller must hold mu.
func (s *Server) latestStream(requestID string) *stream {
	var latest *stream
	for key, st := range s.streams {
		if key.requestID == requestID && (latest == nil || key.attempt > latest.key.attempt) {
			latest = st
		}
	}
	return latest
}

func (s *Server) handleImportKV(w http.ResponseWriter, r *http.Request) {
	var imported exportedKV
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&imported); err != nil {
		http.Error(w, "not KV cache", http.StatusBadRequest)
		return
	}
	handle := "kv-" + strconv.FormatUint(imported.Digest, 16)
	s.mu.Lock()
	s.importedKV[handle] = imported
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, engineapi.KVImported{Handle: handle, Tokens: imported.Tokens})
}
