// Package audit compares the results that callers got with the journals of the
// stand-in backend servers, and counts violations of the system's guarantees.
package audit

import (
	"encoding/json"
	"fmt"
	"net/http"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/standin/answer"
	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
	"goldcrestseam.dev/goldcrestseam/internal/standin/server"
)

// FinishedRequest is a request with the result that its caller got.
type FinishedRequest struct {
	// Class is the name of the request's workload class.
	Class  string
	Member string
	// Mark identifies the request; the journals record it too.
	Mark string
	// Prompt, Seed and Tokens are set for completions, Path for plain calls.
	Prompt string
	Seed   uint64
	Tokens int
	Path   string
	// AtMostOnce marks a call that must not run more than once.
	AtMostOnce bool
	Result     *caller.Result
}

// isPlainCall reports whether the request is a call of a plain service.
func (req *FinishedRequest) isPlainCall() bool { return req.Path != "" }

// Counts is the result of an audit. Requests = Complete + RefusedNotRun + Unknown +
// Failed.
type Counts struct {
	Requests int `json:"requests"`
	// Complete counts answers that are complete and correct byte for byte.
	Complete int `json:"whole"`
	// RefusedNotRun counts requests that were refused with outcome "not run"
	// before any answer began.
	RefusedNotRun int `json:"refused_not_run"`
	// Unknown counts at-most-once calls that ended with outcome "unknown" or
	// code "already ran".
	Unknown int `json:"unknown"`
	// Failed counts all other requests: those without a complete and correct
	// answer.
	Failed int `json:"cut"`
	// DuplicateRuns counts at-most-once calls that ran more than once.
	DuplicateRuns int `json:"doubled"`
	// WrongMember counts answers with another member's mark, requests that
	// reached a backend server under another member's name, and cache salts
	// that two members share.
	WrongMember int `json:"wrong_member"`
	// FalseNotRun counts requests that ran but were refused as "not run".
	FalseNotRun int `json:"not_run_ran"`
	// Findings describes each violation.
	Findings []string `json:"findings,omitempty"`
}

// SummaryLine returns the last line of the demo's output.
func (c *Counts) SummaryLine() string {
	return fmt.Sprintf("demo: requests=%d whole=%d refused_not_run=%d cut=%d doubled=%d wrong_member=%d",
		c.Requests, c.Complete, c.RefusedNotRun, c.Failed+c.Unknown, c.DuplicateRuns, c.WrongMember)
}

// HasViolations reports whether a guarantee was violated or no request got a
// complete answer. At-most-once calls may end as unknown when a component fails;
// the summary line of the demo, where nothing fails, adds them to its figure "cut".
func (c *Counts) HasViolations() bool {
	return c.Complete == 0 || c.Failed+c.DuplicateRuns+c.WrongMember+c.FalseNotRun > 0
}

func (c *Counts) addFinding(req *FinishedRequest, format string, args ...any) {
	c.Findings = append(c.Findings, fmt.Sprintf("%s %s of %s: ", req.Class, req.Mark, req.Member)+fmt.Sprintf(format, args...))
}

// journaledRuns is what the journals record about the requests with one mark.
type journaledRuns struct {
	started int
	members map[string]bool
}

// Check compares the requests with the journal records and counts violations.
func Check(requests []FinishedRequest, records []journal.Record) *Counts {
	c := &Counts{}
	byMark := collectRuns(records)
	for i := range requests {
		req := &requests[i]
		c.Requests++
		c.countResult(req)
		journaled := byMark[req.Mark]
		if journaled == nil {
			journaled = &journaledRuns{}
		}
		c.compareWithJournal(req, journaled)
	}
	c.countSharedSalts(records)
	return c
}

// countSharedSalts counts cache salts that two members share.
func (c *Counts) countSharedSalts(records []journal.Record) {
	memberBySalt := make(map[string]string)
	for _, r := range records {
		if r.Salt == "" || r.Member == "" {
			continue
		}
		if first, ok := memberBySalt[r.Salt]; ok && first != r.Member {
			c.WrongMember++
			c.Findings = append(c.Findings, "members "+first+" and "+r.Member+" share a cache salt")
		}
		memberBySalt[r.Salt] = r.Member
	}
}

func collectRuns(records []journal.Record) map[string]*journaledRuns {
	byMark := make(map[string]*journaledRuns)
	for _, r := range records {
		if r.Mark == "" {
			continue
		}
		journaled := byMark[r.Mark]
		if journaled == nil {
			journaled = &journaledRuns{members: make(map[string]bool)}
			byMark[r.Mark] = journaled
		}
		journaled.members[r.Member] = true
		if member, _, ok := engineapi.SplitWireID(r.RequestID); ok {
			journaled.members[member] = true
		}
		if r.Event == journal.RequestStarted {
			journaled.started++
		}
	}
	return byMark
}

// countResult counts the request by the result that its caller got.
func (c *Counts) countResult(req *FinishedRequest) {
	res := req.Result
	switch {
	case res.Complete && req.isCorrect():
		c.Complete++
	case res.Complete:
		c.Failed++
		c.addFinding(req, "the answer differs from the one that the backend server generates (%d bytes)", len(res.Text))
	case res.Outcome == outcome.NotRun && !res.Accepted:
		c.RefusedNotRun++
	case req.AtMostOnce && res.Outcome == outcome.Unknown, req.AtMostOnce && res.Code == outcome.CodeAlreadyRan:
		c.Unknown++
	default:
		c.Failed++
		c.addFinding(req, "no complete answer: status %d, code %q, outcome %q, %d bytes, %d attempts, %d resumes, %s, last error %v",
			res.Status, res.Code, res.Outcome, len(res.Text), res.Attempts, res.Resumes, res.Message, res.Err)
	}
	if foreign := answer.ForeignMember(res.Text, req.Member); foreign != "" {
		c.WrongMember++
		c.addFinding(req, "the answer contains the mark of %s", foreign)
	}
}

// compareWithJournal checks the caller's result against the journals.
func (c *Counts) compareWithJournal(req *FinishedRequest, journaled *journaledRuns) {
	if req.AtMostOnce && journaled.started > 1 {
		c.DuplicateRuns++
		c.addFinding(req, "ran %d times", journaled.started)
	}
	// A request that was refused after its answer began counts as failed, not
	// as "not run".
	if req.Result.Outcome == outcome.NotRun && !req.Result.Accepted && journaled.started > 0 {
		c.FalseNotRun++
		c.addFinding(req, "refused as not run (%s), but ran %d times", req.Result.Code, journaled.started)
	}
	if req.Result.Complete && journaled.started == 0 {
		c.Failed++
		c.Complete--
		c.addFinding(req, "complete answer, but no journal records a run")
	}
	for member := range journaled.members {
		if member != req.Member {
			c.WrongMember++
			c.addFinding(req, "reached a backend server under the name of member %q", member)
		}
	}
}

// isCorrect reports whether a complete answer is the one that the backend server
// generates for the request.
func (req *FinishedRequest) isCorrect() bool {
	if !req.isPlainCall() {
		return req.Result.Text == answer.FullText(req.Prompt, req.Seed, req.Tokens)
	}
	var got server.PlainAnswer
	if req.Result.Status != http.StatusOK || json.Unmarshal([]byte(req.Result.Text), &got) != nil {
		return false
	}
	return got.Member == req.Member && got.Mark == req.Mark && got.Path == req.Path
}
