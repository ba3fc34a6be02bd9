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

// Markers in the prompt of a completion that inject a fault.
const (
	// faultCrash makes the request kill the server process at its first token.
	faultCrash = "[poison]"
	// faultHang makes the stream send neither tokens nor heartbeats.
	faultHang = "[hang]"
)

var (
	delayPattern = regexp.MustCompile(`\[late=([0-9a-z.]+)\]`)
	markPattern  = regexp.MustCompile(`\[request=([A-Za-z0-9-]+)\]`)
)

func hasFault(text, fault string) bool {
	return strings.Contains(textEdges(text), fault)
}

// edgeBytes is how many bytes at either end of a text are searched for faults
// and marks. It keeps the search cheap for long prompts.
const edgeBytes = 256

func textEdges(text string) string {
	if len(text) <= 2*edgeBytes {
		return text
	}
	return text[:edgeBytes] + text[len(text)-edgeBytes:]
}

// responseDelay returns the delay that a [late=DURATION] marker in the text asks
// for, or 0.
func responseDelay(text string) time.Duration {
	match := delayPattern.FindStringSubmatch(textEdges(text))
	if match == nil {
		return 0
	}
	d, err := time.ParseDuration(match[1])
	if err != nil {
		return 0
	}
	return d
}

// extractMark returns the mark in the text by which a test identifies the
// request, or "".
func extractMark(text string) string {
	match := markPattern.FindStringSubmatch(textEdges(text))
	if match == nil {
		return ""
	}
	return match[1]
}

// crash records the request and kills the process with SIGKILL, as when a request
// crashes an engine.
func (s *Server) crash(req engineapi.CompletionRequest) {
	s.journal.Write(requestRecord(journal.CrashTriggered, req))
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

func requestRecord(event journal.Event, req engineapi.CompletionRequest) journal.Record {
	return journal.Record{
		Event: event, RequestID: req.RequestID, Attempt: req.Attempt,
		Member: answer.MemberOf(req.Prompt), Mark: extractMark(req.Prompt), Salt: req.CacheSalt,
		Offset: req.GeneratedTokens, Tokens: req.MaxTokens,
	}
}
