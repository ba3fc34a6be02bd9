package entry

import (
	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// deliveries records what servers have received of a request, and how many retries were taken
// from the deployment's retry limit for the current attempt.
//
// The limit counts all calls but the first prefill that an engine accepts, and of these all but
// the first.
type deliveries struct {
	// separatePrefill is set while the current attempt has a separate prefill.
	separatePrefill bool
	// prefillAccepted is set once an engine may have accepted the request for its prefill only,
	// called once a server may have received another call.
	prefillAccepted, called bool
	// taken is how many retries were taken for the current attempt.
	taken int
}

// record notes what servers received of an ended attempt.
func (d *deliveries) record(ev *AttemptEnded) {
	d.taken = 0
	switch {
	case ev.Unsent:
	case !ev.AtPrefillServer:
		d.prefillAccepted = d.prefillAccepted || d.separatePrefill
		d.called = true
	case d.prefillAccepted || ev.Outcome == outcome.NotRun && !ev.PrefillBroken:
		d.called = true
	default:
		d.prefillAccepted = true
	}
}

// retryCost is how many retries an attempt counts as.
func (d *deliveries) retryCost(separatePrefill bool) int {
	n := 0
	if separatePrefill && d.prefillAccepted {
		n++
	}
	if d.called {
		n++
	}
	return n
}

// hasRetry reports whether the deployment's limit has room for the request's next attempt, so
// that a request which may not be sent again does not wait for a server.
func (r *Reducer) hasRetry(q *request) bool {
	cost := q.deliveries.retryCost(false)
	if r.retryLimit.HasRoom(r.now, q.work.Service, cost) {
		return true
	}
	r.logRetry(q, cost, "the retry limit leaves no room")
	return false
}

// takeRetriesFor takes the retries that the choice needs from the deployment's limit. They are
// taken as the attempt is sent: a request can wait for seconds, and retries of several windows
// would reach a server in one. If the limit does not allow them, the decoding engine prefills the
// prompt itself. It returns false if the limit does not allow that either.
func (r *Reducer) takeRetriesFor(q *request, choice *placement.Choice) bool {
	if r.takeRetries(q, q.deliveries.retryCost(choice.Prefill != nil)) {
		return true
	}
	if !mayPrefillThere(choice) || !r.takeRetries(q, q.deliveries.retryCost(false)) {
		return false
	}
	prefillThere(q, choice, "retry limit leaves no room for a separate prefill")
	return true
}

// mayPrefillThere reports whether a separate prefill can be left out.
func mayPrefillThere(choice *placement.Choice) bool {
	return choice.Prefill != nil && choice.Server.Role == engineapi.RoleMixed
}

// prefillThere lets the decoding engine prefill the prompt itself, if it can.
func prefillThere(q *request, choice *placement.Choice, reason string) {
	if !mayPrefillThere(choice) {
		return
	}
	*choice = placement.Choice{
		Server: choice.Server, UncachedTokens: q.work.PromptTokens, NewKVTokens: q.work.PromptTokens,
		Reason: reason, Figures: choice.Figures,
	}
}

func (r *Reducer) takeRetries(q *request, n int) bool {
	if n == 0 {
		return true
	}
	if !r.retryLimit.HasRoom(r.now, q.work.Service, n) {
		r.logRetry(q, n, "the retry limit leaves no room")
		return false
	}
	r.logRetry(q, n, "the retry limit has room")
	r.retryLimit.Take(r.now, q.work.Service, n)
	q.deliveries.taken = n
	return true
}

// outOfRetries ends a request that may not be sent again. Accepted model work without a final
// deadline waits until it may.
func (r *Reducer) outOfRetries(q *request) {
	if q.retry != RetryResuming || q.hardDeadline {
		r.refuse(q, refuseRetryLimit())
		return
	}
	q.notBefore = r.now + retryBackoff
	r.requeue(q)
}

// returnRetries gives back what was taken for an attempt that no server received. Otherwise it
// would use up the limit just when a server is unreachable, and requests that no server has seen
// would be refused for it.
func (r *Reducer) returnRetries(q *request) {
	r.retryLimit.Return(r.now, q.work.Service, q.deliveries.taken)
	q.deliveries.taken = 0
}

// retrySharers returns the number of entries that share the constant part of the retry limit, 0
// if that is not known. Control lists an entry for longer than the lease on its view lasts, so
// entries whose leases are valid know of each other; one that was dropped from the list, whose
// part the others take, has a lease that ended.
func (r *Reducer) retrySharers() int {
	if r.stale() {
		return 0
	}
	return len(r.view.entries)
}

func (r *Reducer) logRetry(q *request, n int, reason string) {
	if r.retryLimit == nil {
		return
	}
	use := r.retryLimit.Use(r.now, q.work.Service)
	r.log(LogRetry, q, "", reason, []Figure{
		{Name: "retries", Value: float64(n)},
		{Name: "room", Value: use.Tokens},
		{Name: "saved_at_most", Value: use.Saved},
		{Name: "requests", Value: float64(use.Requests)},
		{Name: "entries", Value: float64(r.retrySharers())},
	})
}
