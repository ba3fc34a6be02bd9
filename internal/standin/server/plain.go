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

// PlainPaths are what a plain service serves.
var PlainPaths = []string{"/status", "/receipts", "/filings", "/balances", "/payouts"}

// PlainAnswer is a plain service's answer. Run is drawn for each run, so that a
// held answer can be told from a second run.
type PlainAnswer struct {
	Member string `json:"member"`
	Mark   string `json:"mark"`
	Path   string `json:"path"`
	Run    string `json:"run"`
}

// call serves one call of a plain service. The caller's mark stands in the
// query as mark, a delay as late.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	rec := callRecord(r)
	s.journal.Write(withEvent(rec, journal.RequestReceived))
	s.mu.Lock()
	state := s.state()
	if state == engineapi.StateServing {
		s.calls.Add(1)
	}
	s.mu.Unlock()
	if state != engineapi.StateServing {
		rejected := withEvent(rec, journal.RequestRejected)
		rejected.Reason = string(state)
		s.journal.Write(rejected)
		s.notStarted(w, state, "the server takes no new work")
		return
	}
	defer s.calls.Add(-1)
	if !slices.Contains(PlainPaths, rec.Path) {
		http.Error(w, "no such path", http.StatusNotFound)
		return
	}
	s.journal.Write(withEvent(rec, journal.RequestStarted))
	time.Sleep(s.config.real(s.config.CallTime) + callDelay(r))
	s.journal.Write(withEvent(rec, journal.RequestFinished))
	writeJSON(w, http.StatusOK, PlainAnswer{
		Member: rec.Member, Mark: rec.Mark, Path: rec.Path,
		Run: s.config.ID + "-" + strconv.FormatInt(time.Now().UnixNano(), 36),
	})
}

func withEvent(r journal.Record, event journal.Event) journal.Record {
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

func callDelay(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get("late"))
	if err != nil {
		return 0
	}
	return d
}
