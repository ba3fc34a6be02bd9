package server

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

// PlainPaths are the paths that a plain service serves.
var PlainPaths = []string{"/status", "/receipts", "/filings", "/balances", "/payouts"}

// PlainAnswer is the response body of a plain service. Run differs for each
// execution, which distinguishes a replayed stored answer from a second execution.
type PlainAnswer struct {
	Member string `json:"member"`
	Mark   string `json:"mark"`
	Path   string `json:"path"`
	Run    string `json:"run"`
}

// handleCall serves one call of a plain service. Query parameter "mark" holds the
// request's mark and "late" an extra delay.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	rec := callRecord(r)
	s.journal.Write(recordWithEvent(rec, journal.RequestReceived))
	s.mu.Lock()
	state := s.state()
	if state == engineapi.StateServing {
		s.activeCalls.Add(1)
	}
	s.mu.Unlock()
	if state != engineapi.StateServing {
		rejected := recordWithEvent(rec, journal.RequestRejected)
		rejected.Reason = string(state)
		s.journal.Write(rejected)
		s.writeNotStarted(w, state, "the server takes no new work")
		return
	}
	defer s.activeCalls.Add(-1)
	if !slices.Contains(PlainPaths, rec.Path) {
		http.Error(w, "no such path", http.StatusNotFound)
		return
	}
	s.journal.Write(recordWithEvent(rec, journal.RequestStarted))
	time.Sleep(s.config.realDuration(s.config.CallTime) + queryDelay(r))
	s.journal.Write(recordWithEvent(rec, journal.RequestFinished))
	writeJSON(w, http.StatusOK, PlainAnswer{
		Member: rec.Member, Mark: rec.Mark, Path: rec.Path,
		Run: s.config.ID + "-" + strconv.FormatInt(time.Now().UnixNano(), 36),
	})
}

func recordWithEvent(r journal.Record, event journal.Event) journal.Record {
	r.Event = event
	return r
}

func callRecord(r *http.Request) journal.Record {
	attempt, _ := strconv.ParseUint(r.Header.Get(outcome.HeaderAttempt), 10, 32)
	return journal.Record{
		RequestID: r.Header.Get(outcome.HeaderRequestID), Attempt: uint32(attempt),
		Member: r.Header.Get(engineapi.HeaderMember), Mark: r.URL.Query().Get("mark"),
		Method: r.Method, Path: "/" + strings.Trim(r.URL.Path, "/"),
		IdempotencyKey: r.Header.Get(outcome.HeaderIdempotencyKey),
	}
}

func queryDelay(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get("late"))
	if err != nil {
		return 0
	}
	return d
}
