package server

import (
	"os"
	"regexp"
	"strings"
	"syscall"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/standin/answer"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

// Faults that a caller's text can script. They stand in the prompt of a
// completion or in the query of a plain call.
const (
	// faultPoison kills the process at the request's first token.
	faultPoison = "[poison]"
	// faultHang makes no tokens and no heartbeats.
	faultHang = "[hang]"
)

var (
	lateMark    = regexp.MustCompile(`\[late=([0-9a-z.]+)\]`)
	requestMark = regexp.MustCompile(`\[request=([A-Za-z0-9-]+)\]`)
)

func hasFault(text, fault string) bool {
	return strings.Contains(edges(text), fault)
}

// faultWindow is how far from either end of a text faults and marks are looked
// for, so that long prompts cost little.
const faultWindow = 256

func edges(text string) string {
	if len(text) <= 2*faultWindow {
		return text
	}
	return text[:faultWindow] + text[len(text)-faultWindow:]
}

// late gives how long a text asks its answer to be held back.
func late(text string) time.Duration {
	found := lateMark.FindStringSubmatch(edges(text))
	if found == nil {
		return 0
	}
	d, err := time.ParseDuration(found[1])
	if err != nil {
		return 0
	}
	return d
}

// markOf gives the mark by which the caller knows the request.
func markOf(text string) string {
	found := requestMark.FindStringSubmatch(edges(text))
	if found == nil {
		return ""
	}
	return found[1]
}

// dieOf kills the process as an engine dies that a request crashes.
func (s *Server) dieOf(req engineapi.CompletionRequest) {
	s.journal.Write(requestRecord(journal.CrashTriggered, req))
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

func requestRecord(event journal.Event, req engineapi.CompletionRequest) journal.Record {
	return journal.Record{
		Event: event, RequestID: req.RequestID, Attempt: req.Attempt,
		Member: answer.MemberOf(req.Prompt), Mark: markOf(req.Prompt), Salt: req.CacheSalt,
		Offset: req.GeneratedTokens, Tokens: req.MaxTokens,
	}
}
