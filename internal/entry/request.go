package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// attemptStride is the distance between the attempt numbers of two entries that run the same
// request one after the other. It exceeds maxAttempts, so that a later entry's numbers are
// higher than any that an earlier one has used.
const attemptStride = 1 << 8

const (
	second = time.Second
	// minResumedWait is the least time that resumed work waits for a server.
	minResumedWait = 60 * time.Second
)

// request is one request from its arrival to its final effect.
type request struct {
	work        decision.Work
	retry       RetryRule
	caller      caller
	fingerprint uint64
	retryBudget float64
	attempt     uint32
	// engineAttempt is the attempt number that the server knows: a reconnect continues the
	// attempt that runs there.
	engineAttempt uint32
	attempts      int
	// runs is how many attempts may have run. maxRuns bounds them, 0 means no bound.
	runs       int
	maxRuns    int
	deliveries deliveries
	// notRunCount counts attempts that servers did not run.
	notRunCount int
	// failedServers are the ids of the servers that have failed the request.
	failedServers []string
	// originalFirstTokenBy is the first-token deadline at arrival. Requeueing extends the one in
	// work.
	originalFirstTokenBy time.Duration
	// hardDeadline is set if the final answer is due at work.FinishBy.
	hardDeadline bool
	// forwarded is set if another entry has passed the request on.
	forwarded bool
	// server is where the attempt runs, nil while the request waits. prefill is the engine of a
	// separate prefill, if there is one.
	server  *server
	prefill *server
	// reserved is the server whose permit the request holds for decoding there.
	reserved *server
	// prefillTokens is how many tokens the prefilling server has to compute. tokensAhead
	// estimates the tokens queued there before them. prefilling is set until the end of the
	// prefill was observed.
	prefillTokens int
	tokensAhead   float64
	prefilling    bool
	// earlierTokens is how many tokens earlier attempts delivered, attemptTokens how many the
	// current attempt did. serverTokens is how many the current server delivered before a
	// reconnect.
	earlierTokens int
	attemptTokens int
	serverTokens  int
	// reconnects counts new connections to the same server without a token.
	reconnects int
	// acknowledged is set once the server has shown that it has this attempt. Before that, the
	// request may have been sent to a server that was already dead. sentAt is when the attempt
	// was dispatched.
	acknowledged bool
	sentAt       time.Duration
	// mayHaveRun is set once a server may have begun the request.
	mayHaveRun bool
	// trialOf is the quarantined part that the request tries again, if any.
	trialOf quarantineKey
	// usageCounted is set once the request is included in its member's usage.
	usageCounted bool
	// pendingEnd is set while the end of the last attempt is not acted on.
	pendingEnd *pendingEnd
	// notBefore delays a retry. waitingSince is when the request began to wait.
	notBefore    time.Duration
	waitingSince time.Duration
}

func (q *request) prefillLeft() int {
	if q.attemptTokens > 0 {
		return 0
	}
	return q.prefillTokens
}

// prefiller returns the server that does the request's prefill.
func (q *request) prefiller() *server {
	if q.prefill != nil {
		return q.prefill
	}
	return q.server
}

func (q *request) decodeLeft() int {
	return max(0, q.work.OutputTokens-q.earlierTokens-q.attemptTokens)
}

func (q *request) key() quarantineKey {
	return quarantineKey{member: q.work.Member, fingerprint: q.fingerprint}
}

func (r *Reducer) log(kind string, q *request, server, reason string, figures []Figure) {
	r.logWithSource("", kind, q, server, reason, figures)
}

// softwareVersion returns the build of a server's software, empty if it is unknown.
func (r *Reducer) softwareVersion(server string) string {
	if s := r.servers.byID[server]; s != nil {
		return s.pb.SoftwareVersion
	}
	return ""
}

// logWithSource logs a decision together with the source of the load that it was based on.
func (r *Reducer) logWithSource(source, kind string, q *request, server, reason string, figures []Figure) {
	r.emit(LogDecision{
		Source: source, Kind: kind, RequestID: q.work.RequestID, Member: q.work.Member, Profile: q.work.Profile,
		Class: string(q.work.Class), Server: server, Version: r.softwareVersion(server), Reason: reason, Figures: figures,
	})
}
