package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// attemptHop is how far apart the attempt numbers of two entries lie that run
// the same request one after the other. It is more than maxAttempts, so that a
// later entry's number is higher than any that an earlier one has used.
const attemptHop = 1 << 8

const (
	second = time.Second
	// minResumedWait is the least time that resumed work waits for a server.
	minResumedWait = 60 * time.Second
)

// request is one request from its arrival to its final effect.
type request struct {
	work        decision.Work
	repeat      RetryRule
	caller      caller
	fingerprint uint64
	retryBudget float64
	attempt     uint32
	// engineAttempt is the attempt that the server knows: a fresh connection
	// goes on with the attempt that runs there.
	engineAttempt uint32
	attempts      int
	// runs is how many attempts may have run; maxRuns bounds them, 0: no bound.
	runs     int
	maxRuns  int
	arrivals arrivals
	// unrun counts sends that servers did not run.
	unrun int
	// tried are the servers that have failed it.
	tried []*server
	// aim is when its answer was to begin when it came.
	aim time.Duration
	// endsInTime: the final answer is due at work.FinishBy.
	endsInTime bool
	// server is where the attempt runs; nil while the request waits. prefill
	// is the engine that prefills for it, if another one does.
	server  *server
	prefill *server
	// reserved is the server whose permit the request holds to decode there.
	reserved *server
	// unread is how many tokens the prefiller has to read, before how many it was
	// thought to read before them; reading is set until it has shown how long that took.
	unread  int
	before  float64
	reading bool
	// done is how many tokens earlier attempts gave, got those of this one.
	// here is how many this server gave before a fresh connection to it.
	done int
	got  int
	here int
	// reconnects counts fresh connections to the same server without a token.
	reconnects int
	// reached is set once the server has shown that it has this attempt. Without
	// it the request may have been sent to a server that was dead already. sentAt
	// is when the attempt was dispatched.
	reached bool
	sentAt  time.Duration
	// mayHaveRun is set once a server may have begun it.
	mayHaveRun bool
	// counted is set once it stands in its member's usage.
	counted bool
	// notBefore holds a retry back; waitsSince is when it began to wait.
	notBefore  time.Duration
	waitsSince time.Duration
}

func (q *request) prefillLeft() int {
	if q.got > 0 {
		return 0
	}
	return q.unread
}

// prefiller is the server that does the request's prefill.
func (q *request) prefiller() *server {
	if q.prefill != nil {
		return q.prefill
	}
	return q.server
}

func (q *request) decodeLeft() int { return max(0, q.work.OutputTokens-q.done-q.got) }

func (q *request) key() quarantineKey { return quarantineKey{q.work.Member, q.fingerprint} }

func (r *Reducer) log(kind string, q *request, server, reason string, figures []Figure) {
	r.logFrom("", kind, q, server, reason, figures)
}

// logFrom writes a line that says from where the load was known that was decided on.
func (r *Reducer) logFrom(source, kind string, q *request, server, reason string, figures []Figure) {
	r.emit(LogDecision{
		Source: source, Kind: kind, RequestID: q.work.RequestID, Member: q.work.Member, Profile: q.work.Profile,
		Class: string(q.work.Class), Server: server, Reason: reason, Figures: figures,
	})
}
