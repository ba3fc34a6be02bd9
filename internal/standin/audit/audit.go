// Package audit compares what callers got with what the stand-in backend
// servers wrote down, and counts the promises that were kept and broken.
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

// FinishedRequest is one request of one caller with its result.
type FinishedRequest struct {
	// Class is the workload's name for it.
	Class  string
	Member string
	// Mark is the request's own mark, which the journals hold too.
	Mark string
	// Prompt, Seed and Tokens are a completion's; Path is a plain call's.
	Prompt string
	Seed   uint64
	Tokens int
	Path   string
	// AtMostOnce tells that the call may run once at most.
	AtMostOnce bool
	Result     *caller.Result
}

// plain tells whether it is a call of a plain service.
func (d *FinishedRequest) plain() bool { return d.Path != "" }

// Counts is what an audit found. Requests = Complete + RefusedNotRun + Unknown + Failed.
type Counts struct {
	Requests int `json:"requests"`
	// Complete answers are complete and byte for byte right.
	Complete int `json:"whole"`
	// RefusedNotRun requests ended with a refusal that says "not run".
	RefusedNotRun int `json:"refused_not_run"`
	// Unknown once-only calls ended with "unknown" or "already ran".
	Unknown int `json:"unknown"`
	// Failed requests got no whole answer and no such refusal.
	Failed int `json:"cut"`
	// DuplicateRuns counts once-only calls with more than one run.
	DuplicateRuns int `json:"doubled"`
	// WrongMember counts answers with another member's mark and calls that
	// reached a backend server under another member's name.
	WrongMember int `json:"wrong_member"`
	// FalseNotRun counts refusals that say "not run" of requests that ran.
	FalseNotRun int `json:"not_run_ran"`
	// Findings tells of each broken promise, in words.
	Findings []string `json:"findings,omitempty"`
}

// SummaryLine is the demo's last line.
func (c *Counts) SummaryLine() string {
	return fmt.Sprintf("demo: requests=%d whole=%d refused_not_run=%d cut=%d doubled=%d wrong_member=%d",
		c.Requests, c.Complete, c.RefusedNotRun, c.Failed+c.Unknown, c.DuplicateRuns, c.WrongMember)
}

// HasViolations tells whether a promise was broken. Once-only calls may end as unknown
// when something fails in between; the demo, where nothing fails, adds them to cut.
func (c *Counts) HasViolations() bool {
	return c.Complete == 0 || c.Failed+c.DuplicateRuns+c.WrongMember+c.FalseNotRun > 0
}

func (c *Counts) find(d *FinishedRequest, format string, args ...any) {
	c.Findings = append(c.Findings, fmt.Sprintf("%s %s of %s: ", d.Class, d.Mark, d.Member)+fmt.Sprintf(format, args...))
}

// runs is what the journals hold of one mark.
type runs struct {
	started int
	members map[string]bool
}

// Check compares the requests with the journals.
func Check(done []FinishedRequest, records []journal.Record) *Counts {
	c := &Counts{}
	byMark := collect(records)
	for i := range done {
		d := &done[i]
		c.Requests++
		c.answered(d)
		seen := byMark[d.Mark]
		if seen == nil {
			seen = &runs{}
		}
		c.compare(d, seen)
	}
	c.compareSalts(records)
	return c
}

// compareSalts counts cache salts that two members shared.
func (c *Counts) compareSalts(records []journal.Record) {
	owner := make(map[string]string)
	for _, r := range records {
		if r.Salt == "" || r.Member == "" {
			continue
		}
		if first, ok := owner[r.Salt]; ok && first != r.Member {
			c.WrongMember++
			c.Findings = append(c.Findings, "members "+first+" and "+r.Member+" share a cache salt")
		}
		owner[r.Salt] = r.Member
	}
}

func collect(records []journal.Record) map[string]*runs {
	byMark := make(map[string]*runs)
	for _, r := range records {
		if r.Mark == "" {
			continue
		}
		seen := byMark[r.Mark]
		if seen == nil {
			seen = &runs{members: make(map[string]bool)}
			byMark[r.Mark] = seen
		}
		seen.members[r.Member] = true
		if member, _, ok := engineapi.SplitWireID(r.RequestID); ok {
			seen.members[member] = true
		}
		if r.Event == journal.RequestStarted {
			seen.started++
		}
	}
	return byMark
}

// answered sorts the request by what its caller got.
func (c *Counts) answered(d *FinishedRequest) {
	res := d.Result
	switch {
	case res.Complete && d.right():
		c.Complete++
	case res.Complete:
		c.Failed++
		c.find(d, "the answer differs from what the backend server gives (%d bytes)", len(res.Text))
	case res.Outcome == outcome.NotRun && !res.Accepted:
		c.RefusedNotRun++
	case d.AtMostOnce && res.Outcome == outcome.Unknown, d.AtMostOnce && res.Code == outcome.CodeAlreadyRan:
		c.Unknown++
	default:
		c.Failed++
		c.find(d, "no whole answer: status %d, code %q, outcome %q, %d bytes, %d tries, %d resumes, %s, last error %v",
			res.Status, res.Code, res.Outcome, len(res.Text), res.Attempts, res.Resumes, res.Message, res.Err)
	}
	if foreign := answer.ForeignMember(res.Text, d.Member); foreign != "" {
		c.WrongMember++
		c.find(d, "the answer carries the mark of %s", foreign)
	}
}

// compare holds the caller's result against the journals.
func (c *Counts) compare(d *FinishedRequest, seen *runs) {
	if d.AtMostOnce && seen.started > 1 {
		c.DuplicateRuns++
		c.find(d, "ran %d times", seen.started)
	}
	// A request that got tokens and was refused later is cut, not "not run".
	if d.Result.Outcome == outcome.NotRun && !d.Result.Accepted && seen.started > 0 {
		c.FalseNotRun++
		c.find(d, "refused as not run (%s), but ran %d times", d.Result.Code, seen.started)
	}
	if d.Result.Complete && seen.started == 0 {
		c.Failed++
		c.Complete--
		c.find(d, "answered whole, but no journal holds a run of it")
	}
	for member := range seen.members {
		if member != d.Member {
			c.WrongMember++
			c.find(d, "reached a backend server under %q", member)
		}
	}
}

// right tells whether a whole answer is what the backend server gives.
func (d *FinishedRequest) right() bool {
	if !d.plain() {
		return d.Result.Text == answer.FullText(d.Prompt, d.Seed, d.Tokens)
	}
	var got server.PlainAnswer
	if d.Result.Status != http.StatusOK || json.Unmarshal([]byte(d.Result.Text), &got) != nil {
		return false
	}
	return got.Member == d.Member && got.Mark == d.Mark && got.Path == d.Path
}
